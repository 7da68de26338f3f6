//! Simulated users. They submit, poll and cancel jobs as the user protocol requires. Injected behavior adds concurrent
//! requests, cancellations at critical moments and malformed requests.

use super::api::{Request, Response};
use super::kv_store::FaultWindow;
use super::{JobGroundTruth, Simulation};
use hopyoke_protocol::user::{JobKind, JobSpec, JobState};
use hopyoke_protocol::worker::TaskState;
use hopyoke_protocol::{decode, encode};
use hopyoke_types::{JobId, MachineId, Micros, TaskId};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Time that users wait for the response to a poll.
const POLL_TIMEOUT: Micros = Micros::from_secs(2);
/// Time that users wait for the response to any other request.
const REQUEST_TIMEOUT: Micros = Micros::from_secs(5);

/// Minimum remaining run time of jobs that are cancelled together while they run.
const MIN_REMAINING_RUN_TIME: Micros = Micros::from_secs(20);
/// Interval within which jobs are cancelled together, in microseconds.
const CANCEL_WINDOW_US: u64 = 200_000;
/// Maximum number of machines that hang while their jobs are cancelled.
const MAX_HANGING_MACHINES: usize = 8;
/// Time by which a cancellation at a task's end precedes it.
const CANCEL_LEAD_TIME: Micros = Micros::from_millis(10);

/// User behavior beyond submitting and polling, and until when it lasts.
#[derive(Debug, Default)]
pub(crate) struct UserBehavior {
    /// End of the period during which users poll all nodes right after each change.
    pub(crate) concurrent_reads_until: Micros,
    /// Share of the jobs that are cancelled at the moment they end.
    pub(crate) cancel_at_end: FaultWindow,
    /// End of the period during which users send malformed or misdirected requests.
    pub(crate) malformed_requests_until: Micros,
    /// Number of malformed submissions so far.
    malformed_count: u64,
}

impl Simulation {
    /// Sends a user's request to a node. `then` receives the response if it arrives in time.
    pub(crate) fn send_request(
        &mut self,
        node: usize,
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
        let latency =
            Micros(self.random(200, 2_000)) + self.delivery_delay(super::Host::Node(node));
        self.timer(node, latency, move |sim| {
            if !sim.nodes[node].up {
                return;
            }
            let process = sim.nodes[node].process;
            let job = id.clone();
            let respond = move |sim: &mut Simulation, response: Response| {
                if !sim.alive(node, process) {
                    return;
                }
                let latency = Micros(sim.random(200, 2_000));
                sim.after(latency, move |sim| {
                    if sim.now > sent + timeout {
                        return;
                    }
                    sim.log(|| format!("node {node} answers a {request:?} of {id}: {response:?}"));
                    sim.observe_response(&id, request, observed_state, response);
                    then(sim, response);
                });
            };
            sim.handle_request(node, job, request, Box::new(respond));
        });
    }

    /// Returns a random node that is up and not paused, or a random node if there is none.
    fn pick_node(&mut self) -> usize {
        let node_count = self.nodes.len() as u64;
        let first = self.random(0, node_count - 1) as usize;
        (0..node_count as usize)
            .map(|offset| (first + offset) % node_count as usize)
            .find(|&node| self.nodes[node].up && !self.is_paused(node))
            .unwrap_or(first)
    }

