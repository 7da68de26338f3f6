//! Tests that whatever is accepted can be stored, in any state that it can reach.

mod common;

use common::config;
use hopyoke_protocol::json_len;
use hopyoke_protocol::user::JobSpec;
use hopyoke_scheduler::{JobRecord, Scheduler, Write};
use hopyoke_types::{Attempt, FencingToken, JobId, Micros, ModRevision};
use std::rc::Rc;

const START: Micros = Micros::from_secs(100);
const ACCEPTED_US: u64 = 1_765_000_000_000_000;
/// An attempt of as many digits as any.
const ATTEMPT: Attempt = Attempt(u64::MAX);

fn job() -> JobId {
    JobId::new("req-1")
}

fn spec() -> JobSpec {
    JobSpec::with_defaults(job(), "any", "crew", "img-1")
}

/// Returns the record that a leader writes for its first start, if it finds this one.
fn record_of_first_start(found: JobRecord) -> JobRecord {
    let jobs = vec![(job(), found.clone(), ModRevision(1))];
    let mut scheduler = Scheduler::new(config(), FencingToken(5), jobs, Vec::new(), START);
    scheduler
        .jobs
        .get_mut(&job())
        .expect("the job")
        .start_attempt = ATTEMPT;
    scheduler.job_record_changed(job(), found, ModRevision(2), START);
    let batch = scheduler.next_batch(START).expect("a batch");
    match batch.writes.into_iter().next() {
        Some(Write::Update { record, .. }) => record,
        other => panic!("unexpected write {other:?}"),
    }
}

/// Guards against a record that outgrows the store's largest value at the leader's first update (review/4), also if an
/// earlier version stored it as it was submitted.
#[test]
fn record_of_an_earlier_version_is_condensed_with_its_next_write() {
    let mut names = vec!["std".to_owned()];
    names.extend((0..7).map(|_| "\u{1}".repeat(180)));
    let submitted = JobSpec {
        machine_types: Some(names),
        ..spec()
    };
    let stored_before = JobRecord {
        spec: Rc::new(submitted),
        ..JobRecord::accepted(spec(), ACCEPTED_US)
    };
    assert!(json_len(&stored_before) > 7_500);
    let written = record_of_first_start(stored_before);
    assert!(json_len(&written) < 1_500, "{}", json_len(&written));
    assert!(written.spec.allows_machine_type("std"));
    assert!(written.spec.allows_machine_type(&"\u{1}".repeat(180)));
}
