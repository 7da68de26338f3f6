//! Failover while the key-value store is slow: a sweep over latencies, kinds of requests and failures.
//!
//! Guards against fixed timeouts of store requests: with 1.5 s for reads, grants and releases and a store that responds
//! after 1.7 s, no leader could be elected and no poll was answered (docs/incidents/slow-state-no-leader.md).
//!
//! Below the latency at which a leader can be elected ([`max_election_latency`]), a leader acts and users are served
//! within their bounds. Above it no invariant is violated, users get a 503 in time, and service recovers within 15 s
//! after the store is fast again.

use crate::history::{Answer, Request, find_violations};
use crate::setup::{cluster, latency, leader, run_on_event_loop};
use crate::users::{Job, NODES, Users, ms};
use hopyoke_consistency::latency::SAMPLE_VALIDITY;
use hopyoke_consistency::leader_lease::max_election_latency;
use hopyoke_emulator::{Cluster, InjectedLatency};
use hopyoke_event_loop as runtime;
use hopyoke_event_loop::http::{self, Method};
use hopyoke_types::Micros;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// Time to live of the leader lease with this cluster's settings: a third of what `cancel_s` (20 s) leaves after the
/// agents' lease (6 s) and the wait of a watch (2 s).
const LEADER_TTL: Micros = Micros::from_millis(3_995);
/// Maximum time for which a job may be without an answer.
const MAX_UNANSWERED: Micros = Micros::from_secs(75);
/// Time for which users repeat a submission or cancellation.
const MAX_PATIENCE: Micros = Micros::from_secs(60);
/// Maximum time from a cancellation until its tasks are stopped: `cancel_s` of the cluster's settings.
const CANCEL_BOUND: Micros = Micros::from_secs(20);
/// Maximum time to recover after the store is fast again.
const MAX_RECOVERY: Micros = Micros::from_secs(15);
/// Maximum latency at which a poll can be answered from the store, as its client times out after 2 s.
const MAX_POLL_LATENCY: Micros = Micros::from_millis(1_750);

/// Latency over time, in milliseconds.
#[derive(Debug, Clone, Copy)]
enum Pattern {
    Constant(u64),
    /// Cycles through latencies between the two values.
    Jitter(u64, u64),
    /// The second latency for every fourth request, the first for the others.
    Spikes(u64, u64),
    /// Increases linearly from the first to the second latency within 20 s.
    Growing(u64, u64),
    /// The latency for 25 s, and none afterwards.
    FallingBack(u64),
}

impl Pattern {
    fn at(self, elapsed: Micros, request_number: u64) -> Micros {
        match self {
            Pattern::Constant(latency_ms) => ms(latency_ms),
            Pattern::Jitter(from, to) => ms(from + (to - from) * (request_number * 7 % 11) / 10),
            Pattern::Spikes(base, spike) => ms(if request_number.is_multiple_of(4) {
                spike
            } else {
                base
            }),
            Pattern::Growing(from, to) => {
                ms(from + (to - from) * elapsed.as_millis().min(20_000) / 20_000)
            }
            Pattern::FallingBack(latency_ms) => ms(if elapsed < Micros::from_secs(25) {
                latency_ms
            } else {
                0
            }),
        }
    }

    fn longest(self) -> Micros {
        match self {
            Pattern::Constant(latency_ms)
            | Pattern::Jitter(_, latency_ms)
            | Pattern::Spikes(_, latency_ms)
            | Pattern::Growing(_, latency_ms)
            | Pattern::FallingBack(latency_ms) => ms(latency_ms),
        }
    }
}

/// Requests that are slow.
#[derive(Debug, Clone, Copy)]
enum Slow {
    All,
    Reads,
    Writes,
    Renewals,
    Watches,
}

impl Slow {
    fn includes(self, request: &http::Request) -> bool {
        let path = &request.path;
        match self {
            Slow::All => true,
            Slow::Reads => path.starts_with("/kv"),
            Slow::Writes => path == "/multi",
            Slow::Renewals => path.ends_with("/renew"),
            Slow::Watches => path.starts_with("/changes"),
        }
    }
}

/// Whether latency is added before or after the execution of a request.
#[derive(Debug, Clone, Copy)]
enum Side {
    Before,
    After,
}

/// Failure that is injected.
#[derive(Debug, Clone, Copy)]
enum Event {
    KilledAndBack,
    Killed,
    /// Suspended for 12 s.
    Frozen,
    AllRestarted,
    /// Killed, and 2 s later the store is unavailable for 8 s.
    KilledThenOutage,
}

