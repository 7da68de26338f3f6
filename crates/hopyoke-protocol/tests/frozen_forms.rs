//! Wire compatibility of all protocols: messages encode to the bytes of fixtures that an earlier version wrote, and
//! decode from them. Messages that are only decoded are compared field by field.

mod frozen;

use frozen::{assert_bytes, assert_round_trip, assert_written, bytes, read};
use hopyoke_protocol::cloud::{
    Catalog, ListedMachineState, MachineList, MachineNames, MachineType, ScaleOutRequest,
};
use hopyoke_protocol::encode;
use hopyoke_protocol::state::{
    Compare, CompareFailed, KeyValue, KeyValuePage, LeaseGrantRequest, LeaseGrantResponse,
    Mutation, Stored, Transaction, TransactionResponse, WatchResponse,
};
use hopyoke_protocol::user::{JobKind, JobSpec, JobState, JobStatusResponse, Priority};
use hopyoke_protocol::worker::{
    Command, ExitReason, Heartbeat, HeartbeatRedirect, HeartbeatResponse, PushedCommands,
    TaskState, TaskStatus,
};
use hopyoke_types::{Attempt, FencingToken, JobId, MachineId, ModRevision};

/// Returns a job with distinct and non-default values where possible, so that swapped fields are noticed.
fn full_spec() -> JobSpec {
    JobSpec {
        id: JobId::new("req-41"),
        class: "train".into(),
        team: "vision".into(),
        kind: JobKind::Gang,
        priority: Priority::Production,
        tasks: 12,
        cpus: 3.5,
        gpus: 2.0,
        memory_gb: 24.25,
        image: "registry/train:7".into(),
        image_gb: 6.5,
        machine_types: Some(vec!["g2".into(), "g4".into()]),
        zone: Some("east".into()),
        one_zone: true,
        spread: false,
        spot: true,
        estimate_s: 1800.0,
        checkpoint_interval_s: 300.0,
        checkpoint_save_s: 15.0,
        deadline_s: Some(7200.0),
    }
}

fn default_spec() -> JobSpec {
    JobSpec {
        spread: true,
        ..JobSpec::with_defaults(JobId::new("req-7"), "lint", "tools", "registry/lint:1")
    }
}

#[test]
fn job_specs() {
    for (name, spec) in [
        ("job-spec-full", full_spec()),
        ("job-spec-plain", default_spec()),
    ] {
        assert_round_trip(name, &spec);
        assert_eq!(JobSpec::parse(&bytes(name)), Ok(spec), "{name}");
    }
    // Users may omit optional fields instead of sending nil.
    assert_eq!(
        JobSpec::parse(&bytes("job-spec-absent")),
        Ok(default_spec())
    );
}

#[test]
fn enumerations() {
    assert_round_trip(
        "job-kinds",
        &vec![JobKind::Array, JobKind::Gang, JobKind::Service],
    );
    assert_round_trip(
        "priorities",
        &vec![
            Priority::Production,
            Priority::High,
            Priority::Normal,
            Priority::Low,
        ],
    );
    assert_round_trip(
        "job-states",
        &vec![
            JobState::Queued,
            JobState::Running,
            JobState::Done,
            JobState::Cancelled,
        ],
    );
    assert_round_trip(
        "task-states",
        &vec![
            TaskState::Fetching,
            TaskState::Waiting,
            TaskState::Running,
            TaskState::Saving,
            TaskState::Ended,
        ],
    );
    assert_round_trip(
        "exit-reasons",
        &vec![
            ExitReason::Done,
            ExitReason::Stopped,
            ExitReason::GangPeersLost,
            ExitReason::Incomplete,
            ExitReason::Error,
            ExitReason::InsufficientResources,
            ExitReason::Busy,
            ExitReason::UnknownTask,
            ExitReason::Other,
        ],
    );
    assert_eq!(read::<ExitReason>("exit-reason-unknown"), ExitReason::Other);
    assert_eq!(
        read::<Vec<ListedMachineState>>("listed-states"),
        [
            ListedMachineState::Booting,
            ListedMachineState::Running,
            ListedMachineState::Failed,
            ListedMachineState::Other
        ]
    );
}

