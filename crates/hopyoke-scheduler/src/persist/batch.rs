//! Batches of writes to the key-value store, shared by the record writer and the machine registry.

use super::rejected_writes::WriteKey;
use crate::ledger::{EndRecord, JobRecord};
use hopyoke_run_times::{Page, PageKey};
use hopyoke_stored_form::json_len;
use hopyoke_types::{FencingToken, JobId, MachineId, ModRevision};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One write of a batch. Every batch is also conditional on this leader's fencing token.
#[derive(Debug, Clone)]
pub enum Write {
    /// Replaces a job's record if its revision is unchanged (compare-and-swap).
    Update {
        /// The job.
        job: JobId,
        /// Expected revision of the record.
        mod_revision: ModRevision,
        /// New value.
        record: JobRecord,
    },
    /// Deletes a job's record if its revision is unchanged, and writes its end record.
    End {
        /// The job.
        job: JobId,
        /// Expected revision of the record.
        mod_revision: ModRevision,
        /// The end record.
        end: EndRecord,
    },
    /// Replaces or deletes a page of the machine registry if its revision is unchanged.
    Page {
        /// Key of the page, without the prefix `fleet/`.
        key: String,
        /// Expected revision of the page.
        mod_revision: ModRevision,
        /// New value. `None` deletes the page.
        page: Option<RegistryPage>,
    },
    /// Deletes a page of the machine registry unconditionally.
    DeletePage {
        /// Key of the page, without the prefix `fleet/`.
        key: String,
    },
    /// Replaces the record of the leader's term, for the revision of the write alone, which is a new token for commands.
    Term {
        /// New value: the fencing token of the term.
        token: FencingToken,
    },
    /// Replaces a page of learned run times.
    LearnedRunTimes {
        /// Key of the page.
        key: PageKey,
        /// New value.
        page: Page,
    },
}

impl Write {
    /// Returns what the write is about.
    pub fn key(&self) -> WriteKey {
        match self {
            Write::Update { job, .. } => WriteKey::JobUpdate(job.clone()),
            Write::End { job, .. } => WriteKey::JobEnd(job.clone()),
            Write::Page { key, .. } | Write::DeletePage { key } => {
                WriteKey::RegistryPage(key.clone())
            }
            Write::Term { .. } => WriteKey::Term,
            Write::LearnedRunTimes { key, .. } => WriteKey::LearnedRunTimes(*key),
        }
    }

    /// Returns the size of its value in JSON, in bytes; 0 for a deletion.
    pub fn value_len(&self) -> usize {
        match self {
            Write::Update { record, .. } => json_len(record),
            Write::End { end, .. } => json_len(end),
            Write::Page { page, .. } => page.as_ref().map_or(0, json_len),
            Write::Term { token } => json_len(token),
            Write::LearnedRunTimes { page, .. } => json_len(page),
            Write::DeletePage { .. } => 0,
        }
    }
}

/// Writes that are applied atomically.
#[derive(Debug, Clone)]
pub struct Batch {
    /// The writes, most urgent first.
    pub writes: Vec<Write>,
}

impl Batch {
    /// Returns the number of its puts and deletes.
    pub fn changes(&self) -> usize {
        self.writes
            .iter()
            .map(|w| if matches!(w, Write::End { .. }) { 2 } else { 1 })
            .sum()
    }
}

/// Why a batch was not, or may not have been, applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchError {
    /// The revisions of these keys were not as expected; nothing was applied.
    Conflict {
        /// Jobs whose records have changed.
        jobs: Vec<JobId>,
        /// Keys of registry pages that have changed.
        pages: Vec<String>,
    },
    /// The fencing token is stale: another node leads. Nothing was applied.
    LeadershipLost,
    /// Certainly not applied, for a reason that may pass.
    NotApplied,
    /// Not applied: the store rejects the batch as invalid, and would again.
    Invalid,
    /// It may have been applied, or may still be.
    OutcomeUnknown,
}

/// Page of the machine registry, stored under `fleet/KEY`. All its machines share type, zone and kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryPage {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// True for spot instances.
    pub spot: bool,
    /// Machines with the addresses of their agents, at which a new leader probes them.
    pub machines: BTreeMap<MachineId, String>,
}

impl RegistryPage {
    /// Returns its size in bytes of JSON.
    pub fn len_in_json(&self) -> usize {
        json_len(self)
    }

    /// Returns the size that a machine's entry adds to a page, in bytes of JSON: name and address with a colon and a
    /// comma.
    pub(crate) fn entry_len(id: &MachineId, address: &str) -> usize {
        json_len(id.as_str()) + json_len(address) + 2
    }
}
