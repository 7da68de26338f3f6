//! Learned run times: what the scheduler feeds the learner, and what it asks of it. No rule depends on
//! them.

use crate::ledger::MachinePhase;
use crate::{Scheduler, Tuning};
use hopyoke_protocol::user::{JobKind, JobSpec};
use hopyoke_run_times::{Limits, Page, PageKey, RunOutcome, Work};
use hopyoke_types::{Attempt, MachineId, Micros, TaskId};
use std::collections::VecDeque;
use std::rc::Rc;
use tracing::{debug, info, warn};

mod estimates;
pub use estimates::{CapacityQuery, CompletionEstimate};

/// An attempt's number: the token in the upper bits, below it a counter that also tells the time.
const COUNTER_BITS: u32 = 28;
/// One step of the counter is at least this long, while starts are fewer.
const COUNTER_TICK: Micros = Micros::from_millis(100);
/// Between two leaders nobody leads for about this long.
const LEADERLESS_INTERVAL: Micros = Micros::from_secs(5);
/// What is found completed this long after a failover ended at an unknown time.
const FOUND_RUN_WINDOW: Micros = Micros::from_secs(20);
/// Such runs that wait to be dated.
const MAX_UNRESOLVED_RUNS: usize = 512;
/// Runs of the past that are kept for `hopyoke history`.
const MAX_COMPLETED_RUNS: usize = 2048;

/// A run that ended, for the history.
#[derive(Debug, Clone)]
pub struct CompletedRun {
    /// Counts the runs that this leader has seen end, from 1.
    pub number: u64,
    /// The job.
    pub spec: Rc<JobSpec>,
    /// The task's index; 0 of a gang.
    pub index: u32,
    /// `None`: a gang on several machines.
    pub machine: Option<MachineId>,
    /// When the job was accepted: time of day, in microseconds.
    pub accepted_us: u64,
    /// When the run ended: time of day, in microseconds; 0: not known.
    pub ended_us: u64,
    /// Seconds that it ran.
    pub ran_s: f64,
}

/// What the scheduler keeps for learning.
#[derive(Default)]
pub(crate) struct LearnedRunTimes {
    pub learner: hopyoke_run_times::Learner,
    /// Time of day less the steady clock; `None`: not known yet.
    day_offset_us: Option<u64>,
    completed: VecDeque<CompletedRun>,
    count: u64,
    /// Writes that learned run times may make, earned up to a time.
    budget: f64,
    budget_earned_until: Micros,
    /// Runs that were found completed after a failover, until they can be dated.
    unresolved_runs: Vec<(TaskId, Attempt, Micros)>,
    /// When slow machines are searched for again.
    next_slow_check_at: Micros,
}

fn work_of(spec: &JobSpec) -> Work<'_> {
    Work {
        class: &spec.class,
        team: &spec.team,
        estimate_s: spec.estimate_s,
    }
}

impl Scheduler {
    /// A number that no other start of any task has had: the token is unique, and the counter is
    /// ours alone and rises. It never falls behind the time since the grant, so that a later
    /// leader can tell when an attempt was commanded without any record of it.
    pub(crate) fn new_attempt(&mut self, now: Micros) -> Attempt {
        let ticks = (now - self.reconciliation.granted_at()).0 / COUNTER_TICK.0;
        self.counter = (self.counter + 1).max(ticks);
        Attempt((self.token.0 << COUNTER_BITS) | (self.counter & ((1 << COUNTER_BITS) - 1)))
    }

    /// Says what time of day it is; remembers when our token was granted.
    pub fn record_grant_time(&mut self, now: Micros, time_of_day: Micros) {
        let day_offset_us = time_of_day.0.saturating_sub(now.0);
        self.learned.day_offset_us = Some(day_offset_us);
        if self.tuning.learn {
            self.learned.learner.note_grant(
                self.token.0,
                Micros(day_offset_us + self.reconciliation.granted_at().0),
            );
        }
    }

