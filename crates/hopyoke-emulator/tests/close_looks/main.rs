//! Users that ask at all nodes, again and again within milliseconds, and repeat the submission, right
//! after a job was accepted, ended or confirmed as cancelled; some cancel at once. Real controllers on
//! loopback: no node may answer anything older than what was received before the question was asked.
//! (Guards `forgotten`, `went_back` and `invented`.)

mod history;

use history::{Look, Request, Said, faults};
use hopyoke_emulator::site::{Plan, Site};
use hopyoke_event_loop as runtime;
use hopyoke_event_loop::http::{Client, Method};
use hopyoke_protocol::decode;
use hopyoke_protocol::user::{JobSpec, JobState};
use hopyoke_types::{JobId, Micros};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::rc::Rc;

const NODES: usize = 3;

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

/// The programs are beside the test's own directory.
fn program() -> PathBuf {
    let test = std::env::current_exe().expect("a path");
    let dir = test
        .parent()
        .and_then(Path::parent)
        .expect("target/PROFILE/deps");
    let path = dir.join("hopyoke");
    assert!(
        path.is_file(),
        "{} is missing: `cargo build --release` makes it",
        path.display()
    );
    path
}

/// A site with much room for requests, with its machines and its leader up.
async fn site(name: &str) -> Site {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&dir);
    let plan = Plan {
        machines: 4,
        rps: 9000.0,
        write_rps: 3000.0,
        ..Plan::new(&program(), &dir)
    };
    let site = Site::start(plan).expect("a site");
    let users = Users::new(&site);
    let first = users.job(1, 0.1);
    users.accept(&first, 0).await;
    for node in (0..NODES).cycle() {
        if users.ask(&first, node, Request::Poll).await.is_final() {
            return site;
        }
        runtime::sleep(ms(30)).await;
    }
    unreachable!("it is asked until then")
}

fn on_runtime<F: Future<Output = ()> + 'static>(test: F) {
    let done = Rc::new(Cell::new(false));
    let flag = done.clone();
    runtime::run(async move {
        test.await;
        flag.set(true);
    })
    .expect("an event loop");
    assert!(done.get());
}

/// A job, and what its users were told.
struct Job {
    id: JobId,
    body: Vec<u8>,
    looks: RefCell<Vec<Look>>,
    /// The latest stage that an answer told.
    stage: Cell<u8>,
}

/// The users of a site: one client for each node.
struct Users {
    clients: Vec<Client>,
    moment: Cell<u64>,
    rng: RefCell<StdRng>,
}

impl Users {
    fn new(site: &Site) -> Rc<Users> {
        let clients = site.users.iter().map(|a| Client::new(*a)).collect();
        Rc::new(Users {
            clients,
            moment: Cell::new(0),
            rng: RefCell::new(StdRng::seed_from_u64(35)),
        })
    }

    fn tick(&self) -> u64 {
        self.moment.set(self.moment.get() + 1);
        self.moment.get()
    }

    /// A span of so many milliseconds.
    fn some(&self, range: std::ops::Range<u64>) -> Micros {
        ms(self.rng.borrow_mut().random_range(range))
    }

    fn job(&self, number: u32, estimate_s: f64) -> Rc<Job> {
        let id = JobId::new(&format!("req-{number:06}"));
        let spec = JobSpec {
            estimate_s,
            ..JobSpec::plain(id.clone(), "steady", "crew", "img")
        };
        Rc::new(Job {
            id,
            body: hopyoke_protocol::encode(&spec),
            looks: RefCell::default(),
            stage: Cell::new(0),
        })
    }

    /// Asks one node, and at once all of them whenever the answer says more than was known.
    async fn ask(self: &Rc<Users>, job: &Rc<Job>, node: usize, request: Request) -> Said {
        let path = format!("/api/jobs/{}", job.id);
        let (method, path, body) = match request {
            Request::Submit => (Method::Post, "/api/jobs".to_owned(), &job.body[..]),
            Request::Poll => (Method::Get, path, &[][..]),
            Request::CancellationToken => (Method::Post, format!("{path}/withdraw"), &[][..]),
        };
        let limit = if request == Request::Poll {
            ms(2_000)
        } else {
            ms(5_000)
        };
        let begun = self.tick();
        let answer = self.clients[node].send(method, &path, body, limit).await;
        let received = self.tick();
        let said = match answer {
            Ok(r) if matches!(r.status, 200 | 201) => {
                match decode::<Told>(&r.body).expect("an answer").bearing {
                    JobState::Queued | JobState::Running => Said::Accepted,
                    JobState::Done => Said::Done,
                    JobState::Cancelled => Said::Cancelled,
                }
            }
            Ok(r) if r.status == 404 => Said::Unknown,
            Ok(r) if matches!(r.status, 400 | 422) => Said::Refused,
            _ => Said::Nothing,
        };
        job.looks.borrow_mut().push(Look {
            node,
            request,
            begun,
            received,
            said,
        });
        if let Some(stage) = said.stage().filter(|s| *s > job.stage.get()) {
            job.stage.set(stage);
            self.look_everywhere(job, stage);
        }
        said
    }

