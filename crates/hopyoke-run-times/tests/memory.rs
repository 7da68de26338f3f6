//! Bounds the memory of a learner that has seen ten thousand classes, measured by a counting allocator.

use hopyoke_run_times::{Learner, Limits, RunOutcome, Workload};
use hopyoke_types::{Attempt, JobId, MachineId, Micros, TaskId};
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

struct CountingAllocator;

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is forwarded unchanged to the system allocator; only sizes are counted.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, p: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(p, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

#[test]
fn ten_thousand_classes_use_less_than_two_megabytes() {
    // The maximum that the settings allow, and the default.
    for classes in [1200, 600] {
        let allocated_before = ALLOCATED_BYTES.load(Ordering::Relaxed);
        let mut learner = Learner::new(Limits {
            classes,
            decay_runs: 40.0,
        });
        for i in 0..100_000u64 {
            let class = format!("class-{:05}", i % 10_000);
            let key = (
                TaskId {
                    job: JobId::new("req-1"),
                    index: i as u32,
                },
                Attempt(i),
            );
            let workload = Workload {
                class: &class,
                team: "team",
                estimate_s: 50.0,
            };
            let machine = MachineId::new(&format!("m-{:06}", i % 1000));
            let started_at = Micros::from_secs(10 * i + 1);
            learner.record_start(
                key.clone(),
                workload,
                vec![machine],
                started_at,
                Some(Micros::ZERO),
            );
            learner.tick(started_at);
            learner.record_end(
                &key,
                RunOutcome::Completed,
                started_at + Micros::from_secs(20 + i % 50),
            );
        }
        let allocated = ALLOCATED_BYTES.load(Ordering::Relaxed) - allocated_before;
        let (kept, evicted) = (learner.counts().classes, learner.counts().evicted);
        println!(
            "limit of {classes} classes: {allocated} bytes for {kept} classes and 1000 machines, {evicted} evicted"
        );
        assert!(allocated < 2_000_000 && kept <= classes && evicted > 8_000);
    }
}
