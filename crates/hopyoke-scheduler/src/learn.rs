//! Learned run times: what the core feeds the learner, and what it asks of it. Nothing here
//! decides a rule.

use crate::fleet::{AllocationState, MachinePhase};
use crate::{Scheduler, Tuning};
use hopyoke_protocol::user::{JobKind, JobSpec};
use hopyoke_protocol::worker::TaskState;
use hopyoke_run_times::capacity::{ReleasingTask, time_until_free};
use hopyoke_run_times::{Estimate, Limits, Page, PageKey, RunOutcome, Work};
use hopyoke_types::{Attempt, JobId, MachineId, Micros, TaskId};
use std::collections::VecDeque;
use std::rc::Rc;
use tracing::{debug, info, warn};

/// An attempt's number: the token in the upper bits, below it a counter that also tells the time.
const COUNTER_BITS: u32 = 28;
/// One step of the counter is at least this long, while starts are fewer.
const TICK: Micros = Micros::from_millis(100);
/// Between two leaders nobody leads for about this long.
const GAP: Micros = Micros::from_secs(5);
/// What is found completed this long after a takeover ended who knows when.
const FOUND_WITHIN: Micros = Micros::from_secs(20);
/// Such runs that wait to be dated.
const MOST_FOUND: usize = 512;
/// Runs of the past that are kept for `hopyoke history`.
const MOST_HISTORY: usize = 2048;

/// A run that ended, for the history.
#[derive(Debug, Clone)]
pub struct Past {
    /// Counts the runs that this leader has seen end, from 1.
    pub number: u64,
    pub spec: Rc<JobSpec>,
    pub index: u32,
    /// `None`: a gang on several machines.
    pub machine: Option<MachineId>,
    /// Times of day, in microseconds.
    pub accepted_us: u64,
    pub ended_us: u64,
    pub ran_s: f64,
}

/// What the core keeps for learning.
#[derive(Default)]
pub(crate) struct Learned {
    pub learner: hopyoke_run_times::Learner,
    /// Time of day less the steady clock; `None`: not known yet.
    day: Option<u64>,
    past: VecDeque<Past>,
    count: u64,
    /// Writes that learned run times may make, earned up to a time.
    budget: f64,
    earned: Micros,
    /// Runs that were found completed after a takeover, until they can be dated.
    found: Vec<(TaskId, Attempt, Micros)>,
    /// When slow machines are looked for again.
    next_look: Micros,
}

/// A question about capacity.
#[derive(Debug, Clone, PartialEq)]
pub struct Ask {
    pub team: String,
    pub gpus: f64,
    pub zone: Option<String>,
}

/// An answer in seconds from now, with what it rests on.
#[derive(Debug, Clone, PartialEq)]
pub struct When {
    pub p50_s: f64,
    pub p90_s: f64,
    pub rests_on: String,
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
    pub(super) fn new_attempt(&mut self, now: Micros) -> Attempt {
        let ticks = (now - self.started).0 / TICK.0;
        self.counter = (self.counter + 1).max(ticks);
        Attempt((self.token.0 << COUNTER_BITS) | (self.counter & ((1 << COUNTER_BITS) - 1)))
    }

    /// Says what time of day it is; remembers when our token was granted.
    pub fn set_time_of_day(&mut self, now: Micros, time_of_day: Micros) {
        let day = time_of_day.0.saturating_sub(now.0);
        self.learned.day = Some(day);
        if self.tuning.learn {
            self.learned
                .learner
                .note_grant(self.token.0, Micros(day + self.started.0));
        }
    }

    /// Takes up what an earlier leader has learned. `None`: it can't be read.
    pub fn learned(&mut self, key: &str, page: Option<&Page>) {
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
        self.date_runs();
    }

