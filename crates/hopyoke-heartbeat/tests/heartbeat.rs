//! Routing, batching and isolation detection of heartbeats.

use hopyoke_heartbeat::{ConnectionLoad, HeartbeatBatcher, HeartbeatMonitor, Route, Routes};
use hopyoke_types::{MachineId, Micros};
use proptest::prelude::*;
use std::collections::BTreeSet;

fn load(open: u64, offloads: bool) -> ConnectionLoad {
    ConnectionLoad {
        open,
        max_open: 1000,
        offloads,
    }
}

#[test]
fn a_leader_with_capacity_answers_all_heartbeats() {
    let mut routes = Routes::new(2);
    routes.load_received(0, load(0, false), Micros::ZERO);
    assert!(
        !routes
            .update_own_load(true, false, 879, 1000, Micros::ZERO)
            .offloads
    );
    assert_eq!(
        routes.route_at_leader(false, 950, 1000, Micros::from_secs(3)),
        Route::Local
    );
}

#[test]
fn an_offloading_leader_fills_peers_up_to_their_limit() {
    let mut routes = Routes::new(2);
    assert!(
        routes
            .update_own_load(true, false, 900, 1000, Micros::ZERO)
            .offloads
    );
    let now = Micros::from_secs(3);
    routes.load_received(0, load(797, false), now);
    routes.load_received(1, load(799, false), now);
    let sent: Vec<Route> = (0..6)
        .map(|_| routes.route_at_leader(false, 900, 1000, now))
        .collect();
    assert_eq!(
        sent.iter()
            .filter(|r| **r == Route::RedirectToPeer(0))
            .count(),
        3
    );
    assert_eq!(
        sent.iter()
            .filter(|r| **r == Route::RedirectToPeer(1))
            .count(),
        1
    );
    assert_eq!(sent.iter().filter(|r| **r == Route::Local).count(), 2);
}

#[test]
fn a_peer_without_a_current_announcement_gets_no_agent() {
    let mut routes = Routes::new(1);
    routes.update_own_load(true, false, 990, 1000, Micros::ZERO);
    assert_eq!(
        routes.route_at_leader(false, 990, 1000, Micros::from_secs(3)),
        Route::Local
    );
    routes.load_received(0, load(0, false), Micros::from_secs(3));
    assert_eq!(
        routes.route_at_leader(false, 990, 1000, Micros::from_secs(6)),
        Route::RedirectToPeer(0)
    );
    assert_eq!(
        routes.route_at_leader(false, 990, 1000, Micros::from_secs(7)),
        Route::Local
    );
}

#[test]
fn followers_relay_only_while_the_leader_offloads() {
    let mut routes = Routes::new(2);
    assert_eq!(
        routes.route_at_follower(Some(1), Micros::ZERO),
        Route::RedirectToLeader
    );
    routes.load_received(1, load(900, true), Micros::ZERO);
    assert_eq!(
        routes.route_at_follower(Some(1), Micros::from_secs(1)),
        Route::Relay
    );
    assert_eq!(
        routes.route_at_follower(Some(0), Micros::from_secs(1)),
        Route::RedirectToLeader
    );
    assert_eq!(
        routes.route_at_follower(None, Micros::from_secs(1)),
        Route::RedirectToLeader
    );
    assert_eq!(
        routes.route_at_follower(Some(1), Micros::from_secs(4)),
        Route::RedirectToLeader
    );
}

#[test]
fn offloading_has_hysteresis() {
    let mut routes = Routes::new(1);
    let mut offloads = |open| {
        routes
            .update_own_load(true, false, open, 1000, Micros::ZERO)
            .offloads
    };
    assert!(!offloads(800));
    assert!(offloads(890));
    assert!(offloads(700));
    assert!(!offloads(590));
    assert!(!offloads(700));
}

#[test]
fn a_leader_with_overloaded_cpu_offloads_early() {
    let mut routes = Routes::new(1);
    assert!(
        !routes
            .update_own_load(true, false, 400, 1000, Micros::ZERO)
            .offloads
    );
    assert!(
        routes
            .update_own_load(true, true, 400, 1000, Micros::ZERO)
            .offloads
    );
    let now = Micros::from_secs(3);
    routes.load_received(0, load(0, false), now);
    assert_eq!(
        routes.route_at_leader(true, 400, 1000, now),
        Route::RedirectToPeer(0)
    );
    assert_eq!(routes.route_at_leader(true, 290, 1000, now), Route::Local);
}

