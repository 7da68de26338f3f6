//! Placement inside the leased blocks, and the demand for machines that follows from it.
//!
//! Every plan is made anew: jobs in order of importance take room on machines that are up, then
//! (in the plan only) on machines that boot, then on machines yet to be rented. So room that an
//! important job waits for is not given to a lesser one.
//!
//! What a plan costs follows the work that waits, not the fleet: sums per machine are kept until
//! its slots change, jobs that have all their places are passed over, and the bins are searched
//! once per job, not once per task.

mod defragment;
mod estimates;
pub mod fragmentation;
mod gang;
mod instance_offers;
mod preemption;
mod queue;
pub mod queue_order;
mod request;
pub mod reservation;
mod snapshot;
pub(crate) mod starvation;
mod stop_finished;
mod tasks;

use super::{Job, Scheduler};
use crate::autoscale::scale_out::Demand;
use crate::ledger::{Allocation, AllocationState, WaitReason};
use crate::resources::{Resources, Team};
use hopyoke_protocol::user::{JobKind, Priority};
use hopyoke_protocol::worker::TaskState;
use hopyoke_types::{Attempt, JobId, MachineId, Micros, TaskId};
use snapshot::ClusterSnapshot;
use std::collections::BTreeMap;
use tracing::{debug, info};

/// A job in the order of placement: class of importance, priority, acceptance.
type Keyed = ((u8, Priority, u64), JobId);

/// A job's place in that order.
struct Turn {
    id: JobId,
    /// It is an array that only begins here, with one task; the rest has a place of its own.
    first: bool,
}

/// One attempt of one task.
type TaskKey = (TaskId, Attempt);

/// In place of the time of acceptance: before all others of its importance.
const DUE: u64 = 0;
/// In place of the time of acceptance: after those alone. (It keeps the order: a due gang needs its team's limit at once.)
const OVERDUE: u64 = 1;

/// Work for which room was found.
struct Start {
    job: JobId,
    index: u32,
    machine: MachineId,
    attempt: Attempt,
    /// The machine has the image.
    image: bool,
}

impl Scheduler {
    /// Makes a plan, starts what it can, and says which machines to rent.
    pub(crate) fn run_placement_cycle(&mut self, now: Micros) -> Demand {
        self.plan_schedule.count_plan();
        self.add_visited(self.jobs.len() + 2 * self.machines.len());
        self.update_provisioning_states(now);
        let order = self.order(now);
        let mut snapshot = self.new_plan(&order, now);
        // A task on a machine whose job we don't know may belong to any team: until it is gone
        // (it has been told to stop) nothing that counts against a limit is started.
        let orphaned = snapshot.orphaned;
        let unbounded = !self.charge_unknown(&mut snapshot);
        for Turn { id, first } in order {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let why = if job.given_up {
                Some(WaitReason::EndRecord)
            } else if self.is_held(&job.spec) {
                Some(WaitReason::StaffedHours)
            } else if now < job.backoff_until {
                Some(WaitReason::Backoff)
            } else if (orphaned || unbounded) && self.limited(&job.spec.team) {
                Some(WaitReason::Reconciliation)
            } else if first {
                self.place_first(&id, &mut snapshot, now);
                continue;
            } else if job.is_gang() {
                self.place_gang(&id, &mut snapshot, now)
            } else {
                self.place_each(&id, &mut snapshot, now)
            };
            if let Some(job) = self.jobs.get_mut(&id) {
                job.wait_reason = why;
                job.last_wait_reason = why.or(job.last_wait_reason);
            }
        }
        if now >= self.next_fleet_log_at {
            self.next_fleet_log_at = now + Micros::from_secs(5);
            snapshot.tell();
        }
        for s in std::mem::take(&mut snapshot.starts) {
            self.start(s, now);
        }
        for (machine, (task, attempt)) in std::mem::take(&mut snapshot.victims) {
            info!(machine = %machine, task = %task, "preempted for a production task");
            self.stop_allocation(&machine, &task.job, task.index, attempt, 0.0);
        }
        self.defragment(&snapshot, now);
        let offers = snapshot
            .offers
            .into_iter()
            .zip(snapshot.demand)
            .filter(|(_, n)| *n > 0);
        Demand {
            offers: offers.map(|(o, n)| (o.offer, n)).collect(),
            reserved_machines: snapshot
                .bins
                .into_iter()
                .filter(|b| b.wanted)
                .filter_map(|b| b.machine)
                .collect(),
        }
    }