    /// Runs that we found under way began when their attempts say, once we know of the grant.
    fn date_runs(&mut self) {
        let Some(day) = self.learned.day else { return };
        let split = |a: Attempt| {
            (
                a.0 >> COUNTER_BITS,
                TICK.times(a.0 & ((1 << COUNTER_BITS) - 1)),
            )
        };
        self.learned.learner.date_runs(Micros(day), &split);
        let Learned { learner, found, .. } = &mut self.learned;
        found.retain(|(task, attempt, about)| {
            let Some(job) = self.jobs.get(&task.job) else {
                return false;
            };
            let key = (task.clone(), *attempt);
            !learner.found_ended(&key, work_of(&job.spec), *about, Micros(day), &split)
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

    /// A task has been told to start.
    pub(super) fn run_commanded(&mut self, task: &TaskId, attempt: Attempt, now: Micros) {
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
    pub(super) fn run_found_ended(&mut self, task: &TaskId, attempt: Attempt, now: Micros) {
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
            .found
            .iter()
            .any(|(t, a, _)| *t == key && *a == attempt);
        if job.resumed
            || job.spec.kind == JobKind::Service
            || (job.is_gang() && job.is_done())
            || seen
            || self.learned.found.len() >= MOST_FOUND
            || now > self.started + FOUND_WITHIN
        {
            return;
        }
        let from = self.started - GAP;
        let about = from + Micros((now - from).0 / 2);
        self.learned.found.push((key, attempt, about));
        self.date_runs();
    }

    /// A task was seen running for the first time; `seen`: we saw it before it ran.
    pub(super) fn run_began(
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
            _ if job.resumed => return,
            JobKind::Array => ((task.clone(), attempt), vec![id.clone()]),
            JobKind::Gang if attempt != job.term => return,
            JobKind::Gang => {
                let mut machines: Vec<MachineId> = job
                    .places
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
        if let Some(since) = allocation.filter(|_| seen).map(|s| s.since) {
            self.learned
                .learner
                .observe_start_latency(&spec.class, (now - since).as_secs_f64());
        }
        let before = seen.then_some(Micros::ZERO);
        self.learned
            .learner
            .started(key, work_of(&spec), machines, now, before);
        if !seen {
            self.date_runs();
        }
    }

    /// An attempt has ended, or is gone, at this time.
    pub(super) fn run_ended(
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
            job.resumed = true;
        }
        let Some(ran_s) = self.learned.learner.ended(&key, end, now) else {
            return;
        };
        self.learned.count += 1;
        let past = Past {
            number: self.learned.count,
            spec: job.spec.clone(),
            index: key.0.index,
            machine: (!gang || job.spec.tasks == 1).then(|| id.clone()),
            accepted_us: job.accepted_us,
            ended_us: self.learned.day.map_or(0, |d| d + now.0),
            ran_s,
        };
        debug!(job = %task.job, index = past.index, class = %past.spec.class, ran_s, "run ended");
        self.learned.past.push_back(past);
        if self.learned.past.len() > MOST_HISTORY {
            self.learned.past.pop_front();
        }
    }

    /// Runs that ended, after the one with this number, oldest first.
    pub fn history(&self, since: u64, most: usize) -> Vec<&Past> {
        self.learned
            .past
            .iter()
            .filter(|p| p.number > since)
            .take(most)
            .collect()
    }

    /// Looks after runs that have outlived their bands, and machines that are far slower than
    /// their peers.
    pub(super) fn observe_runs(&mut self, now: Micros) {
        if !self.tuning.learn {
            return;
        }
        for class in self.learned.learner.tick(now) {
            info!(class = %class, "runs outlive what was learned: expecting more of all of them");
            self.changed = true;
        }
        if now < self.learned.next_look {
            return;
        }
        self.learned.next_look = now + Micros::from_secs(5);
        if !self.tuning.use_for_slow_machines || self.is_reconciling {
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
                self.changed = true;
                let (factor, runs) = (slow.factor, slow.runs);
                info!(machine = %slow.machine, zone = %m.zone, factor, runs, "machine far slower than its peers: draining it");
            }
        }
    }

    /// A page of learned run times to be written, if the share of writes that they may take allows.
    pub(super) fn next_learned(&mut self, now: Micros) -> Option<(PageKey, Page)> {
        let rate = self.cfg.write_rps * self.tuning.learn_write_share;
        let l = &mut self.learned;
        l.budget = (l.budget + rate * (now - l.earned).as_secs_f64()).min(1.0);
        l.earned = now;
        if l.budget < 1.0 || !self.tuning.learn {
            return None;
        }
        let page = l.learner.next_page(now, Micros::from_secs(5))?;
        l.budget -= 1.0;
        Some(page)
    }

    pub(super) fn learned_written(&mut self, key: PageKey, written: bool) {
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

    /// What a task of this job is expected to take once it runs.
    pub fn expected(&self, spec: &JobSpec) -> Estimate {
        self.learned.learner.estimate(work_of(spec), None)
    }

    /// Seconds that an attempt under way still needs, at probability `p`; `None`: not known.
    pub fn remaining_s(&self, task: &TaskId, attempt: Attempt, p: f64, now: Micros) -> Option<f64> {
        let job = self.jobs.get(&task.job)?;
        let index = if job.is_gang() { 0 } else { task.index };
        let (d, ran) = self.learned.learner.remaining(
            &(
                TaskId {
                    job: task.job.clone(),
                    index,
                },
                attempt,
            ),
            now,
        )?;
        Some(d.remaining(ran, p))
    }

    /// When a job will be over.
    ///
    /// # Errors
    /// Why that can't be told.
    pub fn when_job(&self, id: &JobId, now: Micros) -> Result<When, String> {
        let job = self
            .jobs
            .get(id)
            .ok_or_else(|| format!("no unfinished job is named {id}"))?;
        let spec = &job.spec;
        if spec.kind == JobKind::Service {
            return Err(format!("{id} is a service: it runs until it is cancelled"));
        }
        let anew = self.expected(spec);
        let lead = self.learned.learner.start_latency_s(&spec.class);
        // All of `n` runs are over with probability p once each is with the n-th root of p.
        let root = |p: f64, n: u32| p.powf(1.0 / f64::from(n.max(1)));
        let (mut running, mut placed) = (0u32, 0u32);
        let mut left = (0.0f64, 0.0f64);
        let n = if job.is_gang() {
            1
        } else {
            job.places.len() as u32
        };
        for (index, places) in &job.places {
            for (_, attempt) in places {
                let task = TaskId {
                    job: id.clone(),
                    index: *index,
                };
                let of = |p: f64| match self.remaining_s(&task, *attempt, root(p, n), now) {
                    Some(s) => (s, 1),
                    None => (lead + anew.distribution.quantile(root(p, n)), 0),
                };
                let ((a, seen), (b, _)) = (of(0.5), of(0.9));
                left = (left.0.max(a), left.1.max(b));
                running += seen;
                placed += 1;
            }
        }
        let waiting = job.unplaced_tasks();
        if waiting > 0 {
            // What has no place yet follows in as many turns as it takes beside what runs now.
            let turns = if job.is_gang() {
                1.0
            } else {
                f64::from(waiting.div_ceil(placed.max(1)))
            };
            let one = |p: f64| lead + anew.distribution.quantile(root(p, waiting));
            left = (left.0 + turns * one(0.5), left.1 + turns * one(0.9));
        }
        let b = anew.basis;
        let mut rests_on = format!(
            "{running} of {} tasks seen running, {waiting} without a place; {} runs of class {}, {} of team {}; owners' estimates count {:.0}%",
            spec.tasks,
            b.class_runs,
            spec.class,
            b.team_runs,
            spec.team,
            100.0 * b.ratio_share
        );
        if b.changes > 0 {
            rests_on += &format!("; the class has changed {} times", b.changes);
        }
        if waiting > 0 {
            rests_on += &format!(
                "; the wait for a place is not counted (it waits for {})",
                if job.waits_for.is_empty() {
                    "its first placement"
                } else {
                    job.waits_for
                }
            );
        }
        Ok(When {
            p50_s: left.0,
            p90_s: left.1,
            rests_on,
        })
    }

    /// When this many GPUs will be free for a team, behind what waits already.
    ///
    /// # Errors
    /// Why that can't be told, or never.
    pub fn when_capacity(&self, ask: &Ask, now: Micros) -> Result<When, String> {
        let Some(team) = self.team(&ask.team) else {
            return Err(format!("no team is named '{}'", ask.team));
        };
        if !(ask.gpus.is_finite() && ask.gpus > 0.0) {
            return Err(format!("gpus: {} is not above 0", ask.gpus));
        }
        if let Some(z) = ask.zone.as_ref().filter(|z| !self.cfg.zones.contains(z)) {
            return Err(format!("no zone is named '{z}'"));
        }
        if team.gpus_max > 0.0 && ask.gpus > team.gpus_max {
            return Err(format!(
                "{} GPUs exceed the limit of team '{}', {}",
                ask.gpus, ask.team, team.gpus_max
            ));
        }
        let (mut free, mut machines, mut used) = (0.0, 0, 0.0);
        let (mut here, mut own) = (Vec::new(), Vec::new());
        for m in self.machines.values() {
            let zone = ask.zone.as_ref().is_none_or(|z| *z == m.zone);
            let usable = zone
                && m.phase == MachinePhase::Up
                && !m.deleting
                && !m.faulty
                && m.notice.is_none();
            let mut room = self.machine_type(&m.machine_type).map_or(0.0, |t| t.gpus);
            for ((task, attempt), allocation) in m.allocations().iter().filter(|(_, s)| s.is_live())
            {
                let Some(spec) = &allocation.spec else {
                    continue;
                };
                room -= spec.gpus;
                used += if spec.team == ask.team {
                    spec.gpus
                } else {
                    0.0
                };
                if spec.kind == JobKind::Service || spec.gpus <= 0.0 {
                    continue;
                }
                let index = if spec.kind == JobKind::Gang {
                    0
                } else {
                    task.index
                };
                let key = (
                    TaskId {
                        job: task.job.clone(),
                        index,
                    },
                    *attempt,
                );
                let waits = matches!(
                    allocation.state,
                    AllocationState::Sent | AllocationState::Live(TaskState::Fetching)
                );
                let (run, ran_s) = match self.learned.learner.remaining(&key, now) {
                    Some(found) => found,
                    None if waits => (self.expected(spec).distribution, 0.0),
                    None => (
                        self.expected(spec).distribution,
                        (now - allocation.since).as_secs_f64(),
                    ),
                };
                let freeing = ReleasingTask {
                    run,
                    ran_s,
                    amount: spec.gpus,
                };
                if usable {
                    here.push(freeing);
                }
                if spec.team == ask.team {
                    own.push(freeing);
                }
            }
            if usable {
                machines += 1;
                free += room.max(0.0);
            }
        }
        let ahead: f64 = self
            .jobs
            .values()
            .filter(|j| ask.zone.is_none() || j.spec.zone.is_none() || j.spec.zone == ask.zone)
            .map(|j| f64::from(j.unplaced_tasks()) * j.spec.gpus)
            .sum();
        let place = ask
            .zone
            .as_ref()
            .map_or(String::new(), |z| format!(" in zone {z}"));
        let Some(mut found) = time_until_free(&here, free, ask.gpus + ahead) else {
            return Err(format!(
                "running work on {machines} machines{place} will not free {} GPUs behind {ahead} that wait already ({free} are free): more must be rented",
                ask.gpus
            ));
        };
        let mut rests_on = format!(
            "{free} GPUs free on {machines} machines{place}, {} running tasks, {ahead} GPUs waiting ahead",
            here.len()
        );
        if team.gpus_max > 0.0 && used + ask.gpus > team.gpus_max {
            let Some(limit) = time_until_free(&own, team.gpus_max - used, ask.gpus) else {
                return Err(format!(
                    "team '{}' uses {used} of {} GPUs with services that stay",
                    ask.team, team.gpus_max
                ));
            };
            found = (found.0.max(limit.0), found.1.max(limit.1));
            rests_on += &format!("; the team uses {used} of {} GPUs", team.gpus_max);
        }
        Ok(When {
            p50_s: found.0,
            p90_s: found.1,
            rests_on,
        })
    }
}
