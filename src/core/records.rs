//! What must be written to the state service, in batches within half of its write rate.

use super::job::{EndRecord, JobRecord};
use super::{Action, Config, Core};
use crate::ids::{JobId, MachineId, Mark};
use crate::time::Micros;
use crate::wire::user::JobState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A machine in the register: tasks may be on it. Under `fleet/ID`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

/// One write of a batch. Every batch is conditional on our grant as well.
#[derive(Debug, Clone)]
pub enum Write {
    /// Replace the record, which must still have this mark.
    Update {
        job: JobId,
        mark: Mark,
        record: JobRecord,
    },
    /// Move the record, which must still have this mark, to its final place.
    End {
        job: JobId,
        mark: Mark,
        end: EndRecord,
    },
    Register {
        machine: MachineId,
        record: MachineRecord,
    },
    Unregister {
        machine: MachineId,
    },
}

#[derive(Debug, Clone)]
pub struct Batch {
    pub writes: Vec<Write>,
}

/// Why a batch did not go through.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchError {
    /// The records of these jobs have changed meanwhile.
    Conflict(Vec<JobId>),
    /// Certainly not executed.
    Refused,
    /// It may have been executed, or may yet be.
    Unknown,
}

pub(super) struct Writes {
    unregister: BTreeSet<MachineId>,
    registering: BTreeSet<MachineId>,
    budget: f64,
    refilled: Micros,
    not_before: Micros,
}

/// Bodies are limited to 64 KiB; a batch stays well below.
const MOST_BYTES: usize = 40 * 1024;

impl Writes {
    pub fn new(cfg: &Config, now: Micros) -> Writes {
        Writes {
            unregister: BTreeSet::new(),
            registering: BTreeSet::new(),
            budget: cfg.write_rps / 2.0,
            refilled: now,
            not_before: Micros::ZERO,
        }
    }

    pub fn unregister(&mut self, machine: MachineId) {
        self.unregister.insert(machine);
    }
}

impl Core {
    /// When the next batch may be due, if anything waits to be written.
    pub fn has_writes(&self) -> bool {
        !self.writes.unregister.is_empty()
            || self.jobs.values().any(|j| j.needs_write())
            || self.machines.values().any(|m| self.wants_register(m))
    }

    /// A machine is registered once its worker has reported, and before its first task: so the
    /// next leader waits for no machine that still boots.
    fn wants_register(&self, m: &super::Machine) -> bool {
        m.phase == super::Phase::Up && !m.registered && !m.deleting && !self.writes.registering.contains(&m.id)
    }

    /// The next batch of writes, if some are due and the rate allows it.
    pub fn next_batch(&mut self, now: Micros) -> Option<Batch> {
        let rate = self.cfg.write_rps / 2.0;
        let w = &mut self.writes;
        w.budget = (w.budget + rate * (now - w.refilled).as_secs_f64()).min(rate.max(4.0));
        w.refilled = now;
        if now < w.not_before || w.budget < 2.0 {
            return None;
        }
        let most = (w.budget as usize).min(self.cfg.txn_ops);
        let mut ops = 0;
        let mut bytes = 0;
        let mut writes = Vec::new();
        // Gangs' terms first: their tasks wait for it. Then whatever completes.
        let mut due: Vec<&JobId> = self.jobs.iter().filter(|(_, j)| j.needs_write()).map(|(id, _)| id).collect();
        due.sort_by_key(|id| self.jobs.get(*id).map(|j| (j.term == j.recorded_term, !j.is_done())));
        let due: Vec<JobId> = due.into_iter().cloned().collect();
        let machines: Vec<(MachineId, MachineRecord)> = self
            .machines
            .values()
            .filter(|m| self.wants_register(m))
            .map(|m| {
                let r = MachineRecord { machine_type: m.machine_type.clone(), zone: m.zone.clone(), spot: m.spot };
                (m.id.clone(), r)
            })
            .collect();
        for (machine, record) in machines {
            if ops + 1 > most {
                break;
            }
            ops += 1;
            self.writes.registering.insert(machine.clone());
            writes.push(Write::Register { machine, record });
        }
        for id in due {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let end = job.is_done();
            let cost = if end { 2 } else { 1 };
            let size = 1500 + job.done.parts() * 14;
            if ops + cost > most || bytes + size > MOST_BYTES {
                break;
            }
            ops += cost;
            bytes += size;
            job.writing = true;
            writes.push(if end {
                let end = EndRecord { state: JobState::Done, done: job.spec.tasks };
                Write::End { job: id, mark: job.mark, end }
            } else {
                Write::Update { job: id, mark: job.mark, record: job.record() }
            });
        }
        while ops < most
            && let Some(machine) = self.writes.unregister.pop_first()
        {
            ops += 1;
            writes.push(Write::Unregister { machine });
        }
        if writes.is_empty() {
            return None;
        }
        self.writes.budget -= ops as f64;
        Some(Batch { writes })
    }