    fn ask_later(self: &Rc<Users>, job: &Rc<Job>, node: usize, request: Request, after: Micros) {
        let (users, job) = (self.clone(), job.clone());
        runtime::spawn(async move {
            // Not by a timer if it is to be at once.
            if after > Micros::ZERO {
                runtime::sleep(after).await;
            }
            users.ask(&job, node, request).await;
        });
    }

    /// Asks all nodes, again and again, and repeats the submission; once the job is over, cancels it too.
    fn look_everywhere(self: &Rc<Users>, job: &Rc<Job>, stage: u8) {
        for node in 0..NODES {
            for after in [0, 1, 4, 11, 25, 60, 250, 700, 1200] {
                self.ask_later(job, node, Request::Poll, ms(after));
            }
            for after in [0, 9, 35] {
                self.ask_later(job, node, Request::Submit, ms(after));
                if stage == 2 {
                    self.ask_later(job, node, Request::CancellationToken, ms(after + 2));
                }
            }
        }
    }

    /// Submits until it is accepted.
    async fn accept(self: &Rc<Users>, job: &Rc<Job>, first: usize) {
        for node in (0..NODES).cycle().skip(first) {
            if self.ask(job, node, Request::Submit).await.stage() >= Some(1) {
                return;
            }
            runtime::sleep(self.some(20..60)).await;
        }
    }

    /// Cancels, at one node after the other, until it is told an end.
    async fn cancel(self: &Rc<Users>, job: &Rc<Job>, first: usize) {
        for node in (0..NODES).cycle().skip(first) {
            if self
                .ask(job, node, Request::CancellationToken)
                .await
                .is_final()
            {
                return;
            }
            runtime::sleep(self.some(1..15)).await;
        }
    }

    /// Cancels at all nodes, each a little later than the one before.
    fn cancel_everywhere(self: &Rc<Users>, job: &Rc<Job>, first: usize) {
        let mut after = Micros::ZERO;
        for k in 0..NODES {
            let (users, job, start) = (self.clone(), job.clone(), after);
            runtime::spawn(async move {
                runtime::sleep(start).await;
                users.cancel(&job, first + k).await;
            });
            after += self.some(3..45);
        }
    }

    /// Asks one node until it has told the job's end.
    async fn follow(self: &Rc<Users>, job: &Rc<Job>, node: usize) {
        while !self.ask(job, node, Request::Poll).await.is_final() {
            runtime::sleep(self.some(1..8)).await;
        }
    }
}

#[derive(serde::Deserialize)]
struct Told {
    bearing: JobState,
}

/// Every other request that reads or writes jobs' records is slow before it is carried out, or its answer is.
fn slow_jobs(site: &Site) {
    let rng = RefCell::new(StdRng::seed_from_u64(2035));
    let questions = Cell::new(0);
    let lag = move |request: &runtime::http::Request| {
        let some = |most: u64| {
            let mut rng = rng.borrow_mut();
            ms(if rng.random_bool(0.5) {
                rng.random_range(0..=most)
            } else {
                0
            })
        };
        let body = String::from_utf8_lossy(&request.body);
        let path = &request.path;
        if path.starts_with("/kv/job/") || path.starts_with("/kv/end/") {
            (some(10), some(40))
        } else if path == "/multi" && body.contains("end/") {
            (some(60), some(40))
        } else if path.starts_with("/changes?under=job/") && !path.ends_with("wait_ms=0") {
            // The watch is slower than the questions for reads that wait.
            (some(10), ms(300) + some(500))
        } else if path.starts_with("/changes?under=job/") {
            // Now and then so slow that whoever passed a poll on to the leader answers by itself.
            questions.set(questions.get() + 1u32);
            (
                some(10),
                if questions.get().is_multiple_of(10) {
                    ms(650)
                } else {
                    some(120)
                },
            )
        } else {
            (Micros::ZERO, Micros::ZERO)
        }
    };
    *site.state.lag.borrow_mut() = Some(Box::new(lag));
}