    fn new_plan(&mut self, order: &[Turn], now: Micros) -> ClusterSnapshot {
        let mut snapshot = ClusterSnapshot {
            bins: Vec::with_capacity(self.machines.len() + 64),
            open: Vec::new(),
            images: Vec::new(),
            kinds: self.types.iter().map(Resources::of_type).collect(),
            offers: self.offers(now),
            demand: Vec::new(),
            used: vec![Resources::default(); self.cfg.teams.len()],
            orphaned: false,
            keeps_room: self.reservations.keeps(now),
            starts: Vec::new(),
            begun: BTreeMap::new(),
            victims: Vec::new(),
            reservations: 0,
            preempt_searches: 0,
            lending: Vec::new(),
            soon: None,
            fragmentation: self.fragmentation(order),
        };
        snapshot.demand = vec![0; snapshot.offers.len()];
        self.fill_bins(&mut snapshot, now);
        // Bins without room even for the smallest waiting task need no second look.
        let least = order
            .iter()
            .filter_map(|t| self.jobs.get(&t.id))
            .map(|j| j.task)
            .reduce(|a, b| Resources {
                cpus: a.cpus.min(b.cpus),
                gpus: a.gpus.min(b.gpus),
                memory_gb: a.memory_gb.min(b.memory_gb),
            });
        if let Some(least) = least {
            snapshot.open = (0..snapshot.bins.len())
                .filter(|&i| least.fits_in(&snapshot.bins[i].free))
                .collect();
        }
        snapshot
    }

    fn limited(&self, team: &str) -> bool {
        self.team(team)
            .is_none_or(|t| t.cpus_max > 0.0 || t.gpus_max > 0.0)
    }

    pub(super) fn team(&self, name: &str) -> Option<&Team> {
        self.cfg.teams.iter().find(|t| t.name == name)
    }

    fn team_index(&self, name: &str) -> Option<usize> {
        self.cfg.teams.iter().position(|t| t.name == name)
    }

    /// While recovering, machines that have not reported may hold tasks of any team: of its
    /// unfinished jobs, and of jobs that were cancelled under an earlier holder, which no record
    /// names any more. They hold no more than the machines have, for workers refuse what has no
    /// room; so that is charged to every team. False if even that is not known.
    /// (Guards `quota`; scenario cancelled_before_failover_uses_quota.)
    fn charge_unknown(&self, snapshot: &mut ClusterSnapshot) -> bool {
        if !self.is_reconciling() {
            return true;
        }
        let mut most = Resources::default();
        for m in self.machines.values().filter(|m| self.is_unreconciled(m)) {
            let Some(t) = self.machine_type(&m.machine_type) else {
                return false;
            };
            most = most + Resources::of_type(t);
        }
        for used in &mut snapshot.used {
            *used = *used + most;
        }
        !self.registry.has_unreadable_pages()
    }

