//! User API of the simulated nodes, modelled on the daemon. Any node answers requests itself, from the terminal states
//! that it has written or read, its scheduler or the records in the key-value store.

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

/// A user's request about a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Request {
    Submit,
    Poll,
    Cancel,
}

/// A node's response to a user, with the HTTP status that it stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Response {
    /// 200 or 201: the job is accepted and not finished.
    Unfinished,
    /// 200: the job is done or cancelled.
    Finished(JobState),
    /// 404: the job does not exist.
    Missing,
    /// 400: the description is malformed.
    Malformed,
    /// 422: the job can never be scheduled.
    Unschedulable,
    /// 503: the request is to be repeated after this delay.
    RetryAfter(Micros),
}

/// Callback that receives the response to a request.
pub(crate) type ResponseHandler = Box<dyn FnOnce(&mut Simulation, Response)>;

/// A user request that a node forwards to a peer.
struct Forwarded {
    node: usize,
    peer: usize,
    id: JobId,
    request: Request,
    /// Time until which the node waits for the peer's response.
    deadline: Micros,
}

/// A submission that passed admission.
struct Submission {
    id: JobId,
    spec: JobSpec,
    is_workflow_step: bool,
    /// Time at which the user stops waiting.
    deadline: Micros,
}

/// Longest delay of a linearizable read. The daemon batches the polls that arrive meanwhile.
const READ_BATCH_WINDOW: Micros = Micros::from_millis(40);
/// Delay before a user should retry if no node can answer.
const RETRY_AFTER: Micros = Micros::from_secs(1);

impl Simulation {
    /// Handles a user's request at a node. `respond` is not called if the key-value store does not answer.
    pub(crate) fn handle_request(
        &mut self,
        node: usize,
        id: JobId,
        request: Request,
        respond: ResponseHandler,
    ) {
        let user_timeout = if request == Request::Poll {
            USER_POLL_TIMEOUT
        } else {
            USER_WRITE_TIMEOUT
        };
        let deadline = self.now + user_timeout - TRANSFER_MARGIN;
        let leader = self.nodes[node]
            .observed_leader
            .filter(|l| *l != node && self.nodes[node].leadership.is_none());
        if let (Request::Poll, Some(peer)) = (request, leader)
            && let Some(timeout) = self.forward_timeout(node, peer, deadline)
        {
            let forwarded = Forwarded {
                node,
                peer,
                id: id.clone(),
                request,
                deadline: self.now + timeout,
            };
            // Without a response from the leader the node answers itself.
            return self.forward(forwarded, respond, move |sim, respond| {
                sim.answer_or_forward(node, id, request, deadline, respond);
            });
        }
        self.answer_or_forward(node, id, request, deadline, respond);
    }

    /// Returns how long a node waits for the leader's response to a poll. Returns `None` if it does not forward it.
    fn forward_timeout(&self, node: usize, leader: usize, deadline: Micros) -> Option<Micros> {
        let latency = self.expected_latency(node, RequestKind::Read);
        leader_forward_timeout(
            latency.unwrap_or_default(),
            deadline - self.now,
            self.reaches_store(leader),
        )
    }

    /// Returns whether the key-value store accepts a node's requests and no partition separates them.
    fn reaches_store(&self, node: usize) -> bool {
        let partition = self.partition_between(Host::Node(node), Host::KvStore);
        !self.store_rejects(node) && partition.is_none()
    }

    /// Answers a request at a node, or forwards it to a peer if only the peer can reach the store.
    fn answer_or_forward(
        &mut self,
        node: usize,
        id: JobId,
        request: Request,
        deadline: Micros,
        respond: ResponseHandler,
    ) {
        if self.reaches_store(node) {
            return self.answer_locally(node, id, request, deadline, respond);
        }
        let is_reachable =
            |peer: &usize| *peer != node && self.nodes[*peer].up && self.reaches_store(*peer);
        let peer = (0..self.nodes.len()).find(is_reachable);
        let Some(peer) = peer else {
            return respond(self, Response::RetryAfter(RETRY_AFTER));
        };
        let forwarded = Forwarded {
            node,
            peer,
            id,
            request,
            deadline,
        };
        self.forward(forwarded, respond, |sim, respond| {
            respond(sim, Response::RetryAfter(RETRY_AFTER));
        });
    }