fn leader(site: &Site) -> Option<usize> {
    let name = site.state.get("leader")?;
    name.get("node")
        .and_then(Value::as_str)?
        .strip_prefix("node-")?
        .parse()
        .ok()
}

const JOBS: u32 = 90;

/// One job's user: how and when it submits and cancels goes by the job's number.
async fn live(users: Rc<Users>, site: Rc<RefCell<Site>>, job: Rc<Job>, number: u32) {
    let node = number as usize % NODES;
    for n in 0..NODES {
        let (users, job) = (users.clone(), job.clone());
        runtime::spawn(async move { users.follow(&job, n).await });
    }
    // They ask before there is something to ask for, too.
    runtime::sleep(users.some(0..160)).await;
    match number / NODES as u32 % 6 {
        // Ends by itself.
        0 => users.accept(&job, node).await,
        // Submitted at all nodes at once.
        1 => (0..NODES).for_each(|n| users.ask_later(&job, n, Request::Submit, Micros::ZERO)),
        // Cancelled at once, mostly before the acceptance's answer.
        2 => {
            let (u, j) = (users.clone(), job.clone());
            runtime::spawn(async move { u.accept(&j, node).await });
            runtime::sleep(users.some(0..30)).await;
            users.cancel_everywhere(&job, node + 1);
        }
        3 => {
            users.accept(&job, node).await;
            users.cancel_everywhere(&job, node);
        }
        4 => {
            users.accept(&job, node).await;
            runtime::sleep(users.some(100..500)).await;
            users.cancel_everywhere(&job, node + 2);
        }
        // Cancelled at the end of its last task.
        _ => {
            users.accept(&job, node).await;
            let works = site.borrow().works.clone();
            while !works.starts.borrow().iter().any(|s| s.task.job == job.id) {
                runtime::sleep(ms(5)).await;
            }
            runtime::sleep(Micros::from_secs_f64(ESTIMATE_S) + users.some(0..120)).await;
            users.cancel_everywhere(&job, node + 1);
        }
    }
}

const ESTIMATE_S: f64 = 0.3;

/// Plays one user for each job, one beginning every 75 ms, with something that happens as each begins; then no node may
/// have answered anything older than what was known, no rule of the workers be broken, and every node have told
/// every job's end.
async fn play(
    users: &Rc<Users>,
    site: Site,
    jobs: &[Rc<Job>],
    happens: impl Fn(&RefCell<Site>, usize),
) {
    let started = runtime::now();
    let site = Rc::new(RefCell::new(site));
    for (n, job) in jobs.iter().enumerate() {
        runtime::sleep_until(started + ms(75).times(n as u64)).await;
        runtime::spawn(live(users.clone(), site.clone(), job.clone(), n as u32));
        happens(&site, n);
    }
    let told = |job: &Job, node: usize| {
        job.looks
            .borrow()
            .iter()
            .any(|l| l.node == node && l.request == Request::Poll && l.said.is_final())
    };
    let all_told = || jobs.iter().all(|j| (0..NODES).all(|n| told(j, n)));
    let end = runtime::now() + Micros::from_secs(30);
    while !all_told() && runtime::now() < end {
        runtime::sleep(ms(20)).await;
    }
    // What is under way ends.
    runtime::sleep(ms(1_600)).await;
    println!("over after {} ms", (runtime::now() - started).as_millis());
    let mut found = Vec::new();
    for job in jobs {
        found.extend(
            faults(&job.looks.borrow())
                .into_iter()
                .map(|f| format!("{}: {f}", job.id)),
        );
    }
    assert!(
        found.is_empty(),
        "{} faults, the first:\n{}",
        found.len(),
        found[..found.len().min(12)].join("\n")
    );
    assert_eq!(*site.borrow().works.broken.borrow(), Vec::<String>::new());
    assert!(all_told(), "a job's end is not told at all nodes");
}

