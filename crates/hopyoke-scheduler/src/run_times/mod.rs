//! Learned run times: observations passed to the learner, and its use by the scheduler. No invariant depends
//! on them.

use crate::ledger::MachinePhase;
use crate::{Scheduler, Tuning};
use hopyoke_protocol::user::{JobKind, JobSpec};
use hopyoke_run_times::{Limits, Page, PageKey, RunOutcome, Workload};
use hopyoke_stored_form::json_len;
use hopyoke_types::{Attempt, MachineId, Micros, TaskId};
use std::collections::VecDeque;
use std::rc::Rc;
use tracing::{debug, info, warn};

mod estimates;
pub use estimates::{CapacityQuery, CompletionEstimate};

/// Number of low bits of an attempt number that hold the leader's sequence number. The bits above hold the
/// fencing token.
const SEQUENCE_BITS: u32 = 28;
/// Time since the grant per step of the sequence number, unless starts are more frequent.
const SEQUENCE_TICK: Micros = Micros::from_millis(100);
/// Typical time without a leader during a failover.
const LEADERLESS_INTERVAL: Micros = Micros::from_secs(5);
/// Time after the grant in which runs that are found completed are taken to have ended around the failover.
const FOUND_RUN_WINDOW: Micros = Micros::from_secs(20);
/// Maximum number of runs found completed whose start times are not resolved yet.
const MAX_UNRESOLVED_RUNS: usize = 512;
/// Maximum number of completed runs kept for `hopyoke history`.
const MAX_COMPLETED_RUNS: usize = 2048;

/// A completed run, for the history.
#[derive(Debug, Clone)]
pub struct CompletedRun {
    /// Sequence number among the runs whose completion this leader has seen, from 1.
    pub number: u64,
    /// Spec of the job.
    pub spec: Rc<JobSpec>,
    /// Index of the task; 0 for a gang.
    pub index: u32,
    /// Machine that ran it. `None` for a gang of several tasks.
    pub machine: Option<MachineId>,
    /// Wall clock time of the job's acceptance, in microseconds since the Unix epoch.
    pub accepted_us: u64,
    /// Wall clock time of the run's end, in microseconds since the Unix epoch; 0 if unknown.
    pub ended_us: u64,
    /// Run time in seconds.
    pub ran_s: f64,
}

/// The learner, and state for its observations and writes.
#[derive(Default)]
pub(crate) struct LearnedRunTimes {
    pub learner: hopyoke_run_times::Learner,
    /// Wall clock minus monotonic clock, in microseconds. `None` until it is known.
    wall_clock_offset_us: Option<u64>,
    /// Latest completed runs, oldest first.
    completed: VecDeque<CompletedRun>,
    /// Number of completed runs so far.
    completed_count: u64,
    /// Page writes that may be made now; 1 at most.
    write_budget: f64,
    /// Time up to which the write budget has been credited.
    budget_credited_at: Micros,
    /// Runs found completed after a failover whose start times are not resolved yet, with the approximate times
    /// of their ends.
    unresolved_runs: Vec<(TaskId, Attempt, Micros)>,
    /// Time of the next check for slow machines.
    next_slow_check_at: Micros,
}

fn workload(spec: &JobSpec) -> Workload<'_> {
    Workload {
        class: &spec.class,
        team: &spec.team,
        estimate_s: spec.estimate_s,
    }
}

impl Scheduler {
    /// Returns an attempt number that no other start of any task has: the fencing token is unique to this
    /// leader, and its sequence number only increases. The sequence number is at least the number of ticks since
    /// the grant. A later leader can thus derive when a start was commanded, without a record of
    /// it.
    pub(crate) fn new_attempt(&mut self, now: Micros) -> Attempt {
        let ticks = (now - self.reconciliation.granted_at()).0 / SEQUENCE_TICK.0;
        self.sequence_number = (self.sequence_number + 1).max(ticks);
        Attempt(
            (self.token.0 << SEQUENCE_BITS) | (self.sequence_number & ((1 << SEQUENCE_BITS) - 1)),
        )
    }

    /// Records the wall clock time at `now`, and from it when this leader's fencing token was granted.
    pub fn record_grant_time(&mut self, now: Micros, wall_clock: Micros) {
        let wall_clock_offset_us = wall_clock.0.saturating_sub(now.0);
        self.learned.wall_clock_offset_us = Some(wall_clock_offset_us);
        if self.tuning.learn {
            self.learned.learner.record_token_grant(
                self.token.0,
                Micros(wall_clock_offset_us + self.reconciliation.granted_at().0),
            );
        }
    }

    /// Loads a page of run times that an earlier leader learned. A page of `None` can't be decoded.
    pub fn load_run_times(&mut self, key: &str, page: Option<&Page>) {
        let Some(key) = PageKey::parse(key) else {
            return warn!(
                page = key,
                "ignoring page of learned run times of another version"
            );
        };
        let Some(page) = page else {
            return warn!(page = %key, "cannot decode page of learned run times, learning from scratch");
        };
        match self.learned.learner.load(key, page) {
            Ok(n) => info!(page = %key, entries = n, "learned run times loaded"),
            Err(e) => {
                warn!(page = %key, error = %e, "page of learned run times rejected, learning from scratch")
            }
        }
        self.resolve_start_times();
    }

