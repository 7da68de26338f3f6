//! The users' API of the nodes, as the daemon has it: any node answers by itself, from its terminal states, its
//! scheduler or the records.

use super::kv_store::{Mutation, Value};
use super::lookup::Lookup;
use super::{Host, Simulation};
use hopyoke_consistency::deadline::{
    TRANSFER_MARGIN, USER_POLL_TIMEOUT, USER_WRITE_TIMEOUT, leader_forward_timeout,
};
use hopyoke_consistency::latency::RequestKind;
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

/// A user's request that a node forwards to a peer.
struct Forwarded {
    node: usize,
    peer: usize,
    id: JobId,
    request: Request,
    /// Until when the node waits for the peer's answer.
    deadline: Micros,
}

/// A submission that was admitted.
struct Submission {
    id: JobId,
    spec: JobSpec,
    is_workflow_step: bool,
    /// When its user no longer waits.
    deadline: Micros,
}

// Times that the daemon sets for its replica of the jobs and for its users.
const READ_BATCH_WINDOW: Micros = Micros::from_millis(40);
const RETRY_AFTER: Micros = Micros::from_secs(1);

impl Simulation {
    /// A user's request at a node. Where no answer can be had nothing is replied.
    pub(crate) fn take_request(&mut self, i: usize, id: JobId, request: Request, reply: Reply) {
        let user_timeout = if request == Request::Poll {
            USER_POLL_TIMEOUT
        } else {
            USER_WRITE_TIMEOUT
        };
        let deadline = self.now + user_timeout - TRANSFER_MARGIN;
        let leader = self.nodes[i]
            .observed_leader
            .filter(|l| *l != i && self.nodes[i].leadership.is_none());
        if let (Request::Poll, Some(peer)) = (request, leader)
            && let Some(timeout) = self.leaders_share(i, peer, deadline)
        {
            let forwarded = Forwarded {
                node: i,
                peer,
                id: id.clone(),
                request,
                deadline: self.now + timeout,
            };
            // Without the leader's answer the node's own.
            return self.forward(forwarded, reply, move |w, reply| {
                w.own_or_peers_answer(i, id, request, deadline, reply);
            });
        }
        self.own_or_peers_answer(i, id, request, deadline, reply);
    }

    /// How long node `i` waits for the leader's answer to a poll, as the daemon does.
    fn leaders_share(&self, i: usize, leader: usize, deadline: Micros) -> Option<Micros> {
        let latency = self.expected_latency(i, RequestKind::Read);
        leader_forward_timeout(
            latency.unwrap_or_default(),
            deadline - self.now,
            self.reaches_store(leader),
        )
    }

    fn reaches_store(&self, i: usize) -> bool {
        let partition = self.partition_between(Host::Node(i), Host::KvStore);
        !self.store_rejects(i) && partition.is_none()
    }

    /// A node that can't reach the store forwards the request to a peer that can.
    fn own_or_peers_answer(
        &mut self,
        i: usize,
        id: JobId,
        request: Request,
        deadline: Micros,
        reply: Reply,
    ) {
        if self.reaches_store(i) {
            return self.own_answer(i, id, request, deadline, reply);
        }
        let is_reachable = |j: &usize| *j != i && self.nodes[*j].up && self.reaches_store(*j);
        let peer = (0..self.nodes.len()).find(is_reachable);
        let Some(peer) = peer else {
            return reply(self, Answer::RetryAfter(RETRY_AFTER));
        };
        let forwarded = Forwarded {
            node: i,
            peer,
            id,
            request,
            deadline,
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
            deadline,
        } = forwarded;
        let process = self.nodes[i].process;
        let reply = Rc::new(RefCell::new(Some(reply)));
        let late = reply.clone();
        self.timer(i, deadline - self.now, move |w| {
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
            w.own_answer(peer, id, request, deadline, back);
        });
    }

