//! A machine fails the tasks that it starts, for some seconds. A job's task fails there once, and the machine recovers.

use review_standins::site::wait_for;
use review_standins::start::{Plan, could_not_run, start};
use review_standins::users::{job, with};
use std::time::Duration;

/// The page's bound: a job may wait so long beside a machine that has room.
const LONGEST_WAIT_S: f64 = 90.0;
const JOB: &str = "req-000009";

fn main() {
    let d = start(
        Plan {
            machines: vec!["portsmouth", "worcester", "burlington"],
            spot: false,
            capacity: 3,
            boot_s: 2.0,
            more: String::new(),
            log: "info",
        },
        |site| site.become_heirloomlane(),
    );
    let site = d.site.clone();
    let need = |ok: bool, what: &str| {
        if !ok {
            d.logs();
            could_not_run(what);
        }
    };
    // Services take two machines and half of the third; the cloud has no more machines to give.
    let service = |id: &str, cards: f64| {
        let s = with(
            with(
                with(job(id, "daemon", "albumcrew", 1), "berth", "albumserve"),
                "rank",
                "prod",
            ),
            "cards",
            cards,
        );
        with(s, "voyage_s", 0.0)
    };
    for (n, cards) in [2.0, 2.0, 1.0].into_iter().enumerate() {
        let id = format!("req-{:06}", n + 1);
        need(site.submit(&service(&id, cards), n), "service not accepted");
        need(
            wait_for(15.0, || !site.places_of(&id).is_empty()),
            "service not started",
        );
    }
    let half = site.places_of("req-000003")[0].1.clone();
    let Some(worker) = d.cloud.worker(&half) else {
        could_not_run("no worker")
    };
    if d.trouble {
        worker.trouble.lock().unwrap().sick = true;
        site.record.line(&format!(
            "{half} fails every task that it starts, from now on"
        ));
    }
    let spec = with(
        with(job(JOB, "array", "archivecrew", 1), "berth", "facegroup"),
        "voyage_s",
        5.0,
    );
    need(site.submit(&spec, 1), "the job was not accepted");
    need(
        wait_for(15.0, || !site.starts_of(JOB).is_empty()),
        "the job did not start",
    );
    need(
        wait_for(5.0, || !d.trouble || site.places_of(JOB).is_empty()),
        "the task did not fail",
    );
    std::thread::sleep(Duration::from_millis(500));
    worker.trouble.lock().unwrap().sick = false;
    let well_from = site.record.now();
    site.record
        .line(&format!("{half} is well again: the trouble is over"));
    let failed = usize::from(d.trouble);
    let mut has_had_room = true;
    let is_served = || site.starts_of(JOB).len() > failed || site.done_of(JOB) == 1;
    while !is_served() && site.record.now() < well_from + LONGEST_WAIT_S + 1.0 {
        std::thread::sleep(Duration::from_millis(100));
        // The machine is up, in the same session, and only the service is on it: 5 of 16 CPUs at most, and a GPU, are free.
        let others = worker.on_machine();
        has_had_room &= others.len() == 1 && others[0].0 == "req-000003/0" && worker.watch() == 1;
    }
    let waited = site.record.now() - well_from;
    if let Some((status, bearing)) = site.poll(JOB, 0) {
        site.record.line(&format!(
            "after {waited:.1} s the job is called: {status} {bearing}"
        ));
    }
    if !is_served() && has_had_room {
        site.record.broken(&format!(
            "a job is left waiting: {JOB} waits {waited:.1} s since the trouble was over (bound {LONGEST_WAIT_S} s), while {half} \
             has had room for it all the time, and its team uses nothing"
        ));
    } else if !is_served() {
        could_not_run("the machine had no room at some time");
    }
    std::process::exit(d.end());
}
