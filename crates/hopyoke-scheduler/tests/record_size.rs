//! Tests that whatever is accepted can be stored, in any state that it can reach.

mod common;

use common::{config, set_of};
use hopyoke_protocol::state::{Compare, Mutation, Transaction};
use hopyoke_protocol::user::{JobKind, JobSpec};
use hopyoke_protocol::worker::Heartbeat;
use hopyoke_scheduler::{Batch, Job, JobRecord, Scheduler, SchedulerConfig, TaskRanges, Write};
use hopyoke_stored_form::{json_len, machine_types};
use hopyoke_types::{Attempt, FencingToken, JobId, MachineId, Micros, ModRevision};
use proptest::prelude::*;
use serde_json::{Value, json};
use std::rc::Rc;

const START: Micros = Micros::from_secs(100);
const ACCEPTED_US: u64 = 1_765_000_000_000_000;
/// Largest transaction that the store accepts, in bytes of JSON.
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
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
    assert!(machine_types::allows(&written.spec, "std"));
    assert!(machine_types::allows(&written.spec, &"\u{1}".repeat(180)));
}

/// Returns a job of as many bytes in JSON as any: its names consist of control characters.
fn largest_spec(tasks: u32) -> JobSpec {
    JobSpec {
        class: "\u{1}".repeat(200),
        image: "\u{2}".repeat(200),
        machine_types: Some(vec!["\u{3}".repeat(25); 64]),
        tasks,
        ..spec()
    }
}

fn job_of(spec: JobSpec) -> Job {
    assert_eq!(spec.check(), Ok(()));
    let record = JobRecord::accepted(spec, ACCEPTED_US);
    Job::new(
        record,
        ModRevision(1),
        false,
        config().max_value_bytes,
        START,
    )
}

/// Returns the size of the record that is written now.
fn record_len(job: &mut Job) -> usize {
    job.start_attempt = ATTEMPT;
    json_len(&job.record())
}

/// Guards against a record that outgrows the store's largest value as tasks complete out of order, beside a long
/// description: here all odd ones among those that placement considers at once.
#[test]
fn scattered_tasks_beside_a_long_description_fit() {
    let mut job = job_of(largest_spec(100_000));
    job.done = set_of((0..27_000).filter(|x| x % 2 == 1));
    assert!(record_len(&mut job) <= config().max_value_bytes);
}

/// Completed tasks that did not fit are recorded once lower ones are, and none is ever dropped.
#[test]
fn tasks_that_do_not_fit_are_recorded_later() {
    const TASKS: u32 = 40_000;
    let mut job = job_of(largest_spec(TASKS));
    job.done = set_of((0..TASKS).filter(|x| x % 2 == 1));
    assert!(job.record().done.count() < job.done.count());
    let mut low_tasks = (0..TASKS).filter(|x| x % 2 == 0);
    while !job.is_done() {
        assert!(record_len(&mut job) <= config().max_value_bytes);
        let recorded = job.record().done;
        assert!((0..TASKS).all(|x| !job.recorded_done.contains(x) || recorded.contains(x)));
        job.recorded_done = recorded;
        job.recorded_start_attempt = job.start_attempt;
        assert!(!job.needs_write());
        for task in low_tasks.by_ref().take(2_000) {
            job.done.insert(task);
        }
    }
}

/// A job that can't be stored is refused with the field that takes most and the limit.
#[test]
fn record_over_the_limit_names_field_and_limit() {
    let record = JobRecord::accepted(largest_spec(1), ACCEPTED_US);
    assert_eq!(record.check_len(8 * 1024), Ok(()));
    let error = record.check_len(4 * 1024).expect_err("a small store");
    assert_eq!((error.field, error.max_bytes), ("rigs", 4 * 1024 - 16 * 14));
    let other = JobSpec {
        image: "\u{1}".repeat(200),
        machine_types: None,
        ..spec()
    };
    let error = JobRecord::accepted(other, ACCEPTED_US)
        .check_len(1024)
        .expect_err("a smaller store");
    assert!(error.to_string().starts_with("cargo: "), "{error}");
    assert!(error.to_string().contains("at most 800"), "{error}");
}