    /// Forwards a request to a peer. If the peer misses the deadline, `fallback` responds and a later response of the
    /// peer is ignored.
    fn forward(
        &mut self,
        forwarded: Forwarded,
        respond: ResponseHandler,
        fallback: impl FnOnce(&mut Simulation, ResponseHandler) + 'static,
    ) {
        let Forwarded {
            node,
            peer,
            id,
            request,
            deadline,
        } = forwarded;
        let process = self.nodes[node].process;
        let respond = Rc::new(RefCell::new(Some(respond)));
        let timed_out = respond.clone();
        self.timer(node, deadline - self.now, move |sim| {
            if sim.alive(node, process)
                && let Some(respond) = timed_out.take()
            {
                fallback(sim, respond);
            }
        });
        self.send(Host::Node(node), Host::Node(peer), move |sim| {
            if !sim.nodes[peer].up {
                return;
            }
            let respond = Box::new(move |sim: &mut Simulation, response: Response| {
                // The peer could not answer either, so the fallback responds.
                if matches!(response, Response::RetryAfter(_)) {
                    return;
                }
                sim.send(Host::Node(peer), Host::Node(node), move |sim| {
                    if sim.alive(node, process)
                        && let Some(respond) = respond.take()
                    {
                        respond(sim, response);
                    }
                });
            });
            sim.answer_locally(peer, id, request, deadline, respond);
        });
    }

    /// Answers a request at the node itself.
    fn answer_locally(
        &mut self,
        node: usize,
        id: JobId,
        request: Request,
        deadline: Micros,
        respond: ResponseHandler,
    ) {
        let process = self.nodes[node].process;
        match request {
            Request::Submit => self.handle_submit(node, process, id, deadline, respond),
            Request::Poll => self.handle_poll(node, process, id, deadline, respond),
            Request::Cancel => self.handle_cancel(node, process, id, deadline, respond),
        }
    }

    /// Handles a poll: the leader uses a linearizable read of the record changes, other nodes read the job's record.
    fn handle_poll(
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
        let leads = self.leadership(node, process).is_some();
        let is_known = leads
            && self
                .leadership(node, process)
                .is_some_and(|l| l.scheduler.jobs.contains_key(&id));
        if !leads || (!is_known && self.must_read_in_parallel(node, deadline)) {
            return self.look_up(node, process, id, deadline, move |sim, found| {
                respond(sim, found.response())
            });
        }
        // A read that is sent after the poll arrived returns every earlier write, so that once its changes are applied
        // the scheduler holds them. The delay models the daemon, where one read serves all waiting polls.
        let batch_delay = Micros(self.random(0, READ_BATCH_WINDOW.0));
        self.timer(node, batch_delay, move |sim| {
            let Some(applied) = sim
                .leadership(node, process)
                .map(|l| l.scheduler.applied_revision())
            else {
                return;
            };
            let sent = sim.now;
            sim.send(Host::Node(node), Host::KvStore, move |sim| {
                if sim.store_rejects(node) {
                    return;
                }
                let changes = sim.record_changes_since(applied);
                sim.send(Host::KvStore, Host::Node(node), move |sim| {
                    if sim.leadership(node, process).is_none() {
                        return;
                    }
                    sim.store_answered(node, RequestKind::Watch, sent);
                    sim.apply_record_changes(node, process, changes, sent);
                    if sim
                        .leadership(node, process)
                        .is_some_and(|l| l.scheduler.jobs.contains_key(&id))
                    {
                        return respond(sim, Response::Unfinished);
                    }
                    sim.look_up_terminal_state(node, process, id, deadline, respond);
                });
            });
        });
    }

