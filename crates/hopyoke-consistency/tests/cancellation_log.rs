//! The cancellation log, delivery cursors and tombstones: cases, and random ones against a plain model.

use hopyoke_consistency::{CancellationLog, DeliveryCursors, Tombstones};
use hopyoke_types::{JobId, Micros, ModRevision};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

fn job(n: u64) -> JobId {
    JobId::new(&format!("req-{n:06}"))
}

/// The log of a process that has read a revision.
fn log_started_at(max_entries: usize, revision: u64) -> CancellationLog {
    let mut c = CancellationLog::new(max_entries);
    c.set_start_revision(ModRevision(revision));
    c
}

/// What a former process acknowledged is covered by the first revision that this one read.
#[test]
fn a_new_process_knows_what_its_log_lacks() {
    let mut c = CancellationLog::new(3);
    c.append(&job(1), ModRevision(12));
    assert!(
        !c.delta_since(ModRevision(100), 0).is_complete,
        "it has read no revision yet"
    );
    c.set_start_revision(ModRevision(10));
    assert!(!c.delta_since(ModRevision(9), 0).is_complete);
    let delta = c.delta_since(ModRevision(10), 0);
    assert_eq!((delta.is_complete, delta.jobs), (true, vec![job(1)]));
    // Only the first counts: what was acknowledged since then is here.
    c.set_start_revision(ModRevision(50));
    assert!(c.delta_since(ModRevision(10), 0).is_complete);
}

/// Dropped entries are never taken for delivered: a leader that has not applied so much gets no complete delta.
#[test]
fn dropped_entries_make_deltas_incomplete() {
    let mut c = log_started_at(3, 0);
    for n in 1..=5 {
        c.append(&job(n), ModRevision(10 * n));
    }
    assert!(
        !c.delta_since(ModRevision(19), 0).is_complete,
        "the entries of revisions 10 and 20 are gone"
    );
    let delta = c.delta_since(ModRevision(20), 0);
    assert!(delta.is_complete);
    assert_eq!(delta.jobs, [job(3), job(4), job(5)]);
    // One that is older than what was dropped is covered by that.
    c.append(&job(9), ModRevision(15));
    assert_eq!(c.len(), 3);
}

/// A cancellation may be acknowledged long after it became final, when others of later revisions were delivered.
#[test]
fn late_acknowledgements_are_delivered() {
    let mut c = log_started_at(100, 0);
    c.append(&job(1), ModRevision(50));
    let first = c.delta_since(ModRevision(40), 0);
    c.append(&job(2), ModRevision(45));
    let second = c.delta_since(ModRevision(40), first.last_sequence);
    assert_eq!(second.jobs, [job(2)]);
}

/// Too many for one answer come in parts, and only the last part is complete.
#[test]
fn large_deltas_come_in_parts() {
    let mut c = log_started_at(4096, 0);
    for n in 1..=2500 {
        c.append(&job(n), ModRevision(n));
    }
    let (mut got, mut upto, mut parts) = (BTreeSet::new(), 0, 0);
    loop {
        let delta = c.delta_since(ModRevision(0), upto);
        got.extend(delta.jobs);
        upto = delta.last_sequence;
        parts += 1;
        if delta.is_complete {
            break;
        }
    }
    assert_eq!((got.len(), parts), (2500, 3));
}

/// The numbers of a former process mean nothing to the next.
#[test]
fn cursors_restart_with_another_process() {
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
    /// Whatever is acknowledged, dropped, delivered and lost on the way: a leader that got a complete delta
    /// knows of all that was acknowledged before it, by its own changes or by name.
    #[test]
    fn complete_deltas_lack_nothing(
        max_entries in 1usize..8,
        steps in prop::collection::vec((0u8..4, 1u64..12, 1u64..40), 1..80),
    ) {
        let mut c = log_started_at(max_entries, 0);
        let mut truth: BTreeMap<JobId, ModRevision> = BTreeMap::new();
        let (mut applied, mut upto) = (ModRevision(0), 0);
        let mut received: BTreeSet<JobId> = BTreeSet::new();
        for (what, n, mod_revision) in steps {
            match what {
                0 | 1 => {
                    // A job's end has one revision.
                    let mod_revision = *truth.entry(job(n)).or_insert(ModRevision(mod_revision));
                    c.append(&job(n), mod_revision);
                }
                2 => applied = applied.max(ModRevision(mod_revision / 2)),
                _ => {
                    let delta = c.delta_since(applied, upto);
                    // Every third answer is lost.
                    if mod_revision % 3 == 0 {
                        continue;
                    }
                    received.extend(delta.jobs.iter().cloned());
                    upto = delta.last_sequence;
                    if delta.is_complete {
                        for (job, mod_revision) in &truth {
                            prop_assert!(*mod_revision <= applied || received.contains(job), "{job} at {mod_revision} is unknown");
                        }
                    }
                }
            }
        }
    }

    /// An outdated event never brings a job back, in whatever order ends, changes and old records arrive.
    #[test]
    fn ended_jobs_stay_ended(steps in prop::collection::vec((0u8..3, 1u64..6), 1..60)) {
        let mut e = Tombstones::default();
        // Job n was accepted at revision n and dropped at 10 + n.
        let mut over: BTreeSet<u64> = BTreeSet::new();
        let mut now = Micros::ZERO;
        let mut revision = 0;
        for (what, n) in steps {
            now += Micros::from_millis(10);
            match what {
                0 => {
                    e.add(&job(n), now);
                    over.insert(n);
                    revision = revision.max(10 + n);
                }
                // An answer that was asked for after all of that.
                1 => e.caught_up(ModRevision(revision), now),
                _ => {}
            }
            for n in &over {
                prop_assert!(e.is_outdated(&job(*n), ModRevision(*n)));
            }
        }
    }
}
