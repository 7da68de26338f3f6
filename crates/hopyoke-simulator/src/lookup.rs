//! Reads of a job's record at the store, wherever it is, as the daemon does them.

use crate::api::{Response, ResponseHandler};
use crate::kv_store::{Entry, Value};
use crate::{Host, Simulation};
use hopyoke_consistency::deadline::must_read_side_by_side;
use hopyoke_consistency::latency::RequestKind;
use hopyoke_protocol::user::JobState;
use hopyoke_scheduler::JobRecord;
use hopyoke_types::{JobId, Micros, ModRevision};
use std::cell::RefCell;
use std::rc::Rc;

/// A job's record, wherever it is.
pub(crate) enum Lookup {
    Unfinished(JobRecord, ModRevision),
    Finished(JobState),
    Missing,
}

impl Lookup {
    pub(crate) fn response(&self) -> Response {
        match self {
            Lookup::Unfinished(..) => Response::Unfinished,
            Lookup::Finished(end) => Response::Finished(*end),
            Lookup::Missing => Response::Missing,
        }
    }
}

/// A key as read, and the store's revision then.
struct KeyRead {
    found: Option<Entry>,
    revision: u64,
}

/// What becomes of a lookup.
type LookupHandler = Box<dyn FnOnce(&mut Simulation, Lookup)>;

/// Two reads under way at once.
struct ParallelReads {
    job: Option<KeyRead>,
    end: Option<KeyRead>,
    then: Option<LookupHandler>,
}

impl Simulation {
    /// Node `i` has no time for two reads in turn before a deadline.
    pub(crate) fn must_read_in_parallel(&self, i: usize, deadline: Micros) -> bool {
        let latency = self.expected_latency(i, RequestKind::Read);
        must_read_side_by_side(latency, deadline - self.now)
    }

    /// Reads the final state of a job that is not among the unfinished ones.
    pub(crate) fn look_up_terminal_state(
        &mut self,
        i: usize,
        process: u64,
        id: JobId,
        deadline: Micros,
        respond: ResponseHandler,
    ) {
        if let Some(end) = self.nodes[i].terminal_states.get(&id).copied() {
            return respond(self, Response::Finished(end));
        }
        self.read(i, process, format!("end/{id}"), move |sim, read| match sim
            .observe_end_record(i, &id, &read)
        {
            Some(end) => respond(sim, Response::Finished(end)),
            None => sim.look_up(i, process, id, deadline, move |sim, found| {
                respond(sim, found.response())
            }),
        });
    }

    /// A record only ever moves from `job/` to `end/`: read in this order it can't be missed.
    pub(crate) fn look_up(
        &mut self,
        i: usize,
        process: u64,
        id: JobId,
        deadline: Micros,
        then: impl FnOnce(&mut Simulation, Lookup) + 'static,
    ) {
        if let Some(end) = self.nodes[i].terminal_states.get(&id).copied() {
            return then(self, Lookup::Finished(end));
        }
        if self.must_read_in_parallel(i, deadline) {
            return self.look_up_in_parallel(i, process, id, Box::new(then));
        }
        self.read(
            i,
            process,
            format!("job/{id}"),
            move |sim, read| match unfinished_job(&read) {
                Some(found) => then(sim, found),
                None => sim.read_end_record(i, process, id, Box::new(then)),
            },
        );
    }

    fn read_end_record(&mut self, i: usize, process: u64, id: JobId, then: LookupHandler) {
        self.read(i, process, format!("end/{id}"), move |sim, read| {
            let found = sim.observe_end_record(i, &id, &read);
            then(sim, found.map_or(Lookup::Missing, Lookup::Finished));
        });
    }

    /// Reads both records at once. That neither is there proves the job missing only if `end/` was read at a revision
    /// that is not older than that of `job/`: else it may have moved in between, and `end/` is read again.
    fn look_up_in_parallel(&mut self, i: usize, process: u64, id: JobId, then: LookupHandler) {
        let reads = Rc::new(RefCell::new(ParallelReads {
            job: None,
            end: None,
            then: Some(then),
        }));
        let (job_reads, job_id) = (reads.clone(), id.clone());
        self.read(i, process, format!("job/{id}"), move |sim, read| {
            job_reads.borrow_mut().job = Some(read);
            sim.parallel_read_completed(i, process, job_id, &job_reads);
        });
        self.read(i, process, format!("end/{id}"), move |sim, read| {
            reads.borrow_mut().end = Some(read);
            sim.parallel_read_completed(i, process, id, &reads);
        });
    }

    /// Goes on once both reads are answered.
    fn parallel_read_completed(
        &mut self,
        i: usize,
        process: u64,
        id: JobId,
        reads: &Rc<RefCell<ParallelReads>>,
    ) {
        let (job, end, then) = {
            let mut reads = reads.borrow_mut();
            if reads.job.is_none() || reads.end.is_none() {
                return;
            }
            (reads.job.take(), reads.end.take(), reads.then.take())
        };
        let (Some(job), Some(end), Some(then)) = (job, end, then) else {
            return;
        };
        if let Some(state) = self.observe_end_record(i, &id, &end) {
            return then(self, Lookup::Finished(state));
        }
        match unfinished_job(&job) {
            Some(found) => then(self, found),
            None if end.revision >= job.revision => then(self, Lookup::Missing),
            None => self.read_end_record(i, process, id, then),
        }
    }

    /// The final state that was read, if it was there; from now on users may be told of it.
    fn observe_end_record(&mut self, i: usize, id: &JobId, read: &KeyRead) -> Option<JobState> {
        let entry = read.found.as_ref()?;
        let Value::EndRecord(end) = &entry.value else {
            return None;
        };
        let state = end.state;
        self.register_terminal_state(i, id, state, ModRevision(entry.mod_revision));
        Some(state)
    }

    /// Reads a key; there is no response from a store that rejects it.
    fn read(
        &mut self,
        i: usize,
        process: u64,
        key: String,
        then: impl FnOnce(&mut Simulation, KeyRead) + 'static,
    ) {
        let sent = self.now;
        self.send(Host::Node(i), Host::KvStore, move |sim| {
            if sim.store_rejects(i) || !sim.store_accepts(0) {
                return;
            }
            let read = KeyRead {
                found: sim.kv_store.entries.get(&key).cloned(),
                revision: sim.kv_store.revision,
            };
            sim.send(Host::KvStore, Host::Node(i), move |sim| {
                if sim.alive(i, process) {
                    sim.store_answered(i, RequestKind::Read, sent);
                    then(sim, read);
                }
            });
        });
    }
}

/// The record of an unfinished job, if it was there.
fn unfinished_job(read: &KeyRead) -> Option<Lookup> {
    let entry = read.found.as_ref()?;
    match &entry.value {
        Value::JobRecord(record) => Some(Lookup::Unfinished(
            record.clone(),
            ModRevision(entry.mod_revision),
        )),
        _ => None,
    }
}
