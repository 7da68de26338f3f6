//! Users that poll all nodes again and again within milliseconds, and repeat the submission, right after a job was
//! accepted, ended or cancelled; some cancel at once. Real controllers on loopback: no node may answer with an older
//! state than one received before the request was sent. (Guards `forgotten`, `went_back` and `invented`.)

mod history;
mod setup;
mod slow_store;
mod users;

use history::{Answer, Observation, Request};
use hopyoke_emulator::Cluster;
use hopyoke_event_loop as runtime;
use hopyoke_event_loop::http::Method;
use hopyoke_types::Micros;
use serde_json::Value;
use setup::{cluster, latency, leader, on_runtime, slow_down_records};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use users::{ESTIMATE_S, JOBS, Job, NODES, Users, ms, play};

#[test]
fn no_node_answers_stale_state() {
    on_runtime(async {
        let cluster = cluster("concurrent-reads").await;
        slow_down_records(&cluster);
        let users = Users::new(&cluster);
        let jobs: Vec<Rc<Job>> = (0..JOBS).map(|n| users.job(1000 + n, ESTIMATE_S)).collect();
        let end_leadership = |cluster: &RefCell<Cluster>, n: usize| {
            // Leadership ends under load: the leader is killed and started again at once, or its lease expires.
            let leader = leader(&cluster.borrow()).filter(|_| n % 25 == 20);
            if n == 45 {
                cluster.borrow().store.expire_lease_of("leader");
            } else if let Some(leader) = leader {
                cluster.borrow_mut().kill_controller(leader);
                cluster
                    .borrow_mut()
                    .start_controller(leader)
                    .expect("a controller");
            }
        };
        play(&users, cluster, &jobs, end_leadership).await;
        // There were enough answers for a violation to be found.
        let observations: Vec<Observation> = jobs
            .iter()
            .flat_map(|j| j.observations.borrow().clone())
            .collect();
        let count =
            |what: &dyn Fn(&Observation) -> bool| observations.iter().filter(|l| what(l)).count();
        for node in 0..NODES {
            for (request, min_answers) in [
                (Request::Poll, 500),
                (Request::Submit, 150),
                (Request::Cancel, 100),
            ] {
                let of = |l: &Observation| l.node == node && l.request == request;
                let answered = count(&|l| of(l) && l.answer.stage().is_some());
                println!("node {node}: {request:?} {answered} of {}", count(&of));
                assert!(
                    answered >= min_answers,
                    "node {node} answered {answered} times to {request:?}"
                );
            }
        }
        let ends = |answer| {
            jobs.iter()
                .filter(|j| j.observations.borrow().iter().any(|l| l.answer == answer))
                .count()
        };
        println!(
            "done {}, cancelled {}",
            ends(Answer::Done),
            ends(Answer::Cancelled)
        );
        assert!(ends(Answer::Done) >= 20 && ends(Answer::Cancelled) >= 20);
    });
}

/// The key-value store's log keeps two changes, so that most watches of the leader are refused (410) and it reads all
/// records instead: whatever was accepted, ended or cancelled in between is known afterwards.
#[test]
fn refused_watches_miss_no_change() {
    on_runtime(async {
        let cluster = cluster("short-log").await;
        let users = Users::new(&cluster);
        let store = cluster.store.clone();
        store.set_log_length(2);
        // Other changes are written all the time: by its next request, a watch's revision is compacted.
        let (writer_runs, noise) = (Rc::new(Cell::new(true)), store.clone());
        let is_noisy = writer_runs.clone();
        runtime::spawn(async move {
            while is_noisy.get() {
                noise.put("noise", Value::from(1));
                runtime::sleep(ms(5)).await;
            }
        });
        // A long job is cancelled at a follower: the leader learns of it from the records alone.
        let long = users.job(4999, 600.0);
        let fleet = cluster.fleet.clone();
        let other = (leader(&cluster).expect("a leader") + 1) % NODES;
        let until = |expected: bool| {
            let (fleet, id) = (fleet.clone(), long.id.clone());
            async move {
                let end = runtime::now() + Micros::from_secs(8);
                while fleet.has_task_of(&id) != expected {
                    assert!(
                        runtime::now() < end,
                        "a task is there: {}, after 8 s",
                        !expected
                    );
                    runtime::sleep(ms(20)).await;
                }
            }
        };
        users.submit_until_accepted(&long, other).await;
        until(true).await;
        assert_eq!(
            users.ask(&long, other, Request::Cancel).await,
            Answer::Cancelled
        );
        until(false).await;
        let jobs: Vec<Rc<Job>> = (0..JOBS / 2)
            .map(|n| users.job(5000 + n, ESTIMATE_S))
            .collect();
        play(&users, cluster, &jobs, |_, _| {}).await;
        writer_runs.set(false);
        let refused = store.refused_watches.get();
        println!("watches refused: {refused}");
        assert!(refused >= 20, "only {refused} watches were refused");
    });
}

