//! Persistence of the models as a few small records (pages) in the key-value store, for the next leader.
//!
//! The pages are a cache: a page that is missing, truncated, of another version or out of range is
//! skipped, and its models are learned again.

use crate::learner::{Entry, Learner};
use crate::model::{Model, SavedModel};
use hopyoke_types::Micros;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// Format version that is written and accepted.
const VERSION: u32 = 1;
/// Maximum number of pages.
const MAX_PAGES: usize = 24;
/// Maximum number of entries assigned to a page; each takes about 600 bytes in the store.
const ENTRIES_PER_PAGE: usize = 10;
/// Maximum number of token grants kept; they cover the leaders whose attempts may still be running.
const MAX_GRANTS: usize = 48;

/// Number of a page, 0 to 23, which forms its key in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PageKey(pub u16);

impl PageKey {
    /// Parses the decimal form used in the store. Returns `None` if it is not a number or out of range.
    pub fn parse(s: &str) -> Option<PageKey> {
        let n: u16 = s.parse().ok()?;
        (usize::from(n) < MAX_PAGES).then_some(PageKey(n))
    }
}

impl std::fmt::Display for PageKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Scope of an entry's model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum EntryKind {
    #[serde(rename = "c")]
    Class,
    #[serde(rename = "t")]
    Team,
    #[serde(rename = "a")]
    All,
}

/// Serialized form of a page.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    #[serde(rename = "v")]
    version: u32,
    #[serde(rename = "e", default)]
    entries: Vec<(EntryKind, String, SavedModel)>,
    /// Grants of fencing tokens: token and wall clock time in microseconds. An attempt encodes its token
    /// and the time since the token's grant, so the grant time yields the time of its start command.
    #[serde(rename = "g", default)]
    grants: Vec<(u64, u64)>,
}

impl Page {
    /// Drops entries, the last ones first, until the page `fits`. Their models are not persisted.
    pub fn shorten_until(&mut self, fits: impl Fn(&Page) -> bool) {
        while !fits(self) && self.entries.pop().is_some() {}
    }
}

/// Reason why a page was skipped or loaded only in part.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PageError {
    /// The page has another format version.
    #[error("unsupported version {0}, expected {VERSION}")]
    Version(u32),
    /// Some entries are invalid. Valid entries were loaded unless the present ones have more runs.
    #[error("{invalid} entries are invalid, {loaded} were loaded")]
    Entries {
        /// Number of invalid entries, which were skipped.
        invalid: usize,
        /// Number of entries that were loaded.
        loaded: usize,
    },
}

/// Occupancy and write state of one page.
#[derive(Debug, Clone, Copy, Default)]
struct PageState {
    entries: usize,
    dirty: bool,
    writing: bool,
    last_written_at: Micros,
}

/// Assigns entries to pages and tracks which pages have unwritten changes.
#[derive(Debug, Default)]
pub(crate) struct PageAllocator {
    pages: Vec<PageState>,
    grants: Vec<(u64, u64)>,
}

impl PageAllocator {
    /// Assigns a page with free space to a new entry. Returns `None` if all pages are full; the entry is
    /// then not persisted.
    pub(crate) fn assign(&mut self) -> Option<u16> {
        let found = self.pages.iter().position(|p| p.entries < ENTRIES_PER_PAGE);
        let i = match found {
            Some(i) => i,
            None if self.pages.len() < MAX_PAGES => {
                self.pages.push(PageState::default());
                self.pages.len() - 1
            }
            None => return None,
        };
        self.pages[i].entries += 1;
        self.pages[i].dirty = true;
        Some(i as u16)
    }

    /// Marks an entry's page as changed.
    pub(crate) fn touch(&mut self, page: Option<u16>) {
        if let Some(p) = page.and_then(|p| self.pages.get_mut(usize::from(p))) {
            p.dirty = true;
        }
    }

    /// Removes an entry from its page.
    pub(crate) fn release(&mut self, page: Option<u16>) {
        if let Some(p) = page.and_then(|p| self.pages.get_mut(usize::from(p))) {
            p.entries = p.entries.saturating_sub(1);
            p.dirty = true;
        }
    }

    /// Adds a grant and drops the oldest above the limit: active attempts carry the tokens of the latest
    /// leaders.
    fn add_grant(&mut self, token: u64, granted_at: u64) {
        if self.grants.iter().any(|(t, _)| *t == token) {
            return;
        }
        self.grants.push((token, granted_at));
        self.grants.sort_unstable();
        let surplus = self.grants.len().saturating_sub(MAX_GRANTS);
        self.grants.drain(..surplus);
    }

    fn page_mut(&mut self, key: PageKey) -> &mut PageState {
        let i = usize::from(key.0).min(MAX_PAGES - 1);
        if self.pages.len() <= i {
            self.pages.resize(i + 1, PageState::default());
        }
        &mut self.pages[i]
    }
}

