//! Users: they submit, poll and cancel as the protocol describes it, and by faults of theirs concurrently or
//! with malformed requests.

use super::api::{Request, Response};
use super::kv_store::FaultWindow;
use super::{JobGroundTruth, Simulation};
use hopyoke_protocol::user::{JobKind, JobSpec, JobState};
use hopyoke_protocol::worker::TaskState;
use hopyoke_protocol::{decode, encode};
use hopyoke_types::{JobId, MachineId, Micros, TaskId};
use std::collections::BTreeMap;
use std::rc::Rc;

/// How long users wait for the answer to a poll.
const POLL_TIMEOUT: Micros = Micros::from_secs(2);
/// How long users wait for the answer to another request.
const REQUEST_TIMEOUT: Micros = Micros::from_secs(5);

/// Jobs that are cancelled while they run have at least this long to go.
const MIN_REMAINING_RUN_TIME: Micros = Micros::from_secs(20);
/// Jobs are cancelled together within this, in microseconds.
const CANCEL_SPREAD: u64 = 200_000;
/// Machines that hang while their jobs are cancelled.
const MAX_HANGING_MACHINES: usize = 8;
/// A cancellation at a task's end may come so long before it.
const CANCEL_LEAD_TIME: Micros = Micros::from_millis(10);

/// What users do besides, and until when.
#[derive(Debug, Default)]
pub(crate) struct UserBehavior {
    /// Until then they read at all nodes right after each change.
    pub(crate) concurrent_reads_until: Micros,
    /// Share of the jobs that are cancelled at the moment of their end.
    pub(crate) cancel_at_end: FaultWindow,
    /// Until then they send malformed requests.
    pub(crate) malformed_requests_until: Micros,
    /// Malformed submissions so far.
    malformed_count: u64,
}

impl Simulation {
    /// A user sends a request to a node; `then` sees the answer, if one comes in time.
    pub(crate) fn send_request(
        &mut self,
        i: usize,
        id: &JobId,
        request: Request,
        then: impl FnOnce(&mut Simulation, Response) + 'static,
    ) {
        let (observed_state, sent, id) = (self.observed_state(id), self.now, id.clone());
        let timeout = if request == Request::Poll {
            POLL_TIMEOUT
        } else {
            REQUEST_TIMEOUT
        };
        let latency = Micros(self.random(200, 2_000)) + self.delivery_delay(super::Host::Node(i));
        self.timer(i, latency, move |sim| {
            if !sim.nodes[i].up {
                return;
            }
            let process = sim.nodes[i].process;
            let job = id.clone();
            let respond = move |sim: &mut Simulation, response: Response| {
                if !sim.alive(i, process) {
                    return;
                }
                let latency = Micros(sim.random(200, 2_000));
                sim.after(latency, move |sim| {
                    if sim.now > sent + timeout {
                        return;
                    }
                    sim.log(|| format!("node {i} answers a {request:?} of {id}: {response:?}"));
                    sim.observe_response(&id, request, observed_state, response);
                    then(sim, response);
                });
            };
            sim.handle_request(i, job, request, Box::new(respond));
        });
    }

    /// A node that can take users' requests; users try one after the other.
    fn pick_node(&mut self) -> usize {
        let n = self.nodes.len() as u64;
        let first = self.random(0, n - 1) as usize;
        (0..n as usize)
            .map(|k| (first + k) % n as usize)
            .find(|&k| self.nodes[k].up && !self.is_paused(k))
            .unwrap_or(first)
    }

    /// A user submits a job and repeats that until it is accepted or refused.
    pub fn submit(&mut self, id: JobId) {
        let now = self.now;
        let Some(job) = self
            .jobs
            .get_mut(&id)
            .filter(|j| j.accepted_at.is_none() && !j.is_rejected)
        else {
            return;
        };
        let first = *job.first_submitted_at.get_or_insert(now);
        if self.submission_timeout.is_some_and(|p| now >= first + p) {
            return;
        }
        let i = self.pick_node();
        let job = id.clone();
        // Users retry after a second or so, or as `Retry-After` says.
        let pause = if self.limits.is_some() {
            self.random(1_000_000, 2_000_000)
        } else {
            1_500_000
        };
        let retry_at = self.now + Micros(pause);
        self.send_request(i, &id, Request::Submit, move |sim, response| {
            if matches!(response, Response::Malformed | Response::Unschedulable)
                && let Some(job) = sim.jobs.get_mut(&job)
            {
                job.is_rejected = true;
            }
        });
        self.at(retry_at, move |sim| sim.submit(id));
    }