#[derive(Debug, Clone, Copy)]
struct Case {
    pattern: Pattern,
    slow: Slow,
    side: Side,
    event: Event,
}

fn case(pattern: Pattern, slow: Slow, side: Side, event: Event) -> Case {
    Case {
        pattern,
        slow,
        side,
        event,
    }
}

fn slow_down(cluster: &Cluster, case: Case) {
    let (start, count) = (runtime::now(), Cell::new(0));
    let rule = move |request: &http::Request| {
        if !case.slow.includes(request) {
            return InjectedLatency::default();
        }
        count.set(count.get() + 1);
        let delay = case.pattern.at(runtime::now() - start, count.get());
        match case.side {
            Side::Before => latency(delay, Micros::ZERO),
            Side::After => latency(Micros::ZERO, delay),
        }
    };
    *cluster.store.latency.borrow_mut() = Some(Box::new(rule));
}

/// Injects the failure of a case.
async fn inject_event(cluster: &mut Cluster, event: Event) {
    let former = leader(cluster).expect("a leader");
    match event {
        Event::KilledAndBack => {
            cluster.kill_controller(former);
            cluster.start_controller(former).expect("a controller");
        }
        Event::Killed => cluster.kill_controller(former),
        Event::Frozen => {
            cluster.freeze_controller(former).expect("a signal");
            runtime::sleep(Micros::from_secs(12)).await;
            cluster.thaw_controller(former).expect("a signal");
        }
        Event::AllRestarted => {
            (0..NODES).for_each(|n| cluster.kill_controller(n));
            (0..NODES).for_each(|n| cluster.start_controller(n).expect("a controller"));
        }
        Event::KilledThenOutage => {
            cluster.kill_controller(former);
            runtime::sleep(Micros::from_secs(2)).await;
            cluster.store.set_down(true);
            runtime::sleep(Micros::from_secs(8)).await;
            cluster.store.set_down(false);
        }
    }
}

/// Repeats a request at the nodes in turn until the answer is as expected. Returns false if it is not within `limit`.
async fn retry_until(
    users: &Rc<Users>,
    job: &Rc<Job>,
    request: Request,
    limit: Micros,
    is_expected: impl Fn(&Answer) -> bool,
) -> bool {
    let deadline = runtime::now() + limit;
    for node in (0..NODES).cycle() {
        if is_expected(&users.send(job, node, request).await) {
            return true;
        }
        if runtime::now() > deadline {
            return false;
        }
        runtime::sleep(ms(1_000)).await;
    }
    unreachable!("the loop ends with an expected answer")
}

/// Runs a case whose latency permits an election. Returns the time from the failure until a leader has acted, that is,
/// until a job submitted after the failure is done.
async fn run_case(case: Case, name: &str) -> Micros {
    let mut cluster = cluster(name).await;
    let users = Users::new(&cluster);
    let long = users.job(2, 600.0);
    users.submit_until_accepted(&long, 0).await;
    let fleet = cluster.fleet.clone();
    let is_live = |_: &Cluster| fleet.has_task_of(&long.id);
    assert!(cluster.wait_for(Micros::from_secs(10), is_live).await);
    slow_down(&cluster, case);
    runtime::sleep(ms(2_500)).await;
    let event_at = runtime::now();
    inject_event(&mut cluster, case.event).await;
    let event_done_at = runtime::now();
    let short = users.job(3, 0.1);
    let is_known = |a: &Answer| a.stage() >= Some(1);
    assert!(
        retry_until(&users, &short, Request::Submit, MAX_PATIENCE, is_known).await,
        "{case:?}: not accepted"
    );
    let is_cancelled = |a: &Answer| *a == Answer::Cancelled;
    assert!(
        retry_until(&users, &long, Request::Cancel, MAX_PATIENCE, is_cancelled).await,
        "{case:?}: not cancelled"
    );
    let cancelled_at = runtime::now();
    let key = format!("end/{}", short.id);
    let has_acted = cluster
        .wait_for(MAX_UNANSWERED, |c| c.store.get(&key).is_some())
        .await;
    let acted_at = runtime::now();
    assert!(
        has_acted && acted_at < event_done_at + MAX_UNANSWERED,
        "{case:?}: no leader has acted"
    );
    let is_stopped = |_: &Cluster| !fleet.has_task_of(&long.id);
    let left = (cancelled_at + CANCEL_BOUND) - runtime::now();
    assert!(
        cluster.wait_for(left, is_stopped).await,
        "{case:?}: a task of the cancelled job is live"
    );
    if case.pattern.longest() <= MAX_POLL_LATENCY {
        let is_done = |a: &Answer| *a == Answer::Done;
        let left = (event_done_at + MAX_UNANSWERED) - runtime::now();
        assert!(
            retry_until(&users, &short, Request::Poll, left, is_done).await,
            "{case:?}: no poll answered"
        );
    }
    assert_eq!(*cluster.fleet.violations.borrow(), Vec::<String>::new());
    acted_at - event_at
}

