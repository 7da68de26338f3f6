//! Pushed commands of real controllers that the network repeats.

use crate::history::{Answer, Request};
use crate::setup::{cluster, leader, run_on_event_loop};
use crate::users::{Job, Users, ms};
use hopyoke_emulator::{Cluster, ExecutedPush};
use hopyoke_event_loop as runtime;
use hopyoke_event_loop::http::{Client, Method};
use hopyoke_protocol::decode;
use hopyoke_protocol::worker::Heartbeat;
use hopyoke_types::Micros;
use std::rc::Rc;

/// Time within which a job starts, and its attempts are acknowledged after its cancellation.
const LIMIT: Micros = Micros::from_secs(10);

/// Returns whether an agent knows no attempts, by its status.
async fn is_empty(push: &ExecutedPush) -> bool {
    let response = Client::new(push.agent)
        .send(Method::Get, "/show", &[], LIMIT)
        .await;
    let status: Heartbeat = decode(&response.expect("a response").body).expect("a status");
    status.tasks.is_empty()
}

/// Waits until the agents of these pushes know no attempts.
async fn wait_until_empty(pushes: &[ExecutedPush]) {
    let deadline = runtime::now() + LIMIT;
    for push in pushes {
        while !is_empty(push).await {
            assert!(runtime::now() < deadline, "attempts not acknowledged");
            runtime::sleep(ms(20)).await;
        }
    }
}

/// Sends these pushes again and requires that their agents refuse them.
async fn repeat(pushes: &[ExecutedPush], when: &str) {
    for push in pushes {
        let response = Client::new(push.agent)
            .send(Method::Post, "/commands", &push.body, LIMIT)
            .await
            .expect("a response");
        println!("{when}: repeated start answered with {}", response.status);
        assert_eq!(response.status, 409, "{when}: a repeated start is executed");
        assert!(is_empty(push).await, "{when}: an attempt has begun again");
    }
}

/// Submits a job, waits until its task runs, cancels it, and waits until the task is gone.
async fn run_and_cancel(cluster: &Cluster, users: &Rc<Users>, job: &Rc<Job>) {
    users.submit_until_accepted(job, 0).await;
    let has_task = |expected| move |c: &Cluster| c.fleet.has_task_of(&job.id) == expected;
    assert!(cluster.wait_for(LIMIT, has_task(true)).await, "not started");
    let answer = users.send(job, 0, Request::Cancel).await;
    assert_eq!(answer, Answer::Cancelled);
    assert!(
        cluster.wait_for(LIMIT, has_task(false)).await,
        "not stopped"
    );
}

/// Guards against an agent that starts an acknowledged attempt again when the push of its start is repeated, in the same
/// term and after the leader's end.
#[test]
fn repeated_starts_of_acknowledged_attempts_are_refused() {
    run_on_event_loop(async {
        let mut cluster = cluster("repeated-push").await;
        let users = Users::new(&cluster);
        for number in 0..3 {
            run_and_cancel(&cluster, &users, &users.job(6000 + number, 600.0)).await;
        }
        let pushes = cluster.fleet.executed_starts.borrow().clone();
        assert!(!pushes.is_empty(), "no start was pushed");
        wait_until_empty(&pushes).await;
        repeat(&pushes, "same term").await;
        let former = leader(&cluster).expect("a leader");
        cluster.kill_controller(former);
        repeat(&pushes, "no leader").await;
        let is_led = |c: &Cluster| leader(c).is_some_and(|node| node != former);
        assert!(cluster.wait_for(LIMIT, is_led).await, "no new leader");
        repeat(&pushes, "next term").await;
    });
}
