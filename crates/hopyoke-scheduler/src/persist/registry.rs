//! The machine registry: which machines may hold tasks. A new leader reads it to know whom to wait for.
//!
//! Machines of one type, zone and kind share pages, so that a whole fleet is registered within a
//! few writes. Each write of a page is conditional on the page's revision: a late one must not bring
//! an older page back. (Guards `ran_twice`: a machine whose entry was lost would not be waited
//! for.) A page whose write went unanswered is left behind for a new one.

use super::batch::{ADDRESS_BYTES, RegistryPage, Write};
use hopyoke_types::{MachineId, ModRevision};
use std::collections::{BTreeMap, BTreeSet};

/// A page and how far its writes have come.
struct Page {
    content: RegistryPage,
    mod_revision: ModRevision,
    write_in_flight: bool,
    /// Machines were added that the state service does not know of.
    additions_pending: bool,
    /// Machines were removed that it still names.
    removals_pending: bool,
}

/// Which machine is on which page, and what of that is still to be written.
#[derive(Default)]
pub(crate) struct MachineRegistry {
    pages: BTreeMap<String, Page>,
    page_of: BTreeMap<MachineId, String>,
    /// Machines that wait for a place on a page.
    pending: BTreeSet<MachineId>,
    /// Pages that can't be read: their machines are unknown.
    unreadable_pages: Vec<String>,
    /// Keys to be dropped.
    pending_deletes: Vec<String>,
}

impl MachineRegistry {
    /// Takes over a page; returns the machines on it.
    pub(crate) fn load_page(
        &mut self,
        key: String,
        mod_revision: ModRevision,
        page: Option<&RegistryPage>,
    ) -> Vec<MachineId> {
        let Some(content) = page.cloned() else {
            self.unreadable_pages.push(key);
            return Vec::new();
        };
        let machines: Vec<MachineId> = content.machines.keys().cloned().collect();
        self.page_of
            .extend(machines.iter().map(|m| (m.clone(), key.clone())));
        self.pages.insert(
            key,
            Page {
                content,
                mod_revision,
                write_in_flight: false,
                additions_pending: false,
                removals_pending: false,
            },
        );
        machines
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.page_of.is_empty() && self.unreadable_pages.is_empty()
    }

    /// Some page can't be read, so reconciliation can end by time alone.
    pub(crate) fn has_unreadable_pages(&self) -> bool {
        !self.unreadable_pages.is_empty()
    }

    /// Reconciliation is over: unreadable pages name no machine that matters any more.
    pub(crate) fn reconciliation_ended(&mut self) {
        self.pending_deletes.append(&mut self.unreadable_pages);
    }

    pub(crate) fn contains(&self, id: &MachineId) -> bool {
        self.page_of.contains_key(id)
    }

    /// A machine is to be registered, unless it is already.
    pub(crate) fn request_registration(&mut self, id: &MachineId) {
        if !self.page_of.contains_key(id) {
            self.pending.insert(id.clone());
        }
    }

    pub(crate) fn take_pending(&mut self) -> BTreeSet<MachineId> {
        std::mem::take(&mut self.pending)
    }

    /// Puts a machine on a page that has room for it.
    pub(crate) fn add(
        &mut self,
        id: MachineId,
        address: String,
        kind: (&str, &str, bool),
        value_bytes: usize,
        new_key: impl FnOnce() -> String,
    ) {
        let of_kind = |c: &RegistryPage| (c.machine_type.as_str(), c.zone.as_str(), c.spot) == kind;
        let room = |p: &&mut Page| {
            of_kind(&p.content)
                && p.content.bytes() + id.as_str().len() + ADDRESS_BYTES < value_bytes
        };
        let found = self.pages.iter_mut().find(|(_, p)| room(p));
        let key = match found {
            Some((key, page)) => {
                page.content.machines.insert(id.clone(), address);
                page.additions_pending = true;
                key.clone()
            }
            None => {
                let key = new_key();
                let content = RegistryPage {
                    machine_type: kind.0.to_owned(),
                    zone: kind.1.to_owned(),
                    spot: kind.2,
                    machines: BTreeMap::from([(id.clone(), address)]),
                };
                let page = Page {
                    content,
                    mod_revision: ModRevision(0),
                    write_in_flight: false,
                    additions_pending: true,
                    removals_pending: false,
                };
                self.pages.insert(key.clone(), page);
                key
            }
        };
        self.page_of.insert(id, key);
    }