/// Polls that wait for a change when leadership ends are answered at once from what the node reads itself. (Guards
/// against connections that stay open for ever, and the former leader's records with them.)
#[test]
fn polls_at_a_former_leader_are_answered() {
    on_runtime(async {
        let cluster = cluster("former-leader").await;
        let users = Users::new(&cluster);
        let job = users.job(2000, 60.0);
        users.submit_until_accepted(&job, 0).await;
        // Polls wait for most of a second.
        let rule = |r: &runtime::http::Request| {
            let asks = r.path.starts_with("/changes?under=job/") && r.path.ends_with("wait_ms=0");
            latency(Micros::ZERO, if asks { ms(700) } else { Micros::ZERO })
        };
        *cluster.store.latency.borrow_mut() = Some(Box::new(rule));
        let former = leader(&cluster).expect("a leader");
        let path = format!("/api/jobs/{}", job.id);
        let (asked, unanswered) = (100, Rc::new(RefCell::new(Vec::new())));
        for n in 0..asked {
            // The leader learns of it by a write or a renewal, within about a second.
            if n == 20 {
                cluster.store.expire_lease_of("leader");
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
        let log = std::fs::read_to_string(cluster.config.dir.join(format!("node-{former}.log")))
            .expect("a log");
        assert!(log.contains("leadership lost"), "{log}");
    });
}

/// A job whose record can't be read, and a path with a query: every node finds the job.
#[test]
fn unreadable_records_and_queries_find_their_job() {
    on_runtime(async {
        let cluster = cluster("unreadable-records").await;
        let users = Users::new(&cluster);
        // They were accepted, or are over; their records can't be read.
        let (open, over) = (users.job(3000, 1.0), users.job(3001, 1.0));
        cluster
            .store
            .put(&format!("job/{}", open.id), Value::from("garbled"));
        cluster
            .store
            .put(&format!("end/{}", over.id), Value::from("garbled"));
        let ended = users.job(1, 0.1);
        for node in 0..NODES {
            assert_eq!(
                users.ask(&open, node, Request::Poll).await,
                Answer::Accepted,
                "node {node}"
            );
            assert_eq!(
                users.ask(&open, node, Request::Submit).await,
                Answer::Accepted,
                "node {node}"
            );
            for request in [Request::Poll, Request::Submit, Request::Cancel] {
                assert_eq!(
                    users.ask(&over, node, request).await,
                    Answer::NoInformation,
                    "{request:?} at node {node}"
                );
            }
            let path = format!("/api/jobs/{}?from=here", ended.id);
            let response = users.clients[node]
                .send(Method::Get, &path, &[], ms(2_000))
                .await
                .expect("an answer");
            assert_eq!(response.status, 200, "node {node}");
        }
        assert_eq!(
            users.ask(&open, 1, Request::Cancel).await,
            Answer::Cancelled
        );
        for node in 0..NODES {
            assert_eq!(
                users.ask(&open, node, Request::Poll).await,
                Answer::Cancelled,
                "node {node}"
            );
        }
    });
}

/// Each lease renewal is answered after 1.3 s: the leader keeps leading, and a submitted job is done. (Guards against a
/// leader that gave up each renewal after a second: it kept the lease and did nothing while the store was slow.)
#[test]
fn a_slow_state_service_keeps_its_leader() {
    on_runtime(async {
        let cluster = cluster("slow-renewals").await;
        let users = Users::new(&cluster);
        let renewal = |r: &runtime::http::Request| r.path.ends_with("/renew");
        let rule = move |r: &runtime::http::Request| {
            let after = if renewal(r) { ms(1_300) } else { Micros::ZERO };
            latency(Micros::ZERO, after)
        };
        *cluster.store.latency.borrow_mut() = Some(Box::new(rule));
        // Longer than the validity of any earlier leader lease.
        runtime::sleep(Micros::from_secs(12)).await;
        let job = users.job(4000, 0.1);
        users.submit_until_accepted(&job, 0).await;
        let end = runtime::now() + Micros::from_secs(6);
        while !users.ask(&job, 1, Request::Poll).await.is_final() {
            assert!(runtime::now() < end, "not done after 6 s");
            runtime::sleep(ms(100)).await;
        }
    });
}

/// The key-value store answers everything after 1.7 s, and the leader is killed: another one leads, and users get
/// answers. (Guards `forgotten`: reads time out after 1.5 s, so no node learned who leads, and no job was known while
/// the store was slow; docs/incidents/slow-state-no-leader.md.)
#[test]
fn a_slow_state_service_finds_a_leader() {
    on_runtime(async {
        let mut cluster = cluster("slow-no-leader").await;
        let users = Users::new(&cluster);
        let rule = |_: &runtime::http::Request| latency(Micros::ZERO, ms(1_700));
        *cluster.store.latency.borrow_mut() = Some(Box::new(rule));
        let former = leader(&cluster).expect("a leader");
        cluster.kill_controller(former);
        cluster.start_controller(former).expect("a controller");
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
