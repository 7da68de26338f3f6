//! The nodes of the model: their processes, leases and engines, and the injection of faults.

use super::actions::reply_to_failure;
use super::{Change, Event, Fault, JobBehavior, LEASE_TTL, Model, Reply, Value, node_name};
use hopyoke_types::{JobId, Micros};
use hopyoke_workflow::{Action, Engine, Head, JobEnd, RunId, RunState, parse_job_id};
use rand::RngExt;

/// How long a node waits for a response.
const RESPONSE_TIMEOUT: Micros = Micros::from_millis(2_500);
/// The delay of an action with [`Fault::Late`], longer than [`RESPONSE_TIMEOUT`] and the lease.
const LATE_EXECUTION: Micros = Micros::from_secs(12);
/// The duration of [`Fault::Stall`], longer than the lease.
const STALL: Micros = Micros::from_secs(9);

impl Event {
    /// Returns the node and process that receive the event, if any.
    fn recipient(&self) -> Option<(usize, u64)> {
        match self {
            Event::RenewLease { node, process }
            | Event::Wake { node, process }
            | Event::Reply { node, process, .. }
            | Event::Change { node, process, .. } => Some((*node, *process)),
            // Requests of a crashed process are still executed.
            Event::Execute { .. }
            | Event::EndJob(_)
            | Event::ExpireLeases
            | Event::Start(_)
            | Event::Crash(_)
            | Event::Cancel(_) => None,
        }
    }
}

impl Model {
    pub(super) fn handle(&mut self, event: Event) {
        if let Some((node, process)) = event.recipient() {
            if !self.is_running(node, process) {
                return;
            }
            let stalled_until = self.nodes[node].stalled_until;
            if self.now < stalled_until {
                return self.at(stalled_until, event);
            }
        }
        match event {
            Event::Start(i) => self.start(i),
            Event::Crash(i) => self.crash(i),
            Event::ExpireLeases => {
                if !self.is_store_down() {
                    self.expire_leases();
                }
                self.after(Micros::from_millis(50), Event::ExpireLeases);
            }
            Event::RenewLease { node, process } => self.renew_lease(node, process),
            Event::Wake { node, process } => self.wake(node, process),
            Event::Execute {
                node,
                process,
                action,
                expects_reply,
                lease,
                is_abandoned,
            } => {
                let reply = if !self.is_store_down() {
                    self.log(|| format!("{} {action:?}", node_name(node)));
                    Some(self.execute(node, lease, &action)).filter(|_| expects_reply)
                } else if expects_reply && !is_abandoned {
                    let t = self.now + Micros::from_millis(5);
                    let reply = reply_to_failure(&action, false);
                    return self.at(
                        t,
                        Event::Reply {
                            node,
                            process,
                            reply,
                        },
                    );
                } else {
                    None
                };
                if let Some(reply) = reply {
                    self.send_reply(node, process, reply);
                }
            }
            Event::Reply { node, reply, .. } => self.deliver_reply(node, reply),
            Event::Change { node, change, .. } => self.deliver_change(node, change),
            Event::EndJob(job) => self.end_running_job(job),
            Event::Cancel(run) => self.cancel(run),
        }
    }

    fn send_reply(&mut self, node: usize, process: u64, reply: Reply) {
        let reading = if matches!(reply, Reply::Read(..)) {
            self.read_latency
        } else {
            Micros::ZERO
        };
        let latency = self.latency() + reading;
        self.after(
            latency,
            Event::Reply {
                node,
                process,
                reply,
            },
        );
    }

    fn renew_lease(&mut self, node: usize, process: u64) {
        let lease = self.nodes[node]
            .lease
            .filter(|l| self.leases.contains_key(l));
        if !self.is_store_down() {
            let expires_at = self.now + LEASE_TTL;
            if let Some(lease) = lease {
                self.leases.insert(lease, expires_at);
            } else {
                let had_lease = self.nodes[node].lease.is_some();
                self.next_lease += 1;
                self.leases.insert(self.next_lease, expires_at);
                self.nodes[node].lease = Some(self.next_lease);
                let now = self.now;
                if had_lease && let Some(e) = &mut self.nodes[node].engine {
                    e.lease_lost(now);
                }
                self.tick_node(node);
            }
        }
        self.after(Micros::from_secs(1), Event::RenewLease { node, process });
    }

    fn wake(&mut self, node: usize, process: u64) {
        self.tick_node(node);
        let now = self.now;
        let next = self.nodes[node]
            .engine
            .as_ref()
            .map_or(now, |e| e.next_due(now));
        let next = next.clamp(now + Micros(2_000), now + Micros::from_millis(500));
        self.at(next, Event::Wake { node, process });
    }

    fn deliver_reply(&mut self, node: usize, reply: Reply) {
        let now = self.now;
        let Some(e) = &mut self.nodes[node].engine else {
            return;
        };
        match reply {
            Reply::Claimed(run, r) => e.claim_finished(run, r, now),
            Reply::Read(run, epoch, records) => e.read_finished(run, epoch, *records, now),
            Reply::Submitted(run, epoch, step, o) => {
                e.submission_finished(run, epoch, step, o, now);
            }
            Reply::Cancelled(run, epoch, step, o) => {
                e.cancellation_finished(run, epoch, step, o, now);
            }
            Reply::Written(action, o) => {
                if let Action::Write { run, epoch, .. } = &*action {
                    e.write_finished(*run, *epoch, &action, o, now);
                }
            }
        }
        self.tick_node(node);
    }