#[test]
fn job_status_responses() {
    let cases = [
        (
            "job-answer-queued",
            JobStatusResponse {
                id: "req-41",
                state: JobState::Queued,
                done: None,
                running: None,
            },
        ),
        (
            "job-answer-running",
            JobStatusResponse {
                id: "req-41",
                state: JobState::Running,
                done: Some(5),
                running: Some(3),
            },
        ),
        (
            "job-answer-done",
            JobStatusResponse {
                id: "req-41",
                state: JobState::Done,
                done: Some(12),
                running: None,
            },
        ),
        (
            "job-answer-cancelled",
            JobStatusResponse {
                id: "req-41",
                state: JobState::Cancelled,
                done: None,
                running: Some(0),
            },
        ),
    ];
    for (name, response) in cases {
        assert_written(name, &response);
        // The response borrows its id from the encoded bytes.
        let encoded = bytes(name);
        let decoded: JobStatusResponse<'_> =
            rmp_serde::from_slice(&encoded).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_bytes(name, &encode(&decoded));
    }
}

#[test]
fn heartbeats() {
    let task = |task: &str, attempt, state, exit_reason, checkpoint_saved| TaskStatus {
        task: task.into(),
        attempt: Attempt(attempt),
        state,
        exit_reason,
        checkpoint_saved,
    };
    let full = Heartbeat {
        machine: MachineId::new("m-17"),
        address: "10.0.0.17:7000".into(),
        machine_type: "g4".into(),
        zone: "east".into(),
        spot: true,
        epoch: 901,
        sequence: 44,
        token: FencingToken(5_000_000_007),
        preemption_notice_s: Some(90.5),
        tasks: vec![
            task("req-41/0", 70_001, TaskState::Running, None, false),
            task(
                "req-41/1",
                70_002,
                TaskState::Ended,
                Some(ExitReason::Done),
                false,
            ),
            task(
                "req-41/2",
                70_003,
                TaskState::Ended,
                Some(ExitReason::Stopped),
                true,
            ),
        ],
    };
    let idle = Heartbeat {
        spot: false,
        token: FencingToken(0),
        preemption_notice_s: None,
        tasks: Vec::new(),
        ..full.clone()
    };
    assert_round_trip("report-full", &full);
    assert_round_trip("report-idle", &idle);
    // A newly booted agent omits fields that have a default.
    assert_eq!(encode(&read::<Heartbeat>("report-absent")), encode(&idle));
}

#[test]
fn commands() {
    let commands = vec![
        Command::Start {
            task: "req-41/0".into(),
            attempt: Attempt(70_001),
        },
        Command::Stop {
            task: "req-41/1".into(),
            attempt: Attempt(70_002),
            grace_s: 12.5,
        },
        Command::Acknowledge {
            task: "req-41/2".into(),
            attempt: Attempt(70_003),
        },
    ];
    assert_round_trip(
        "orders",
        &HeartbeatResponse {
            token: FencingToken(5_000_000_007),
            commands: commands.clone(),
        },
    );
    assert_round_trip(
        "orders-none",
        &HeartbeatResponse {
            token: FencingToken(3),
            commands: Vec::new(),
        },
    );
    assert_round_trip(
        "direct-orders",
        &PushedCommands {
            token: FencingToken(5_000_000_007),
            epoch: 901,
            commands,
        },
    );
    assert_written(
        "redirect",
        &HeartbeatRedirect {
            target: Some("10.0.0.2:8080"),
        },
    );
    assert_written("redirect-nowhere", &HeartbeatRedirect { target: None });
}

#[test]
fn cloud_messages() {
    let full = MachineType {
        name: "g4".into(),
        cpus: 32.0,
        gpus: 4.0,
        memory_gb: 256.0,
        cache_gb: 100.0,
        fetch_gb_per_s: 0.5,
        price: 3.2,
        spot_price: 1.1,
        boot_s: 45.0,
        zones: vec!["east".into(), "west".into()],
    };
    let minimal = MachineType {
        name: "c1".into(),
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 2.0,
        cache_gb: 0.0,
        fetch_gb_per_s: 0.0,
        price: 0.04,
        spot_price: 0.0,
        boot_s: 0.0,
        zones: Vec::new(),
    };
    assert_round_trip("machine-type", &full);
    // The second type of the catalog omits all fields that have a default.
    assert_eq!(read::<Catalog>("catalog").types, [full, minimal]);
    let scale_out = ScaleOutRequest {
        request: "r-5-1",
        machine_type: "g4",
        zone: "east",
        spot: true,
        count: 3,
    };
    assert_written("rent", &scale_out);
    assert_round_trip(
        "machines",
        &MachineNames {
            machines: vec![MachineId::new("m-17"), MachineId::new("m-18")],
        },
    );
}

