//! What is written to the state service: what the record writer and the machine registry share.

use crate::ledger::{EndRecord, JobRecord};
use hopyoke_run_times::{Page, PageKey};
use hopyoke_types::{JobId, MachineId, ModRevision};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One write of a batch. Every batch is conditional on our grant as well.
#[derive(Debug, Clone)]
pub enum Write {
    /// Replace the record, which must still have this revision.
    Update {
        /// The job.
        job: JobId,
        /// The revision that the value must still have.
        mod_revision: ModRevision,
        /// Its new value.
        record: JobRecord,
    },
    /// Move the record, which must still have this revision, to its final place.
    End {
        /// The job.
        job: JobId,
        /// The revision that the value must still have.
        mod_revision: ModRevision,
        /// The value at its final place.
        end: EndRecord,
    },
    /// Replace a page of the machine registry, which must still have this revision, or drop it.
    Page {
        /// Below `fleet/`.
        key: String,
        /// The revision that the value must still have.
        mod_revision: ModRevision,
        /// The new value; `None`: the page is dropped.
        page: Option<RegistryPage>,
    },
    /// Drop a page of the machine registry whatever it holds.
    DeletePage {
        /// Below `fleet/`.
        key: String,
    },
    /// Replace a page of learned run times.
    LearnedRunTimes {
        /// Which page.
        key: PageKey,
        /// Its new value.
        page: Page,
    },
}

/// Writes that go through together or not at all.
#[derive(Debug, Clone)]
pub struct Batch {
    /// In the order of their urgency.
    pub writes: Vec<Write>,
}

impl Batch {
    /// Changes (puts and deletes) that it makes.
    pub fn changes(&self) -> usize {
        self.writes
            .iter()
            .map(|w| if matches!(w, Write::End { .. }) { 2 } else { 1 })
            .sum()
    }
}

/// Why a batch did not go through.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchError {
    /// The records of these jobs have changed meanwhile.
    Conflict {
        /// Jobs whose records were not as expected.
        jobs: Vec<JobId>,
        /// Keys of registry pages that were not as expected.
        pages: Vec<String>,
    },
    /// The grant of the shards is gone: another node leads.
    LeadershipLost,
    /// Certainly not executed.
    NotApplied,
    /// It may have been executed, or may yet be.
    OutcomeUnknown,
}

/// A page of the machine registry, under `fleet/KEY`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryPage {
    /// The type that all machines on it have.
    pub machine_type: String,
    /// The zone that all are in.
    pub zone: String,
    /// Whether all are spot instances.
    pub spot: bool,
    /// With their agents' addresses, at which a new leader probes them.
    pub machines: BTreeMap<MachineId, String>,
}

/// An address with its port, quotes and separators: `"255.255.255.255:65535":,""`.
pub(crate) const ADDRESS_BYTES: usize = 30;

impl RegistryPage {
    /// Bytes that it takes as a value, at the most.
    pub fn bytes(&self) -> usize {
        let names: usize = self
            .machines
            .keys()
            .map(|m| m.as_str().len() + ADDRESS_BYTES)
            .sum();
        names + self.machine_type.len() + self.zone.len() + 80
    }
}