/// Returns the size of a batch of job records as the store counts it.
fn transaction_len(batch: &Batch) -> usize {
    let mut transaction = Transaction {
        compares: vec![compare("leader".to_owned(), ModRevision(u64::MAX))],
        mutations: Vec::new(),
    };
    for write in &batch.writes {
        let Write::Update {
            job,
            mod_revision,
            record,
        } = write
        else {
            panic!("unexpected write {write:?}")
        };
        transaction
            .compares
            .push(compare(format!("job/{job}"), *mod_revision));
        transaction.mutations.push(Mutation::Put {
            key: format!("job/{job}"),
            value: record,
            lease: None,
        });
    }
    json_len(&transaction)
}

fn compare(key: String, mod_revision: ModRevision) -> Compare {
    Compare { key, mod_revision }
}

/// Returns the batches with which a leader records the first starts of these jobs and their completed tasks.
fn batches(specs: Vec<JobSpec>, done: &TaskRanges) -> Vec<Batch> {
    let record = |n: usize| {
        let id = JobId::new(&format!("req-{n:020}"));
        let spec = JobSpec {
            id: id.clone(),
            ..specs[n].clone()
        };
        (id, JobRecord::accepted(spec, ACCEPTED_US))
    };
    // A rate at which a batch may hold as many writes as a transaction.
    let config = SchedulerConfig {
        max_writes_per_s: 60.0,
        ..config()
    };
    let mut scheduler = Scheduler::new(config, FencingToken(5), Vec::new(), Vec::new(), START);
    for (id, record) in (0..specs.len()).map(record) {
        scheduler.job_record_changed(id.clone(), record.clone(), ModRevision(7), START);
        let job = scheduler.jobs.get_mut(&id).expect("the job");
        job.start_attempt = ATTEMPT;
        job.done = done.clone().normalized(job.spec.tasks - 1);
        scheduler.job_record_changed(id, record, ModRevision(u64::MAX - 1), START);
    }
    // The budget for writes is full again every two seconds. No batch is answered, so none is repeated.
    let times = (1..=specs.len() as u64).map(|n| START + Micros::from_secs(2 * n));
    times.filter_map(|now| scheduler.next_batch(now)).collect()
}

/// Guards against a transaction over the store's limit: several long descriptions in one batch.
#[test]
fn batch_of_long_descriptions_fits_a_transaction() {
    let batches = batches(vec![largest_spec(4); 16], &TaskRanges::default());
    let writes: usize = batches.iter().map(|b| b.writes.len()).sum();
    assert_eq!(writes, 16);
    for batch in &batches {
        assert!(transaction_len(batch) <= MAX_TRANSACTION_BYTES);
    }
}

/// Guards against a page of the machine registry that outgrows the store's largest value: agents choose the names of their
/// machines, here of control characters.
#[test]
fn registry_pages_of_odd_machine_names_fit() {
    const MACHINES: u64 = 100;
    let mut scheduler = Scheduler::new(config(), FencingToken(5), Vec::new(), Vec::new(), START);
    for n in 0..MACHINES {
        let heartbeat = Heartbeat {
            machine: MachineId::new(&format!("{}{n:03}", "\u{1}".repeat(40))),
            address: format!("10.1.0.{n}:9000"),
            machine_type: "std".into(),
            zone: "a".into(),
            spot: false,
            epoch: 1,
            sequence: 1,
            token: FencingToken(0),
            preemption_notice_s: None,
            tasks: Vec::new(),
        };
        scheduler.heartbeat(&heartbeat, START);
    }
    let mut registered = 0;
    for n in 1..=10 {
        let now = START + Micros::from_secs(2 * n);
        let Some(batch) = scheduler.next_batch(now) else {
            continue;
        };
        for write in &batch.writes {
            if let Write::Page {
                page: Some(page), ..
            } = write
            {
                assert!(json_len(page) <= config().max_value_bytes);
                registered += page.machines.len() as u64;
            }
        }
        scheduler.batch_completed(batch, Ok(ModRevision(10 + n)), now);
    }
    assert_eq!(registered, MACHINES);
}

