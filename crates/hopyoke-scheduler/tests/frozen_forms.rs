//! Tests that stored records keep their encoding, so that leaders of different versions can read each other's
//! records.

#[path = "../../hopyoke-protocol/tests/frozen/mod.rs"]
mod frozen;

use frozen::{assert_read_as, assert_stored};
use hopyoke_protocol::user::{JobKind, JobSpec, JobState, Priority};
use hopyoke_scheduler::{EndRecord, JobRecord, RegistryPage, TaskRanges};
use hopyoke_types::{Attempt, JobId, MachineId};
use std::collections::BTreeMap;
use std::rc::Rc;

const ACCEPTED_US: u64 = 1_700_000_000_000_000;

/// The same job as in the encoding tests of `hopyoke-protocol`.
fn gang() -> JobSpec {
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

fn array(tasks: u32) -> JobSpec {
    JobSpec {
        tasks,
        ..JobSpec::with_defaults(JobId::new("req-7"), "lint", "tools", "registry/lint:1")
    }
}

fn ranges(numbers: impl IntoIterator<Item = u32>) -> TaskRanges {
    let mut out = TaskRanges::default();
    for x in numbers {
        out.insert(x);
    }
    out
}

#[test]
fn job_records_are_encoded_as_before() {
    let fresh = JobRecord::accepted(array(1), ACCEPTED_US);
    assert_stored("job-record-fresh", &fresh);
    let start_attempt = Attempt(5_000_000_007_000_001);
    // Task numbers are stored as a list of ranges, or as a bitmap where that is shorter.
    let cases = [
        ("list", ranges(0..40)),
        ("few-bits", ranges((0..40).chain(45..50))),
        ("bits", ranges((0..7).chain((10..100).step_by(3)))),
    ];
    for (name, done) in cases {
        let running = JobRecord {
            done,
            start_attempt,
            ..JobRecord::accepted(array(100), ACCEPTED_US)
        };
        assert_stored(&format!("job-record-{name}"), &running);
    }
    assert_stored(
        "job-record-gang",
        &JobRecord {
            start_attempt,
            ..JobRecord::accepted(gang(), ACCEPTED_US)
        },
    );
    // Digests stand for long names in a long description.
    let long_names = (0..8).map(|n| "\u{1}".repeat(190 + n));
    let odd = JobSpec {
        machine_types: Some(long_names.chain(["g2".to_owned()]).collect()),
        ..array(1)
    };
    assert_stored(
        "job-record-condensed",
        &JobRecord::accepted(odd, ACCEPTED_US),
    );
    let step = JobSpec {
        id: JobId::new("req-90410000000070000300"),
        ..array(4)
    };
    assert_stored(
        "job-record-flow",
        &JobRecord::for_workflow_step(step, ACCEPTED_US),
    );
}

/// Reads records without `done`, `term`, `marks_start` and `flow`, and one with several ranges as a list.
#[test]
fn job_records_of_earlier_versions_are_decoded() {
    let older = JobRecord {
        spec: Rc::new(gang()),
        accepted_us: ACCEPTED_US,
        done: TaskRanges::default(),
        start_attempt: Attempt(0),
        has_start_marker: false,
        is_workflow_step: false,
    };
    assert!(older.may_have_started());
    assert_read_as("job-record-older", &older);
    let done = ranges((0..40).chain(45..50));
    assert_read_as(
        "job-record-older-list",
        &JobRecord {
            spec: Rc::new(array(100)),
            done,
            ..older
        },
    );
}

#[test]
fn end_records_are_encoded_as_before() {
    let cases = [
        ("queued", JobState::Queued, 0),
        ("running", JobState::Running, 5),
        ("done", JobState::Done, 12),
        ("cancelled", JobState::Cancelled, 7),
    ];
    for (name, state, done) in cases {
        assert_stored(&format!("end-record-{name}"), &EndRecord::new(state, done));
    }
    assert_stored(
        "end-record-flow",
        &EndRecord {
            is_workflow_step: true,
            ..EndRecord::new(JobState::Done, 4)
        },
    );
    let cancelled_by_scheduler = EndRecord {
        is_workflow_step: true,
        cancelled_by_scheduler: true,
        ..EndRecord::new(JobState::Cancelled, 3)
    };
    assert_stored("end-record-given-up", &cancelled_by_scheduler);
    assert_read_as("end-record-older", &EndRecord::new(JobState::Done, 0));
}

#[test]
fn registry_pages_are_encoded_as_before() {
    let machines = BTreeMap::from([
        (MachineId::new("m-17"), "10.0.0.17:7000".to_owned()),
        (MachineId::new("m-18"), "10.0.0.18:7000".to_owned()),
    ]);
    let page = RegistryPage {
        machine_type: "g4".into(),
        zone: "east".into(),
        spot: true,
        machines,
    };
    assert_stored("register-page", &page);
    assert_stored(
        "register-page-empty",
        &RegistryPage {
            spot: false,
            machines: BTreeMap::new(),
            ..page
        },
    );
}