#[test]
fn machine_lists() {
    let list: MachineList = read("machine-list");
    assert!(list.more);
    let [full, minimal] = &list.machines[..] else {
        panic!("two machines: {list:?}")
    };
    assert_eq!(full.id, MachineId::new("m-17"));
    assert_eq!(full.address.as_deref(), Some("10.0.0.17:7000"));
    assert_eq!(
        (full.machine_type.as_str(), full.zone.as_str(), full.spot),
        ("g4", "east", true)
    );
    assert_eq!(
        (full.state, full.age_s),
        (ListedMachineState::Running, 77.5)
    );
    assert_eq!((minimal.id.as_str(), &minimal.address), ("m-18", &None));
    assert_eq!(
        (
            minimal.machine_type.as_str(),
            minimal.zone.as_str(),
            minimal.spot
        ),
        ("c1", "west", false)
    );
    assert_eq!(
        (minimal.state, minimal.age_s),
        (ListedMachineState::Booting, 0.0)
    );
    let last: MachineList = read("machine-list-last");
    assert!(last.machines.is_empty() && !last.more);
}

#[test]
fn key_value_store_requests() {
    let compare = |key: &str, mod_revision| Compare {
        key: key.into(),
        mod_revision: ModRevision(mod_revision),
    };
    let put = |key: &str, lease| Mutation::Put {
        key: key.into(),
        value: "v",
        lease,
    };
    assert_written(
        "txn",
        &Transaction {
            compares: vec![compare("leader", 900), compare("job/req-41", 0)],
            mutations: vec![
                put("end/req-41", None),
                put("leader", Some(31)),
                Mutation::Delete {
                    key: "job/req-41".into(),
                },
            ],
        },
    );
    assert_written(
        "txn-empty",
        &Transaction::<u32> {
            compares: Vec::new(),
            mutations: Vec::new(),
        },
    );
    assert_written("grant", &LeaseGrantRequest { ttl_ms: 6_000 });
}

#[test]
fn key_value_store_responses() {
    assert_eq!(read::<TransactionResponse>("applied").revision, 901);
    assert_eq!(
        read::<CompareFailed>("failed").failed,
        ["leader", "job/req-41"]
    );
    assert!(read::<CompareFailed>("failed-absent").failed.is_empty());
    assert_eq!(read::<LeaseGrantResponse>("granted").lease, 31);

    // The response to a read of a single key omits the key.
    let pair: KeyValue<JobSpec> = read("pair");
    assert_eq!(
        (pair.key.as_str(), pair.mod_revision),
        ("", ModRevision(77))
    );
    assert_eq!(pair.value.decoded(), Some(full_spec()));

    let page: KeyValuePage<String> = read("page");
    assert!(page.more);
    assert_eq!(page.revision, 950);
    let pairs: Vec<_> = page
        .pairs
        .into_iter()
        .map(|p| (p.key, p.value.decoded(), p.mod_revision))
        .collect();
    assert_eq!(
        pairs[0],
        ("job/req-41".into(), Some("kept".into()), ModRevision(77))
    );
    // A value of another type does not make the page undecodable.
    assert_eq!(pairs[1], ("job/req-42".into(), None, ModRevision(78)));
    let last: KeyValuePage<String> = read("page-last");
    assert!(last.pairs.is_empty() && !last.more);
    assert_eq!(last.revision, 951);

    let response: WatchResponse<String> = read("events");
    assert_eq!((response.revision, response.events.len()), (960, 3));
    let [put, deletion, unreadable] = &response.events[..] else {
        unreachable!("three events")
    };
    assert_eq!(
        (put.put.as_deref(), &put.deleted, put.mod_revision),
        (Some("job/req-41"), &None, ModRevision(958))
    );
    assert!(
        matches!(&put.value, Some(Stored::Value(v)) if v == "kept"),
        "{put:?}"
    );
    assert_eq!(
        (
            &deletion.put,
            deletion.deleted.as_deref(),
            deletion.mod_revision
        ),
        (&None, Some("job/req-42"), ModRevision(959))
    );
    assert!(deletion.value.is_none(), "{deletion:?}");
    assert!(
        matches!(&unreadable.value, Some(Stored::Unreadable(_))),
        "{unreadable:?}"
    );
    let empty: WatchResponse<String> = read("events-none");
    assert!(empty.events.is_empty());
    assert_eq!(empty.revision, 961);
}
