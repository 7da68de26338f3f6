//! Ten thousand classes stay below two megabytes: counted by the allocator itself.

use hopyoke_run_times::{Learner, Limits, RunOutcome, Workload};
use hopyoke_types::{Attempt, JobId, MachineId, Micros, TaskId};
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

struct Counting;

static HELD: AtomicUsize = AtomicUsize::new(0);

// SAFETY: all calls go to the system's allocator as they are; only sizes are counted.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HELD.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, p: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(p, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

#[test]
fn ten_thousand_classes_stay_below_two_megabytes() {
    // The most that the operators' file allows, and the default.
    for classes in [1200, 600] {
        let before = HELD.load(Ordering::Relaxed);
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
            let work = Workload {
                class: &class,
                team: "team",
                estimate_s: 50.0,
            };
            let machine = MachineId::new(&format!("m-{:06}", i % 1000));
            let began = Micros::from_secs(10 * i + 1);
            learner.record_start(key.clone(), work, vec![machine], began, Some(Micros::ZERO));
            learner.tick(began);
            learner.record_end(
                &key,
                RunOutcome::Completed,
                began + Micros::from_secs(20 + i % 50),
            );
        }
        let held = HELD.load(Ordering::Relaxed) - before;
        let (remembered, forgotten) = (learner.counts().classes, learner.counts().evicted);
        println!(
            "classes {classes}: {held} bytes for {remembered} classes and 1000 machines, {forgotten} forgotten"
        );
        assert!(held < 2_000_000 && remembered <= classes && forgotten > 8_000);
    }
}