    /// Submits a job, and repeats the submission until the job is accepted or rejected or `submission_timeout` has
    /// passed.
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
        let node = self.pick_node();
        let job = id.clone();
        // With rate limits the delay is random, as with `Retry-After`.
        let retry_delay = if self.limits.is_some() {
            self.random(1_000_000, 2_000_000)
        } else {
            1_500_000
        };
        let retry_at = self.now + Micros(retry_delay);
        self.send_request(node, &id, Request::Submit, move |sim, response| {
            if matches!(response, Response::Malformed | Response::Unschedulable)
                && let Some(job) = sim.jobs.get_mut(&job)
            {
                job.is_rejected = true;
            }
        });
        self.at(retry_at, move |sim| sim.submit(id));
    }

    /// Cancels a job, and repeats the request until its user has observed a final state.
    pub(crate) fn cancel(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id).filter(|j| j.observed_end.is_none()) else {
            return;
        };
        job.cancel_requested = true;
        let node = self.pick_node();
        self.send_request(node, &id, Request::Cancel, |_, _| {});
        self.after(Micros::from_millis(1500), move |sim| sim.cancel(id));
    }

    /// Polls a job periodically, less often once its final state was observed.
    pub(crate) fn poll(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let interval = if job.observed_end.is_some() {
            self.random(15_000_000, 40_000_000)
        } else {
            5_000_000
        };
        let node = self.pick_node();
        self.send_request(node, &id, Request::Poll, |_, _| {});
        self.after(Micros(interval), move |sim| sim.poll(id));
    }

    /// Reacts to the first observation that a job is accepted or finished. With concurrent reads enabled its user polls
    /// every node several times within milliseconds and repeats the submission; some users cancel immediately.
    pub(crate) fn job_progress_observed(&mut self, id: &JobId, end: Option<JobState>) {
        if self.now >= self.user_behavior.concurrent_reads_until {
            return;
        }
        for node in 0..self.nodes.len() {
            for request in [Request::Poll, Request::Poll, Request::Poll, Request::Submit] {
                let (id, wait) = (id.clone(), Micros(self.random(0, 80_000)));
                self.after(wait, move |sim| {
                    sim.send_request(node, &id, request, |_, _| {})
                });
            }
        }
        if end.is_none() && self.random(0, 3) == 0 {
            let (id, wait) = (id.clone(), Micros(self.random(0, 20_000)));
            self.after(wait, move |sim| sim.cancel(id));
        }
    }

    /// Schedules a possible cancellation just before a task ends, which it does after `remaining` if it is not
    /// interrupted.
    pub(crate) fn schedule_cancel_at_end(&mut self, task: &TaskId, remaining: Micros) {
        let task = task.clone();
        self.after(
            remaining.max(CANCEL_LEAD_TIME) - CANCEL_LEAD_TIME,
            move |sim| {
                let unfinished = sim
                    .jobs
                    .get(&task.job)
                    .map_or(0, |j| j.done.iter().filter(|d| !**d).count());
                let is_gang = sim
                    .jobs
                    .get(&task.job)
                    .is_some_and(|j| j.spec.kind == JobKind::Gang);
                if is_gang || unfinished == 1 {
                    sim.cancel_at_job_end(&task.job);
                }
            },
        );
    }

    /// Reacts to the end of a job's last task: some users cancel the job, poll every node and repeat the submission, at
    /// that moment or while the end is being recorded.
    pub(crate) fn cancel_at_job_end(&mut self, id: &JobId) {
        let FaultWindow { percent, until } = self.user_behavior.cancel_at_end;
        let is_applicable = self.now < until
            && self
                .jobs
                .get(id)
                .is_some_and(|j| j.accepted_at.is_some() && j.observed_end.is_none());
        if !is_applicable
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
        let window_us = [20_000, 800_000][self.random(0, 1) as usize];
        let (job, wait) = (id.clone(), Micros(self.random(0, window_us)));
        self.after(wait, move |sim| sim.cancel(job));
        for node in 0..self.nodes.len() {
            for request in [Request::Poll, Request::Poll, Request::Submit] {
                let (id, wait) = (id.clone(), Micros(self.random(0, window_us)));
                self.after(wait, move |sim| {
                    sim.send_request(node, &id, request, |_, _| {})
                });
            }
        }
    }

    /// Cancels up to `max_jobs` running jobs that have long to run, within [`CANCEL_WINDOW_US`]. Some of their
    /// machines hang for `hang_duration`.
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
            let wait = Micros(self.random(0, CANCEL_WINDOW_US));
            self.after(wait, move |sim| sim.cancel(id));
        }
    }

    /// Sends malformed or misdirected requests periodically.
    pub(crate) fn send_malformed_requests(&mut self) {
        if self.now >= self.user_behavior.malformed_requests_until {
            return;
        }
        let node = self.pick_node();
        match self.random(0, 3) {
            0 => {
                if let Some(id) =
                    self.pick_job(|j| j.accepted_at.is_some() && j.observed_end.is_none())
                {
                    self.send_request(node, &id, Request::Submit, |_, _| {});
                }
            }
            1 => {
                if let Some(id) = self.pick_job(|j| j.observed_end == Some(JobState::Done)) {
                    self.send_request(node, &id, Request::Cancel, |_, _| {});
                }
            }
            2 => self.submit_malformed(),
            _ => {
                // Jobs with these IDs are never submitted.
                let id = JobId::new(&format!("req-{}", 990_000 + self.random(0, 9_999)));
                let request = [Request::Poll, Request::Cancel][self.random(0, 1) as usize];
                self.send_request(node, &id, request, |_, _| {});
            }
        }
        let pause = Micros(self.random(100_000, 700_000));
        self.after(pause, Simulation::send_malformed_requests);
    }

    /// Returns a random job that matches a predicate. Returns `None` if there is none.
    fn pick_job(&mut self, matches: impl Fn(&JobGroundTruth) -> bool) -> Option<JobId> {
        let found: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, j)| matches(j))
            .map(|(id, _)| id.clone())
            .collect();
        let at = self.random(0, found.len().max(1) as u64 - 1) as usize;
        found.get(at).cloned()
    }

    /// Submits a job that can never run, or whose description lacks a field or has one out of range.
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
