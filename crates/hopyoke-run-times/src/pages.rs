//! The models as a few small records in the key-value store, from which a new leader continues.
//!
//! Nothing depends on them: a page that is lost, torn, of a newer version or out of range is
//! skipped, and what it held is learned again.

use crate::learner::{Entry, Learner};
use crate::model::{Model, SavedModel};
use hopyoke_types::Micros;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// The version of the format that is written and read.
const VERSION: u32 = 1;
/// Upper bound on the number of pages.
const MAX_PAGES: usize = 24;
/// Entries per page: each takes some 600 bytes in the form in which the store counts sizes.
const ENTRIES_PER_PAGE: usize = 10;
/// Grants of fencing tokens that are kept: those of leaders whose attempts may still run.
const MAX_GRANTS: usize = 48;

/// A page's number, 0 to 23; its key in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PageKey(pub u16);

impl PageKey {
    /// Reads a key as it is stored: a plain number. `None`: no page of this version has it.
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

/// What an entry is the model of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum EntryKind {
    #[serde(rename = "c")]
    Class,
    #[serde(rename = "t")]
    Team,
    #[serde(rename = "a")]
    All,
}

/// The stored form of a page.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    #[serde(rename = "v")]
    version: u32,
    #[serde(rename = "e", default)]
    entries: Vec<(EntryKind, String, SavedModel)>,
    /// Grants of fencing tokens: token, and wall clock time in microseconds. Attempts carry their
    /// token and the time since its grant, so this dates each start command.
    #[serde(rename = "g", default)]
    grants: Vec<(u64, u64)>,
}

/// A page that was skipped, wholly or in part.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PageError {
    /// The page has another version of the format.
    #[error("version {0} is not {VERSION}")]
    Version(u32),
    /// Some entries are out of range; the others were loaded.
    #[error("{invalid} entries are nonsense, {loaded} were taken")]
    Entries {
        /// Entries that were skipped.
        invalid: usize,
        /// Entries that were loaded.
        loaded: usize,
    },
}

/// State of one page.
#[derive(Debug, Clone, Copy, Default)]
struct PageState {
    entries: usize,
    dirty: bool,
    writing: bool,
    last_written_at: Micros,
}

/// Assigns entries to pages, and tracks which pages have changed.
#[derive(Debug, Default)]
pub(crate) struct PageAllocator {
    pages: Vec<PageState>,
    grants: Vec<(u64, u64)>,
}

impl PageAllocator {
    /// Assigns a page with room to a new entry; `None` if all are full: the entry is then not stored.
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

    /// Keeps the newest grants: after many failovers the attempts under way carry those of the latest leaders.
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
    /// Records when a fencing token was granted, by the wall clock.
    pub fn record_token_grant(&mut self, token: u64, granted_at: Micros) {
        if self.all.page.is_none() {
            self.all.page = self.page_allocator.assign();
        }
        self.page_allocator.add_grant(token, granted_at.0);
        self.page_allocator.touch(Some(0));
    }

    /// When a fencing token was granted, by the wall clock; `None`: not known.
    pub fn token_granted_at(&self, token: u64) -> Option<Micros> {
        self.page_allocator
            .grants
            .iter()
            .find(|(t, _)| *t == token)
            .map(|(_, at)| Micros(*at))
    }

    /// Loads a page that an earlier leader wrote; returns the number of entries that were taken. An entry
    /// does not replace one of more runs.
    ///
    /// # Errors
    /// The page has another version, or some of its entries are out of range.
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

    /// False: the present entry has more runs, and stays. (A few runs since the failover do not
    /// outweigh all that were stored.)
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

    /// The changed page that was written longest ago, to be written now; none is written again before
    /// `min_interval` is over. [`Learner::page_write_finished`] must follow.
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

    /// Whether a changed page waits to be written.
    pub fn has_dirty_pages(&self) -> bool {
        self.page_allocator
            .pages
            .iter()
            .any(|p| p.dirty && !p.writing)
    }

    /// Ends a page's write; one that failed is repeated.
    pub fn page_write_finished(&mut self, key: PageKey, succeeded: bool) {
        let page = self.page_allocator.page_mut(key);
        page.writing = false;
        page.dirty |= !succeeded;
    }
}
