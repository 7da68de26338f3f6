//! A wave takes back half of the spot machines: the two that are up. The two others are booting, slowly.

use review_standins::site::wait_for;
use review_standins::start::{Plan, could_not_run, start};
use review_standins::users::{job, with};
use review_standins::wire::Client;
use std::collections::BTreeSet;
use std::time::Duration;

/// Longest time that accepted work may stand still once the trouble is over.
const LONGEST_WAIT_S: f64 = 90.0;
/// Boot time of a machine: 0.7 times the nominal one.
const BOOT_S: f64 = 24.5;
/// Boot time of two machines: 4 times the nominal one.
const SLOW_BOOT_S: f64 = 140.0;
const JOB: &str = "req-000001";

fn main() {
    let d = start(
        Plan {
            machines: vec!["burlington", "burlington"],
            spot: true,
            capacity: 11,
            boot_s: BOOT_S,
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
    *d.cloud.slow_boots.lock().unwrap() = vec![Duration::from_secs_f64(SLOW_BOOT_S); 2];
    need(
        wait_for(5.0, || d.cloud.workers().len() == 2),
        "the machines are not up",
    );
    std::thread::sleep(Duration::from_secs(1));
    // An array of four tasks, each of which takes a machine: two run, and two more machines are rented for the others.
    site.set_run_s(JOB, 30.0);
    let spec = with(
        with(job(JOB, "array", "archivecrew", 4), "cards", 2.0),
        "driftboats",
        true,
    );
    let spec = with(with(spec, "berth", "facegroup"), "voyage_s", 30.0);
    need(site.submit(&spec, 0), "the job was not accepted");
    need(
        wait_for(10.0, || site.places_of(JOB).len() == 2),
        "the job did not start",
    );
    need(
        wait_for(10.0, || d.cloud.machines() == 4),
        "no machines were rented for the other tasks",
    );
    std::thread::sleep(Duration::from_secs(8));
    let places = site.places_of(JOB);
    need(places.len() == 2, "the tasks do not run");
    if d.trouble {
        for (_, vessel) in &places {
            d.cloud.take(vessel);
            std::thread::sleep(Duration::from_millis(500));
        }
    }
    let over = site.record.now();
    let rentals = d.cloud.rentals();
    let mut leaders = BTreeSet::new();
    let goes_on = || site.done_of(JOB) == 4 || (d.trouble && !site.places_of(JOB).is_empty());
    while !goes_on() && site.record.now() < over + LONGEST_WAIT_S {
        std::thread::sleep(Duration::from_millis(100));
        if let Some(mark) = d.state.mark("leader")
            && leaders.insert(mark)
        {
            site.record.line(&format!(
                "{} leads, token {mark}",
                d.state.leader().unwrap_or_default()
            ));
        }
    }
    let waited = site.record.now() - over;
    for (i, n) in d.nodes.iter().enumerate() {
        let health = Client::new(n.api)
            .send("GET", "/healthz", &[], Duration::from_secs(1))
            .map(|a| a.0);
        site.record.line(&format!(
            "after {waited:.1} s: GET /healthz at node {i}: {health:?}"
        ));
    }
    site.poll(JOB, 0);
    site.record.line(&format!(
        "requests for machines since: {}",
        d.cloud.rentals() - rentals
    ));
    if !goes_on() {
        site.record.broken(&format!(
            "accepted work stands still: no task of {JOB} has run for {waited:.1} s since the trouble was over (bound \
             {LONGEST_WAIT_S} s); the cloud has machines to give and was asked {} times; {} leaders meanwhile",
            d.cloud.rentals() - rentals,
            leaders.len()
        ));
    }
    std::process::exit(d.end());
}
