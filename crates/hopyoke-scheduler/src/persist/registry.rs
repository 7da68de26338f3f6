//! The machine registry: the stored set of machines that may hold tasks. A new leader loads it to know
//! which machines reconciliation must account for.
//!
//! Machines of one type, zone and kind (spot or on-demand) share pages, so that a whole fleet is
//! registered with few writes. Each write of a page is conditional on the page's revision, so that a
//! delayed write can't restore an older page. Guards the invariant `ran_twice`: a new leader would not
//! wait for a machine whose entry was lost. If the outcome of a page's write is unknown, its machines
//! move to a page with a new key.

use super::batch::{RegistryPage, Write};
use super::rejected_writes::{Selection, WriteKey};
use hopyoke_types::{MachineId, ModRevision};
use std::collections::{BTreeMap, BTreeSet};

/// A page and the state of its writes.
struct Page {
    content: RegistryPage,
    /// Size of the content in bytes of JSON, or slightly more.
    len: usize,
    mod_revision: ModRevision,
    write_in_flight: bool,
    /// Machines were added that no applied write contains.
    additions_pending: bool,
    /// Machines were removed that the stored page may still contain.
    removals_pending: bool,
    /// The store has rejected the page as invalid, so no machines are added to it.
    is_rejected: bool,
}

impl Page {
    /// Creates a page that is yet to be stored.
    fn unstored(content: RegistryPage) -> Page {
        Page {
            len: content.len_in_json(),
            content,
            mod_revision: ModRevision(0),
            write_in_flight: false,
            additions_pending: true,
            removals_pending: false,
            is_rejected: false,
        }
    }
}

/// The registry's pages, and the writes that they still need.
#[derive(Default)]
pub(crate) struct MachineRegistry {
    pages: BTreeMap<String, Page>,
    page_of: BTreeMap<MachineId, String>,
    /// Machines that are to be added to a page.
    pending: BTreeSet<MachineId>,
    /// Keys of pages that can't be decoded, so that their machines are unknown.
    unreadable_pages: Vec<String>,
    /// Keys of pages that are to be deleted.
    pending_deletes: Vec<String>,
}

impl MachineRegistry {
    /// Loads a stored page and returns its machines. `None` is a page that can't be decoded.
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
                len: content.len_in_json(),
                content,
                mod_revision,
                write_in_flight: false,
                additions_pending: false,
                removals_pending: false,
                is_rejected: false,
            },
        );
        machines
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.page_of.is_empty() && self.unreadable_pages.is_empty()
    }

    /// Returns true if some page can't be decoded, so that reconciliation must wait for lease expiry.
    pub(crate) fn has_unreadable_pages(&self) -> bool {
        !self.unreadable_pages.is_empty()
    }

    /// Schedules the deletion of unreadable pages: after reconciliation no unreported task is left on
    /// their machines.
    pub(crate) fn reconciliation_ended(&mut self) {
        self.pending_deletes.append(&mut self.unreadable_pages);
    }

    pub(crate) fn contains(&self, id: &MachineId) -> bool {
        self.page_of.contains_key(id)
    }

    /// Requests the registration of a machine, unless it is on a page already.
    pub(crate) fn request_registration(&mut self, id: &MachineId) {
        if !self.page_of.contains_key(id) {
            self.pending.insert(id.clone());
        }
    }

    pub(crate) fn take_pending(&mut self) -> BTreeSet<MachineId> {
        std::mem::take(&mut self.pending)
    }

    /// Adds a machine to a page of its type, zone and kind with enough free space, or to a new page.
    ///
    /// `kind` is (type, zone, spot); `value_bytes` is the largest value that the store accepts.
    pub(crate) fn add(
        &mut self,
        id: MachineId,
        address: String,
        kind: (&str, &str, bool),
        value_bytes: usize,
        new_key: impl FnOnce() -> String,
    ) {
        let is_of_kind =
            |c: &RegistryPage| (c.machine_type.as_str(), c.zone.as_str(), c.spot) == kind;
        let entry_len = RegistryPage::entry_len(&id, &address);
        let has_capacity = |p: &&mut Page| {
            is_of_kind(&p.content) && !p.is_rejected && p.len + entry_len <= value_bytes
        };
        let found = self.pages.iter_mut().find(|(_, p)| has_capacity(p));
        let key = match found {
            Some((key, page)) => {
                page.content.machines.insert(id.clone(), address);
                page.len += entry_len;
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
                self.pages.insert(key.clone(), Page::unstored(content));
                key
            }
        };
        self.page_of.insert(id, key);
    }

    /// Removes a machine that certainly no longer exists.
    pub(crate) fn remove(&mut self, id: &MachineId) {
        self.pending.remove(id);
        if let Some(page) = self
            .page_of
            .remove(id)
            .and_then(|key| self.pages.get_mut(&key))
        {
            if let Some(address) = page.content.machines.remove(id) {
                page.len -= RegistryPage::entry_len(id, &address);
            }
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

    /// Returns the next write: of a page with additions or, if `include_removals` is set, of one with removals
    /// or a delete. A page without machines is deleted. Only `selected` writes are returned.
    pub(crate) fn next_write(
        &mut self,
        include_removals: bool,
        selected: &Selection,
    ) -> Option<Write> {
        let is_selected = |key: &str| selected.contains(&WriteKey::RegistryPage(key.to_owned()));
        // A page is deleted only once its machines are stored on other pages, or in the same batch.
        if include_removals
            && !self.pages.values().any(|p| p.additions_pending)
            && let Some(index) = self.pending_deletes.iter().rposition(|k| is_selected(k))
        {
            let key = self.pending_deletes.remove(index);
            return Some(Write::DeletePage { key });
        }
        let is_due = |p: &Page| {
            !p.write_in_flight && (p.additions_pending || (include_removals && p.removals_pending))
        };
        let (key, page) = self
            .pages
            .iter_mut()
            .find(|(key, page)| is_due(page) && is_selected(key))?;
        page.write_in_flight = true;
        (page.additions_pending, page.removals_pending) = (false, false);
        let content = (!page.content.machines.is_empty()).then(|| page.content.clone());
        Some(Write::Page {
            key: key.clone(),
            mod_revision: page.mod_revision,
            page: content,
        })
    }

    /// Returns whether a page is to be written or deleted.
    pub(crate) fn is_write_pending(&self, key: &str) -> bool {
        let is_pending =
            |p: &Page| !p.write_in_flight && (p.additions_pending || p.removals_pending);
        self.pages.get(key).is_some_and(is_pending) || self.pending_deletes.iter().any(|k| k == key)
    }

    /// Handles an applied write of a page. Returns the machines that are now registered.
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
        page.is_rejected = false;
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

    /// Handles a write that was certainly not applied: it is repeated.
    pub(crate) fn write_not_applied(&mut self, key: &str) {
        if let Some(page) = self.pages.get_mut(key) {
            page.write_in_flight = false;
            page.additions_pending = true;
        } else {
            self.pending_deletes.push(key.to_owned());
        }
    }

    /// Handles a write that the store has rejected as invalid, by itself or with others: it is repeated, but no machines
    /// are added to the page until it has been stored.
    pub(crate) fn write_rejected(&mut self, key: &str) {
        self.write_not_applied(key);
        if let Some(page) = self.pages.get_mut(key) {
            page.is_rejected = true;
        }
    }

    /// Handles a write that may have been applied, or may still be: its machines move to a new page, and
    /// the old page is deleted only after the new one is stored.
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
            self.pages.insert(new, Page::unstored(content));
        }
        // Deletes follow all additions, see `next_write`.
        self.pending_deletes.push(key.to_owned());
    }
}
