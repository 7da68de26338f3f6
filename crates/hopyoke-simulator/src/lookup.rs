//! Reads of a job's record at the store, wherever it is, as the daemon does them.

use crate::api::{Answer, Reply};
use crate::kv_store::{Entry, Value};
use crate::{Host, Simulation};
use hopyoke_consistency::deadline::must_read_concurrently;
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
    pub(crate) fn answer(&self) -> Answer {
        match self {
            Lookup::Unfinished(..) => Answer::Unfinished,
            Lookup::Finished(end) => Answer::Finished(*end),
            Lookup::Missing => Answer::Missing,
        }
    }
}

/// A key as read, and the store's revision then.
struct KeyRead {
    found: Option<Entry>,
    revision: u64,
}

/// What becomes of a lookup.
type Then = Box<dyn FnOnce(&mut Simulation, Lookup)>;

/// Two reads under way at once.
struct SideBySide {
    job: Option<KeyRead>,
    end: Option<KeyRead>,
    then: Option<Then>,
}

impl Simulation {
    /// Node `i` has no time for two reads in turn before a deadline.
    pub(crate) fn must_read_side_by_side(&self, i: usize, deadline: Micros) -> bool {
        let latency = self.expected_latency(i, RequestKind::Read);
        must_read_concurrently(latency, deadline - self.now)
    }

    /// Reads the final state of a job that is not among the unfinished ones.
    pub(crate) fn look_up_ended(
        &mut self,
        i: usize,
        process: u64,
        id: JobId,
        deadline: Micros,
        reply: Reply,
    ) {
        if let Some(end) = self.nodes[i].terminal_states.get(&id).copied() {
            return reply(self, Answer::Finished(end));
        }
        self.read(i, process, format!("end/{id}"), move |w, read| {
            match w.final_state(i, &id, &read) {
                Some(end) => reply(w, Answer::Finished(end)),
                None => w.look_up(i, process, id, deadline, move |w, found| {
                    reply(w, found.answer())
                }),
            }
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
        if self.must_read_side_by_side(i, deadline) {
            return self.look_up_side_by_side(i, process, id, Box::new(then));
        }
        self.read(
            i,
            process,
            format!("job/{id}"),
            move |w, read| match unfinished(&read) {
                Some(found) => then(w, found),
                None => w.look_up_final(i, process, id, Box::new(then)),
            },
        );
    }

    fn look_up_final(&mut self, i: usize, process: u64, id: JobId, then: Then) {
        self.read(i, process, format!("end/{id}"), move |w, read| {
            let found = w.final_state(i, &id, &read);
            then(w, found.map_or(Lookup::Missing, Lookup::Finished));
        });
    }

    /// Reads both records at once. That neither is there proves the job missing only if `end/` was read at a revision
    /// that is not older than that of `job/`: else it may have moved in between, and `end/` is read again.
    fn look_up_side_by_side(&mut self, i: usize, process: u64, id: JobId, then: Then) {
        let reads = Rc::new(RefCell::new(SideBySide {
            job: None,
            end: None,
            then: Some(then),
        }));
        let (job_reads, job_id) = (reads.clone(), id.clone());
        self.read(i, process, format!("job/{id}"), move |w, read| {
            job_reads.borrow_mut().job = Some(read);
            w.side_by_side_read(i, process, job_id, &job_reads);
        });
        self.read(i, process, format!("end/{id}"), move |w, read| {
            reads.borrow_mut().end = Some(read);
            w.side_by_side_read(i, process, id, &reads);
        });
    }

    /// Goes on once both reads are answered.
    fn side_by_side_read(
        &mut self,
        i: usize,
        process: u64,
        id: JobId,
        reads: &Rc<RefCell<SideBySide>>,
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
        if let Some(state) = self.final_state(i, &id, &end) {
            return then(self, Lookup::Finished(state));
        }
        match unfinished(&job) {
            Some(found) => then(self, found),
            None if end.revision >= job.revision => then(self, Lookup::Missing),
            None => self.look_up_final(i, process, id, then),
        }
    }

    /// The final state that was read, if it was there; from now on users may be told of it.
    fn final_state(&mut self, i: usize, id: &JobId, read: &KeyRead) -> Option<JobState> {
        let entry = read.found.as_ref()?;
        let Value::End(end) = &entry.value else {
            return None;
        };
        let state = end.state;
        self.found_ended(i, id, state, ModRevision(entry.mod_revision));
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
        self.send(Host::Node(i), Host::KvStore, move |w| {
            if w.store_rejects(i) || !w.store_accepts(0) {
                return;
            }
            let read = KeyRead {
                found: w.kv_store.keys.get(&key).cloned(),
                revision: w.kv_store.revision,
            };
            w.send(Host::KvStore, Host::Node(i), move |w| {
                if w.alive(i, process) {
                    w.store_answered(i, RequestKind::Read, sent);
                    then(w, read);
                }
            });
        });
    }
}

/// The record of an unfinished job, if it was there.
fn unfinished(read: &KeyRead) -> Option<Lookup> {
    let entry = read.found.as_ref()?;
    match &entry.value {
        Value::Job(record) => Some(Lookup::Unfinished(
            record.clone(),
            ModRevision(entry.mod_revision),
        )),
        _ => None,
    }
}