proptest! {
    /// Each heartbeat is relayed or dropped at most once, and calls and queue stay bounded, for any order of events.
    #[test]
    fn every_heartbeat_is_relayed_or_dropped_once(events in prop::collection::vec((0u64..60_000, 0u8..4), 1..3000)) {
        let mut batcher = HeartbeatBatcher::default();
        let (mut now, mut open_calls) = (Micros::ZERO, 0usize);
        let (mut queued, mut ended) = (BTreeSet::new(), BTreeSet::new());
        for (pause, what) in events {
            now += Micros(pause);
            match what {
                0 | 1 => {
                    for _ in 0..20 {
                        if let Some(id) = batcher.enqueue(vec![1], now) {
                            prop_assert!(queued.insert(id));
                        }
                    }
                }
                2 => {
                    let (batch, dropped) = batcher.begin_call(now);
                    open_calls += usize::from(!batch.is_empty());
                    prop_assert!(open_calls <= 4 && batch.len() <= 64);
                    for id in batch.into_iter().map(|h| h.0).chain(dropped) {
                        prop_assert!(ended.insert(id), "ended twice");
                    }
                }
                _ if open_calls > 0 => {
                    open_calls -= 1;
                    batcher.call_ended();
                }
                _ => {}
            }
            prop_assert!(queued.len() - ended.len() <= 512);
        }
    }
}

fn discover_all(monitor: &mut HeartbeatMonitor) {
    for n in 0..100 {
        monitor.heartbeat_received(&MachineId::new(&format!("m-{n:06}")), true);
    }
}

/// Checks every 200 ms from `from` to `until`, in tenths of a second. Returns when isolation is detected.
fn isolated_at(
    monitor: &mut HeartbeatMonitor,
    machines: usize,
    from: u64,
    until: u64,
) -> Option<u64> {
    (from..until)
        .step_by(2)
        .find(|t| monitor.is_isolated(machines, true, Micros::from_millis(t * 100)))
}

#[test]
fn isolation_is_detected_sooner_with_many_machines() {
    let monitor_of = |discovered: bool| {
        let mut monitor = HeartbeatMonitor::new(Micros::from_secs(2), 3, Micros::ZERO);
        if discovered {
            discover_all(&mut monitor);
        }
        monitor
    };
    let at = |discovered, machines| {
        isolated_at(&mut monitor_of(discovered), machines, 0, 200).unwrap_or(999)
    };
    assert!((35..40).contains(&at(true, 100)), "{}", at(true, 100));
    assert!((60..65).contains(&at(true, 3)), "{}", at(true, 3));
    assert!(
        (60..65).contains(&at(false, 100)),
        "before the first heartbeat: {}",
        at(false, 100)
    );
    assert_eq!(at(true, 1), 999);
}

#[test]
fn process_stall_is_not_isolation() {
    let mut monitor = HeartbeatMonitor::new(Micros::from_secs(2), 3, Micros::ZERO);
    discover_all(&mut monitor);
    assert_eq!(isolated_at(&mut monitor, 100, 0, 20), None);
    // After a stall of 18 s, heartbeats that arrived meanwhile haven't been read yet.
    assert!(!monitor.is_isolated(100, true, Micros::from_secs(20)));
    discover_all(&mut monitor);
    assert_eq!(isolated_at(&mut monitor, 100, 201, 230), None);
}

#[test]
fn time_without_a_valid_lease_does_not_count() {
    let mut monitor = HeartbeatMonitor::new(Micros::from_secs(2), 3, Micros::ZERO);
    discover_all(&mut monitor);
    assert!(!monitor.is_isolated(100, false, Micros::from_secs(10)));
    assert_eq!(isolated_at(&mut monitor, 100, 101, 150), None);
}

/// Two of three nodes are down, so agents reach the third only after a timeout at each of the others. Guards against a
/// leader that steps down during discovery, which lets task leases expire.
#[test]
fn a_new_leader_waits_until_agents_have_tried_the_other_nodes() {
    let mut monitor = HeartbeatMonitor::new(Micros::from_secs(2), 3, Micros::ZERO);
    monitor.command_answered();
    // Only one agent tried this node first.
    monitor.heartbeat_received(&MachineId::new("m-000001"), true);
    assert_eq!(isolated_at(&mut monitor, 100, 0, 130), None);
    // No other agent discovered it in time, so it is isolated.
    assert!(isolated_at(&mut monitor, 100, 130, 200).is_some());
}

/// Heartbeats that the network delayed, and that don't acknowledge the new leader, must not count as discovery: their
/// agents may still be trying nodes that are down.
#[test]
fn delayed_heartbeats_do_not_count_as_discovery() {
    let mut monitor = HeartbeatMonitor::new(Micros::from_secs(2), 3, Micros::ZERO);
    for n in 0..100 {
        monitor.heartbeat_received(&MachineId::new(&format!("m-{n:06}")), false);
    }
    assert_eq!(isolated_at(&mut monitor, 100, 0, 60), None);
}

#[test]
fn a_new_leader_that_no_agent_answers_does_not_wait_for_discovery() {
    let mut monitor = HeartbeatMonitor::new(Micros::from_secs(2), 3, Micros::ZERO);
    assert!(isolated_at(&mut monitor, 100, 0, 65).is_some());
}
