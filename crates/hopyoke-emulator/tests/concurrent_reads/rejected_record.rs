//! Records that the key-value store rejects as invalid, which repetition does not help, at real controllers.

use crate::history::{Answer, Request};
use crate::setup::{cluster, leader, run_on_event_loop};
use crate::users::{ESTIMATE_S, NODES, Users};
use hopyoke_emulator::Cluster;
use hopyoke_types::Micros;

/// Less than any job's record takes, and more than its end or the leader's record.
const SMALL_VALUE_BYTES: usize = 200;
/// Time within which a job that the store accepts starts and ends.
const LIMIT: Micros = Micros::from_secs(10);

/// Guards against a submission that is answered with 503 until its user gives up although it can never be stored, and
/// against 400 for a repeated submission of a job that was accepted under a larger limit (`forgotten`).
#[test]
fn record_that_can_not_be_stored_is_refused_at_once() {
    run_on_event_loop(async {
        let cluster = cluster("rejected-record").await;
        let users = Users::new(&cluster);
        let accepted = users.job(5000, 600.0);
        users.submit_until_accepted(&accepted, 0).await;
        let starts = |c: &Cluster| c.fleet.has_task_of(&accepted.id);
        assert!(cluster.wait_for(LIMIT, starts).await, "not started");
        cluster.store.set_max_value_bytes(SMALL_VALUE_BYTES);
        for node in 0..NODES {
            let refused = users.job(5001 + node as u32, ESTIMATE_S);
            let answer = users.send(&refused, node, Request::Submit).await;
            assert_eq!(answer, Answer::Refused, "node {node}");
            let answer = users.send(&accepted, node, Request::Submit).await;
            assert_eq!(answer, Answer::Accepted, "node {node}");
        }
        // A cancellation writes a small record, so it succeeds all the same.
        let answer = users.send(&accepted, 0, Request::Cancel).await;
        assert_eq!(answer, Answer::Cancelled);
    });
}

/// Guards against a campaign that repeats the write of the leader key under a lease that has ended, instead of obtaining
/// another.
#[test]
fn leader_key_is_not_written_twice_under_an_ended_lease() {
    run_on_event_loop(async {
        let mut cluster = cluster("ended-lease").await;
        let first = leader(&cluster).expect("a leader");
        // Nobody else campaigns.
        for node in (0..NODES).filter(|node| *node != first) {
            cluster.kill_controller(node);
        }
        cluster.store.end_next_lease();
        cluster.store.expire_lease_of("leader");
        let has_tried = |c: &Cluster| c.store.lease_rejections.get() > 0;
        assert!(cluster.wait_for(LIMIT, has_tried).await, "no campaign");
        let has_leader = |c: &Cluster| leader(c).is_some();
        assert!(cluster.wait_for(LIMIT, has_leader).await, "no leader");
        assert_eq!(cluster.store.lease_rejections.get(), 1);
    });
}
