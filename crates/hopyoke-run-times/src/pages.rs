//! What is known, as a few small records, so that a new leader goes on from it.
//!
//! Nothing depends on them: a page that is lost, torn, of a newer version or nonsense is left
//! aside, and what it held is learnt again.

use crate::learner::{Entry, Learner};
use crate::model::{Model, SavedModel};
use hopyoke_types::Micros;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// The version of the form that is written and read.
const VERSION: u32 = 1;
/// Pages that are kept at the most.
const PAGES: usize = 24;
/// Entries on one page: each takes some 600 bytes in the form in which sizes are counted.
const PER_PAGE: usize = 10;
/// Grants remembered: those of leaders whose attempts may still run.
const MOST_GRANTS: usize = 48;

/// Which page.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PageKey(pub u16);

impl PageKey {
    /// Reads a key as it is written: a plain number.
    pub fn parse(s: &str) -> Option<PageKey> {
        let n: u16 = s.parse().ok()?;
        (usize::from(n) < PAGES).then_some(PageKey(n))
    }
}

impl std::fmt::Display for PageKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Kind {
    #[serde(rename = "c")]
    Class,
    #[serde(rename = "t")]
    Team,
    #[serde(rename = "a")]
    All,
}

/// A page as it is written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    v: u32,
    #[serde(default)]
    e: Vec<(Kind, String, SavedModel)>,
    /// When tokens were granted: token, and time of day in microseconds. Attempts carry their
    /// token and the time since its grant, so this tells when each was commanded.
    #[serde(default)]
    g: Vec<(u64, u64)>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Place {
    entries: usize,
    dirty: bool,
    writing: bool,
    written: Micros,
}

/// Which entry stands on which page, and which pages have changed.
#[derive(Debug, Default)]
pub(crate) struct Shelf {
    pages: Vec<Place>,
    grants: Vec<(u64, u64)>,
}

impl Shelf {
    /// A page with room for one more entry; `None` if all are full: what is new is then not kept.
    pub fn place(&mut self) -> Option<u16> {
        let found = self.pages.iter().position(|p| p.entries < PER_PAGE);
        let i = match found {
            Some(i) => i,
            None if self.pages.len() < PAGES => {
                self.pages.push(Place::default());
                self.pages.len() - 1
            }
            None => return None,
        };
        self.pages[i].entries += 1;
        self.pages[i].dirty = true;
        Some(i as u16)
    }

    pub fn touch(&mut self, page: Option<u16>) {
        if let Some(p) = page.and_then(|p| self.pages.get_mut(usize::from(p))) {
            p.dirty = true;
        }
    }

    pub fn leave(&mut self, page: Option<u16>) {
        if let Some(p) = page.and_then(|p| self.pages.get_mut(usize::from(p))) {
            p.entries = p.entries.saturating_sub(1);
            p.dirty = true;
        }
    }

    /// The newest grants stay: after fifty takeovers those of the latest leaders are the ones that
    /// attempts still carry.
    fn add_grant(&mut self, token: u64, at: u64) {
        if self.grants.iter().any(|(t, _)| *t == token) {
            return;
        }
        self.grants.push((token, at));
        self.grants.sort_unstable();
        let surplus = self.grants.len().saturating_sub(MOST_GRANTS);
        self.grants.drain(..surplus);
    }

    fn at(&mut self, key: PageKey) -> &mut Place {
        let i = usize::from(key.0).min(PAGES - 1);
        if self.pages.len() <= i {
            self.pages.resize(i + 1, Place::default());
        }
        &mut self.pages[i]
    }
}

impl Learner {
    /// A token was granted at this time of day.
    pub fn note_grant(&mut self, token: u64, time_of_day: Micros) {
        if self.all.page.is_none() {
            self.all.page = self.shelf.place();
        }
        self.shelf.add_grant(token, time_of_day.0);
        self.shelf.touch(Some(0));
    }