    /// Accepts a job or returns why it is rejected. Submission is idempotent: a repeated one returns the job's state.
    fn handle_submit(
        &mut self,
        node: usize,
        process: u64,
        id: JobId,
        deadline: Micros,
        respond: ResponseHandler,
    ) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let (is_workflow_step, body) = (
            job.is_workflow_step,
            job.malformed_body.as_deref().map(JobSpec::parse),
        );
        let spec = match body {
            None => (*job.spec).clone(),
            Some(Ok(spec)) => spec,
            Some(Err(_)) => return respond(self, Response::Malformed),
        };
        if !is_workflow_step
            && unschedulable_reason(
                &spec,
                &self.machine_types,
                &self.config.zones,
                &self.config.teams,
            )
            .is_some()
        {
            // A job that was accepted earlier stays accepted, whatever the current catalog contains.
            return self.look_up(node, process, id, deadline, move |sim, found| match found {
                Lookup::Missing => respond(sim, Response::Unschedulable),
                found => respond(sim, found.response()),
            });
        }
        if let Some(end) = self.nodes[node].terminal_states.get(&id).copied() {
            return respond(self, Response::Finished(end));
        }
        if let Err(after) = self.admit(node, &id) {
            let is_known = self
                .leadership(node, process)
                .is_some_and(|l| l.scheduler.jobs.contains_key(&id));
            return if is_known {
                self.handle_poll(node, process, id, deadline, respond)
            } else {
                respond(self, Response::RetryAfter(after))
            };
        }
        let submission = Submission {
            id,
            spec,
            is_workflow_step,
            deadline,
        };
        self.write_submission(node, process, submission, respond);
    }

    /// Writes the record of a submitted job unless the store already holds its record or its final state.
    fn write_submission(
        &mut self,
        node: usize,
        process: u64,
        submission: Submission,
        respond: ResponseHandler,
    ) {
        let Submission {
            id,
            spec,
            is_workflow_step,
            deadline,
        } = submission;
        self.send(Host::Node(node), Host::KvStore, move |sim| {
            if sim.store_rejects(node) || !sim.store_accepts(1) {
                return;
            }
            let at = sim.time_of_day(node).0;
            let record = if is_workflow_step {
                JobRecord::for_workflow_step(spec, at)
            } else {
                JobRecord::accepted(spec, at)
            };
            let compares = [(format!("job/{id}"), 0), (format!("end/{id}"), 0)];
            let put = Mutation::Put(format!("job/{id}"), Value::JobRecord(record), None);
            let Some(result) = sim.transact(&compares, vec![put]) else {
                return;
            };
            sim.send(Host::KvStore, Host::Node(node), move |sim| match result {
                _ if !sim.alive(node, process) => {}
                Ok(_) => respond(sim, Response::Unfinished),
                // An earlier try was accepted. Its record can move but not vanish, so `Missing` is not passed on.
                Err(_) => sim.look_up(node, process, id, deadline, move |sim, found| match found {
                    Lookup::Missing => respond(sim, Response::RetryAfter(RETRY_AFTER)),
                    found => respond(sim, found.response()),
                }),
            });
        });
    }

    /// Cancels a job by moving its record from `job/` to `end/`. The record may change between read and write, so the
    /// compare-and-swap is retried until the deadline.
    fn handle_cancel(
        &mut self,
        node: usize,
        process: u64,
        id: JobId,
        deadline: Micros,
        respond: ResponseHandler,
    ) {
        let job = id.clone();
        self.look_up(node, process, job, deadline, move |sim, found| {
            let Lookup::Unfinished(record, mod_revision) = found else {
                return respond(sim, found.response());
            };
            let end = EndRecord {
                is_workflow_step: record.is_workflow_step,
                ..EndRecord::new(JobState::Cancelled, record.done.count())
            };
            sim.send(Host::Node(node), Host::KvStore, move |sim| {
                if sim.store_rejects(node) || !sim.store_accepts(2) {
                    return;
                }
                let (job_key, end_key) = (format!("job/{id}"), format!("end/{id}"));
                let mutations = vec![
                    Mutation::Delete(job_key.clone()),
                    Mutation::Put(end_key.clone(), Value::EndRecord(end), None),
                ];
                let Some(result) =
                    sim.transact(&[(job_key, mod_revision.0), (end_key, 0)], mutations)
                else {
                    return;
                };
                sim.send(Host::KvStore, Host::Node(node), move |sim| match result {
                    _ if !sim.alive(node, process) => {}
                    Ok(mod_revision) => {
                        sim.register_terminal_state(
                            node,
                            &id,
                            end.state,
                            ModRevision(mod_revision),
                        );
                        respond(sim, Response::Finished(end.state));
                    }
                    Err(_) if sim.now < deadline => {
                        sim.handle_cancel(node, process, id, deadline, respond)
                    }
                    Err(_) => respond(sim, Response::RetryAfter(RETRY_AFTER)),
                });
            });
        });
    }

    /// Registers a final state that a node has written or read, so that from now on it may report it to users. Before
    /// that a cancellation is appended to the cancellation log, for leaders that may not have seen it, and the node's
    /// own scheduler drops the job.
    pub(crate) fn register_terminal_state(
        &mut self,
        node: usize,
        job: &JobId,
        end: JobState,
        mod_revision: ModRevision,
    ) {
        self.log(|| format!("node {node} reports the final state {end:?} of {job}"));
        let now = self.now;
        let state = &mut self.nodes[node];
        if end == JobState::Cancelled {
            state.cancellation_log.append(job, mod_revision);
            if let Some(leadership) = state
                .leadership
                .as_mut()
                .filter(|l| l.scheduler.applied_revision() < mod_revision)
            {
                leadership.scheduler.job_removed(job, now);
            }
        }
        state.terminal_states.insert(job.clone(), end);
    }
}