/// Runs a case whose latency prevents an election: polls are answered with a 503 in time, and service recovers once the
/// store is fast.
async fn run_case_above_limit(case: Case, name: &str) {
    let mut cluster = cluster(name).await;
    let users = Users::new(&cluster);
    slow_down(&cluster, case);
    runtime::sleep(ms(2_500)).await;
    inject_event(&mut cluster, case.event).await;
    // Nodes learn the latency from their own requests.
    runtime::sleep(Micros::from_secs(10)).await;
    let unknown = users.job(9, 0.1);
    let path = format!("/api/jobs/{}", unknown.id);
    for n in 0..12 {
        let answer = users.clients[n % NODES]
            .send(Method::Get, &path, &[], ms(2_000))
            .await;
        let status = answer.as_ref().map(|r| r.status);
        assert!(
            matches!(status, Ok(503)),
            "{case:?}: poll {n} got {answer:?}"
        );
        runtime::sleep(ms(500)).await;
    }
    *cluster.store.latency.borrow_mut() = None;
    let fast_at = runtime::now();
    let job = users.job(10, 0.1);
    let is_known = |a: &Answer| a.stage() >= Some(1);
    assert!(
        retry_until(&users, &job, Request::Submit, MAX_RECOVERY, is_known).await,
        "{case:?}: not accepted"
    );
    let is_done = |a: &Answer| *a == Answer::Done;
    let left = (fast_at + MAX_RECOVERY) - runtime::now();
    assert!(
        retry_until(&users, &job, Request::Poll, left, is_done).await,
        "{case:?}: not done {MAX_RECOVERY:?} after the store was fast"
    );
    assert_eq!(*cluster.fleet.violations.borrow(), Vec::<String>::new());
}

fn run_electable_case(case: Case, name: &'static str) {
    assert!(case.pattern.longest() < max_election_latency(LEADER_TTL));
    run_on_event_loop(async move {
        let elapsed = run_case(case, name).await;
        println!(
            "{case:?}: a leader acted after {:.1} s",
            elapsed.as_secs_f64()
        );
    });
}

#[test]
fn leader_restarted_at_once_with_latency_of_1_4_s() {
    let case = case(
        Pattern::Constant(1_400),
        Slow::All,
        Side::Before,
        Event::KilledAndBack,
    );
    run_electable_case(case, "slow-back-at-once");
}

#[test]
fn leader_killed_with_latency_of_1_7_s() {
    let case = case(
        Pattern::Constant(1_700),
        Slow::All,
        Side::After,
        Event::Killed,
    );
    run_electable_case(case, "slow-killed");
}

#[test]
fn all_controllers_restarted_with_jitter_up_to_1_7_s() {
    let case = case(
        Pattern::Jitter(300, 1_700),
        Slow::All,
        Side::Before,
        Event::AllRestarted,
    );
    run_electable_case(case, "slow-all-restarted");
}

#[test]
fn leader_restarted_just_below_the_latency_limit() {
    let case = case(
        Pattern::Constant(1_900),
        Slow::All,
        Side::After,
        Event::KilledAndBack,
    );
    run_electable_case(case, "slow-below-limit");
}

#[test]
fn leader_restarted_with_slow_watches_only() {
    let case = case(
        Pattern::Constant(1_700),
        Slow::Watches,
        Side::After,
        Event::KilledAndBack,
    );
    run_electable_case(case, "slow-watches");
}

