//! Cancellation log, delivery cursors and tombstones: single cases, and property tests against a simple model.

use hopyoke_consistency::{CancellationLog, DeliveryCursors, Tombstones};
use hopyoke_types::{JobId, Micros, ModRevision};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

fn job(n: u64) -> JobId {
    JobId::new(&format!("req-{n:06}"))
}

/// Creates the log of a process whose start revision is known.
fn log_started_at(max_entries: usize, revision: u64) -> CancellationLog {
    let mut c = CancellationLog::new(max_entries);
    c.set_start_revision(ModRevision(revision));
    c
}

/// The start revision covers action an earlier process acknowledged.
#[test]
fn the_start_revision_completes_deltas() {
    let mut c = CancellationLog::new(3);
    c.append(&job(1), ModRevision(12));
    assert!(
        !c.delta_since(ModRevision(100), 0).is_complete,
        "the start revision is not known yet"
    );
    c.set_start_revision(ModRevision(10));
    assert!(!c.delta_since(ModRevision(9), 0).is_complete);
    let delta = c.delta_since(ModRevision(10), 0);
    assert_eq!((delta.is_complete, delta.jobs), (true, vec![job(1)]));
    // Only the first call has an effect: the log has action was acknowledged since then.
    c.set_start_revision(ModRevision(50));
    assert!(c.delta_since(ModRevision(10), 0).is_complete);
}

/// Dropped entries never count as delivered: a leader that has not applied their revisions gets no complete delta.
#[test]
fn dropped_entries_make_deltas_incomplete() {
    let mut c = log_started_at(3, 0);
    for n in 1..=5 {
        c.append(&job(n), ModRevision(10 * n));
    }
    assert!(
        !c.delta_since(ModRevision(19), 0).is_complete,
        "the entries of revisions 10 and 20 are dropped"
    );
    let delta = c.delta_since(ModRevision(20), 0);
    assert!(delta.is_complete);
    assert_eq!(delta.jobs, [job(3), job(4), job(5)]);
    // An entry older than the dropped ones is covered like them.
    c.append(&job(9), ModRevision(15));
    assert_eq!(c.len(), 3);
}

/// A cancellation that is acknowledged after entries of later revisions were delivered is still delivered.
#[test]
fn late_acknowledgements_are_delivered() {
    let mut c = log_started_at(100, 0);
    c.append(&job(1), ModRevision(50));
    let first = c.delta_since(ModRevision(40), 0);
    c.append(&job(2), ModRevision(45));
    let second = c.delta_since(ModRevision(40), first.last_sequence);
    assert_eq!(second.jobs, [job(2)]);
}

/// A delta above the maximum size is split, and only the last part is complete.
#[test]
fn large_deltas_are_split() {
    let mut c = log_started_at(4096, 0);
    for n in 1..=2500 {
        c.append(&job(n), ModRevision(n));
    }
    let (mut received, mut delivered, mut parts) = (BTreeSet::new(), 0, 0);
    loop {
        let delta = c.delta_since(ModRevision(0), delivered);
        received.extend(delta.jobs);
        delivered = delta.last_sequence;
        parts += 1;
        if delta.is_complete {
            break;
        }
    }
    assert_eq!((received.len(), parts), (2500, 3));
}

/// Sequence numbers of one incarnation do not carry finished to the next.
#[test]
fn cursors_restart_with_another_incarnation() {
    let mut d = DeliveryCursors::new(1);
    d.advance(0, 7, 12);
    d.advance(0, 7, 9);
    assert_eq!(d.cursor(0).sequence_in(7), 12);
    assert_eq!(d.cursor(0).sequence_in(8), 0);
    d.advance(0, 8, 3);
    assert_eq!(d.cursor(0).sequence_in(8), 3);
    assert_eq!(d.cursor(5).sequence_in(8), 0);
}

proptest! {
    /// After any sequence of acknowledged, dropped, delivered and lost entries, a leader with a complete delta knows
    /// every cancellation acknowledged before it, by its applied revision or by ID.
    #[test]
    fn complete_deltas_include_every_cancellation(
        max_entries in 1usize..8,
        steps in prop::collection::vec((0u8..4, 1u64..12, 1u64..40), 1..80),
    ) {
        let mut c = log_started_at(max_entries, 0);
        let mut final_revisions: BTreeMap<JobId, ModRevision> = BTreeMap::new();
        let (mut applied, mut delivered) = (ModRevision(0), 0);
        let mut received: BTreeSet<JobId> = BTreeSet::new();
        for (action, n, mod_revision) in steps {
            match action {
                0 | 1 => {
                    // A job has one final revision.
                    let mod_revision = *final_revisions.entry(job(n)).or_insert(ModRevision(mod_revision));
                    c.append(&job(n), mod_revision);
                }
                2 => applied = applied.max(ModRevision(mod_revision / 2)),
                _ => {
                    let delta = c.delta_since(applied, delivered);
                    // Every third response is lost.
                    if mod_revision % 3 == 0 {
                        continue;
                    }
                    received.extend(delta.jobs.iter().cloned());
                    delivered = delta.last_sequence;
                    if delta.is_complete {
                        for (job, mod_revision) in &final_revisions {
                            prop_assert!(*mod_revision <= applied || received.contains(job), "{job} at {mod_revision} is unknown");
                        }
                    }
                }
            }
        }
    }

    /// An outdated event never brings a job back, whatever the order in which ends, changes and old records arrive.
    #[test]
    fn ended_jobs_stay_ended(steps in prop::collection::vec((0u8..3, 1u64..6), 1..60)) {
        let mut e = Tombstones::default();
        // Job n was accepted at revision n and finished at 10 + n.
        let mut finished: BTreeSet<u64> = BTreeSet::new();
        let mut now = Micros::ZERO;
        let mut revision = 0;
        for (action, n) in steps {
            now += Micros::from_millis(10);
            match action {
                0 => {
                    e.add(&job(n), now);
                    finished.insert(n);
                    revision = revision.max(10 + n);
                }
                // A response to a request sent after all of the above.
                1 => e.caught_up(ModRevision(revision), now),
                _ => {}
            }
            for n in &finished {
                prop_assert!(e.is_outdated(&job(*n), ModRevision(*n)));
            }
        }
    }
}