    /// Takes up what an earlier leader has learned. `None`: it can't be read.
    pub fn load_run_times(&mut self, key: &str, page: Option<&Page>) {
        let Some(key) = PageKey::parse(key) else {
            return warn!(
                page = key,
                "learned run times: a page of another version is left aside"
            );
        };
        let Some(page) = page else {
            return warn!(page = %key, "learned run times: unreadable page, learning again");
        };
        match self.learned.learner.load(key, page) {
            Ok(n) => info!(page = %key, entries = n, "learned run times taken up"),
            Err(e) => {
                warn!(page = %key, error = %e, "learned run times: left aside, learning again")
            }
        }
        self.resolve_start_times();
    }

    /// Runs that we found under way began when their attempts say, once we know of the grant.
    fn resolve_start_times(&mut self) {
        let Some(day_offset_us) = self.learned.day_offset_us else {
            return;
        };
        let split = |a: Attempt| {
            (
                a.0 >> COUNTER_BITS,
                COUNTER_TICK.times(a.0 & ((1 << COUNTER_BITS) - 1)),
            )
        };
        self.learned
            .learner
            .date_runs(Micros(day_offset_us), &split);
        let LearnedRunTimes {
            learner,
            unresolved_runs,
            ..
        } = &mut self.learned;
        unresolved_runs.retain(|(task, attempt, about)| {
            let Some(job) = self.jobs.get(&task.job) else {
                return false;
            };
            let key = (task.clone(), *attempt);
            !learner.found_ended(
                &key,
                work_of(&job.spec),
                *about,
                Micros(day_offset_us),
                &split,
            )
        });
    }

    /// The tuning has changed.
    pub fn set_tuning(&mut self, tuning: Tuning) {
        let limits = Limits {
            classes: tuning.learn_classes,
            memory: tuning.learn_memory as f32,
        };
        self.learned.learner.set_limits(limits);
        self.tuning = tuning;
    }

