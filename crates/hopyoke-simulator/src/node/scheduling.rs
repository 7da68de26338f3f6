//! Runs of the scheduler, and execution of its actions.

use super::Leadership;
use super::commands::PushDelivery;
use crate::digest::Channel;
use crate::kv_store::{Entry, Value};
use crate::{Host, Simulation};
use hopyoke_consistency::latency::{Purpose, RequestKind};
use hopyoke_protocol::cloud::ScaleOutRequest;
use hopyoke_scheduler::{Action, Batch, ScaleOutOutcome};
use hopyoke_types::{FencingToken, JobId, MachineId, Micros, ModRevision};
use std::cell::Cell;
use std::rc::Rc;

/// Delivery delay from which a leader counts as an overloaded receiver.
const OVERLOADED_DELAY: Micros = Micros::from_millis(400);

/// Inputs of one run of the scheduler.
struct RunInputs {
    now: Micros,
    time_of_day: Micros,
    receive_overloaded: bool,
    /// Whether users' submissions wait for admission.
    is_admission_saturated: bool,
    /// Whether the scheduler's state is audited in every run instead of once a second.
    always_audit: bool,
}

/// Decisions and findings of one run of the scheduler.
struct RunOutputs {
    entities_visited: u64,
    /// Start of the reconciliation, if this run completed it.
    reconciled_since: Option<Micros>,
    audit_errors: Vec<String>,
    actions: Vec<Action>,
    batch: Option<Batch>,
    is_write_rate_limited: bool,
    token: FencingToken,
}

impl Leadership {
    /// Runs the scheduler once.
    fn run(&mut self, inputs: RunInputs) -> RunOutputs {
        let now = inputs.now;
        let entities_before = self.scheduler.entities_visited();
        if inputs.receive_overloaded {
            self.scheduler.set_receive_overloaded(now);
        }
        self.scheduler.set_wall_clock(now, inputs.time_of_day);
        self.scheduler.tick(now);
        let entities_visited = self.scheduler.entities_visited() - entities_before;
        let reconciled_since = if self.scheduler.is_reconciling() {
            None
        } else {
            self.reconciling_since.take()
        };
        // Auditing a large cluster at every event would take minutes.
        let audit_errors = if !inputs.always_audit && now < self.next_audit_at {
            Vec::new()
        } else {
            self.scheduler.audit()
        };
        if now >= self.next_audit_at {
            self.next_audit_at = now + Micros::from_secs(1);
        }
        let mut actions = Vec::new();
        while let Some(action) = self.scheduler.next_action() {
            actions.push(action);
        }
        self.scheduler
            .set_admission_saturated(inputs.is_admission_saturated);
        let batch = if self.batch_in_flight {
            None
        } else {
            self.scheduler.next_batch(now)
        };
        let is_write_rate_limited = batch.is_none() && self.scheduler.is_write_rate_limited();
        self.batch_in_flight |= batch.is_some();
        RunOutputs {
            entities_visited,
            reconciled_since,
            audit_errors,
            actions,
            batch,
            is_write_rate_limited,
            token: self.scheduler.token,
        }
    }
}

impl Simulation {
    /// Runs the scheduler at regular intervals.
    pub(super) fn tick(&mut self, node: usize, process: u64) {
        if self.leadership(node, process).is_none() {
            return;
        }
        self.run_scheduler(node, process);
        self.timer(node, Micros::from_millis(100), move |sim| {
            sim.tick(node, process)
        });
    }

    /// Runs the scheduler and executes its decisions. Does nothing without a valid leader lease or while the node
    /// is paused.
    pub(super) fn run_scheduler(&mut self, node: usize, process: u64) {
        if !self.lease_is_valid(node) || self.is_paused(node) {
            return;
        }
        let now = self.now;
        let inputs = RunInputs {
            now,
            time_of_day: self.time_of_day(node),
            receive_overloaded: self.delivery_delay(Host::Node(node)) >= OVERLOADED_DELAY,
            is_admission_saturated: self.nodes[node]
                .limits
                .as_mut()
                .is_some_and(|limits| limits.admission.is_overloaded(now)),
            always_audit: self.checks_each_event(),
        };
        let Some(leadership) = self.leadership(node, process) else {
            return;
        };
        let outputs = leadership.run(inputs);
        let limits = self.nodes[node].limits.as_mut();
        if let Some(limits) = limits.filter(|_| outputs.is_write_rate_limited) {
            limits.admission.writes_deferred(now);
        }
        self.max_entities_per_tick = self.max_entities_per_tick.max(outputs.entities_visited);
        if let Some(since) = outputs.reconciled_since {
            self.longest_reconciliation = self.longest_reconciliation.max(now - since);
        }
        for error in outputs.audit_errors {
            self.record_violation("audit", error);
        }
        for action in outputs.actions {
            self.execute_action(node, process, action);
        }
        if let Some(batch) = outputs.batch {
            self.commit_batch(node, process, outputs.token, batch);
        }
    }