    /// Derives the start times of runs that this leader did not see start from their attempt numbers. This needs
    /// the grant times of the attempts' fencing tokens.
    fn resolve_start_times(&mut self) {
        let Some(wall_clock_offset_us) = self.learned.wall_clock_offset_us else {
            return;
        };
        let decode_attempt = |a: Attempt| {
            (
                a.0 >> SEQUENCE_BITS,
                SEQUENCE_TICK.times(a.0 & ((1 << SEQUENCE_BITS) - 1)),
            )
        };
        self.learned
            .learner
            .infer_start_times(Micros(wall_clock_offset_us), &decode_attempt);
        let LearnedRunTimes {
            learner,
            unresolved_runs,
            ..
        } = &mut self.learned;
        unresolved_runs.retain(|(task, attempt, approximate_end)| {
            let Some(job) = self.jobs.get(&task.job) else {
                return false;
            };
            let key = (task.clone(), *attempt);
            !learner.record_found_completed(
                &key,
                workload(&job.spec),
                *approximate_end,
                Micros(wall_clock_offset_us),
                &decode_attempt,
            )
        });
    }

    /// Replaces the tuning.
    pub fn set_tuning(&mut self, tuning: Tuning) {
        let limits = Limits {
            classes: tuning.learn_classes,
            decay_runs: tuning.learn_memory as f32,
        };
        self.learned.learner.set_limits(limits);
        self.tuning = tuning;
    }

    /// Records that the start of a task was commanded.
    pub(crate) fn record_start_command(&mut self, task: &TaskId, attempt: Attempt, now: Micros) {
        let Some(job) = self
            .jobs
            .get(&task.job)
            .filter(|j| j.spec.kind == JobKind::Array)
        else {
            return;
        };
        let spec = job.spec.clone();
        self.learned
            .learner
            .record_start_command((task.clone(), attempt), workload(&spec), now);
    }

    /// Records a completed task whose attempt this leader had not seen before. It most likely ended shortly
    /// before the grant, while there was no leader, or since.
    pub(crate) fn record_found_completed(&mut self, task: &TaskId, attempt: Attempt, now: Micros) {
        let Some(job) = self.jobs.get(&task.job).filter(|_| self.tuning.learn) else {
            return;
        };
        // Runs that resumed from a checkpoint or ended long ago are no measure of run times. For a gang, one
        // report is enough.
        let key = TaskId {
            job: task.job.clone(),
            index: if job.is_gang() { 0 } else { task.index },
        };
        let is_recorded = self
            .learned
            .unresolved_runs
            .iter()
            .any(|(t, a, _)| *t == key && *a == attempt);
        if job.may_have_checkpoint
            || job.spec.kind == JobKind::Service
            || (job.is_gang() && job.is_done())
            || is_recorded
            || self.learned.unresolved_runs.len() >= MAX_UNRESOLVED_RUNS
            || now > self.reconciliation.granted_at() + FOUND_RUN_WINDOW
        {
            return;
        }
        let from = self.reconciliation.granted_at() - LEADERLESS_INTERVAL;
        let approximate_end = from + Micros((now - from).0 / 2);
        self.learned
            .unresolved_runs
            .push((key, attempt, approximate_end));
        self.resolve_start_times();
    }

    /// Records that a task was first reported as running. `seen_before` is true if this leader knew the attempt
    /// before it ran.
    pub(crate) fn record_run_start(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        seen_before: bool,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get(&task.job).filter(|_| self.tuning.learn) else {
            return;
        };
        let spec = job.spec.clone();
        let (key, machines) = match spec.kind {
            JobKind::Service => return,
            // The rest of a run that resumes from a checkpoint is no measure of the whole run.
            _ if job.may_have_checkpoint => return,
            JobKind::Array => ((task.clone(), attempt), vec![id.clone()]),
            JobKind::Gang if attempt != job.start_attempt => return,
            JobKind::Gang => {
                let mut machines: Vec<MachineId> = job
                    .attempts
                    .values()
                    .flatten()
                    .map(|(m, _)| m.clone())
                    .collect();
                machines.sort_unstable();
                machines.dedup();
                (
                    (
                        TaskId {
                            job: task.job.clone(),
                            index: 0,
                        },
                        attempt,
                    ),
                    machines,
                )
            }
        };
        let allocation = self
            .machines
            .get(id)
            .and_then(|m| m.allocations().get(&(task.clone(), attempt)));
        if let Some(since) = allocation.filter(|_| seen_before).map(|s| s.created_at) {
            self.learned
                .learner
                .record_start_latency(&spec.class, (now - since).as_secs_f64());
        }
        let elapsed_before = seen_before.then_some(Micros::ZERO);
        self.learned
            .learner
            .record_start(key, workload(&spec), machines, now, elapsed_before);
        if !seen_before {
            self.resolve_start_times();
        }
    }