/// Guards against a page of learned run times that outgrows the store's largest value: users choose the names of classes.
#[test]
fn pages_of_learned_run_times_of_odd_classes_fit() {
    let view = json!({"q": [[1, 1]], "l": 0});
    let entry = |n: usize| {
        let name = "\u{1}".repeat(200 - n);
        json!(["c", name, {"v": view, "r": view, "w": [100, 100, 0, 5]}])
    };
    let entries: Vec<Value> = (0..10).map(entry).collect();
    let page = serde_json::from_value(json!({"v": 1, "e": entries})).expect("a page");
    let mut scheduler = Scheduler::new(config(), FencingToken(5), Vec::new(), Vec::new(), START);
    scheduler.load_run_times("0", Some(&page));
    scheduler.record_grant_time(START, START);
    let written = (1..=10)
        .filter_map(|n| scheduler.next_batch(START + Micros::from_secs(2 * n)))
        .find_map(|batch| match batch.writes.into_iter().next() {
            Some(Write::LearnedRunTimes { page, .. }) => Some(page),
            _ => None,
        })
        .expect("a page of learned run times");
    assert!(json_len(&written) <= config().max_value_bytes);
    assert!(json_len(&written) > config().max_value_bytes / 2);
}

/// Names of at most 200 bytes, ordinary ones and such that take more in JSON.
fn long_name() -> impl Strategy<Value = String> {
    prop_oneof![
        "[a-z0-9.-]{1,200}",
        "[\u{0}-\u{1f}]{1,200}",
        "[\"\\\\]{1,200}",
        "[\u{7f}-\u{7ff}]{1,100}",
        "[船🛶]{1,50}",
    ]
}

fn short_name() -> impl Strategy<Value = String> {
    prop_oneof!["[a-z0-9.-]{1,40}", "[\u{0}-\u{1f}]{1,40}", "#[a-z]{0,20}"]
}

fn amount() -> impl Strategy<Value = f64> {
    prop_oneof![
        Just(0.0),
        0.0..1e12,
        Just(1e12),
        Just(1e-300),
        Just(0.1 + 0.2)
    ]
}

/// Any description that passes the checks of submissions.
fn accepted_spec() -> impl Strategy<Value = JobSpec> {
    let names = (
        long_name(),
        long_name(),
        long_name(),
        prop::option::of(long_name()),
    );
    let types = prop::option::of(prop_oneof![
        prop::collection::vec(long_name(), 0..20),
        prop::collection::vec(short_name(), 0..=64),
    ]);
    let amounts = prop::collection::vec(amount(), 8);
    let kind = prop_oneof![
        Just(JobKind::Array),
        Just(JobKind::Gang),
        Just(JobKind::Service)
    ];
    (names, types, amounts, kind, 1u32..=100_000)
        .prop_map(|(names, machine_types, amounts, kind, tasks)| JobSpec {
            class: names.0,
            team: names.1,
            image: names.2,
            zone: names.3,
            machine_types,
            kind,
            tasks,
            cpus: amounts[0],
            gpus: amounts[1],
            memory_gb: amounts[2],
            image_gb: amounts[3],
            estimate_s: amounts[4],
            checkpoint_interval_s: amounts[5],
            checkpoint_save_s: amounts[6],
            deadline_s: Some(amounts[7]),
            id: JobId::new("req-12345678901234567890"),
            ..spec()
        })
        .prop_filter("the checks of submissions", |spec| spec.check().is_ok())
}

/// Sets of completed tasks: single ones anywhere, and every k-th task from some task on.
fn completed(tasks: u32) -> impl Strategy<Value = TaskRanges> {
    let steps = (0..tasks, 1usize..40, 0..tasks);
    let singles = prop::collection::btree_set(0..tasks, 0..400);
    (singles, steps).prop_map(|(singles, (first, step, end))| {
        set_of(singles.into_iter().chain((first..end).step_by(step)))
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn every_record_fits_in_every_state(
        (spec, completions) in accepted_spec().prop_flat_map(|spec| {
            let tasks = spec.tasks;
            (Just(spec), prop::collection::vec(completed(tasks), 1..4))
        })
    ) {
        let mut job = job_of(spec);
        for done in completions {
            job.done.merge(&done);
            prop_assert!(record_len(&mut job) <= config().max_value_bytes);
            job.recorded_done = job.record().done;
        }
    }

    #[test]
    fn every_batch_fits_a_transaction(
        specs in prop::collection::vec(accepted_spec(), 1..40),
        done in completed(100_000),
    ) {
        for batch in batches(specs, &done) {
            prop_assert!(transaction_len(&batch) <= MAX_TRANSACTION_BYTES);
        }
    }
}