#[test]
fn no_node_answers_what_is_older() {
    on_runtime(async {
        let site = site("close-looks").await;
        slow_jobs(&site);
        let users = Users::new(&site);
        let jobs: Vec<Rc<Job>> = (0..JOBS).map(|n| users.job(1000 + n, ESTIMATE_S)).collect();
        let ends_leaders = |site: &RefCell<Site>, n: usize| {
            // Leadership ends while much is asked: the leader's process does, and is back at once, or its lease.
            let leader = leader(&site.borrow()).filter(|_| n % 25 == 20);
            if n == 45 {
                site.borrow().state.end_lease_of("leader");
            } else if let Some(leader) = leader {
                site.borrow_mut().kill_controller(leader);
                site.borrow_mut()
                    .start_controller(leader)
                    .expect("a controller");
            }
        };
        play(&users, site, &jobs, ends_leaders).await;
        // It was looked at closely enough to see something.
        let looks: Vec<Look> = jobs.iter().flat_map(|j| j.looks.borrow().clone()).collect();
        let count = |what: &dyn Fn(&Look) -> bool| looks.iter().filter(|l| what(l)).count();
        for node in 0..NODES {
            for (request, least) in [
                (Request::Poll, 500),
                (Request::Submit, 150),
                (Request::CancellationToken, 100),
            ] {
                let of = |l: &Look| l.node == node && l.request == request;
                let answered = count(&|l| of(l) && l.said.stage().is_some());
                println!("node {node}: {request:?} {answered} of {}", count(&of));
                assert!(
                    answered >= least,
                    "node {node} answered {answered} times to {request:?}"
                );
            }
        }
        let ends = |said| {
            jobs.iter()
                .filter(|j| j.looks.borrow().iter().any(|l| l.said == said))
                .count()
        };
        println!(
            "done {}, cancelled {}",
            ends(Said::Done),
            ends(Said::Cancelled)
        );
        assert!(ends(Said::Done) >= 20 && ends(Said::Cancelled) >= 20);
    });
}

/// The state service remembers next to no changes, so that most watches of the leader are refused as too old (410) and
/// it reads all records instead: whatever was accepted, ended or cancelled between two looks is known afterwards.
#[test]
fn watches_that_are_too_old_miss_nothing() {
    on_runtime(async {
        let site = site("short-log").await;
        let users = Users::new(&site);
        let state = site.state.clone();
        state.keep_changes(2);
        // Other changes come all the time: by the next look of a watch, what it asks for is forgotten.
        let (noisy, noise) = (Rc::new(Cell::new(true)), state.clone());
        let goes_on = noisy.clone();
        runtime::spawn(async move {
            while goes_on.get() {
                noise.put("noise", Value::from(1));
                runtime::sleep(ms(5)).await;
            }
        });
        // What runs for long is cancelled at a node that does not lead: only the records tell the leader of it.
        let long = users.job(4999, 600.0);
        let works = site.works.clone();
        let other = (leader(&site).expect("a leader") + 1) % NODES;
        let until = |wanted: bool| {
            let (works, id) = (works.clone(), long.id.clone());
            async move {
                let end = runtime::now() + Micros::from_secs(8);
                while works.has_task_of(&id) != wanted {
                    assert!(
                        runtime::now() < end,
                        "a task is there: {}, after 8 s",
                        !wanted
                    );
                    runtime::sleep(ms(20)).await;
                }
            }
        };
        users.accept(&long, other).await;
        until(true).await;
        assert_eq!(
            users.ask(&long, other, Request::CancellationToken).await,
            Said::Cancelled
        );
        until(false).await;
        let jobs: Vec<Rc<Job>> = (0..JOBS / 2)
            .map(|n| users.job(5000 + n, ESTIMATE_S))
            .collect();
        play(&users, site, &jobs, |_, _| {}).await;
        noisy.set(false);
        let refused = state.too_old.get();
        println!("watches refused as too old: {refused}");
        assert!(
            refused >= 20,
            "only {refused} watches were refused as too old"
        );
    });
}

/// Users whose polls wait for news when leadership ends are answered all the same, and at once by what the
/// node reads itself. (Each would hold its connection for ever, and the former leader's records with it.)
#[test]
fn polls_at_a_former_leader_are_answered() {
    on_runtime(async {
        let site = site("former-leader").await;
        let users = Users::new(&site);
        let job = users.job(2000, 60.0);
        users.accept(&job, 0).await;
        // Polls wait for most of a second.
        let slow = |r: &runtime::http::Request| {
            let asks = r.path.starts_with("/changes?under=job/") && r.path.ends_with("wait_ms=0");
            (Micros::ZERO, if asks { ms(700) } else { Micros::ZERO })
        };
        *site.state.lag.borrow_mut() = Some(Box::new(slow));
        let former = leader(&site).expect("a leader");
        let path = format!("/api/jobs/{}", job.id);
        let (asked, unanswered) = (100, Rc::new(RefCell::new(Vec::new())));
        for n in 0..asked {
            // News of it come with a write or a renewal, within a second and some.
            if n == 20 {
                site.state.end_lease_of("leader");
            }
            let (users, path, unanswered) = (users.clone(), path.clone(), unanswered.clone());
            runtime::spawn(async move {
                if users.clients[former]
                    .send(Method::Get, &path, &[], ms(2_000))
                    .await
                    .is_err()
                {
                    unanswered.borrow_mut().push(n);
                }
            });
            runtime::sleep(ms(40)).await;
        }
        runtime::sleep(ms(2_100)).await;
        assert_eq!(*unanswered.borrow(), Vec::<i32>::new(), "of {asked} polls");
        let log = std::fs::read_to_string(site.plan.dir.join(format!("node-{former}.log")))
            .expect("a log");
        assert!(log.contains("leadership lost"), "{log}");
    });
}

