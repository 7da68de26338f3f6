//! Users of a cluster, and the observations they make.

use crate::history::{Answer, Observation, Request, find_violations};
use hopyoke_emulator::Cluster;
use hopyoke_event_loop as runtime;
use hopyoke_event_loop::http::{Client, Method};
use hopyoke_protocol::decode;
use hopyoke_protocol::user::{JobSpec, JobState};
use hopyoke_types::{JobId, Micros};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

pub(crate) const NODES: usize = 3;

pub(crate) fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

/// A job, and the observations of its users.
pub(crate) struct Job {
    pub(crate) id: JobId,
    body: Vec<u8>,
    pub(crate) observations: RefCell<Vec<Observation>>,
    /// Latest stage of all answers so far.
    stage: Cell<u8>,
}

/// Users of a cluster, with one client per node.
pub(crate) struct Users {
    pub(crate) clients: Vec<Client>,
    /// Logical clock that orders the events of all users.
    clock: Cell<u64>,
    rng: RefCell<StdRng>,
}

impl Users {
    pub(crate) fn new(cluster: &Cluster) -> Rc<Users> {
        let clients = cluster.api_addrs.iter().map(|a| Client::new(*a)).collect();
        Rc::new(Users {
            clients,
            clock: Cell::new(0),
            rng: RefCell::new(StdRng::seed_from_u64(35)),
        })
    }

    fn tick(&self) -> u64 {
        self.clock.set(self.clock.get() + 1);
        self.clock.get()
    }

    /// Returns a random delay from a range in milliseconds.
    fn random_delay(&self, range: std::ops::Range<u64>) -> Micros {
        ms(self.rng.borrow_mut().random_range(range))
    }

    pub(crate) fn job(&self, number: u32, estimate_s: f64) -> Rc<Job> {
        let id = JobId::new(&format!("req-{number:06}"));
        let spec = JobSpec {
            estimate_s,
            ..JobSpec::with_defaults(id.clone(), "steady", "crew", "img")
        };
        Rc::new(Job {
            id,
            body: hopyoke_protocol::encode(&spec),
            observations: RefCell::default(),
            stage: Cell::new(0),
        })
    }

    /// Sends a request to one node. If the answer is of a later stage than known so far, sends requests to all nodes.
    pub(crate) async fn send(
        self: &Rc<Users>,
        job: &Rc<Job>,
        node: usize,
        request: Request,
    ) -> Answer {
        let path = format!("/api/jobs/{}", job.id);
        let (method, path, body) = match request {
            Request::Submit => (Method::Post, "/api/jobs".to_owned(), &job.body[..]),
            Request::Poll => (Method::Get, path, &[][..]),
            Request::Cancel => (Method::Post, format!("{path}/withdraw"), &[][..]),
        };
        let limit = if request == Request::Poll {
            ms(2_000)
        } else {
            ms(5_000)
        };
        let sent_at = self.tick();
        let response = self.clients[node].send(method, &path, body, limit).await;
        let received_at = self.tick();
        let answer = match response {
            Ok(r) if matches!(r.status, 200 | 201) => {
                match decode::<JobAnswer>(&r.body).expect("an answer").bearing {
                    JobState::Queued | JobState::Running => Answer::Accepted,
                    JobState::Done => Answer::Done,
                    JobState::Cancelled => Answer::Cancelled,
                }
            }
            Ok(r) if r.status == 404 => Answer::Unknown,
            Ok(r) if matches!(r.status, 400 | 422) => Answer::Refused,
            _ => Answer::NoInformation,
        };
        job.observations.borrow_mut().push(Observation {
            node,
            request,
            sent_at,
            received_at,
            answer,
        });
        if let Some(stage) = answer.stage().filter(|s| *s > job.stage.get()) {
            job.stage.set(stage);
            self.send_to_all_nodes(job, stage);
        }
        answer
    }

    fn send_later(self: &Rc<Users>, job: &Rc<Job>, node: usize, request: Request, after: Micros) {
        let (users, job) = (self.clone(), job.clone());
        runtime::spawn(async move {
            // A delay of zero bypasses the timer, so that the request is sent at once.
            if after > Micros::ZERO {
                runtime::sleep(after).await;
            }
            users.send(&job, node, request).await;
        });
    }

    /// Polls all nodes repeatedly and repeats the submission; a job in a final state is also cancelled.
    fn send_to_all_nodes(self: &Rc<Users>, job: &Rc<Job>, stage: u8) {
        for node in 0..NODES {
            for after in [0, 1, 4, 11, 25, 60, 250, 700, 1200] {
                self.send_later(job, node, Request::Poll, ms(after));
            }
            for after in [0, 9, 35] {
                self.send_later(job, node, Request::Submit, ms(after));
                if stage == 2 {
                    self.send_later(job, node, Request::Cancel, ms(after + 2));
                }
            }
        }
    }

    /// Submits the job to the nodes in turn until it is accepted.
    pub(crate) async fn submit_until_accepted(self: &Rc<Users>, job: &Rc<Job>, first: usize) {
        for node in (0..NODES).cycle().skip(first) {
            if self.send(job, node, Request::Submit).await.stage() >= Some(1) {
                return;
            }
            runtime::sleep(self.random_delay(20..60)).await;
        }
    }

