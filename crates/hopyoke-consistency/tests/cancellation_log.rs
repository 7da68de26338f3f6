//! The accounts, by cases and by random ones against a plain model.

use hopyoke_consistency::{CancellationLog, DeliveryCursors, Tombstones};
use hopyoke_types::{JobId, Micros, ModRevision};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

fn job(n: u64) -> JobId {
    JobId::new(&format!("req-{n:06}"))
}

/// An account of a process that has read a revision.
fn begun(most: usize, revision: u64) -> CancellationLog {
    let mut c = CancellationLog::new(most);
    c.began_before(ModRevision(revision));
    c
}

/// What a former process confirmed is covered by the first revision that this one read.
#[test]
fn a_new_process_knows_what_it_misses() {
    let mut c = CancellationLog::new(3);
    c.note(&job(1), ModRevision(12));
    assert!(
        !c.since(ModRevision(100), 0).complete,
        "it has read no revision yet"
    );
    c.began_before(ModRevision(10));
    assert!(!c.since(ModRevision(9), 0).complete);
    let delta = c.since(ModRevision(10), 0);
    assert_eq!((delta.complete, delta.jobs), (true, vec![job(1)]));
    // Only the first counts: what was confirmed since then is here.
    c.began_before(ModRevision(50));
    assert!(c.since(ModRevision(10), 0).complete);
}

/// What is forgotten is never promised: a leader that has not come so far gets none.
#[test]
fn forgotten_entries_forbid_a_promise() {
    let mut c = begun(3, 0);
    for n in 1..=5 {
        c.note(&job(n), ModRevision(10 * n));
    }
    assert!(
        !c.since(ModRevision(19), 0).complete,
        "the entries of revisions 10 and 20 are gone"
    );
    let delta = c.since(ModRevision(20), 0);
    assert!(delta.complete);
    assert_eq!(delta.jobs, [job(3), job(4), job(5)]);
    // One that is older than what was forgotten is covered by that.
    c.note(&job(9), ModRevision(15));
    assert_eq!(c.len(), 3);
}

/// A cancellation may be confirmed long after it became final, when others of later revisions were delivered.
#[test]
fn confirmed_late_is_delivered_all_the_same() {
    let mut c = begun(100, 0);
    c.note(&job(1), ModRevision(50));
    let first = c.since(ModRevision(40), 0);
    c.note(&job(2), ModRevision(45));
    let second = c.since(ModRevision(40), first.upto);
    assert_eq!(second.jobs, [job(2)]);
}

/// Too many for one answer come in parts, and only the last part is complete.
#[test]
fn many_come_in_parts() {
    let mut c = begun(4096, 0);
    for n in 1..=2500 {
        c.note(&job(n), ModRevision(n));
    }
    let (mut got, mut upto, mut parts) = (BTreeSet::new(), 0, 0);
    loop {
        let delta = c.since(ModRevision(0), upto);
        got.extend(delta.jobs);
        upto = delta.upto;
        parts += 1;
        if delta.complete {
            break;
        }
    }
    assert_eq!((got.len(), parts), (2500, 3));
}

/// The numbers of a former process mean nothing to the next.
#[test]
fn another_process_begins_anew() {
    let mut d = DeliveryCursors::new(1);
    d.took(0, 7, 12);
    d.took(0, 7, 9);
    assert_eq!(d.cursor(0).in_process(7), 12);
    assert_eq!(d.cursor(0).in_process(8), 0);
    d.took(0, 8, 3);
    assert_eq!(d.cursor(0).in_process(8), 3);
    assert_eq!(d.cursor(5).in_process(8), 0);
}

proptest! {
    /// Whatever is confirmed, forgotten, delivered and lost on the way: a leader that got a complete answer
    /// knows of all that was confirmed before it, by its own changes or by name.
    #[test]
    fn complete_means_complete(
        most in 1usize..8,
        steps in prop::collection::vec((0u8..4, 1u64..12, 1u64..40), 1..80),
    ) {
        let mut c = begun(most, 0);
        let mut truth: BTreeMap<JobId, ModRevision> = BTreeMap::new();
        let (mut applied, mut upto) = (ModRevision(0), 0);
        let mut told: BTreeSet<JobId> = BTreeSet::new();
        for (what, n, mod_revision) in steps {
            match what {
                0 | 1 => {
                    // A job's end has one revision.
                    let mod_revision = *truth.entry(job(n)).or_insert(ModRevision(mod_revision));
                    c.note(&job(n), mod_revision);
                }
                2 => applied = applied.max(ModRevision(mod_revision / 2)),
                _ => {
                    let delta = c.since(applied, upto);
                    // Every third answer is lost.
                    if mod_revision % 3 == 0 {
                        continue;
                    }
                    told.extend(delta.jobs.iter().cloned());
                    upto = delta.upto;
                    if delta.complete {
                        for (job, mod_revision) in &truth {
                            prop_assert!(*mod_revision <= applied || told.contains(job), "{job} at {mod_revision} is unknown");
                        }
                    }
                }
            }
        }
    }

    /// Old news never brings a job back, in whatever order ends, changes and old records arrive.
    #[test]
    fn the_ended_stay_ended(steps in prop::collection::vec((0u8..3, 1u64..6), 1..60)) {
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
                prop_assert!(e.outdates(&job(*n), ModRevision(*n)));
            }
        }
    }
}
