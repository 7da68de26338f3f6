//! Estimates from learned run times: when jobs end, and when capacity becomes free.

use super::workload;
use crate::Scheduler;
use crate::ledger::{Allocation, AllocationState, Job, Machine, MachinePhase, WaitReason};
use hopyoke_protocol::user::{JobKind, JobSpec};
use hopyoke_protocol::worker::TaskState;
use hopyoke_run_times::Estimate;
use hopyoke_run_times::capacity::{ReleasingTask, time_until_free};
use hopyoke_types::{Attempt, JobId, Micros, TaskId};

/// A query for when GPUs become free.
#[derive(Debug, Clone, PartialEq)]
pub struct CapacityQuery {
    /// Team that needs the GPUs.
    pub team: String,
    /// Number of GPUs, above 0.
    pub gpus: f64,
    /// Zone in which they are needed. `None` for any.
    pub zone: Option<String>,
}

/// Estimated time of a job's end or of free capacity, in seconds from now.
#[derive(Debug, Clone, PartialEq)]
pub struct CompletionEstimate {
    /// Median.
    pub p50_s: f64,
    /// 90th percentile.
    pub p90_s: f64,
    /// Data that the estimate is based on, as shown to the user.
    pub basis: String,
}

/// Estimated end of all placed attempts of a job, in seconds from now.
#[derive(Default)]
struct PlacedAttemptsEnd {
    p50_s: f64,
    p90_s: f64,
    /// Number of attempts that were reported as running.
    running: u32,
    /// Number of placed attempts.
    placed: u32,
}

/// GPUs that are free, and GPUs that running tasks will release.
#[derive(Default)]
struct CapacitySurvey {
    /// Number of free GPUs on usable machines.
    free: f64,
    /// Number of usable machines.
    machines: u32,
    /// Number of GPUs that the team uses.
    used: f64,
    /// Attempts on usable machines, except those of services.
    usable: Vec<ReleasingTask>,
    /// Attempts of the team, except those of services.
    of_team: Vec<ReleasingTask>,
}

impl Scheduler {
    /// Returns the estimated run time of a task of this job.
    pub fn estimate_run_time(&self, spec: &JobSpec) -> Estimate {
        self.learned.learner.estimate(workload(spec), None)
    }

    /// Returns the remaining run time of an attempt in seconds, as its quantile at `p`. Returns `None` if the
    /// learner does not know the run.
    pub fn remaining_s(&self, task: &TaskId, attempt: Attempt, p: f64, now: Micros) -> Option<f64> {
        let job = self.jobs.get(&task.job)?;
        let index = if job.is_gang() { 0 } else { task.index };
        let (distribution, ran_s) = self.learned.learner.distribution_and_elapsed(
            &(
                TaskId {
                    job: task.job.clone(),
                    index,
                },
                attempt,
            ),
            now,
        )?;
        Some(distribution.remaining_quantile(ran_s, p))
    }

    /// Estimates when a job ends.
    ///
    /// # Errors
    /// Returns why there is no estimate, as shown to the user.
    pub fn estimate_job_end(&self, id: &JobId, now: Micros) -> Result<CompletionEstimate, String> {
        let job = self
            .jobs
            .get(id)
            .ok_or_else(|| format!("no unfinished job is named {id}"))?;
        let spec = &job.spec;
        if spec.kind == JobKind::Service {
            return Err(format!("{id} is a service: it runs until cancelled"));
        }
        let run_estimate = self.estimate_run_time(spec);
        let start_latency_s = self.learned.learner.start_latency_s(&spec.class);
        let mut end = self.placed_attempts_end(id, job, &run_estimate, start_latency_s, now);
        let waiting = job.unplaced_tasks();
        if waiting > 0 {
            // Unplaced tasks run in as many rounds as they need at the present number of placed tasks.
            let rounds = if job.is_gang() {
                1.0
            } else {
                f64::from(waiting.div_ceil(end.placed.max(1)))
            };
            let round_s = |p: f64| {
                start_latency_s
                    + run_estimate
                        .distribution
                        .quantile(per_run_probability(p, waiting))
            };
            end.p50_s += rounds * round_s(0.5);
            end.p90_s += rounds * round_s(0.9);
        }
        Ok(CompletionEstimate {
            p50_s: end.p50_s,
            p90_s: end.p90_s,
            basis: job_estimate_basis(job, &run_estimate, end.running, waiting),
        })
    }