    fn execute_action(&mut self, node: usize, process: u64, action: Action) {
        match action {
            Action::ScaleOut {
                request,
                machine_type,
                zone,
                spot,
                count,
            } => self.send(Host::Node(node), Host::Cloud, move |sim| {
                let message = ScaleOutRequest {
                    request: &request,
                    machine_type: &machine_type,
                    zone: &zone,
                    spot,
                    count,
                };
                sim.digest_message(Channel::ScaleOut, &message);
                let created = sim.scale_out(&request, &machine_type, &zone, spot, count);
                sim.send(Host::Cloud, Host::Node(node), move |sim| {
                    let now = sim.now;
                    let outcome = if created.is_empty() {
                        ScaleOutOutcome::NoCapacity
                    } else {
                        ScaleOutOutcome::Created(created)
                    };
                    if let Some(l) = sim.leadership(node, process) {
                        l.scheduler.scale_out_ended(&request, outcome, now);
                    }
                });
            }),
            Action::Delete { machines } => self.scale_in(node, process, machines),
            Action::ReloadRecord { job } => self.reload_record(node, process, job),
            Action::PushCommands {
                machine,
                token,
                epoch,
                commands,
                ..
            } => {
                self.log(|| format!("node {node} pushes to {machine} epoch {epoch}: {commands:?}"));
                let sent = self.now;
                self.push_commands(PushDelivery {
                    node,
                    process,
                    machine,
                    token,
                    epoch,
                    commands,
                    sent,
                });
            }
        }
    }

    /// Deletes machines in the cloud.
    fn scale_in(&mut self, node: usize, process: u64, machines: Vec<MachineId>) {
        self.send(Host::Node(node), Host::Cloud, move |sim| {
            for m in &machines {
                sim.digest_bytes(Channel::ScaleIn, m.as_str().as_bytes());
                sim.remove_machine(m);
            }
            sim.send(Host::Cloud, Host::Node(node), move |sim| {
                let now = sim.now;
                if let Some(l) = sim.leadership(node, process) {
                    l.scheduler.deletion_confirmed(&machines, now);
                }
            });
        });
    }

    /// Reads a job's record again. Without a response in time the read fails.
    fn reload_record(&mut self, node: usize, process: u64, job: JobId) {
        let is_open = Rc::new(Cell::new(true));
        let (job_on_timeout, timed_out) = (job.clone(), is_open.clone());
        let sent = self.now;
        let timeout = self.store_timeout(node, RequestKind::Read, Purpose::Term);
        self.timer(node, timeout, move |sim| {
            if sim.leadership(node, process).is_some() && timed_out.replace(false) {
                sim.store_timed_out(node, RequestKind::Read, sent);
                if let Some(l) = sim.leadership(node, process) {
                    l.scheduler.record_reload_failed(job_on_timeout);
                }
            }
        });
        self.send(Host::Node(node), Host::KvStore, move |sim| {
            let found = match sim.kv_store.entries.get(&format!("job/{job}")) {
                Some(Entry {
                    value: Value::JobRecord(r),
                    mod_revision,
                    ..
                }) => Some((r.clone(), ModRevision(*mod_revision))),
                _ => None,
            };
            let is_rejected = sim.store_rejects(node);
            sim.send(Host::KvStore, Host::Node(node), move |sim| {
                let now = sim.now;
                if sim.leadership(node, process).is_none() || !is_open.replace(false) {
                    return;
                }
                sim.store_answered(node, RequestKind::Read, sent);
                let Some(l) = sim.leadership(node, process) else {
                    return;
                };
                if is_rejected {
                    l.scheduler.record_reload_failed(job)
                } else {
                    l.scheduler.record_reloaded(job, found, now)
                }
            });
        });
    }
}
