//! The messages of all protocols keep their bytes: fixtures written by an earlier version are read and written
//! again byte for byte. A message that is only read is compared field by field; one that is only written is
//! compared as bytes.

mod frozen;

use frozen::{assert_bytes, assert_round_trip, assert_written, bytes, read};
use hopyoke_types::{Attempt, JobId, MachineId, Mark, Token};
use hopyoke_wire::cloud::{Catalog, ListedState, MachineList, MachineType, Machines, Rent};
use hopyoke_wire::encode;
use hopyoke_wire::state::{Applied, Change, Condition, Events, Failed, Grant, Granted, Page, Pair, Stored, Txn};
use hopyoke_wire::user::{JobAnswer, JobKind, JobSpec, JobState, Priority};
use hopyoke_wire::worker::{DirectOrders, ExitReason, Order, Orders, Redirect, Report, TaskReport, TaskState};

/// A job whose every field differs from every other and from its default.
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
        types: Some(vec!["g2".into(), "g4".into()]),
        zone: Some("east".into()),
        one_zone: true,
        spread: false,
        spot: true,
        estimate_s: 1800.0,
        checkpoint_s: 300.0,
        save_s: 15.0,
        deadline_s: Some(7200.0),
    }
}

fn plain_spec() -> JobSpec {
    JobSpec { spread: true, ..JobSpec::plain(JobId::new("req-7"), "lint", "tools", "registry/lint:1") }
}

#[test]
fn job_specs() {
    for (name, spec) in [("job-spec-full", full_spec()), ("job-spec-plain", plain_spec())] {
        assert_round_trip(name, &spec);
        assert_eq!(JobSpec::parse(&bytes(name)), Ok(spec), "{name}");
    }
    // Users may leave the optional fields out instead of sending nil.
    assert_eq!(JobSpec::parse(&bytes("job-spec-absent")), Ok(plain_spec()));
}

#[test]
fn enumerations() {
    assert_round_trip("job-kinds", &vec![JobKind::Array, JobKind::Gang, JobKind::Service]);
    assert_round_trip("priorities", &vec![Priority::Production, Priority::High, Priority::Normal, Priority::Low]);
    assert_round_trip(
        "job-states",
        &vec![JobState::Queued, JobState::Running, JobState::Done, JobState::Cancelled],
    );
    assert_round_trip(
        "task-states",
        &vec![TaskState::Fetching, TaskState::Waiting, TaskState::Running, TaskState::Saving, TaskState::Ended],
    );
    assert_round_trip(
        "exit-reasons",
        &vec![
            ExitReason::Done,
            ExitReason::Stopped,
            ExitReason::PeersGone,
            ExitReason::Incomplete,
            ExitReason::Error,
            ExitReason::NoRoom,
            ExitReason::Busy,
            ExitReason::NoSuch,
            ExitReason::Other,
        ],
    );
    assert_eq!(read::<ExitReason>("exit-reason-unknown"), ExitReason::Other);
    assert_eq!(
        read::<Vec<ListedState>>("listed-states"),
        [ListedState::Booting, ListedState::Running, ListedState::Failed, ListedState::Other]
    );
}

#[test]
fn job_answers() {
    let cases = [
        ("job-answer-queued", JobAnswer { id: "req-41", state: JobState::Queued, done: None, running: None }),
        (
            "job-answer-running",
            JobAnswer { id: "req-41", state: JobState::Running, done: Some(5), running: Some(3) },
        ),
        ("job-answer-done", JobAnswer { id: "req-41", state: JobState::Done, done: Some(12), running: None }),
        (
            "job-answer-cancelled",
            JobAnswer { id: "req-41", state: JobState::Cancelled, done: None, running: Some(0) },
        ),
    ];
    for (name, answer) in cases {
        assert_written(name, &answer);
        // It borrows its id from the bytes.
        let old = bytes(name);
        let again: JobAnswer<'_> = rmp_serde::from_slice(&old).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_bytes(name, &encode(&again));
    }
}

#[test]
fn reports() {
    let task = |task: &str, attempt, state, why, saved| TaskReport {
        task: task.into(),
        attempt: Attempt(attempt),
        state,
        why,
        saved,
    };
    let full = Report {
        machine: MachineId::new("m-17"),
        address: "10.0.0.17:7000".into(),
        machine_type: "g4".into(),
        zone: "east".into(),
        spot: true,
        session: 901,
        seq: 44,
        token: Token(5_000_000_007),
        notice_s: Some(90.5),
        tasks: vec![
            task("req-41/0", 70_001, TaskState::Running, None, false),
            task("req-41/1", 70_002, TaskState::Ended, Some(ExitReason::Done), false),
            task("req-41/2", 70_003, TaskState::Ended, Some(ExitReason::Stopped), true),
        ],
    };
    let idle = Report { spot: false, token: Token(0), notice_s: None, tasks: Vec::new(), ..full.clone() };
    assert_round_trip("report-full", &full);
    assert_round_trip("report-idle", &idle);
    // A worker that has just booted leaves out what has a default.
    assert_eq!(encode(&read::<Report>("report-absent")), encode(&idle));
}