/// After a restart of all controllers, and with a store that responds after 1.5 s, every node including the leader
/// answers polls for a finished job. Guards the invariant `forgotten`: a leader without recent latency samples of reads
/// asked for changes first and had no time left to read the job's records. Probes keep samples of reads recent here, so
/// `kinds_share_samples_but_not_backoff` covers the cause (docs/incidents/slow-state-no-leader.md).
#[test]
fn every_node_answers_for_a_finished_job() {
    run_on_event_loop(async {
        let mut cluster = cluster("slow-finished-job").await;
        let users = Users::new(&cluster);
        let finished = users.job(1, 0.1);
        // Waits for outstanding requests of its users.
        runtime::sleep(ms(1_500)).await;
        inject_event(&mut cluster, Event::AllRestarted).await;
        let case = case(
            Pattern::Constant(1_500),
            Slow::All,
            Side::After,
            Event::AllRestarted,
        );
        slow_down(&cluster, case);
        let fresh = users.job(2, 0.1);
        let is_known = |a: &Answer| a.stage() >= Some(1);
        assert!(retry_until(&users, &fresh, Request::Submit, MAX_PATIENCE, is_known).await);
        let key = format!("end/{}", fresh.id);
        assert!(
            cluster
                .wait_for(MAX_UNANSWERED, |c| c.store.get(&key).is_some())
                .await
        );
        // Constant polls for an unfinished job keep the leader's change queries answered while it reads no other records.
        let unfinished = users.job(4, 600.0);
        assert!(retry_until(&users, &unfinished, Request::Submit, MAX_PATIENCE, is_known).await);
        for node in 0..NODES {
            let (users, unfinished) = (users.clone(), unfinished.clone());
            runtime::spawn(async move {
                loop {
                    users.send(&unfinished, node, Request::Poll).await;
                    runtime::sleep(ms(20)).await;
                }
            });
        }
        // Latency samples of reads from the election expire.
        runtime::sleep(SAMPLE_VALIDITY.times(2)).await;
        let path = format!("/api/jobs/{}", finished.id);
        let mut answered = [0; NODES];
        const POLLS: usize = 5;
        for _ in 0..POLLS {
            for (node, count) in answered.iter_mut().enumerate() {
                let answer = users.clients[node]
                    .send(Method::Get, &path, &[], ms(2_000))
                    .await;
                *count += usize::from(matches!(&answer, Ok(r) if r.status == 200));
            }
        }
        println!("answered, of {POLLS} each: {answered:?}");
        assert!(
            answered.iter().all(|a| *a >= POLLS - 1),
            "of {POLLS} polls: {answered:?}"
        );
    });
}

/// The store takes 1.95 s, more than the timeout of a poll allows, and the leader stays: every node answers polls for an
/// unfinished job, and a cancelled job is never reported as unfinished again. Guards the invariants `forgotten`, which is
/// violated when all polls for a job fail for 90 s, and `went_back`.
#[test]
fn unfinished_jobs_are_known_when_latency_exceeds_the_poll_limit() {
    run_on_event_loop(async {
        let cluster = cluster("slow-unfinished").await;
        let users = Users::new(&cluster);
        let (kept, cancelled) = (users.job(2, 600.0), users.job(3, 600.0));
        users.submit_until_accepted(&kept, 0).await;
        users.submit_until_accepted(&cancelled, 1).await;
        let case = case(
            Pattern::Constant(1_950),
            Slow::All,
            Side::After,
            Event::Killed,
        );
        slow_down(&cluster, case);
        // Nodes learn the latency.
        runtime::sleep(Micros::from_secs(10)).await;
        let mut answered = [0; NODES];
        const POLLS: usize = 6;
        for _ in 0..POLLS {
            for (node, count) in answered.iter_mut().enumerate() {
                let answer = users.send(&kept, node, Request::Poll).await;
                *count += usize::from(answer == Answer::Accepted);
            }
        }
        println!("answered, of {POLLS} each: {answered:?}");
        assert!(
            answered.iter().all(|a| *a >= POLLS - 1),
            "of {POLLS} polls: {answered:?}"
        );
        let is_cancelled = |a: &Answer| *a == Answer::Cancelled;
        assert!(
            retry_until(
                &users,
                &cancelled,
                Request::Cancel,
                MAX_PATIENCE,
                is_cancelled
            )
            .await
        );
        for node in (0..NODES).cycle().take(2 * NODES) {
            users.send(&cancelled, node, Request::Poll).await;
        }
        for job in [&kept, &cancelled] {
            let violations = find_violations(&job.observations.borrow());
            assert!(violations.is_empty(), "{}: {violations:?}", job.id);
        }
    });
}

