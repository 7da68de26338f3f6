//! Tests of writes that the key-value store rejects as invalid: each is found and set aside, and delays no other.

mod common;

use common::config;
use hopyoke_protocol::user::JobSpec;
use hopyoke_scheduler::{BatchError, JobRecord, Scheduler, Write, WriteKey};
use hopyoke_types::{Attempt, FencingToken, JobId, Micros, ModRevision};
use proptest::prelude::*;
use std::collections::BTreeSet;

const START: Micros = Micros::from_secs(100);

fn job(number: usize) -> JobId {
    JobId::new(&format!("req-{number:03}"))
}

fn record(number: usize) -> JobRecord {
    JobRecord::accepted(
        JobSpec::with_defaults(job(number), "any", "crew", "img-1"),
        0,
    )
}

/// A leader with jobs whose first starts are to be recorded, and a store that rejects the records of some.
struct Leader {
    scheduler: Scheduler,
    now: Micros,
    invalid: BTreeSet<JobId>,
    revision: u64,
    batches: usize,
    recorded: BTreeSet<JobId>,
}

impl Leader {
    fn new(jobs: usize, invalid: impl IntoIterator<Item = usize>) -> Leader {
        let records = (0..jobs).map(|n| (job(n), record(n), ModRevision(1)));
        let mut scheduler = Scheduler::new(
            config(),
            FencingToken(5),
            records.collect(),
            Vec::new(),
            START,
        );
        for n in 0..jobs {
            scheduler
                .jobs
                .get_mut(&job(n))
                .expect("the job")
                .start_attempt = Attempt(7);
            scheduler.job_record_changed(job(n), record(n), ModRevision(2), START);
        }
        Leader {
            scheduler,
            now: START,
            invalid: invalid.into_iter().map(job).collect(),
            revision: 10,
            batches: 0,
            recorded: BTreeSet::new(),
        }
    }

    fn job_of(write: &Write) -> &JobId {
        match write {
            Write::Update { job, .. } => job,
            other => panic!("unexpected write {other:?}"),
        }
    }

    /// Writes whenever the scheduler has a batch, and answers it at once.
    fn run(&mut self, duration: Micros) {
        let until = self.now + duration;
        while self.now < until {
            self.now += Micros::from_millis(50);
            while let Some(batch) = self.scheduler.next_batch(self.now) {
                self.batches += 1;
                let jobs: Vec<JobId> = batch.writes.iter().map(Leader::job_of).cloned().collect();
                let result = if jobs.iter().any(|job| self.invalid.contains(job)) {
                    Err(BatchError::Invalid)
                } else {
                    self.revision += 1;
                    self.recorded.extend(jobs);
                    Ok(ModRevision(self.revision))
                };
                self.scheduler.batch_completed(batch, result, self.now);
            }
        }
    }

    fn rejected(&self) -> BTreeSet<JobId> {
        self.scheduler
            .rejected_writes()
            .keys()
            .map(|key| match key {
                WriteKey::JobUpdate(job) => job.clone(),
                other => panic!("unexpected rejection of {other}"),
            })
            .collect()
    }
}

/// Guards against one invalid record stopping the writes of all others (review/4).
#[test]
fn invalid_write_is_found_by_bisection_and_retried_alone() {
    let mut leader = Leader::new(40, [3]);
    leader.run(Micros::from_secs(6));
    assert_eq!(leader.recorded.len(), 39);
    assert_eq!(leader.rejected(), BTreeSet::from([job(3)]));
    let rejection = &leader.scheduler.rejected_writes()[&WriteKey::JobUpdate(job(3))];
    assert!(rejection.bytes > 300, "{rejection:?}");
    // With its backoff at its largest, the invalid write is tried twice a minute.
    leader.run(Micros::from_secs(60));
    let batches = leader.batches;
    leader.run(Micros::from_secs(60));
    assert_eq!(leader.batches - batches, 2);
    // The store accepts it at last.
    leader.invalid.clear();
    leader.run(Micros::from_secs(31));
    assert_eq!(leader.recorded.len(), 40);
    assert!(leader.rejected().is_empty());
}

#[test]
fn rejection_of_a_cancelled_job_is_forgotten() {
    let mut leader = Leader::new(4, [1]);
    leader.run(Micros::from_secs(3));
    assert_eq!(leader.rejected(), BTreeSet::from([job(1)]));
    leader.scheduler.job_removed(&job(1), leader.now);
    leader.run(Micros::from_secs(31));
    assert!(leader.rejected().is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn every_valid_write_is_made(jobs in 1usize..60, invalid in prop::collection::btree_set(0usize..60, 0..12)) {
        let invalid: BTreeSet<usize> = invalid.into_iter().filter(|n| *n < jobs).collect();
        let mut leader = Leader::new(jobs, invalid.clone());
        leader.run(Micros::from_secs(40));
        prop_assert_eq!(leader.rejected(), invalid.iter().map(|n| job(*n)).collect::<BTreeSet<_>>());
        prop_assert_eq!(leader.recorded.len(), jobs - invalid.len());
        // Each invalid write takes at most about twice the binary logarithm of a batch to find, and its retries.
        prop_assert!(leader.batches <= jobs + 16 * invalid.len() + 4, "{} batches", leader.batches);
    }
}
