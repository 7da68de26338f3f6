//! Placement of tasks within the leased shards, and the resulting demand for machines.
//!
//! Each cycle takes a new `ClusterSnapshot` and processes the waiting jobs in queue order. For each
//! job it *filters* the machines by the job's constraints, *scores* them, *reserves* resources in
//! the snapshot (on machines that are up, then on those being provisioned, then on instances yet to
//! be requested) and, for production work, *preempts* tasks of arrays. Resources reserved for a job
//! are thus unavailable to jobs after it in the queue. At the end of the cycle the tasks with
//! resources on ready machines are bound, and the instances still missing become the autoscaler's
//! demand.
//!
//! The cost of a cycle grows with the waiting work and not with the fleet: the load of a machine is
//! cached until one of its allocations changes, jobs without unplaced tasks are skipped, and
//! machines are filtered and scored once per job instead of once per task.
//!
//! - `queue`, [`queue_order`], `starvation`: the order of the jobs.
//! - `snapshot`, `instance_offers`: machines and instance offers as seen by one cycle.
//! - `request`: a job's resource request, its constraints (filter) and its candidate machines
//!   (score).
//! - `tasks`, `gang`, `preemption`: placement of arrays and services, of gangs, and of production
//!   work by preemption.
//! - `quota`, [`reservation`], [`sole_choice`], `estimates`: limits and hints for placement.
//! - `defragment`, `eviction`: stopping of attempts for reasons other than preemption.

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

/// Interval between log lines about fleet usage.
const FLEET_LOG_INTERVAL: Micros = Micros::from_secs(5);

/// Identifies one attempt of a task.
type AttemptKey = (TaskId, Attempt);

/// The assignment of a task to a ready machine.
struct Binding {
    job: JobId,
    index: u32,
    machine: MachineId,
    attempt: Attempt,
    /// Whether the machine has the image or is fetching it.
    has_image: bool,
}

impl Scheduler {
    /// Runs one placement cycle: binds the tasks that fit onto ready machines, and returns the
    /// demand for machines.
    pub(crate) fn run_placement_cycle(&mut self, now: Micros) -> Demand {
        self.placement_schedule.count_cycle();
        self.add_visited(self.jobs.len() + 2 * self.machines.len());
        self.update_provisioning_states(now);
        let queue = self.queue(now);
        let mut snapshot = self.take_snapshot(&queue, now);
        // An orphaned allocation may belong to any team. Until it is gone (its stop has been
        // commanded), no task that counts against a limit is started.
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
            info!(machine = %machine, task = %task, "preempting task for a production task");
            self.stop_allocation(&machine, &task.job, task.index, attempt, 0.0);
        }
        self.defragment(&snapshot, now);
        snapshot.into_demand()
    }

    /// Places the tasks of one job and records why it still waits.
    ///
    /// If `is_usage_unknown`, teams may use more than the snapshot shows, and jobs of teams with a
    /// limit are not placed.
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
        let wait_reason = if job.cancelled_by_scheduler {
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

    /// Binds an attempt to its machine. The start command is sent with the next batch of commands.
    fn bind(&mut self, binding: Binding, now: Micros) {
        let Some(job) = self.jobs.get_mut(&binding.job) else {
            return;
        };
        if job.start_attempt.0 == 0 {
            // The first start is written to the job record before it is commanded.
            job.start_attempt = binding.attempt;
            let waited_ms = (now - job.first_seen_at).as_millis();
            let (class, tasks, waited_for) = (
                &job.spec.class,
                job.spec.tasks,
                job.last_wait_reason.map_or("", WaitReason::as_str),
            );
            debug!(job = %binding.job, class, tasks, waited_ms, waited_for, image = binding.has_image, "first task of job bound to machine");
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
        let allocation = Allocation::new(AllocationState::Unconfirmed, Some(spec), now);
        m.allocations_mut()
            .insert((task.clone(), binding.attempt), allocation);
        m.idle_since = None;
        if self.tuning.use_for_demand {
            self.record_start_command(&task, binding.attempt, now);
        }
        self.commands_due.insert(binding.machine.clone());
        self.add_attempt(&binding.machine, &task, binding.attempt);
    }

    /// Returns the number of the job's tasks that run, as last reported. An unknown job has 0.
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