    fn deliver_change(&mut self, node: usize, change: Change) {
        let now = self.now;
        let Some(e) = &mut self.nodes[node].engine else {
            return;
        };
        match change {
            Change::Head(run, head, mod_revision) => e.head_changed(run, head, mod_revision, now),
            Change::Claim(run, owner, mod_revision) => {
                e.claim_changed(run, &owner, mod_revision, now);
            }
            Change::ClaimDeleted(run, mod_revision) => e.claim_deleted(run, mod_revision, now),
            Change::End(job, end) => e.job_ended(&job, end, now),
        }
        self.tick_node(node);
    }

    fn end_running_job(&mut self, job: JobId) {
        if self.is_store_down() {
            return self.after(Micros::from_millis(200), Event::EndJob(job));
        }
        let record = self.store.get(&format!("job/{job}"));
        if matches!(record, Some((Value::Job(true), ..))) {
            let (run, step, _) = parse_job_id(&job).expect("job of a step");
            let end = match self.runs[&run].behaviors.get(&step) {
                Some(JobBehavior::Failed(_)) => JobEnd::Failed,
                _ => JobEnd::Done,
            };
            self.end_job(&job, end);
        }
    }

    fn cancel(&mut self, run: RunId) {
        let key = format!("flow/head/{run}");
        if self.is_store_down() {
            return self.after(Micros::from_millis(300), Event::Cancel(run));
        }
        if let Some((Value::Head(head), ..)) = self.store.get(&key)
            && !head.state.is_final()
        {
            let head = Head {
                state: RunState::Cancelling,
                ..head.clone()
            };
            self.apply(vec![(key, Some(Value::Head(head)), None)]);
            let now = self.now;
            self.runs.get_mut(&run).expect("known run").cancelled = Some(now);
        }
    }

    fn is_running(&self, node: usize, process: u64) -> bool {
        self.nodes[node].process == process && self.nodes[node].engine.is_some()
    }

    fn start(&mut self, node: usize) {
        if self.is_store_down() {
            return self.after(Micros::from_millis(200), Event::Start(node));
        }
        let names = (0..self.nodes.len()).map(node_name).collect();
        let seed = self.rng.random();
        let now = self.now;
        let mut e = Engine::new(
            self.limits.clone(),
            &node_name(node),
            names,
            self.max_txn_ops,
            seed,
            now,
        );
        let heads: Vec<_> = self
            .list_prefix("flow/head/")
            .filter_map(|(k, v, mod_revision)| match v {
                Value::Head(h) => Some((RunId::parse(k)?, h.clone(), mod_revision)),
                _ => None,
            })
            .collect();
        for (run, head, mod_revision) in heads {
            e.head_changed(run, head, mod_revision, now);
        }
        let claims: Vec<_> = self
            .list_prefix("flow/hold/")
            .filter_map(|(k, v, mod_revision)| match v {
                Value::Claim(n, _) => Some((RunId::parse(k)?, node_name(*n), mod_revision)),
                _ => None,
            })
            .collect();
        for (run, owner, mod_revision) in claims {
            e.claim_changed(run, &owner, mod_revision, now);
        }
        let n = &mut self.nodes[node];
        n.process += 1;
        n.engine = Some(e);
        n.lease = None;
        let process = n.process;
        self.at(now, Event::RenewLease { node, process });
        self.at(now, Event::Wake { node, process });
    }

    fn crash(&mut self, node: usize) {
        self.log(|| format!("{} crashes", node_name(node)));
        if self.nodes[node].engine.take().is_some() {
            self.after(Micros::from_secs(3), Event::Start(node));
        }
    }

    /// Ticks a node's engine and sends its actions, with the injected faults.
    fn tick_node(&mut self, node: usize) {
        let now = self.now;
        if now < self.nodes[node].stalled_until {
            return;
        }
        let process = self.nodes[node].process;
        let lease = self.nodes[node].lease.unwrap_or(0);
        let Some(e) = &mut self.nodes[node].engine else {
            return;
        };
        e.tick(now);
        let faults = e.audit();
        let actions: Vec<Action> = std::iter::from_fn(|| e.next_action()).collect();
        if let Some(f) = faults.first() {
            self.record_violation(f.clone());
        }
        for action in actions {
            let n = self.actions;
            self.actions += 1;
            let span = self.latency();
            let execute = |m: &mut Model, span: Micros, expects_reply: bool| {
                let event = Event::Execute {
                    node,
                    process,
                    action: action.clone(),
                    expects_reply,
                    lease,
                    is_abandoned: !expects_reply,
                };
                m.after(span, event);
            };
            match self.faults.iter().find(|f| f.0 == n).map(|f| f.1) {
                None => execute(self, span, true),
                Some(Fault::CrashBefore) => return self.crash(node),
                Some(Fault::CrashAfter) => {
                    execute(self, span, false);
                    return self.crash(node);
                }
                Some(f @ (Fault::Late | Fault::NoAnswer)) => {
                    let latency = if f == Fault::Late {
                        LATE_EXECUTION
                    } else {
                        span
                    };
                    execute(self, latency, false);
                    let reply = reply_to_failure(&action, true);
                    self.after(
                        RESPONSE_TIMEOUT,
                        Event::Reply {
                            node,
                            process,
                            reply,
                        },
                    );
                }
                Some(Fault::Stall) => {
                    execute(self, span, true);
                    self.nodes[node].stalled_until = now + STALL;
                }
            }
        }
    }
}