    /// What the node itself answers.
    fn own_answer(
        &mut self,
        i: usize,
        id: JobId,
        request: Request,
        deadline: Micros,
        reply: Reply,
    ) {
        let process = self.nodes[i].process;
        match request {
            Request::Submit => self.submit_at(i, process, id, deadline, reply),
            Request::Poll => self.poll_at(i, process, id, deadline, reply),
            Request::Cancel => self.cancel_at(i, process, id, deadline, reply),
        }
    }

    /// What is known of a job: at the leader by a linearizable read of its changes, else by its record.
    fn poll_at(&mut self, i: usize, process: u64, id: JobId, deadline: Micros, reply: Reply) {
        if let Some(end) = self.nodes[i].terminal_states.get(&id).copied() {
            return reply(self, Answer::Finished(end));
        }
        let leads = self.leadership(i, process).is_some();
        let is_known = leads
            && self
                .leadership(i, process)
                .is_some_and(|l| l.scheduler.jobs.contains_key(&id));
        if !leads || (!is_known && self.must_read_side_by_side(i, deadline)) {
            return self.look_up(i, process, id, deadline, move |w, found| {
                reply(w, found.answer())
            });
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
                    w.store_answered(i, RequestKind::Watch, sent);
                    w.apply_record_changes(i, process, changes, sent);
                    if w.leadership(i, process)
                        .is_some_and(|l| l.scheduler.jobs.contains_key(&id))
                    {
                        return reply(w, Answer::Unfinished);
                    }
                    w.look_up_ended(i, process, id, deadline, reply);
                });
            });
        });
    }

    /// Accepts a job, or says why not; a repeated submission gets what became of the first.
    fn submit_at(&mut self, i: usize, process: u64, id: JobId, deadline: Micros, reply: Reply) {
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
            return self.look_up(i, process, id, deadline, move |w, found| match found {
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
                self.poll_at(i, process, id, deadline, reply)
            } else {
                reply(self, Answer::RetryAfter(after))
            };
        }
        let submission = Submission {
            id,
            spec,
            is_workflow_step: flow,
            deadline,
        };
        self.accept_at_store(i, process, submission, reply);
    }

    /// Writes the record of a submitted job, unless the store has one or the job is over.
    fn accept_at_store(&mut self, i: usize, process: u64, submission: Submission, reply: Reply) {
        let Submission {
            id,
            spec,
            is_workflow_step,
            deadline,
        } = submission;
        self.send(Host::Node(i), Host::KvStore, move |w| {
            if w.store_rejects(i) || !w.store_accepts(1) {
                return;
            }
            let at = w.time_of_day(i).0;
            let record = if is_workflow_step {
                JobRecord::for_workflow_step(spec, at)
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
                Err(_) => w.look_up(i, process, id, deadline, move |w, found| match found {
                    Lookup::Missing => reply(w, Answer::RetryAfter(RETRY_AFTER)),
                    found => reply(w, found.answer()),
                }),
            });
        });
    }

    /// Moves the job's record to its final place; again until its user no longer waits, for it may change meanwhile.
    fn cancel_at(&mut self, i: usize, process: u64, id: JobId, deadline: Micros, reply: Reply) {
        let job = id.clone();
        self.look_up(i, process, job, deadline, move |w, found| {
            let Lookup::Unfinished(record, mod_revision) = found else {
                return reply(w, found.answer());
            };
            let end = EndRecord {
                is_workflow_step: record.is_workflow_step,
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
                    Err(_) if w.now < deadline => w.cancel_at(i, process, id, deadline, reply),
                    Err(_) => reply(w, Answer::RetryAfter(RETRY_AFTER)),
                });
            });
        });
    }

    /// A job's final record was written or read here, so that from now on users may observe it: before that a
    /// cancellation is logged for leaders that may not have seen it, and the node's own scheduler drops the job.
    pub(crate) fn found_ended(
        &mut self,
        i: usize,
        job: &JobId,
        end: JobState,
        mod_revision: ModRevision,
    ) {
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
