//! The users' API of the nodes, as the daemon has it: any node answers by itself, from its terminal states, its
//! scheduler or the records.

use super::kv_store::{Entry, Mutation, Value};
use super::{Host, Simulation};
use hopyoke_protocol::user::{JobSpec, JobState};
use hopyoke_scheduler::{EndRecord, JobRecord, unschedulable_reason};
use hopyoke_types::{JobId, Micros, ModRevision};
use std::cell::RefCell;
use std::rc::Rc;

/// What a user asks of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Request {
    Submit,
    Poll,
    Cancel,
}

/// What a user is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Answer {
    /// 200, or 201: accepted and not over.
    Unfinished,
    /// 200: done or cancelled.
    Finished(JobState),
    /// 404.
    Missing,
    /// 400.
    Malformed,
    /// 422.
    NeverRuns,
    /// 503: to be asked again after so long.
    RetryAfter(Micros),
}

/// What becomes of an answer, where it arrives.
pub(crate) type Reply = Box<dyn FnOnce(&mut Simulation, Answer)>;

/// A job's record, wherever it is.
enum Lookup {
    Unfinished(JobRecord, ModRevision),
    Finished(JobState),
    Missing,
}

impl Lookup {
    fn answer(&self) -> Answer {
        match self {
            Lookup::Unfinished(..) => Answer::Unfinished,
            Lookup::Finished(end) => Answer::Finished(*end),
            Lookup::Missing => Answer::Missing,
        }
    }
}

/// A user's request that a node forwards to a peer.
struct Forwarded {
    node: usize,
    peer: usize,
    id: JobId,
    request: Request,
    /// How long the node waits for the peer's answer.
    timeout: Micros,
}

// Times that the daemon sets for its links, its replica of the jobs and its records.
const LEADER_REQUEST_TIMEOUT: Micros = Micros::from_millis(500);
const PEER_REQUEST_TIMEOUT: Micros = Micros::from_millis(1_800);
const READ_BATCH_WINDOW: Micros = Micros::from_millis(40);
const RETRY_AFTER: Micros = Micros::from_secs(1);
const CANCEL_RETRY_LIMIT: Micros = Micros::from_secs(2);

impl Simulation {
    /// A user's request at a node. Where no answer can be had nothing is replied.
    pub(crate) fn take_request(&mut self, i: usize, id: JobId, request: Request, reply: Reply) {
        let leader = self.nodes[i]
            .observed_leader
            .filter(|l| *l != i && self.nodes[i].leadership.is_none());
        if let (Request::Poll, Some(peer)) = (request, leader) {
            let forwarded = Forwarded {
                node: i,
                peer,
                id: id.clone(),
                request,
                timeout: LEADER_REQUEST_TIMEOUT,
            };
            // Without the leader's answer the node's own.
            return self.forward(forwarded, reply, move |w, reply| {
                w.own_or_peers_answer(i, id, request, reply);
            });
        }
        self.own_or_peers_answer(i, id, request, reply);
    }

    /// A node that can't reach the store forwards the request to a peer that can.
    fn own_or_peers_answer(&mut self, i: usize, id: JobId, request: Request, reply: Reply) {
        let reaches = |w: &Simulation, j: usize| {
            !w.store_rejects(j) && w.partition_between(Host::Node(j), Host::KvStore).is_none()
        };
        if reaches(self, i) {
            return self.own_answer(i, id, request, reply);
        }
        let peer =
            (0..self.nodes.len()).find(|j| *j != i && self.nodes[*j].up && reaches(self, *j));
        let Some(peer) = peer else {
            return reply(self, Answer::RetryAfter(RETRY_AFTER));
        };
        let forwarded = Forwarded {
            node: i,
            peer,
            id,
            request,
            timeout: PEER_REQUEST_TIMEOUT,
        };
        self.forward(forwarded, reply, |w, reply| {
            reply(w, Answer::RetryAfter(RETRY_AFTER));
        });
    }

    /// Forwards a request to a peer; `fallback` replies if the peer doesn't in time. A later answer is ignored.
    fn forward(
        &mut self,
        forwarded: Forwarded,
        reply: Reply,
        fallback: impl FnOnce(&mut Simulation, Reply) + 'static,
    ) {
        let Forwarded {
            node: i,
            peer,
            id,
            request,
            timeout,
        } = forwarded;
        let process = self.nodes[i].process;
        let reply = Rc::new(RefCell::new(Some(reply)));
        let late = reply.clone();
        self.timer(i, timeout, move |w| {
            if w.alive(i, process)
                && let Some(reply) = late.take()
            {
                fallback(w, reply);
            }
        });
        self.send(Host::Node(i), Host::Node(peer), move |w| {
            if !w.nodes[peer].up {
                return;
            }
            let back = Box::new(move |w: &mut Simulation, answer: Answer| {
                // The peer could not decide either: as if it had not answered.
                if matches!(answer, Answer::RetryAfter(_)) {
                    return;
                }
                w.send(Host::Node(peer), Host::Node(i), move |w| {
                    if w.alive(i, process)
                        && let Some(reply) = reply.take()
                    {
                        reply(w, answer);
                    }
                });
            });
            w.own_answer(peer, id, request, back);
        });
    }