/// A job has finished, no node has it in memory, and the store takes 1.95 s, more than the timeout of a poll allows. Each
/// node answers within [`MAX_UNANSWERED`], because a record read too late for one poll is available to the next. Guards
/// the invariant `forgotten`: every such poll was rejected at once, indefinitely.
#[test]
fn finished_jobs_are_known_when_latency_exceeds_the_poll_limit() {
    run_on_event_loop(async {
        let mut cluster = cluster("slow-finished").await;
        let users = Users::new(&cluster);
        let finished = users.job(1, 0.1);
        // Waits for outstanding requests of its users.
        runtime::sleep(ms(1_500)).await;
        inject_event(&mut cluster, Event::AllRestarted).await;
        let fresh = users.job(2, 0.1);
        users.submit_until_accepted(&fresh, 0).await;
        let key = format!("end/{}", fresh.id);
        let has_ended = |c: &Cluster| c.store.get(&key).is_some();
        assert!(cluster.wait_for(MAX_UNANSWERED, has_ended).await);
        let case = case(
            Pattern::Constant(1_950),
            Slow::All,
            Side::After,
            Event::AllRestarted,
        );
        slow_down(&cluster, case);
        runtime::sleep(Micros::from_secs(10)).await;
        let path = format!("/api/jobs/{}", finished.id);
        for node in 0..NODES {
            let deadline = runtime::now() + MAX_UNANSWERED;
            loop {
                let answer = users.clients[node]
                    .send(Method::Get, &path, &[], ms(2_000))
                    .await;
                if matches!(&answer, Ok(r) if r.status == 200) {
                    break;
                }
                assert!(runtime::now() < deadline, "node {node}: {answer:?}");
                runtime::sleep(ms(1_000)).await;
            }
        }
    });
}

/// With a latency of 4 s no leader can be elected under a lease of 4 s.
#[test]
fn above_the_latency_limit_polls_get_503_and_service_recovers() {
    let case = case(
        Pattern::Constant(4_000),
        Slow::All,
        Side::After,
        Event::KilledAndBack,
    );
    assert!(case.pattern.longest() > max_election_latency(LEADER_TTL));
    run_on_event_loop(run_case_above_limit(case, "slow-above-limit"));
}

/// Returns all cases of the sweep; their latencies permit an election.
fn sweep() -> Vec<Case> {
    use Event::*;
    use Pattern::*;
    let mut cases = Vec::new();
    for latency_ms in [300, 1_000, 1_400, 1_600, 1_700, 1_900] {
        for side in [Side::Before, Side::After] {
            cases.push(case(Constant(latency_ms), Slow::All, side, KilledAndBack));
            cases.push(case(Constant(latency_ms), Slow::All, side, Killed));
        }
    }
    for event in [
        Killed,
        KilledAndBack,
        Frozen,
        AllRestarted,
        KilledThenOutage,
    ] {
        cases.push(case(Constant(0), Slow::All, Side::Before, event));
    }
    for event in [Frozen, AllRestarted, KilledThenOutage] {
        cases.push(case(Constant(1_400), Slow::All, Side::Before, event));
        cases.push(case(Constant(1_700), Slow::All, Side::After, event));
    }
    for pattern in [
        Jitter(300, 1_700),
        Jitter(1_000, 1_900),
        Spikes(10, 1_800),
        Spikes(1_000, 1_900),
        Growing(10, 1_900),
        FallingBack(1_800),
        FallingBack(1_900),
    ] {
        cases.push(case(pattern, Slow::All, Side::After, KilledAndBack));
        cases.push(case(pattern, Slow::All, Side::Before, Killed));
    }
    for slow in [Slow::Reads, Slow::Writes, Slow::Renewals, Slow::Watches] {
        for side in [Side::Before, Side::After] {
            cases.push(case(Constant(1_600), slow, side, KilledAndBack));
            cases.push(case(Constant(1_900), slow, side, Killed));
        }
    }
    cases
}

/// Number of cases run in parallel, each with three controllers.
const CASES_AT_ONCE: usize = 8;

/// Runs the whole sweep, and prints the time until a leader acted in each case.
#[test]
#[ignore = "takes minutes; the tests above run a subset"]
fn leaders_are_found_under_all_slow_stores() {
    let cases = sweep();
    let (next, failures) = (
        Arc::new(AtomicUsize::new(0)),
        Arc::new(Mutex::new(Vec::new())),
    );
    let workers: Vec<_> = (0..CASES_AT_ONCE)
        .map(|_| {
            let (next, failures, cases) = (next.clone(), failures.clone(), cases.clone());
            std::thread::spawn(move || {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(case) = cases.get(index).copied() else {
                        return;
                    };
                    let case_result = std::panic::catch_unwind(|| {
                        run_on_event_loop(async move {
                            let elapsed = run_case(case, &format!("slow-sweep-{index}")).await;
                            println!("{case:?}: acted after {:.1} s", elapsed.as_secs_f64());
                        });
                    });
                    if case_result.is_err() {
                        failures
                            .lock()
                            .unwrap_or_else(std::sync::PoisonError::into_inner)
                            .push(format!("{case:?}"));
                    }
                }
            })
        })
        .collect();
    for worker in workers {
        worker.join().expect("a worker");
    }
    let failures = failures
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    assert!(failures.is_empty(), "of {}: {failures:#?}", cases.len());
}
