//! What is written to the state service: the vocabulary that records and the register share.

use crate::ledger::{EndRecord, JobRecord};
use hopyoke_run_times::{Page, PageKey};
use hopyoke_types::{JobId, MachineId, ModRevision};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One write of a batch. Every batch is conditional on our grant as well.
#[derive(Debug, Clone)]
pub enum Write {
    /// Replace the record, which must still have this mark.
    Update {
        job: JobId,
        mod_revision: ModRevision,
        record: JobRecord,
    },
    /// Move the record, which must still have this mark, to its final place.
    End {
        job: JobId,
        mod_revision: ModRevision,
        end: EndRecord,
    },
    /// Replace a page of the register, which must still have this mark, or drop it.
    Page {
        key: String,
        mod_revision: ModRevision,
        page: Option<RegistryPage>,
    },
    /// Drop a page of the register whatever it holds.
    DropPage { key: String },
    /// Replace a page of learned run times.
    LearnedRunTimes { key: PageKey, page: Page },
}

#[derive(Debug, Clone)]
pub struct Batch {
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
        jobs: Vec<JobId>,
        pages: Vec<String>,
    },
    /// Our grant is gone: somebody else leads.
    Deposed,
    /// Certainly not executed.
    Refused,
    /// It may have been executed, or may yet be.
    Unknown,
}

/// A page of the register, under `fleet/KEY`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryPage {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    /// With their workers' addresses, at which a new leader can ask them.
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
