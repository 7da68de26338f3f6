//! Placement inside the leased shards, and the demand for machines that follows from it.
//!
//! Each cycle starts from a new `ClusterSnapshot` and takes the waiting jobs in queue order. For each job it
//! *filters* the machines that its constraints allow, *scores* them, *reserves* room in the snapshot (on machines
//! that are up, then on those being provisioned, then on instances yet to be requested) and, for production work,
//! *preempts* tasks of arrays. So room that an important job waits for is not given to a lesser one. At the end the
//! tasks that got room on ready machines are bound, and what is missing becomes the autoscaler's demand.
//!
//! The cost of a cycle grows with the waiting work, not with the fleet: load per machine is cached until an
//! allocation changes, jobs without unplaced tasks are skipped, and machines are filtered and scored once per job,
//! not once per task.
//!
//! - `queue`, [`queue_order`], `starvation`: the order of the jobs.
//! - `snapshot`, `instance_offers`: machines and instance offers as one cycle sees them.
//! - `request`: one job's resource request, its constraints (filter) and its candidate machines (score).
//! - `tasks`, `gang`, `preemption`: placement of arrays and services, of gangs, and of production work by preemption.
//! - `quota`, [`reservation`], [`fragmentation`], `estimates`: what bounds or guides these.
//! - `defragment`, `stop_finished`: attempts that are stopped for other reasons than preemption.

mod defragment;
mod estimates;
mod eviction;
mod gang;
mod instance_offers;
mod preemption;
mod queue;
pub mod queue_order;
mod quota;
mod request;
pub mod reservation;
mod snapshot;
pub mod sole_choice;
mod starvation;
mod tasks;

use crate::Scheduler;
use crate::autoscale::scale_out::Demand;
use crate::ledger::{Allocation, AllocationState, WaitReason};
use hopyoke_protocol::worker::TaskState;
use hopyoke_types::{Attempt, JobId, MachineId, Micros, TaskId};
use queue::QueueItem;
use snapshot::ClusterSnapshot;
use tracing::{debug, info};

/// Time between two log lines about the fleet's use.
const FLEET_LOG_INTERVAL: Micros = Micros::from_secs(5);

/// One attempt of one task.
type AttemptKey = (TaskId, Attempt);

/// A task that got room on a ready machine.
struct Binding {
    job: JobId,
    index: u32,
    machine: MachineId,
    attempt: Attempt,
    /// The machine has the image, or fetches it.
    has_image: bool,
}

impl Scheduler {
    /// Runs one placement cycle: binds the tasks that have room now, and returns the demand for machines.
    pub(crate) fn run_placement_cycle(&mut self, now: Micros) -> Demand {
        self.plan_schedule.count_plan();
        self.add_visited(self.jobs.len() + 2 * self.machines.len());
        self.update_provisioning_states(now);
        let queue = self.queue(now);
        let mut snapshot = self.take_snapshot(&queue, now);
        // An orphaned allocation may belong to any team: until it is gone (its stop is commanded) nothing that
        // counts against a limit is started.
        let has_orphans = snapshot.has_orphans;
        let is_usage_unbounded = !self.charge_unreconciled(&mut snapshot);
        for item in &queue {
            self.place_job(item, has_orphans || is_usage_unbounded, &mut snapshot, now);
        }
        if now >= self.next_fleet_log_at {
            self.next_fleet_log_at = now + FLEET_LOG_INTERVAL;
            snapshot.log_usage();
        }
        for binding in std::mem::take(&mut snapshot.bindings) {
            self.bind(binding, now);
        }
        for (machine, (task, attempt)) in std::mem::take(&mut snapshot.victims) {
            info!(machine = %machine, task = %task, "preempted for a production task");
            self.stop_allocation(&machine, &task.job, task.index, attempt, 0.0);
        }
        self.defragment(&snapshot, now);
        snapshot.into_demand()
    }

    /// Places one job and records why it still waits. While `is_usage_unknown`, the use of teams may be larger than
    /// the snapshot shows.
    fn place_job(
        &mut self,
        item: &QueueItem,
        is_usage_unknown: bool,
        snapshot: &mut ClusterSnapshot,
        now: Micros,
    ) {
        let id = &item.job;
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let wait_reason = if job.given_up {
            Some(WaitReason::EndRecord)
        } else if self.is_held(&job.spec) {
            Some(WaitReason::StaffedHours)
        } else if now < job.backoff_until {
            Some(WaitReason::Backoff)
        } else if is_usage_unknown && self.has_limit(&job.spec.team) {
            Some(WaitReason::Reconciliation)
        } else if item.first_task_only {
            self.place_first_task(id, snapshot, now);
            return;
        } else if job.is_gang() {
            self.place_gang(id, snapshot, now)
        } else {
            self.place_tasks(id, snapshot, now)
        };
        if let Some(job) = self.jobs.get_mut(id) {
            job.wait_reason = wait_reason;
            job.last_wait_reason = wait_reason.or(job.last_wait_reason);
        }
    }

    /// Binds an attempt to its machine; the start command goes out with the next commands.
    fn bind(&mut self, binding: Binding, now: Micros) {
        let Some(job) = self.jobs.get_mut(&binding.job) else {
            return;
        };
        if job.start_attempt.0 == 0 {
            // Its first start is recorded before it is commanded.
            job.start_attempt = binding.attempt;
            let waited_ms = (now - job.first_seen_at).as_millis();
            let (class, tasks, waited_for) = (
                &job.spec.class,
                job.spec.tasks,
                job.last_wait_reason.map_or("", WaitReason::as_str),
            );
            debug!(job = %binding.job, class, tasks, waited_ms, waited_for, image = binding.has_image, "first start");
            self.writes.mark_dirty(&binding.job);
        }
        let spec = job.spec.clone();
        let Some(m) = self.machines.get_mut(&binding.machine) else {
            return;
        };
        let task = TaskId {
            job: binding.job,
            index: binding.index,
        };
        let allocation = Allocation::new(AllocationState::Sent, Some(spec), now);
        m.allocations_mut()
            .insert((task.clone(), binding.attempt), allocation);
        m.idle_since = None;
        if self.tuning.use_for_demand {
            self.run_commanded(&task, binding.attempt, now);
        }
        self.commands_due.insert(binding.machine.clone());
        self.add_attempt(&binding.machine, &task, binding.attempt);
    }

    /// Number of the job's tasks that run, as last reported; 0 for an unknown job.
    #[must_use]
    pub fn running_tasks(&self, id: &JobId) -> u32 {
        let Some(job) = self.jobs.get(id) else {
            return 0;
        };
        let runs = |index: u32, machine: &MachineId, attempt: Attempt| {
            let key = (
                TaskId {
                    job: id.clone(),
                    index,
                },
                attempt,
            );
            let allocation = self
                .machines
                .get(machine)
                .and_then(|m| m.allocations().get(&key));
            allocation.is_some_and(|s| {
                matches!(
                    s.state,
                    AllocationState::Live(TaskState::Running | TaskState::Saving)
                )
            })
        };
        let attempts = job
            .attempts
            .iter()
            .flat_map(|(i, p)| p.iter().map(move |(m, a)| (*i, m, *a)));
        attempts.filter(|(i, m, a)| runs(*i, m, *a)).count() as u32
    }
}