impl Learner {
    /// Records the wall clock time at which a fencing token was granted.
    pub fn record_token_grant(&mut self, token: u64, granted_at: Micros) {
        if self.all.page.is_none() {
            self.all.page = self.page_allocator.assign();
        }
        self.page_allocator.add_grant(token, granted_at.0);
        self.page_allocator.touch(Some(0));
    }

    /// Returns the wall clock time at which a fencing token was granted, or `None` if it is not known.
    pub fn token_granted_at(&self, token: u64) -> Option<Micros> {
        self.page_allocator
            .grants
            .iter()
            .find(|(t, _)| *t == token)
            .map(|(_, at)| Micros(*at))
    }

    /// Loads a page written by an earlier leader and returns the number of entries loaded. An entry does
    /// not replace a present one with more runs.
    ///
    /// # Errors
    /// Returns an error if the page has another version, or if some of its entries are invalid. In the
    /// latter case the valid entries are loaded.
    pub fn load(&mut self, key: PageKey, page: &Page) -> Result<usize, PageError> {
        if page.version != VERSION {
            return Err(PageError::Version(page.version));
        }
        let mut loaded = 0;
        let mut invalid = 0;
        for (kind, name, saved) in page.entries.iter().take(4 * ENTRIES_PER_PAGE) {
            let Some(model) = Model::load(saved).filter(|_| name.len() <= 256) else {
                invalid += 1;
                continue;
            };
            if self.load_entry(*kind, name, Entry::new(model, 0, Some(key.0))) {
                self.page_allocator.page_mut(key).entries += 1;
                loaded += 1;
            }
        }
        for (token, at) in page.grants.iter().take(4 * MAX_GRANTS) {
            self.page_allocator.add_grant(*token, *at);
        }
        if invalid > 0 {
            Err(PageError::Entries { invalid, loaded })
        } else {
            Ok(loaded)
        }
    }

    /// Stores an entry unless the present one has more runs, so that a few runs since the failover do not
    /// displace the loaded history. Returns whether the entry was stored.
    fn load_entry(&mut self, kind: EntryKind, name: &str, entry: Entry) -> bool {
        let entries = match kind {
            EntryKind::All => {
                let replaces = self.all.model.runs <= entry.model.runs;
                if replaces {
                    self.all = entry;
                }
                return replaces;
            }
            EntryKind::Class => &mut self.classes,
            EntryKind::Team => &mut self.teams,
        };
        let name: Rc<str> = Rc::from(name);
        let known_runs = entries.get(&name).map_or(0, |e| e.model.runs);
        let replaces = known_runs <= entry.model.runs;
        if replaces && let Some(old) = entries.insert(name, entry) {
            self.page_allocator.release(old.page);
        }
        replaces
    }

    /// Returns the changed page that was written least recently, to be written now, or `None` if none is
    /// due. A page is not returned again within `min_interval`.
    ///
    /// The caller must call [`Learner::page_write_finished`] when the write has ended.
    pub fn next_page_to_write(
        &mut self,
        now: Micros,
        min_interval: Micros,
    ) -> Option<(PageKey, Page)> {
        let is_ready = |p: &PageState| {
            p.dirty
                && !p.writing
                && (p.last_written_at == Micros::ZERO || now >= p.last_written_at + min_interval)
        };
        let (i, page) = self
            .page_allocator
            .pages
            .iter_mut()
            .enumerate()
            .filter(|(_, p)| is_ready(p))
            .min_by_key(|(_, p)| p.last_written_at)?;
        page.dirty = false;
        page.writing = true;
        page.last_written_at = now.max(Micros(1));
        let key = PageKey(i as u16);
        let is_on_page = |e: &Entry| e.page == Some(key.0);
        let mut entries: Vec<(EntryKind, String, SavedModel)> = Vec::new();
        if is_on_page(&self.all) {
            entries.push((EntryKind::All, String::new(), self.all.model.save()));
        }
        for (kind, models) in [
            (EntryKind::Team, &self.teams),
            (EntryKind::Class, &self.classes),
        ] {
            let on_page = models.iter().filter(|(_, entry)| is_on_page(entry));
            entries
                .extend(on_page.map(|(name, entry)| (kind, name.to_string(), entry.model.save())));
        }
        let grants = if key.0 == 0 {
            self.page_allocator.grants.clone()
        } else {
            Vec::new()
        };
        Some((
            key,
            Page {
                version: VERSION,
                entries,
                grants,
            },
        ))
    }

    /// Returns whether a changed page is waiting to be written.
    pub fn has_dirty_pages(&self) -> bool {
        self.page_allocator
            .pages
            .iter()
            .any(|p| p.dirty && !p.writing)
    }

    /// Records the end of a page's write. A page whose write failed stays dirty and is written again.
    pub fn page_write_finished(&mut self, key: PageKey, succeeded: bool) {
        let page = self.page_allocator.page_mut(key);
        page.writing = false;
        page.dirty |= !succeeded;
    }
}