    /// When a token was granted, as time of day.
    pub fn granted_at(&self, token: u64) -> Option<Micros> {
        self.shelf
            .grants
            .iter()
            .find(|(t, _)| *t == token)
            .map(|(_, at)| Micros(*at))
    }

    /// Takes up a page that an earlier leader wrote. What is known already is not replaced.
    ///
    /// # Errors
    /// Why the page, or a part of it, was left aside.
    pub fn load(&mut self, key: PageKey, page: &Page) -> Result<usize, String> {
        if page.v != VERSION {
            return Err(format!("version {} is not {VERSION}", page.v));
        }
        let mut loaded = 0;
        let mut bad = 0;
        for (kind, name, saved) in page.e.iter().take(4 * PER_PAGE) {
            let Some(model) = Model::load(saved).filter(|_| name.len() <= 256) else {
                bad += 1;
                continue;
            };
            let entry = Entry::new(model, 0, Some(key.0));
            let fresh = match kind {
                Kind::All => {
                    let fresh = self.all.model.runs <= entry.model.runs;
                    if fresh {
                        self.all = entry;
                    }
                    fresh
                }
                Kind::Class | Kind::Team => {
                    let entries = if *kind == Kind::Class {
                        &mut self.classes
                    } else {
                        &mut self.teams
                    };
                    let name: Rc<str> = Rc::from(name.as_str());
                    // A few runs that we have seen since do not outweigh all that was known.
                    let known = entries.get(&name).map_or(0, |e| e.model.runs);
                    let fresh = known <= entry.model.runs;
                    if fresh && let Some(old) = entries.insert(name, entry) {
                        self.shelf.leave(old.page);
                    }
                    fresh
                }
            };
            if fresh {
                self.shelf.at(key).entries += 1;
                loaded += 1;
            }
        }
        for (token, at) in page.g.iter().take(4 * MOST_GRANTS) {
            self.shelf.add_grant(*token, *at);
        }
        if bad > 0 {
            Err(format!("{bad} entries are nonsense, {loaded} were taken"))
        } else {
            Ok(loaded)
        }
    }

    /// The page that has waited longest among those that have changed, to be written now; none is
    /// written again before `pause` is over.
    pub fn next_page(&mut self, now: Micros, pause: Micros) -> Option<(PageKey, Page)> {
        let ready = |p: &Place| {
            p.dirty && !p.writing && (p.written == Micros::ZERO || now >= p.written + pause)
        };
        let (i, place) = self
            .shelf
            .pages
            .iter_mut()
            .enumerate()
            .filter(|(_, p)| ready(p))
            .min_by_key(|(_, p)| p.written)?;
        place.dirty = false;
        place.writing = true;
        place.written = now.max(Micros(1));
        let key = PageKey(i as u16);
        let on = |e: &Entry| e.page == Some(key.0);
        let mut e: Vec<(Kind, String, SavedModel)> = Vec::new();
        if on(&self.all) {
            e.push((Kind::All, String::new(), self.all.model.save()));
        }
        for (kind, entries) in [(Kind::Team, &self.teams), (Kind::Class, &self.classes)] {
            let here = entries.iter().filter(|(_, entry)| on(entry));
            e.extend(here.map(|(name, entry)| (kind, name.to_string(), entry.model.save())));
        }
        let g = if key.0 == 0 {
            self.shelf.grants.clone()
        } else {
            Vec::new()
        };
        Some((key, Page { v: VERSION, e, g }))
    }

    /// Something waits to be written.
    pub fn has_pages(&self) -> bool {
        self.shelf.pages.iter().any(|p| p.dirty && !p.writing)
    }

    /// A page's write is over; one that did not succeed is tried again.
    pub fn page_ended(&mut self, key: PageKey, written: bool) {
        let place = self.shelf.at(key);
        place.writing = false;
        place.dirty |= !written;
    }
}
