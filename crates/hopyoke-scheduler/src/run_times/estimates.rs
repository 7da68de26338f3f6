//! Estimates from learned run times: when a job ends, when capacity becomes free.

use super::work_of;
use crate::Scheduler;
use crate::ledger::{Allocation, AllocationState, Job, Machine, MachinePhase, WaitReason};
use hopyoke_protocol::user::{JobKind, JobSpec};
use hopyoke_protocol::worker::TaskState;
use hopyoke_run_times::Estimate;
use hopyoke_run_times::capacity::{ReleasingTask, time_until_free};
use hopyoke_types::{Attempt, JobId, Micros, TaskId};

/// A question of when capacity becomes free.
#[derive(Debug, Clone, PartialEq)]
pub struct CapacityQuery {
    /// Whose work it is for.
    pub team: String,
    /// GPUs, above 0.
    pub gpus: f64,
    /// Only in this zone.
    pub zone: Option<String>,
}

/// When something will be over or free, in seconds from now.
#[derive(Debug, Clone, PartialEq)]
pub struct CompletionEstimate {
    /// With probability 0.5 by then.
    pub p50_s: f64,
    /// With probability 0.9 by then.
    pub p90_s: f64,
    /// What the estimate rests on, as shown to the user.
    pub basis: String,
}

/// When all attempts of a job that have a machine will be over.
#[derive(Default)]
struct PlacedAttemptsEnd {
    p50_s: f64,
    p90_s: f64,
    /// Attempts seen running.
    running: u32,
    placed: u32,
}

/// GPUs that are free, and those that running work will free.
#[derive(Default)]
struct CapacitySurvey {
    /// Free GPUs on usable machines.
    free: f64,
    /// Usable machines.
    machines: u32,
    /// GPUs that the team uses.
    used: f64,
    /// Attempts on usable machines.
    usable: Vec<ReleasingTask>,
    /// Attempts of the team.
    of_team: Vec<ReleasingTask>,
}