    /// What the node itself answers.
    fn own_answer(&mut self, i: usize, id: JobId, request: Request, reply: Reply) {
        let process = self.nodes[i].process;
        match request {
            Request::Submit => self.submit_at(i, process, id, reply),
            Request::Poll => self.poll_at(i, process, id, reply),
            Request::Cancel => {
                let until = self.now + CANCEL_RETRY_LIMIT;
                self.cancel_at(i, process, id, until, reply);
            }
        }
    }

    /// What is known of a job: at the leader by a linearizable read of its changes, else by its record.
    fn poll_at(&mut self, i: usize, process: u64, id: JobId, reply: Reply) {
        if let Some(end) = self.nodes[i].terminal_states.get(&id).copied() {
            return reply(self, Answer::Finished(end));
        }
        if self.leadership(i, process).is_none() {
            return self.look_up(i, process, id, move |w, found| reply(w, found.answer()));
        }
        // Whatever was written before the poll arrived is in the scheduler once a read that was sent
        // afterwards is answered; one serves all that wait.
        let gather = Micros(self.random(0, READ_BATCH_WINDOW.0));
        self.timer(i, gather, move |w| {
            let Some(applied) = w
                .leadership(i, process)
                .map(|l| l.scheduler.applied_revision())
            else {
                return;
            };
            let sent = w.now;
            w.send(Host::Node(i), Host::KvStore, move |w| {
                if w.store_rejects(i) {
                    return;
                }
                let changes = w.record_changes_since(applied);
                w.send(Host::KvStore, Host::Node(i), move |w| {
                    if w.leadership(i, process).is_none() {
                        return;
                    }
                    w.apply_record_changes(i, process, changes, sent);
                    if w.leadership(i, process)
                        .is_some_and(|l| l.scheduler.jobs.contains_key(&id))
                    {
                        return reply(w, Answer::Unfinished);
                    }
                    w.look_up_ended(i, process, id, reply);
                });
            });
        });
    }

    /// Reads the final state of a job that is not among the unfinished ones.
    fn look_up_ended(&mut self, i: usize, process: u64, id: JobId, reply: Reply) {
        if let Some(end) = self.nodes[i].terminal_states.get(&id).copied() {
            return reply(self, Answer::Finished(end));
        }
        self.read(
            i,
            process,
            format!("end/{id}"),
            move |w, found| match found {
                Some(Entry {
                    value: Value::End(end),
                    mod_revision,
                    ..
                }) => {
                    w.found_ended(i, &id, end.state, ModRevision(mod_revision));
                    reply(w, Answer::Finished(end.state));
                }
                _ => w.look_up(i, process, id, move |w, found| reply(w, found.answer())),
            },
        );
    }

    /// A record only ever moves from `job/` to `end/`: read in this order it can't be missed.
    fn look_up(
        &mut self,
        i: usize,
        process: u64,
        id: JobId,
        then: impl FnOnce(&mut Simulation, Lookup) + 'static,
    ) {
        if let Some(end) = self.nodes[i].terminal_states.get(&id).copied() {
            return then(self, Lookup::Finished(end));
        }
        self.read(i, process, format!("job/{id}"), move |w, found| {
            if let Some(Entry {
                value: Value::Job(record),
                mod_revision,
                ..
            }) = found
            {
                return then(w, Lookup::Unfinished(record, ModRevision(mod_revision)));
            }
            w.read(
                i,
                process,
                format!("end/{id}"),
                move |w, found| match found {
                    Some(Entry {
                        value: Value::End(end),
                        mod_revision,
                        ..
                    }) => {
                        w.found_ended(i, &id, end.state, ModRevision(mod_revision));
                        then(w, Lookup::Finished(end.state));
                    }
                    _ => then(w, Lookup::Missing),
                },
            );
        });
    }

    /// Reads a key; there is no response from a store that rejects it.
    fn read(
        &mut self,
        i: usize,
        process: u64,
        key: String,
        then: impl FnOnce(&mut Simulation, Option<Entry>) + 'static,
    ) {
        self.send(Host::Node(i), Host::KvStore, move |w| {
            if w.store_rejects(i) || !w.store_accepts(0) {
                return;
            }
            let found = w.kv_store.keys.get(&key).cloned();
            w.send(Host::KvStore, Host::Node(i), move |w| {
                if w.alive(i, process) {
                    then(w, found);
                }
            });
        });
    }