    /// Cancels the job at the nodes in turn until an answer is final.
    async fn cancel_until_final(self: &Rc<Users>, job: &Rc<Job>, first: usize) {
        for node in (0..NODES).cycle().skip(first) {
            if self.send(job, node, Request::Cancel).await.is_final() {
                return;
            }
            runtime::sleep(self.random_delay(1..15)).await;
        }
    }

    /// Cancels the job at all nodes, each with a small random delay after the previous one.
    fn cancel_at_all_nodes(self: &Rc<Users>, job: &Rc<Job>, first: usize) {
        let mut after = Micros::ZERO;
        for k in 0..NODES {
            let (users, job, start) = (self.clone(), job.clone(), after);
            runtime::spawn(async move {
                runtime::sleep(start).await;
                users.cancel_until_final(&job, first + k).await;
            });
            after += self.random_delay(3..45);
        }
    }

    /// Polls one node until its answer is final.
    async fn poll_until_final(self: &Rc<Users>, job: &Rc<Job>, node: usize) {
        while !self.send(job, node, Request::Poll).await.is_final() {
            runtime::sleep(self.random_delay(1..8)).await;
        }
    }
}

#[derive(serde::Deserialize)]
struct JobAnswer {
    bearing: JobState,
}

pub(crate) const JOBS: u32 = 90;

/// Runs the user of one job; the job's number determines how and when it is submitted and cancelled.
async fn run_user(users: Rc<Users>, cluster: Rc<RefCell<Cluster>>, job: Rc<Job>, number: u32) {
    let node = number as usize % NODES;
    for n in 0..NODES {
        let (users, job) = (users.clone(), job.clone());
        runtime::spawn(async move { users.poll_until_final(&job, n).await });
    }
    // Polls start before the submission.
    runtime::sleep(users.random_delay(0..160)).await;
    match number / NODES as u32 % 6 {
        // Completes without cancellation.
        0 => users.submit_until_accepted(&job, node).await,
        // Submitted at all nodes at once.
        1 => (0..NODES).for_each(|n| users.send_later(&job, n, Request::Submit, Micros::ZERO)),
        // Cancelled at once, mostly before the response to the submission.
        2 => {
            let (u, j) = (users.clone(), job.clone());
            runtime::spawn(async move { u.submit_until_accepted(&j, node).await });
            runtime::sleep(users.random_delay(0..30)).await;
            users.cancel_at_all_nodes(&job, node + 1);
        }
        3 => {
            users.submit_until_accepted(&job, node).await;
            users.cancel_at_all_nodes(&job, node);
        }
        4 => {
            users.submit_until_accepted(&job, node).await;
            runtime::sleep(users.random_delay(100..500)).await;
            users.cancel_at_all_nodes(&job, node + 2);
        }
        // Cancelled around the end of its last task.
        _ => {
            users.submit_until_accepted(&job, node).await;
            let fleet = cluster.borrow().fleet.clone();
            while !fleet
                .task_starts
                .borrow()
                .iter()
                .any(|s| s.task.job == job.id)
            {
                runtime::sleep(ms(5)).await;
            }
            runtime::sleep(Micros::from_secs_f64(ESTIMATE_S) + users.random_delay(0..120)).await;
            users.cancel_at_all_nodes(&job, node + 1);
        }
    }
}

pub(crate) const ESTIMATE_S: f64 = 0.3;

/// Runs one user per job, started 75 ms apart, and calls `inject` at each start. Checks that no node answered with an
/// older state than was known, that the agents observed no violation, and that every node reported the final state of
/// every job.
pub(crate) async fn run_all_users(
    users: &Rc<Users>,
    cluster: Cluster,
    jobs: &[Rc<Job>],
    inject: impl Fn(&RefCell<Cluster>, usize),
) {
    let started = runtime::now();
    let cluster = Rc::new(RefCell::new(cluster));
    for (n, job) in jobs.iter().enumerate() {
        runtime::sleep_until(started + ms(75).times(n as u64)).await;
        runtime::spawn(run_user(
            users.clone(),
            cluster.clone(),
            job.clone(),
            n as u32,
        ));
        inject(&cluster, n);
    }
    let has_answered = |job: &Job, node: usize| {
        job.observations
            .borrow()
            .iter()
            .any(|o| o.node == node && o.request == Request::Poll && o.answer.is_final())
    };
    let all_answered = || jobs.iter().all(|j| (0..NODES).all(|n| has_answered(j, n)));
    let deadline = runtime::now() + Micros::from_secs(30);
    while !all_answered() && runtime::now() < deadline {
        runtime::sleep(ms(20)).await;
    }
    // Waits for outstanding requests.
    runtime::sleep(ms(1_600)).await;
    println!(
        "finished after {} ms",
        (runtime::now() - started).as_millis()
    );
    let mut violations = Vec::new();
    for job in jobs {
        violations.extend(
            find_violations(&job.observations.borrow())
                .into_iter()
                .map(|f| format!("{}: {f}", job.id)),
        );
    }
    assert!(
        violations.is_empty(),
        "{} violations, the first:\n{}",
        violations.len(),
        violations[..violations.len().min(12)].join("\n")
    );
    assert_eq!(
        *cluster.borrow().fleet.violations.borrow(),
        Vec::<String>::new()
    );
    assert!(
        all_answered(),
        "the final state of a job is not known at all nodes"
    );
}