    /// The start of a task has been commanded.
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
            .commanded((task.clone(), attempt), work_of(&spec), now);
    }

    /// A task that we had not seen before was reported as completed: it ended between two leaders,
    /// most likely; that is when nobody led, or just before, or since.
    pub(crate) fn record_found_completed(&mut self, task: &TaskId, attempt: Attempt, now: Micros) {
        let Some(job) = self.jobs.get(&task.job).filter(|_| self.tuning.learn) else {
            return;
        };
        // What ran long ago, or resumed, says nothing; of a gang one report is enough.
        let key = TaskId {
            job: task.job.clone(),
            index: if job.is_gang() { 0 } else { task.index },
        };
        let seen = self
            .learned
            .unresolved_runs
            .iter()
            .any(|(t, a, _)| *t == key && *a == attempt);
        if job.may_have_checkpoint
            || job.spec.kind == JobKind::Service
            || (job.is_gang() && job.is_done())
            || seen
            || self.learned.unresolved_runs.len() >= MAX_UNRESOLVED_RUNS
            || now > self.reconciliation.granted_at() + FOUND_RUN_WINDOW
        {
            return;
        }
        let from = self.reconciliation.granted_at() - LEADERLESS_INTERVAL;
        let about = from + Micros((now - from).0 / 2);
        self.learned.unresolved_runs.push((key, attempt, about));
        self.resolve_start_times();
    }

    /// A task was seen running for the first time; `seen`: we saw it before it ran.
    pub(crate) fn record_run_start(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        seen: bool,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get(&task.job).filter(|_| self.tuning.learn) else {
            return;
        };
        let spec = job.spec.clone();
        let (key, machines) = match spec.kind {
            JobKind::Service => return,
            // What is left of saved work says nothing about the whole.
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
        if let Some(since) = allocation.filter(|_| seen).map(|s| s.created_at) {
            self.learned
                .learner
                .observe_start_latency(&spec.class, (now - since).as_secs_f64());
        }
        let before = seen.then_some(Micros::ZERO);
        self.learned
            .learner
            .started(key, work_of(&spec), machines, now, before);
        if !seen {
            self.resolve_start_times();
        }
    }

    /// An attempt has ended, or is gone, at this time.
    pub(crate) fn record_run_end(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        end: RunOutcome,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            // Cancelled or over: of a gang, its first task's run stands for all.
            for index in [task.index, 0] {
                self.learned.learner.ended(
                    &(
                        TaskId {
                            job: task.job.clone(),
                            index,
                        },
                        attempt,
                    ),
                    RunOutcome::Cut,
                    now,
                );
            }
            return;
        };
        let gang = job.is_gang();
        let key = (
            TaskId {
                job: task.job.clone(),
                index: if gang { 0 } else { task.index },
            },
            attempt,
        );
        if end != RunOutcome::Done && job.spec.checkpoint_s > 0.0 && self.learned.learner.runs(&key)
        {
            job.may_have_checkpoint = true;
        }
        let Some(ran_s) = self.learned.learner.ended(&key, end, now) else {
            return;
        };
        self.learned.count += 1;
        let completed = CompletedRun {
            number: self.learned.count,
            spec: job.spec.clone(),
            index: key.0.index,
            machine: (!gang || job.spec.tasks == 1).then(|| id.clone()),
            accepted_us: job.accepted_us,
            ended_us: self.learned.day_offset_us.map_or(0, |d| d + now.0),
            ran_s,
        };
        debug!(job = %task.job, index = completed.index, class = %completed.spec.class, ran_s, "run ended");
        self.learned.completed.push_back(completed);
        if self.learned.completed.len() > MAX_COMPLETED_RUNS {
            self.learned.completed.pop_front();
        }
    }

    /// Runs that ended, after the one with this number, oldest first.
    pub fn completed_runs(&self, since: u64, most: usize) -> Vec<&CompletedRun> {
        self.learned
            .completed
            .iter()
            .filter(|p| p.number > since)
            .take(most)
            .collect()
    }

    /// Looks after runs that have outlived their bands, and machines that are far slower than
    /// their peers.
    pub(crate) fn observe_runs(&mut self, now: Micros) {
        if !self.tuning.learn {
            return;
        }
        for class in self.learned.learner.tick(now) {
            info!(class = %class, "runs outlive what was learned: expecting more of all of them");
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
        for slow in self.learned.learner.all_slow(self.tuning.slow_factor) {
            // One in twenty at a time: were most slow, the fault would be elsewhere.
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
                info!(machine = %slow.machine, zone = %m.zone, factor, runs, "machine far slower than its peers: draining it");
            }
        }
    }

    /// A page of learned run times to be written, if the share of writes that they may take allows.
    pub(crate) fn next_learned_page(&mut self, now: Micros) -> Option<(PageKey, Page)> {
        let rate = self.cfg.max_writes_per_s * self.tuning.learn_write_share;
        let l = &mut self.learned;
        l.budget = (l.budget + rate * (now - l.budget_earned_until).as_secs_f64()).min(1.0);
        l.budget_earned_until = now;
        if l.budget < 1.0 || !self.tuning.learn {
            return None;
        }
        let page = l.learner.next_page(now, Micros::from_secs(5))?;
        l.budget -= 1.0;
        Some(page)
    }

    pub(crate) fn learned_page_written(&mut self, key: PageKey, written: bool) {
        self.learned.learner.page_ended(key, written);
    }

    /// Runs under way, classes remembered, machines known, classes forgotten so far.
    pub fn learned_counts(&self) -> (usize, usize, usize, u64) {
        let counts = self.learned.learner.counts();
        (
            counts.running,
            counts.classes,
            counts.machines,
            counts.evicted,
        )
    }

    /// Machines that are credibly far slower than their peers.
    pub fn slow_machines(&self) -> Vec<hopyoke_run_times::SlowMachine> {
        self.learned.learner.all_slow(self.tuning.slow_factor)
    }
}
