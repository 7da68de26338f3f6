//! Tests of commands that are pushed to an agent outside its heartbeats.

use hopyoke_protocol::cloud::MachineType;
use hopyoke_protocol::user::JobSpec;
use hopyoke_protocol::worker::{Command, Heartbeat};
use hopyoke_scheduler::{Action, JobRecord, RegistryPage, Scheduler, SchedulerConfig, Team};
use hopyoke_types::{Attempt, FencingToken, JobId, MachineId, Micros, ModRevision};
use std::collections::BTreeMap;

fn config() -> SchedulerConfig {
    SchedulerConfig {
        zones: vec!["a".into()],
        teams: vec![Team {
            name: "crew".into(),
            ..Team::default()
        }],
        heartbeat_interval: Micros::from_secs(2),
        lease: Micros::from_secs(14),
        gang_start_timeout: Micros::from_secs(50),
        gang_peer_timeout: Micros::from_secs(6),
        max_list_lag: Micros::from_secs(4),
        max_value_bytes: 8192,
        max_txn_ops: 16,
        max_writes_per_s: 25.0,
        response_margin: Micros::from_millis(500),
    }
}

fn machine_type() -> MachineType {
    MachineType {
        name: "std".into(),
        cpus: 16.0,
        gpus: 2.0,
        memory_gb: 64.0,
        cache_gb: 70.0,
        fetch_gb_per_s: 2.0,
        price: 7.0,
        spot_price: 2.5,
        boot_s: 10.0,
        zones: vec!["a".into()],
    }
}

fn spec() -> JobSpec {
    JobSpec {
        cpus: 6.0,
        gpus: 1.0,
        memory_gb: 20.0,
        image_gb: 2.0,
        ..JobSpec::with_defaults(JobId::new("req-1"), "any", "crew", "img-1")
    }
}

/// Tests that a task stays charged to its machine and team if its start was executed but the status in the
/// response can't be decoded: it may run until a heartbeat shows otherwise. Guards the invariants `quota` and
/// `ran_twice`.
#[test]
fn executed_start_without_readable_status_is_kept() {
    let (machine, job) = (MachineId::new("m-1"), JobId::new("req-1"));
    let now = Micros::from_secs(100);
    let page = RegistryPage {
        machine_type: "std".into(),
        zone: "a".into(),
        spot: false,
        machines: BTreeMap::from([(machine.clone(), "10.1.0.1:9000".into())]),
    };
    // The record has a start attempt, so that no write must precede the start.
    let record = JobRecord {
        start_attempt: Attempt(1),
        ..JobRecord::accepted(spec(), 0)
    };
    let mut scheduler = Scheduler::new(
        config(),
        FencingToken(5),
        vec![(job.clone(), record, ModRevision(7))],
        vec![("p".into(), ModRevision(2), Some(page))],
        now,
    );
    scheduler.set_catalog(vec![machine_type()]);
    let heartbeat = Heartbeat {
        machine: machine.clone(),
        address: "10.1.0.1:9000".into(),
        machine_type: "std".into(),
        zone: "a".into(),
        spot: false,
        epoch: 1,
        sequence: 3,
        token: FencingToken(5),
        preemption_notice_s: None,
        tasks: Vec::new(),
    };
    let actions = std::iter::from_fn(|| scheduler.next_action()).count();
    assert_eq!(actions, 0);
    scheduler.push_answered(&machine, true, Some(&heartbeat), now);
    scheduler.tick(now + Micros::from_secs(1));
    let has_start = |a: Action| match a {
        Action::PushCommands { commands, .. } => {
            commands.iter().any(|c| matches!(c, Command::Start { .. }))
        }
        _ => false,
    };
    assert!(
        std::iter::from_fn(|| scheduler.next_action()).any(has_start),
        "no start command was pushed"
    );
    scheduler.push_answered(&machine, true, None, now + Micros::from_secs(1));
    scheduler.job_removed(&job, now + Micros::from_secs(2));
    assert!(
        scheduler.machines[&machine].has_live_attempts(),
        "the allocation was removed although the task may run"
    );
}