    /// A machine is gone for certain.
    pub(crate) fn remove(&mut self, id: &MachineId) {
        self.pending.remove(id);
        if let Some(page) = self
            .page_of
            .remove(id)
            .and_then(|key| self.pages.get_mut(&key))
        {
            page.content.machines.remove(id);
            page.removals_pending = true;
        }
    }

    pub(crate) fn has_additions(&self) -> bool {
        !self.pending.is_empty()
            || self
                .pages
                .values()
                .any(|p| p.additions_pending && !p.write_in_flight)
    }

    pub(crate) fn has_removals(&self) -> bool {
        !self.pending_deletes.is_empty()
            || self
                .pages
                .values()
                .any(|p| p.removals_pending && !p.write_in_flight)
    }

    /// The next page to be written: one with additions, or else one with removals if they are
    /// asked for. An empty page is dropped.
    pub(crate) fn next_write(&mut self, removals: bool) -> Option<Write> {
        // What a dropped page held must stand elsewhere first, or go there with the same write.
        if removals
            && !self.pages.values().any(|p| p.additions_pending)
            && let Some(key) = self.pending_deletes.pop()
        {
            return Some(Write::DeletePage { key });
        }
        let due = |p: &&mut Page| {
            !p.write_in_flight && (p.additions_pending || (removals && p.removals_pending))
        };
        let (key, page) = self.pages.iter_mut().find(|(_, p)| due(p))?;
        page.write_in_flight = true;
        (page.additions_pending, page.removals_pending) = (false, false);
        let content = (!page.content.machines.is_empty()).then(|| page.content.clone());
        Some(Write::Page {
            key: key.clone(),
            mod_revision: page.mod_revision,
            page: content,
        })
    }

    /// A write of a page went through; returns the machines that are now registered.
    pub(crate) fn write_committed(
        &mut self,
        key: &str,
        mod_revision: ModRevision,
        content: Option<&RegistryPage>,
    ) -> Vec<MachineId> {
        let Some(page) = self.pages.get_mut(key) else {
            return Vec::new();
        };
        page.write_in_flight = false;
        page.mod_revision = if content.is_some() {
            mod_revision
        } else {
            ModRevision(0)
        };
        if page.content.machines.is_empty() && content.is_none() {
            self.pages.remove(key);
        }
        content
            .map(|c| {
                c.machines
                    .keys()
                    .filter(|m| self.page_of.contains_key(*m))
                    .cloned()
                    .collect()
            })
            .unwrap_or_default()
    }

    /// A write certainly did not happen.
    pub(crate) fn write_not_applied(&mut self, key: &str) {
        if let Some(page) = self.pages.get_mut(key) {
            page.write_in_flight = false;
            page.additions_pending = true;
        } else {
            self.pending_deletes.push(key.to_owned());
        }
    }

    /// A write may have happened or may yet happen: its machines move to a new page, and the old
    /// one goes only once that stands.
    pub(crate) fn write_outcome_unknown(&mut self, key: &str, new_key: impl FnOnce() -> String) {
        let Some(old) = self.pages.get_mut(key) else {
            return self.pending_deletes.push(key.to_owned());
        };
        old.write_in_flight = false;
        let content = old.content.clone();
        let new = new_key();
        for m in content.machines.keys() {
            self.page_of.insert(m.clone(), new.clone());
        }
        self.pages.remove(key);
        if !content.machines.is_empty() {
            let page = Page {
                content,
                mod_revision: ModRevision(0),
                write_in_flight: false,
                additions_pending: true,
                removals_pending: false,
            };
            self.pages.insert(new, page);
        }
        // Dropped with the removals, after all additions.
        self.pending_deletes.push(key.to_owned());
    }
}