    /// Accepts a job, or says why not; a repeated submission gets what became of the first.
    fn submit_at(&mut self, i: usize, process: u64, id: JobId, reply: Reply) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let (flow, body) = (
            job.is_workflow_step,
            job.malformed_body.as_deref().map(JobSpec::parse),
        );
        let spec = match body {
            None => (*job.spec).clone(),
            Some(Ok(spec)) => spec,
            Some(Err(_)) => return reply(self, Answer::Malformed),
        };
        if !flow
            && unschedulable_reason(
                &spec,
                &self.machine_types,
                &self.config.zones,
                &self.config.teams,
            )
            .is_some()
        {
            // An accepted job stays accepted, whatever the catalog says now.
            return self.look_up(i, process, id, move |w, found| match found {
                Lookup::Missing => reply(w, Answer::NeverRuns),
                found => reply(w, found.answer()),
            });
        }
        if let Some(end) = self.nodes[i].terminal_states.get(&id).copied() {
            return reply(self, Answer::Finished(end));
        }
        if let Err(after) = self.admit(i, &id) {
            let is_known = self
                .leadership(i, process)
                .is_some_and(|l| l.scheduler.jobs.contains_key(&id));
            return if is_known {
                self.poll_at(i, process, id, reply)
            } else {
                reply(self, Answer::RetryAfter(after))
            };
        }
        self.accept_at_store(i, process, id, spec, flow, reply);
    }

    /// Writes the record of a submitted job, unless the store has one or the job is over.
    fn accept_at_store(
        &mut self,
        i: usize,
        process: u64,
        id: JobId,
        spec: JobSpec,
        is_workflow_step: bool,
        reply: Reply,
    ) {
        self.send(Host::Node(i), Host::KvStore, move |w| {
            if w.store_rejects(i) || !w.store_accepts(1) {
                return;
            }
            let at = w.time_of_day(i).0;
            let record = if is_workflow_step {
                JobRecord::of_flow(spec, at)
            } else {
                JobRecord::accepted(spec, at)
            };
            let when = [(format!("job/{id}"), 0), (format!("end/{id}"), 0)];
            let put = Mutation::Put(format!("job/{id}"), Value::Job(record), None);
            let Some(result) = w.transact(&when, vec![put]) else {
                return;
            };
            w.send(Host::KvStore, Host::Node(i), move |w| match result {
                _ if !w.alive(i, process) => {}
                Ok(_) => reply(w, Answer::Unfinished),
                // Accepted by an earlier try. It can't have vanished.
                Err(_) => w.look_up(i, process, id, move |w, found| match found {
                    Lookup::Missing => reply(w, Answer::RetryAfter(RETRY_AFTER)),
                    found => reply(w, found.answer()),
                }),
            });
        });
    }

    /// Moves the job's record to its final place; again until a while has passed, for it may change meanwhile.
    fn cancel_at(&mut self, i: usize, process: u64, id: JobId, until: Micros, reply: Reply) {
        let job = id.clone();
        self.look_up(i, process, job, move |w, found| {
            let Lookup::Unfinished(record, mod_revision) = found else {
                return reply(w, found.answer());
            };
            let end = EndRecord {
                flow: record.flow,
                ..EndRecord::new(JobState::Cancelled, record.done.count())
            };
            w.send(Host::Node(i), Host::KvStore, move |w| {
                if w.store_rejects(i) || !w.store_accepts(2) {
                    return;
                }
                let (job, over) = (format!("job/{id}"), format!("end/{id}"));
                let apply = vec![
                    Mutation::Delete(job.clone()),
                    Mutation::Put(over.clone(), Value::End(end), None),
                ];
                let Some(result) = w.transact(&[(job, mod_revision.0), (over, 0)], apply) else {
                    return;
                };
                w.send(Host::KvStore, Host::Node(i), move |w| match result {
                    _ if !w.alive(i, process) => {}
                    Ok(mod_revision) => {
                        w.found_ended(i, &id, end.state, ModRevision(mod_revision));
                        reply(w, Answer::Finished(end.state));
                    }
                    Err(_) if w.now < until => w.cancel_at(i, process, id, until, reply),
                    Err(_) => reply(w, Answer::RetryAfter(RETRY_AFTER)),
                });
            });
        });
    }

    /// A job's final record was written or read here, so that from now on users may observe it: before that a
    /// cancellation is logged for leaders that may not have seen it, and the node's own scheduler drops the job.
    fn found_ended(&mut self, i: usize, job: &JobId, end: JobState, mod_revision: ModRevision) {
        self.log(|| format!("node {i} tells that {job} is {end:?}"));
        let now = self.now;
        let n = &mut self.nodes[i];
        if end == JobState::Cancelled {
            n.cancellation_log.append(job, mod_revision);
            if let Some(leadership) = n
                .leadership
                .as_mut()
                .filter(|l| l.scheduler.applied_revision() < mod_revision)
            {
                leadership.scheduler.job_removed(job, now);
            }
        }
        n.terminal_states.insert(job.clone(), end);
    }
}