    /// Estimates when all placed attempts of a job end.
    fn placed_attempts_end(
        &self,
        id: &JobId,
        job: &Job,
        run_estimate: &Estimate,
        start_latency_s: f64,
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
                let remaining = |p: f64| match self.remaining_s(
                    &task,
                    *attempt,
                    per_run_probability(p, n),
                    now,
                ) {
                    Some(s) => (s, 1),
                    None => (
                        start_latency_s
                            + run_estimate
                                .distribution
                                .quantile(per_run_probability(p, n)),
                        0,
                    ),
                };
                let ((p50_s, running), (p90_s, _)) = (remaining(0.5), remaining(0.9));
                end.p50_s = end.p50_s.max(p50_s);
                end.p90_s = end.p90_s.max(p90_s);
                end.running += running;
                end.placed += 1;
            }
        }
        end
    }

    /// Estimates when this many GPUs become free for a team, after the tasks that already wait are placed.
    ///
    /// # Errors
    /// Returns why there is no estimate, or why they never become free, as shown to the user.
    pub fn estimate_capacity(
        &self,
        query: &CapacityQuery,
        now: Micros,
    ) -> Result<CompletionEstimate, String> {
        let gpus_max = self.check_capacity_query(query)?;
        let capacity = self.survey_capacity(query, now);
        let waiting_gpus: f64 = self
            .jobs
            .values()
            .filter(|j| query.zone.is_none() || j.spec.zone.is_none() || j.spec.zone == query.zone)
            .map(|j| f64::from(j.unplaced_tasks()) * j.spec.gpus)
            .sum();
        let zone_suffix = query
            .zone
            .as_ref()
            .map_or(String::new(), |z| format!(" in zone {z}"));
        let (free, machines, used) = (capacity.free, capacity.machines, capacity.used);
        let Some(mut found) = time_until_free(&capacity.usable, free, query.gpus + waiting_gpus)
        else {
            return Err(format!(
                "running tasks on {machines} machines{zone_suffix} will not release {} GPUs beyond {waiting_gpus} for tasks that already wait ({free} are free): more machines must be rented",
                query.gpus
            ));
        };
        let mut basis = format!(
            "{free} GPUs free on {machines} machines{zone_suffix}, {} running tasks, {waiting_gpus} GPUs needed by tasks that already wait",
            capacity.usable.len()
        );
        if gpus_max > 0.0 && used + query.gpus > gpus_max {
            let Some(limit) = time_until_free(&capacity.of_team, gpus_max - used, query.gpus)
            else {
                return Err(format!(
                    "team '{}' uses {used} of {gpus_max} GPUs, too many of them for services",
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

    /// Checks a query. Returns the team's limit of GPUs, or 0 if it has none.
    fn check_capacity_query(&self, query: &CapacityQuery) -> Result<f64, String> {
        let Some(team) = self.team(&query.team) else {
            return Err(format!("no team is named '{}'", query.team));
        };
        if !(query.gpus.is_finite() && query.gpus > 0.0) {
            return Err(format!("gpus: must be above 0, not {}", query.gpus));
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

    /// Collects the GPUs that are free, and the attempts that will release more.
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

    /// Adds the attempts on a machine to the survey. Returns the number of its free GPUs.
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
            let releasing = self.releasing_task(task, *attempt, allocation, spec, now);
            if is_usable {
                survey.usable.push(releasing);
            }
            if spec.team == query.team {
                survey.of_team.push(releasing);
            }
        }
        free
    }

    /// Returns the GPUs that an attempt will release, with its run time.
    fn releasing_task(
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
        let is_not_running = matches!(
            allocation.state,
            AllocationState::Unconfirmed | AllocationState::Live(TaskState::Fetching)
        );
        let (run, ran_s) = match self.learned.learner.distribution_and_elapsed(&key, now) {
            Some(found) => found,
            None if is_not_running => (self.estimate_run_time(spec).distribution, 0.0),
            None => (
                self.estimate_run_time(spec).distribution,
                (now - allocation.created_at).as_secs_f64(),
            ),
        };
        ReleasingTask {
            run_time: run,
            elapsed_s: ran_s,
            amount: spec.gpus,
        }
    }
}

/// Returns the probability with which each of `n` independent runs must have ended for all of them to have ended
/// with probability `p`.
fn per_run_probability(p: f64, n: u32) -> f64 {
    p.powf(1.0 / f64::from(n.max(1)))
}

/// Returns the data that an estimate of a job's end is based on, as shown to the user.
fn job_estimate_basis(job: &Job, run_estimate: &Estimate, running: u32, waiting: u32) -> String {
    let (spec, data) = (&job.spec, &run_estimate.basis);
    let mut basis = format!(
        "{running} of {} tasks running, {waiting} not placed; {} runs of class {}, {} of team {}; weight of owners' estimates {:.0}%",
        spec.tasks,
        data.class_runs,
        spec.class,
        data.team_runs,
        spec.team,
        100.0 * data.ratio_weight
    );
    if data.change_count > 0 {
        basis += &format!(
            "; run times of the class changed {} times",
            data.change_count
        );
    }
    if waiting > 0 {
        basis += &format!(
            "; the time until placement is not included (the job waits for {})",
            job.wait_reason.unwrap_or(WaitReason::FirstPlacement)
        );
    }
    basis
}