/// A job whose record can't be read, and a question with a query: every node finds the job all the same.
#[test]
fn odd_records_and_questions_find_their_job() {
    on_runtime(async {
        let site = site("odd").await;
        let users = Users::new(&site);
        // Their users were told that they are accepted, or over; what became of them can't be read.
        let (open, over) = (users.job(3000, 1.0), users.job(3001, 1.0));
        site.state
            .put(&format!("job/{}", open.id), Value::from("garbled"));
        site.state
            .put(&format!("end/{}", over.id), Value::from("garbled"));
        let ended = users.job(1, 0.1);
        for node in 0..NODES {
            assert_eq!(
                users.ask(&open, node, Request::Poll).await,
                Said::Accepted,
                "node {node}"
            );
            assert_eq!(
                users.ask(&open, node, Request::Submit).await,
                Said::Accepted,
                "node {node}"
            );
            for request in [Request::Poll, Request::Submit, Request::CancellationToken] {
                assert_eq!(
                    users.ask(&over, node, request).await,
                    Said::Nothing,
                    "{request:?} at node {node}"
                );
            }
            let path = format!("/api/jobs/{}?from=here", ended.id);
            let answer = users.clients[node]
                .send(Method::Get, &path, &[], ms(2_000))
                .await
                .expect("an answer");
            assert_eq!(answer.status, 200, "node {node}");
        }
        assert_eq!(
            users.ask(&open, 1, Request::CancellationToken).await,
            Said::Cancelled
        );
        for node in 0..NODES {
            assert_eq!(
                users.ask(&open, node, Request::Poll).await,
                Said::Cancelled,
                "node {node}"
            );
        }
    });
}

/// Each renewal of leases is carried out and answered after 1.3 s: the leader goes on, and what is submitted is done. (A
/// leader that gave up each renewal after a second kept the lease and did nothing, for as long as the service was slow.)
#[test]
fn a_slow_state_service_keeps_its_leader() {
    on_runtime(async {
        let site = site("slow-renewals").await;
        let users = Users::new(&site);
        let renewal = |r: &runtime::http::Request| r.path.ends_with("/renew");
        let slow = move |r: &runtime::http::Request| {
            (
                Micros::ZERO,
                if renewal(r) { ms(1_300) } else { Micros::ZERO },
            )
        };
        *site.state.lag.borrow_mut() = Some(Box::new(slow));
        // Longer than any entitlement from before.
        runtime::sleep(Micros::from_secs(12)).await;
        let job = users.job(4000, 0.1);
        users.accept(&job, 0).await;
        let end = runtime::now() + Micros::from_secs(6);
        while !users.ask(&job, 1, Request::Poll).await.is_final() {
            assert!(runtime::now() < end, "not done after 6 s");
            runtime::sleep(ms(100)).await;
        }
    });
}

/// The state service answers everything after 1.7 s, and the leader ends: another one leads, and users get answers. (Guards
/// `forgotten`: reads wait for 1.5 s, so nobody learned who leads, and nothing was known of any job for as long as the
/// service was slow; docs/incidents/slow-state-no-leader.md.)
#[test]
fn a_slow_state_service_finds_a_leader() {
    on_runtime(async {
        let mut site = site("slow-no-leader").await;
        let users = Users::new(&site);
        let slow = |_: &runtime::http::Request| (Micros::ZERO, ms(1_700));
        *site.state.lag.borrow_mut() = Some(Box::new(slow));
        let former = leader(&site).expect("a leader");
        site.kill_controller(former);
        site.start_controller(former).expect("a controller");
        let job = users.job(1, 0.1);
        let end = runtime::now() + Micros::from_secs(40);
        for node in (0..NODES).cycle() {
            if users.ask(&job, node, Request::Poll).await.is_final() {
                return;
            }
            assert!(runtime::now() < end, "nothing was known of a job for 40 s");
            runtime::sleep(ms(200)).await;
        }
    });
}
