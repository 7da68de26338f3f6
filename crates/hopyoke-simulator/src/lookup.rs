//! Lookup of a job's record in the key-value store, modelled on the daemon. The record is at `job/` while the job is
//! unfinished and at `end/` afterwards.

use crate::api::{Response, ResponseHandler};
use crate::kv_store::{Entry, Value};
use crate::{Host, Simulation};
use hopyoke_consistency::deadline::must_read_concurrently;
use hopyoke_consistency::latency::RequestKind;
use hopyoke_protocol::user::JobState;
use hopyoke_scheduler::JobRecord;
use hopyoke_types::{JobId, Micros, ModRevision};
use std::cell::RefCell;
use std::rc::Rc;

/// Result of a lookup.
pub(crate) enum Lookup {
    Unfinished(JobRecord, ModRevision),
    Finished(JobState),
    Missing,
}

impl Lookup {
    /// Returns the response to a user for this result.
    pub(crate) fn response(&self) -> Response {
        match self {
            Lookup::Unfinished(..) => Response::Unfinished,
            Lookup::Finished(end) => Response::Finished(*end),
            Lookup::Missing => Response::Missing,
        }
    }
}

/// Entry of a key, if any, and the store's revision at the time of the read.
struct KeyRead {
    found: Option<Entry>,
    revision: u64,
}

/// Callback that receives the result of a lookup.
type LookupHandler = Box<dyn FnOnce(&mut Simulation, Lookup)>;

/// Two reads in flight at the same time, with the results received so far.
struct ParallelReads {
    job: Option<KeyRead>,
    end: Option<KeyRead>,
    then: Option<LookupHandler>,
}

impl Simulation {
    /// Returns whether a node has too little time for two consecutive reads before a deadline.
    pub(crate) fn must_read_in_parallel(&self, node: usize, deadline: Micros) -> bool {
        let latency = self.expected_latency(node, RequestKind::Read);
        must_read_concurrently(latency, deadline - self.now)
    }

    /// Reads the final state of a job that the leader's scheduler does not hold as unfinished.
    pub(crate) fn look_up_terminal_state(
        &mut self,
        node: usize,
        process: u64,
        id: JobId,
        deadline: Micros,
        respond: ResponseHandler,
    ) {
        if let Some(end) = self.nodes[node].terminal_states.get(&id).copied() {
            return respond(self, Response::Finished(end));
        }
        self.read(
            node,
            process,
            format!("end/{id}"),
            move |sim, read| match sim.observe_end_record(node, &id, &read) {
                Some(end) => respond(sim, Response::Finished(end)),
                None => sim.look_up(node, process, id, deadline, move |sim, found| {
                    respond(sim, found.response())
                }),
            },
        );
    }

    /// Looks up a job's record. A record only ever moves from `job/` to `end/`, so reading the keys in this order
    /// cannot miss it. If time is short both are read in parallel.
    pub(crate) fn look_up(
        &mut self,
        node: usize,
        process: u64,
        id: JobId,
        deadline: Micros,
        then: impl FnOnce(&mut Simulation, Lookup) + 'static,
    ) {
        if let Some(end) = self.nodes[node].terminal_states.get(&id).copied() {
            return then(self, Lookup::Finished(end));
        }
        if self.must_read_in_parallel(node, deadline) {
            return self.look_up_in_parallel(node, process, id, Box::new(then));
        }
        self.read(
            node,
            process,
            format!("job/{id}"),
            move |sim, read| match unfinished_job(&read) {
                Some(found) => then(sim, found),
                None => sim.read_end_record(node, process, id, Box::new(then)),
            },
        );
    }

    /// Reads the record at `end/`, after `job/` was found absent.
    fn read_end_record(&mut self, node: usize, process: u64, id: JobId, then: LookupHandler) {
        self.read(node, process, format!("end/{id}"), move |sim, read| {
            let found = sim.observe_end_record(node, &id, &read);
            then(sim, found.map_or(Lookup::Missing, Lookup::Finished));
        });
    }

    /// Reads both keys in parallel. If neither exists, the job is missing only if `end/` was read at the revision of
    /// the `job/` read or a later one. Otherwise the record may have moved in between, and `end/` is read again.
    fn look_up_in_parallel(&mut self, node: usize, process: u64, id: JobId, then: LookupHandler) {
        let reads = Rc::new(RefCell::new(ParallelReads {
            job: None,
            end: None,
            then: Some(then),
        }));
        let (job_reads, job_id) = (reads.clone(), id.clone());
        self.read(node, process, format!("job/{id}"), move |sim, read| {
            job_reads.borrow_mut().job = Some(read);
            sim.parallel_read_completed(node, process, job_id, &job_reads);
        });
        self.read(node, process, format!("end/{id}"), move |sim, read| {
            reads.borrow_mut().end = Some(read);
            sim.parallel_read_completed(node, process, id, &reads);
        });
    }

    /// Evaluates parallel reads once both have completed.
    fn parallel_read_completed(
        &mut self,
        node: usize,
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
        if let Some(state) = self.observe_end_record(node, &id, &end) {
            return then(self, Lookup::Finished(state));
        }
        match unfinished_job(&job) {
            Some(found) => then(self, found),
            None if end.revision >= job.revision => then(self, Lookup::Missing),
            None => self.read_end_record(node, process, id, then),
        }
    }

    /// Returns the final state from a read of `end/` and registers it, so that users may observe it from now on.
    /// Returns `None` if there was no record.
    fn observe_end_record(&mut self, node: usize, id: &JobId, read: &KeyRead) -> Option<JobState> {
        let entry = read.found.as_ref()?;
        let Value::EndRecord(end) = &entry.value else {
            return None;
        };
        let state = end.state;
        self.register_terminal_state(node, id, state, ModRevision(entry.mod_revision));
        Some(state)
    }

    /// Reads a key. `then` is not called if the store rejects the request.
    fn read(
        &mut self,
        node: usize,
        process: u64,
        key: String,
        then: impl FnOnce(&mut Simulation, KeyRead) + 'static,
    ) {
        let sent = self.now;
        self.send(Host::Node(node), Host::KvStore, move |sim| {
            if sim.store_rejects(node) || !sim.store_accepts(0) {
                return;
            }
            let read = KeyRead {
                found: sim.kv_store.entries.get(&key).cloned(),
                revision: sim.kv_store.revision,
            };
            sim.send(Host::KvStore, Host::Node(node), move |sim| {
                if sim.alive(node, process) {
                    sim.store_answered(node, RequestKind::Read, sent);
                    then(sim, read);
                }
            });
        });
    }
}

/// Returns the record of an unfinished job from a read of `job/`. Returns `None` if there was no record.
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