    /// Records that an attempt ended or is gone.
    pub(crate) fn record_run_end(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        outcome: RunOutcome,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            // The job was cancelled or has finished. A gang's run is kept under its first task.
            for index in [task.index, 0] {
                self.learned.learner.record_end(
                    &(
                        TaskId {
                            job: task.job.clone(),
                            index,
                        },
                        attempt,
                    ),
                    RunOutcome::Censored,
                    now,
                );
            }
            return;
        };
        let is_gang = job.is_gang();
        let key = (
            TaskId {
                job: task.job.clone(),
                index: if is_gang { 0 } else { task.index },
            },
            attempt,
        );
        if outcome != RunOutcome::Completed
            && job.spec.checkpoint_interval_s > 0.0
            && self.learned.learner.is_running(&key)
        {
            job.may_have_checkpoint = true;
        }
        let Some(ran_s) = self.learned.learner.record_end(&key, outcome, now) else {
            return;
        };
        self.learned.completed_count += 1;
        let completed = CompletedRun {
            number: self.learned.completed_count,
            spec: job.spec.clone(),
            index: key.0.index,
            machine: (!is_gang || job.spec.tasks == 1).then(|| id.clone()),
            accepted_us: job.accepted_us,
            ended_us: self.learned.wall_clock_offset_us.map_or(0, |d| d + now.0),
            ran_s,
        };
        debug!(job = %task.job, index = completed.index, class = %completed.spec.class, ran_s, "task run completed");
        self.learned.completed.push_back(completed);
        if self.learned.completed.len() > MAX_COMPLETED_RUNS {
            self.learned.completed.pop_front();
        }
    }

    /// Returns at most `limit` completed runs with numbers above `after`, oldest first.
    pub fn completed_runs(&self, after: u64, limit: usize) -> Vec<&CompletedRun> {
        self.learned
            .completed
            .iter()
            .filter(|run| run.number > after)
            .take(limit)
            .collect()
    }

    /// Checks for runs that take longer than their predicted range, and for machines that are far slower than
    /// their peers.
    pub(crate) fn observe_runs(&mut self, now: Micros) {
        if !self.tuning.learn {
            return;
        }
        for class in self.learned.learner.tick(now) {
            info!(class = %class, "runs exceed their predicted range: raising estimates of the class");
            self.placement_schedule.request();
        }
        if now < self.learned.next_slow_check_at {
            return;
        }
        self.learned.next_slow_check_at = now + Micros::from_secs(5);
        if !self.tuning.use_for_slow_machines || self.reconciliation.is_active() {
            return;
        }
        self.add_visited(self.machines.len());
        let up = self
            .machines
            .values()
            .filter(|m| m.phase == MachinePhase::Up)
            .count();
        let mut draining = self
            .machines
            .values()
            .filter(|m| m.slow && !m.deleting)
            .count();
        for slow in self.learned.learner.slow_machines(self.tuning.slow_factor) {
            // At most one in twenty machines is drained at a time: if most were slow, the cause would lie
            // elsewhere.
            if (draining + 1) * 20 > up.max(20) {
                break;
            }
            if let Some(m) = self.machines.get_mut(&slow.machine)
                && !m.slow
                && m.phase == MachinePhase::Up
            {
                m.slow = true;
                draining += 1;
                self.placement_schedule.request();
                let (factor, runs) = (slow.factor, slow.runs);
                info!(machine = %slow.machine, zone = %m.zone, factor, runs, "draining machine far slower than its peers");
            }
        }
    }

    /// Returns a page of learned run times to be written. Returns `None` if there is none, or if the share of
    /// writes for learned run times is exhausted.
    pub(crate) fn next_learned_page(&mut self, now: Micros) -> Option<(PageKey, Page)> {
        let rate = self.cfg.max_writes_per_s * self.tuning.learn_write_share;
        let learned = &mut self.learned;
        learned.write_budget = (learned.write_budget
            + rate * (now - learned.budget_credited_at).as_secs_f64())
        .min(1.0);
        learned.budget_credited_at = now;
        if learned.write_budget < 1.0 || !self.tuning.learn {
            return None;
        }
        let (key, mut page) = learned
            .learner
            .next_page_to_write(now, Micros::from_secs(5))?;
        learned.write_budget -= 1.0;
        // Users choose the names of classes, and pages hold a number of entries.
        let max_bytes = self.cfg.max_value_bytes;
        page.shorten_until(|page| json_len(page) <= max_bytes);
        Some((key, page))
    }

    /// Records the outcome of the write of a page of learned run times.
    pub(crate) fn learned_page_written(&mut self, key: PageKey, is_written: bool) {
        self.learned.learner.page_write_finished(key, is_written);
    }

    /// Returns the numbers of runs in progress, of classes and machines with learned data, and of classes and
    /// teams evicted so far.
    pub fn learned_counts(&self) -> (usize, usize, usize, u64) {
        let counts = self.learned.learner.counts();
        (
            counts.running,
            counts.classes,
            counts.machines,
            counts.evicted,
        )
    }

    /// Returns the machines that are far slower than their peers with sufficient confidence.
    pub fn slow_machines(&self) -> Vec<hopyoke_run_times::SlowMachine> {
        self.learned.learner.slow_machines(self.tuning.slow_factor)
    }
}