#[test]
fn orders() {
    let orders = vec![
        Order::Start { task: "req-41/0".into(), attempt: Attempt(70_001) },
        Order::Stop { task: "req-41/1".into(), attempt: Attempt(70_002), grace_s: 12.5 },
        Order::Forget { task: "req-41/2".into(), attempt: Attempt(70_003) },
    ];
    assert_round_trip("orders", &Orders { token: Token(5_000_000_007), orders: orders.clone() });
    assert_round_trip("orders-none", &Orders { token: Token(3), orders: Vec::new() });
    assert_round_trip("direct-orders", &DirectOrders { token: Token(5_000_000_007), session: 901, orders });
    assert_written("redirect", &Redirect { report_to: Some("10.0.0.2:8080") });
    assert_written("redirect-nowhere", &Redirect { report_to: None });
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
    let least = MachineType {
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
    // The second lacks all that has a default.
    assert_eq!(read::<Catalog>("catalog").types, [full, least]);
    let rent = Rent { request: "r-5-1", machine_type: "g4", zone: "east", spot: true, count: 3 };
    assert_written("rent", &rent);
    assert_round_trip("machines", &Machines { machines: vec![MachineId::new("m-17"), MachineId::new("m-18")] });

    let list: MachineList = read("machine-list");
    assert!(list.more);
    let [full, least] = &list.machines[..] else { panic!("two machines: {list:?}") };
    assert_eq!(full.id, MachineId::new("m-17"));
    assert_eq!(full.address.as_deref(), Some("10.0.0.17:7000"));
    assert_eq!((full.machine_type.as_str(), full.zone.as_str(), full.spot), ("g4", "east", true));
    assert_eq!((full.state, full.age_s), (ListedState::Running, 77.5));
    assert_eq!((least.id.as_str(), &least.address), ("m-18", &None));
    assert_eq!((least.machine_type.as_str(), least.zone.as_str(), least.spot), ("c1", "west", false));
    assert_eq!((least.state, least.age_s), (ListedState::Booting, 0.0));
    let last: MachineList = read("machine-list-last");
    assert!(last.machines.is_empty() && !last.more);
}

#[test]
fn state_requests() {
    let when = |key: &str, mark| Condition { key: key.into(), mark: Mark(mark) };
    let put = |key: &str, lease| Change::Put { key: key.into(), value: "v", lease };
    assert_written(
        "txn",
        &Txn {
            conditions: vec![when("leader", 900), when("job/req-41", 0)],
            changes: vec![
                put("end/req-41", None),
                put("leader", Some(31)),
                Change::Drop { key: "job/req-41".into() },
            ],
        },
    );
    assert_written("txn-empty", &Txn::<u32> { conditions: Vec::new(), changes: Vec::new() });
    assert_written("grant", &Grant { ttl_ms: 6_000 });
}

#[test]
fn state_answers() {
    assert_eq!(read::<Applied>("applied").revision, 901);
    assert_eq!(read::<Failed>("failed").failed, ["leader", "job/req-41"]);
    assert!(read::<Failed>("failed-absent").failed.is_empty());
    assert_eq!(read::<Granted>("granted").lease, 31);

    // Asked by key, the answer has none.
    let pair: Pair<JobSpec> = read("pair");
    assert_eq!((pair.key.as_str(), pair.mark), ("", Mark(77)));
    assert_eq!(pair.value.readable(), Some(full_spec()));

    let page: Page<String> = read("page");
    assert!(page.more);
    assert_eq!(page.revision, 950);
    let pairs: Vec<_> = page.pairs.into_iter().map(|p| (p.key, p.value.readable(), p.mark)).collect();
    assert_eq!(pairs[0], ("job/req-41".into(), Some("kept".into()), Mark(77)));
    // A value of another type is no fault of the page.
    assert_eq!(pairs[1], ("job/req-42".into(), None, Mark(78)));
    let last: Page<String> = read("page-last");
    assert!(last.pairs.is_empty() && !last.more);
    assert_eq!(last.revision, 951);

    let news: Events<String> = read("events");
    assert_eq!((news.revision, news.events.len()), (960, 3));
    let [put, drop, strange] = &news.events[..] else { unreachable!("three events") };
    assert_eq!((put.put.as_deref(), &put.drop, put.mark), (Some("job/req-41"), &None, Mark(958)));
    assert!(matches!(&put.value, Some(Stored::Value(v)) if v == "kept"), "{put:?}");
    assert_eq!((&drop.put, drop.drop.as_deref(), drop.mark), (&None, Some("job/req-42"), Mark(959)));
    assert!(drop.value.is_none(), "{drop:?}");
    assert!(matches!(&strange.value, Some(Stored::Unreadable(_))), "{strange:?}");
    let none: Events<String> = read("events-none");
    assert!(none.events.is_empty());
    assert_eq!(none.revision, 961);
}