    /// A batch went through at this revision, or did not.
    pub fn batch_ended(&mut self, batch: Batch, result: Result<Mark, BatchError>, now: Micros) {
        self.changed = true;
        if result.is_err() {
            self.writes.not_before = now + Micros::from_millis(200);
        }
        for write in batch.writes {
            match write {
                Write::Update { job: id, record, .. } => {
                    let Some(job) = self.jobs.get_mut(&id) else { continue };
                    job.writing = false;
                    match &result {
                        Ok(mark) => {
                            if *mark > job.mark {
                                job.mark = *mark;
                                job.recorded = record.done;
                                job.recorded_term = record.term;
                            }
                            let places: Vec<MachineId> =
                                job.places.values().flatten().map(|(m, _)| m.clone()).collect();
                            for m in places {
                                if let Some(m) = self.machines.get_mut(&m) {
                                    m.orders_changed = true;
                                }
                            }
                        }
                        Err(e) => self.reread_after(&id, e),
                    }
                }
                Write::End { job: id, .. } => match &result {
                    Ok(_) => {
                        tracing::debug!(job = %id, "done");
                        self.job_dropped(&id);
                    }
                    Err(e) => {
                        if let Some(job) = self.jobs.get_mut(&id) {
                            job.writing = false;
                        }
                        self.reread_after(&id, e);
                    }
                },
                Write::Register { machine, .. } => {
                    self.writes.registering.remove(&machine);
                    if result.is_ok() {
                        match self.machines.get_mut(&machine) {
                            Some(m) => {
                                m.registered = true;
                                m.orders_changed = true;
                            }
                            // Deleted meanwhile.
                            None => self.writes.unregister(machine),
                        }
                    }
                }
                Write::Unregister { machine } => {
                    if result.is_err() {
                        self.writes.unregister(machine);
                    }
                }
            }
        }
    }

    /// After a conflict, or without an answer, the record itself says what holds.
    fn reread_after(&mut self, id: &JobId, error: &BatchError) {
        let reread = match error {
            BatchError::Conflict(jobs) => jobs.contains(id),
            BatchError::Refused => false,
            BatchError::Unknown => true,
        };
        if let Some(job) = self.jobs.get_mut(id)
            && reread
        {
            // No further write of it before its record has been read.
            job.writing = true;
            self.actions.push_back(Action::Reread { job: id.clone() });
        }
    }

    /// The answer to [`Action::Reread`]; `None`: the record is gone.
    pub fn reread(&mut self, id: JobId, record: Option<(JobRecord, Mark)>, now: Micros) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.writing = false;
        }
        match record {
            Some((record, mark)) => self.job_seen(id, record, mark, now),
            None => self.job_dropped(&id),
        }
    }

    /// The record could not be read; it is tried again.
    pub fn reread_failed(&mut self, id: JobId) {
        self.actions.push_back(Action::Reread { job: id });
    }
}