impl Scheduler {
    /// What a task of this job is expected to take once it runs.
    pub fn estimate_run_time(&self, spec: &JobSpec) -> Estimate {
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
    /// Why there is no estimate, as shown to the user.
    pub fn estimate_job_end(&self, id: &JobId, now: Micros) -> Result<CompletionEstimate, String> {
        let job = self
            .jobs
            .get(id)
            .ok_or_else(|| format!("no unfinished job is named {id}"))?;
        let spec = &job.spec;
        if spec.kind == JobKind::Service {
            return Err(format!("{id} is a service: it runs until it is cancelled"));
        }
        let anew = self.estimate_run_time(spec);
        let lead_s = self.learned.learner.start_latency_s(&spec.class);
        let mut left = self.placed_attempts_end(id, job, &anew, lead_s, now);
        let waiting = job.unplaced_tasks();
        if waiting > 0 {
            // What has no machine yet follows in as many turns as it takes beside what runs now.
            let turns = if job.is_gang() {
                1.0
            } else {
                f64::from(waiting.div_ceil(left.placed.max(1)))
            };
            let one = |p: f64| lead_s + anew.distribution.quantile(all_of(p, waiting));
            left.p50_s += turns * one(0.5);
            left.p90_s += turns * one(0.9);
        }
        Ok(CompletionEstimate {
            p50_s: left.p50_s,
            p90_s: left.p90_s,
            basis: job_estimate_basis(job, &anew, left.running, waiting),
        })
    }

    /// When the attempts under way will be over.
    fn placed_attempts_end(
        &self,
        id: &JobId,
        job: &Job,
        anew: &Estimate,
        lead_s: f64,
        now: Micros,
    ) -> PlacedAttemptsEnd {
        let n = if job.is_gang() {
            1
        } else {
            job.attempts.len() as u32
        };
        let mut end = PlacedAttemptsEnd::default();
        for (index, attempts) in &job.attempts {
            for (_, attempt) in attempts {
                let task = TaskId {
                    job: id.clone(),
                    index: *index,
                };
                let remaining = |p: f64| match self.remaining_s(&task, *attempt, all_of(p, n), now)
                {
                    Some(s) => (s, 1),
                    None => (lead_s + anew.distribution.quantile(all_of(p, n)), 0),
                };
                let ((p50_s, seen), (p90_s, _)) = (remaining(0.5), remaining(0.9));
                end.p50_s = end.p50_s.max(p50_s);
                end.p90_s = end.p90_s.max(p90_s);
                end.running += seen;
                end.placed += 1;
            }
        }
        end
    }

    /// When this many GPUs will be free for a team, behind what waits already.
    ///
    /// # Errors
    /// Why there is no estimate, or never, as shown to the user.
    pub fn estimate_capacity(
        &self,
        query: &CapacityQuery,
        now: Micros,
    ) -> Result<CompletionEstimate, String> {
        let gpus_max = self.check_capacity_query(query)?;
        let capacity = self.survey_capacity(query, now);
        let ahead: f64 = self
            .jobs
            .values()
            .filter(|j| query.zone.is_none() || j.spec.zone.is_none() || j.spec.zone == query.zone)
            .map(|j| f64::from(j.unplaced_tasks()) * j.spec.gpus)
            .sum();
        let place = query
            .zone
            .as_ref()
            .map_or(String::new(), |z| format!(" in zone {z}"));
        let (free, machines, used) = (capacity.free, capacity.machines, capacity.used);
        let Some(mut found) = time_until_free(&capacity.usable, free, query.gpus + ahead) else {
            return Err(format!(
                "running work on {machines} machines{place} will not free {} GPUs behind {ahead} that wait already ({free} are free): more must be rented",
                query.gpus
            ));
        };
        let mut basis = format!(
            "{free} GPUs free on {machines} machines{place}, {} running tasks, {ahead} GPUs waiting ahead",
            capacity.usable.len()
        );
        if gpus_max > 0.0 && used + query.gpus > gpus_max {
            let Some(limit) = time_until_free(&capacity.of_team, gpus_max - used, query.gpus)
            else {
                return Err(format!(
                    "team '{}' uses {used} of {gpus_max} GPUs with services that stay",
                    query.team
                ));
            };
            found = (found.0.max(limit.0), found.1.max(limit.1));
            basis += &format!("; the team uses {used} of {gpus_max} GPUs");
        }
        Ok(CompletionEstimate {
            p50_s: found.0,
            p90_s: found.1,
            basis,
        })
    }

    /// The team's limit of GPUs (0: none) if the query can be answered at all.
    fn check_capacity_query(&self, query: &CapacityQuery) -> Result<f64, String> {
        let Some(team) = self.team(&query.team) else {
            return Err(format!("no team is named '{}'", query.team));
        };
        if !(query.gpus.is_finite() && query.gpus > 0.0) {
            return Err(format!("gpus: {} is not above 0", query.gpus));
        }
        if let Some(z) = query.zone.as_ref().filter(|z| !self.cfg.zones.contains(z)) {
            return Err(format!("no zone is named '{z}'"));
        }
        if team.gpus_max > 0.0 && query.gpus > team.gpus_max {
            return Err(format!(
                "{} GPUs exceed the limit of team '{}', {}",
                query.gpus, query.team, team.gpus_max
            ));
        }
        Ok(team.gpus_max)
    }

    /// What is free now, and what running work will free.
    fn survey_capacity(&self, query: &CapacityQuery, now: Micros) -> CapacitySurvey {
        let mut survey = CapacitySurvey::default();
        for m in self.machines.values() {
            let is_in_zone = query.zone.as_ref().is_none_or(|z| *z == m.zone);
            let is_usable = is_in_zone
                && m.phase == MachinePhase::Up
                && !m.deleting
                && !m.faulty
                && m.preemption_notice_at.is_none();
            let free = self.survey_machine(m, query, is_usable, now, &mut survey);
            if is_usable {
                survey.machines += 1;
                survey.free += free.max(0.0);
            }
        }
        survey
    }

    /// Adds what a machine's attempts take and will free; returns its free GPUs.
    fn survey_machine(
        &self,
        m: &Machine,
        query: &CapacityQuery,
        is_usable: bool,
        now: Micros,
        survey: &mut CapacitySurvey,
    ) -> f64 {
        let mut free = self.machine_type(&m.machine_type).map_or(0.0, |t| t.gpus);
        for ((task, attempt), allocation) in m.allocations().iter().filter(|(_, s)| s.is_live()) {
            let Some(spec) = &allocation.spec else {
                continue;
            };
            free -= spec.gpus;
            survey.used += if spec.team == query.team {
                spec.gpus
            } else {
                0.0
            };
            if spec.kind == JobKind::Service || spec.gpus <= 0.0 {
                continue;
            }
            let freeing = self.freeing(task, *attempt, allocation, spec, now);
            if is_usable {
                survey.usable.push(freeing);
            }
            if spec.team == query.team {
                survey.of_team.push(freeing);
            }
        }
        free
    }

    /// When an attempt will free its GPUs.
    fn freeing(
        &self,
        task: &TaskId,
        attempt: Attempt,
        allocation: &Allocation,
        spec: &JobSpec,
        now: Micros,
    ) -> ReleasingTask {
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
            attempt,
        );
        let has_not_begun = matches!(
            allocation.state,
            AllocationState::Unconfirmed | AllocationState::Live(TaskState::Fetching)
        );
        let (run, ran_s) = match self.learned.learner.remaining(&key, now) {
            Some(found) => found,
            None if has_not_begun => (self.estimate_run_time(spec).distribution, 0.0),
            None => (
                self.estimate_run_time(spec).distribution,
                (now - allocation.created_at).as_secs_f64(),
            ),
        };
        ReleasingTask {
            run,
            ran_s,
            amount: spec.gpus,
        }
    }
}

/// The probability of each of `n` independent runs, if all of them are to be over with probability `p`.
fn all_of(p: f64, n: u32) -> f64 {
    p.powf(1.0 / f64::from(n.max(1)))
}

/// What an estimate of a job's end rests on, as shown to the user.
fn job_estimate_basis(job: &Job, anew: &Estimate, running: u32, waiting: u32) -> String {
    let (spec, b) = (&job.spec, &anew.basis);
    let mut basis = format!(
        "{running} of {} tasks seen running, {waiting} without a place; {} runs of class {}, {} of team {}; owners' estimates count {:.0}%",
        spec.tasks,
        b.class_runs,
        spec.class,
        b.team_runs,
        spec.team,
        100.0 * b.ratio_share
    );
    if b.changes > 0 {
        basis += &format!("; the class has changed {} times", b.changes);
    }
    if waiting > 0 {
        basis += &format!(
            "; the wait for a place is not counted (it waits for {})",
            job.wait_reason.unwrap_or(WaitReason::FirstPlacement)
        );
    }
    basis
}