    /// A user cancels a job and repeats that until it gets the job's final state.
    pub(crate) fn cancel(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id).filter(|j| j.observed_end.is_none()) else {
            return;
        };
        job.cancel_requested = true;
        let i = self.pick_node();
        self.send_request(i, &id, Request::Cancel, |_, _| {});
        self.after(Micros::from_millis(1500), move |sim| sim.cancel(id));
    }

    /// A user asks about a job, every few seconds until it is over, and now and then later on.
    pub(crate) fn poll(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let pause = if job.observed_end.is_some() {
            self.random(15_000_000, 40_000_000)
        } else {
            5_000_000
        };
        let i = self.pick_node();
        self.send_request(i, &id, Request::Poll, |_, _| {});
        self.after(Micros(pause), move |sim| sim.poll(id));
    }

    /// A job's user first gets to know that it is accepted, or over. With concurrent reads it polls every node within
    /// milliseconds, several times, and repeats the submission; some cancel at once.
    pub(crate) fn job_progress_observed(&mut self, id: &JobId, end: Option<JobState>) {
        if self.now >= self.user_behavior.concurrent_reads_until {
            return;
        }
        for i in 0..self.nodes.len() {
            for request in [Request::Poll, Request::Poll, Request::Poll, Request::Submit] {
                let (id, wait) = (id.clone(), Micros(self.random(0, 80_000)));
                self.after(wait, move |sim| {
                    sim.send_request(i, &id, request, |_, _| {})
                });
            }
        }
        if end.is_none() && self.random(0, 3) == 0 {
            let (id, wait) = (id.clone(), Micros(self.random(0, 20_000)));
            self.after(wait, move |sim| sim.cancel(id));
        }
    }

    /// A task ends after `left`, if nothing comes between: its user may call just before.
    pub(crate) fn schedule_cancel_at_end(&mut self, task: &TaskId, left: Micros) {
        let task = task.clone();
        self.after(left.max(CANCEL_LEAD_TIME) - CANCEL_LEAD_TIME, move |sim| {
            let unfinished = sim
                .jobs
                .get(&task.job)
                .map_or(0, |j| j.done.iter().filter(|d| !**d).count());
            let gang = sim
                .jobs
                .get(&task.job)
                .is_some_and(|j| j.spec.kind == JobKind::Gang);
            if gang || unfinished == 1 {
                sim.cancel_at_job_end(&task.job);
            }
        });
    }

    /// A job's last task ends now: some users cancel it, ask everywhere and repeat the submission just then, or
    /// when its end is being recorded.
    pub(crate) fn cancel_at_job_end(&mut self, id: &JobId) {
        let FaultWindow { percent, until } = self.user_behavior.cancel_at_end;
        let drawn = self.now < until
            && self
                .jobs
                .get(id)
                .is_some_and(|j| j.accepted_at.is_some() && j.observed_end.is_none());
        if !drawn
            || self
                .jobs
                .get_mut(id)
                .is_none_or(|j| std::mem::replace(&mut j.cancel_at_end_drawn, true))
        {
            return;
        }
        if self.random(0, 99) >= percent {
            return;
        }
        let span = [20_000, 800_000][self.random(0, 1) as usize];
        let (job, wait) = (id.clone(), Micros(self.random(0, span)));
        self.after(wait, move |sim| sim.cancel(job));
        for i in 0..self.nodes.len() {
            for request in [Request::Poll, Request::Poll, Request::Submit] {
                let (id, wait) = (id.clone(), Micros(self.random(0, span)));
                self.after(wait, move |sim| {
                    sim.send_request(i, &id, request, |_, _| {})
                });
            }
        }
    }

    /// Users call off jobs that run and have long to go, at once; some of their machines hang for a while.
    pub(crate) fn cancel_running_jobs(&mut self, max_jobs: usize, hang_duration: Micros) {
        let now = self.now;
        let mut running: BTreeMap<JobId, Vec<MachineId>> = BTreeMap::new();
        for m in self.machines.values() {
            for ((task, _), t) in m
                .tasks
                .iter()
                .filter(|(_, t)| t.state == TaskState::Running)
            {
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                let is_long_running = job.spec.kind == JobKind::Service
                    || job.run_time
                        > job.checkpointed_progress + (now - t.started_at) + MIN_REMAINING_RUN_TIME;
                if is_long_running && job.observed_end.is_none() && !job.cancel_requested {
                    running
                        .entry(task.job.clone())
                        .or_default()
                        .push(m.id.clone());
                }
            }
        }
        let mut hanging = 0;
        for _ in 0..max_jobs.min(running.len()) {
            let at = self.random(0, running.len() as u64 - 1) as usize;
            let Some(id) = running.keys().nth(at).cloned() else {
                return;
            };
            for m in running.remove(&id).unwrap_or_default() {
                if let Some(m) = self
                    .machines
                    .get_mut(&m)
                    .filter(|m| hang_duration.0 > 0 && m.hangs_until < now + hang_duration)
                    && hanging < MAX_HANGING_MACHINES
                {
                    m.hangs_until = now + hang_duration;
                    hanging += 1;
                }
            }
            let wait = Micros(self.random(0, CANCEL_SPREAD));
            self.after(wait, move |sim| sim.cancel(id));
        }
    }

    /// Users send malformed requests, again and again.
    pub(crate) fn send_malformed_requests(&mut self) {
        if self.now >= self.user_behavior.malformed_requests_until {
            return;
        }
        let i = self.pick_node();
        match self.random(0, 3) {
            0 => {
                if let Some(id) =
                    self.pick_job(|j| j.accepted_at.is_some() && j.observed_end.is_none())
                {
                    self.send_request(i, &id, Request::Submit, |_, _| {});
                }
            }
            1 => {
                if let Some(id) = self.pick_job(|j| j.observed_end == Some(JobState::Done)) {
                    self.send_request(i, &id, Request::Cancel, |_, _| {});
                }
            }
            2 => self.submit_malformed(),
            _ => {
                // Nobody ever submits these.
                let id = JobId::new(&format!("req-{}", 990_000 + self.random(0, 9_999)));
                let request = [Request::Poll, Request::Cancel][self.random(0, 1) as usize];
                self.send_request(i, &id, request, |_, _| {});
            }
        }
        let pause = Micros(self.random(100_000, 700_000));
        self.after(pause, Simulation::send_malformed_requests);
    }

    fn pick_job(&mut self, which: impl Fn(&JobGroundTruth) -> bool) -> Option<JobId> {
        let found: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, j)| which(j))
            .map(|(id, _)| id.clone())
            .collect();
        let at = self.random(0, found.len().max(1) as u64 - 1) as usize;
        found.get(at).cloned()
    }

    /// Submits a job that can't run, or whose description lacks a field or has one out of its range.
    fn submit_malformed(&mut self) {
        self.user_behavior.malformed_count += 1;
        let id = JobId::new(&format!(
            "req-{}",
            900_000 + self.user_behavior.malformed_count
        ));
        let team = self
            .config
            .teams
            .iter()
            .find(|t| t.gpus_max > 0.0)
            .cloned()
            .unwrap_or_default();
        let mut spec = JobSpec::with_defaults(id.clone(), "c", &team.name, "img-1");
        let mut missing_field = None;
        match self.random(0, 9) {
            0 => spec.cpus = 1e6,
            1 => spec.machine_types = Some(vec!["none".to_owned()]),
            2 => spec.zone = Some("nowhere".to_owned()),
            3 => spec.team = "nobody".to_owned(),
            4 => {
                (spec.kind, spec.tasks, spec.gpus) = (JobKind::Gang, team.gpus_max as u32 + 1, 1.0)
            }
            5 => {
                (spec.kind, spec.tasks, spec.spread, spec.one_zone) = (JobKind::Gang, 2, true, true)
            }
            6 => {
                (spec.kind, spec.tasks, spec.spread, spec.zone) =
                    (JobKind::Service, 2, true, Some("a".to_owned()))
            }
            7 => spec.tasks = 0,
            8 => spec.memory_gb = f64::NAN,
            _ => {
                missing_field =
                    Some(["crew", "oars", "cpus", "cargo", "apart"][self.random(0, 4) as usize])
            }
        }
        let mut body = encode(&spec);
        if let (Some(field), Ok(mut map)) = (
            missing_field,
            decode::<BTreeMap<String, serde_json::Value>>(&body),
        ) {
            map.remove(field);
            body = encode(&map);
        }
        let job = JobGroundTruth {
            spec: Rc::new(spec),
            malformed_body: Some(body),
            ..JobGroundTruth::new(id.clone())
        };
        self.jobs.insert(id.clone(), job);
        self.submit(id);
    }
}