    /// Jobs with work that has no place, in the order in which they get room.
    fn order(&mut self, now: Micros) -> Vec<Turn> {
        let mut jobs: Vec<(u64, &JobId)> = self
            .jobs
            .iter()
            .map(|(id, j)| (j.accepted_us, id))
            .collect();
        jobs.sort_unstable();
        let mut claimed = vec![Resources::default(); self.cfg.teams.len()];
        let mut keyed = Vec::new();
        let mut is_reconciled = Vec::new();
        for (accepted_us, id) in jobs {
            let job = &self.jobs[id];
            let spec = &job.spec;
            let left = f64::from(spec.tasks - job.done.count().min(spec.tasks));
            let within = self.team_index(&spec.team).is_some_and(|t| {
                claimed[t] = claimed[t] + job.task.times(left);
                self.cfg.teams[t].guarantees(&claimed[t])
            });
            if job.unplaced_tasks() == 0 {
                if job.wait_reason.is_some() {
                    is_reconciled.push(id.clone());
                }
                continue;
            }
            let class = match (spec.priority, within) {
                (Priority::Production, _) => 0,
                (_, true) => 1,
                (Priority::High, _) => 2,
                (Priority::Normal, _) => 3,
                (Priority::Low, _) => 4,
            };
            if spec.kind == JobKind::Array && self.is_overdue(job, now) {
                keyed.push(((class, spec.priority, OVERDUE), id.clone()));
            }
            let due = job.is_gang() && self.is_due(job, now);
            keyed.push((
                (class, spec.priority, if due { DUE } else { accepted_us }),
                id.clone(),
            ));
        }
        keyed.sort_unstable();
        self.take_turns(&mut keyed, now);
        if self.tuning.use_for_deadlines {
            self.order_by_latest_start(&mut keyed);
        }
        for id in is_reconciled {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.wait_reason = None;
            }
        }
        keyed
            .into_iter()
            .map(|((.., since), id)| Turn {
                id,
                first: since == OVERDUE,
            })
            .collect()
    }

    /// A gang that its turn does not serve, for it needs much of its team's limit at once.
    fn is_due(&self, job: &Job, now: Micros) -> bool {
        let Some(team) = self.team(&job.spec.team) else {
            return false;
        };
        let need = job.task.times(f64::from(job.unplaced_tasks()));
        let part = |need: f64, most: f64| if most > 0.0 { need / most } else { 0.0 };
        let part = part(need.cpus, team.cpus_max).max(part(need.gpus, team.gpus_max));
        crate::placement::starvation::is_due(part, self.ago(job.accepted_us, now))
    }

    /// An array that has waited so long that one of its tasks is to begin before all others of its importance.
    /// (Scenario largest_arrays_begin.)
    fn is_overdue(&self, job: &Job, now: Micros) -> bool {
        let begun = !job.attempts.is_empty() || job.done.count() > 0;
        !begun && crate::placement::starvation::is_overdue(self.ago(job.accepted_us, now))
    }

    /// Puts an attempt on a machine; its start order goes out with the next orders.
    fn start(&mut self, s: Start, now: Micros) {
        let Some(job) = self.jobs.get_mut(&s.job) else {
            return;
        };
        if job.start_attempt.0 == 0 {
            // Its first start is recorded before it is commanded.
            job.start_attempt = s.attempt;
            let waited_ms = (now - job.first_seen_at).as_millis();
            let (class, tasks, waited_for) = (
                &job.spec.class,
                job.spec.tasks,
                job.last_wait_reason.map_or("", WaitReason::as_str),
            );
            debug!(job = %s.job, class, tasks, waited_ms, waited_for, image = s.image, "first start");
            self.writes.mark_dirty(&s.job);
        }
        let spec = job.spec.clone();
        let Some(m) = self.machines.get_mut(&s.machine) else {
            return;
        };
        let task = TaskId {
            job: s.job,
            index: s.index,
        };
        let allocation = Allocation::new(AllocationState::Sent, Some(spec), now);
        m.allocations_mut()
            .insert((task.clone(), s.attempt), allocation);
        m.idle_since = None;
        if self.tuning.use_for_demand {
            self.run_commanded(&task, s.attempt, now);
        }
        self.commands_due.insert(s.machine.clone());
        self.add_attempt(&s.machine, &task, s.attempt);
    }

    /// How many of a job's tasks run, as far as we know.
    pub fn running(&self, id: &JobId) -> u32 {
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
