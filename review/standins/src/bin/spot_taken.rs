//! The two machines of a deployment are spot machines, and the cloud takes both back within seconds.

use review_standins::site::wait_for;
use review_standins::start::{Plan, could_not_run, start};
use review_standins::users::{job, with};
use review_standins::wire::Client;
use std::collections::BTreeSet;
use std::time::Duration;

/// Longest time that accepted work may stand still once the trouble is over.
const LONGEST_WAIT_S: f64 = 90.0;
/// Half of the nominal notice, the shortest that the page names.
const NOTICE_S: f64 = 5.0;
const JOB: &str = "req-000001";

fn main() {
    let d = start(Plan { machines: vec![], capacity: 13, boot_s: 2.0, more: String::new(), log: "info" }, |_| {});
    let site = d.site.clone();
    let need = |ok: bool, what: &str| {
        if !ok {
            d.logs();
            could_not_run(what);
        }
    };
    for basin in ["pasigeast", "pasigwest"] {
        d.cloud.add("bancarig", basin, true, Duration::from_millis(200));
    }
    need(wait_for(5.0, || d.cloud.workers().len() == 2), "the machines are not up");
    std::thread::sleep(Duration::from_secs(1));
    // An array of two tasks, each of which takes one of the machines.
    site.set_run_s(JOB, 30.0);
    let spec = with(with(job(JOB, "array", "fleetwatch", 2), "cards", 2.0), "driftboats", true);
    need(site.submit(&spec, 0), "the job was not accepted");
    need(wait_for(15.0, || site.places_of(JOB).len() == 2), "the job did not start");
    let places = site.places_of(JOB);
    if d.trouble {
        for (_, vessel) in &places {
            if let Some(w) = d.cloud.worker(vessel) {
                w.give_notice(Duration::from_secs_f64(NOTICE_S));
            }
            site.record.line(&format!("{vessel} gets notice: {NOTICE_S} s"));
            std::thread::sleep(Duration::from_secs(1));
        }
        std::thread::sleep(Duration::from_secs_f64(NOTICE_S - 2.0));
        for (_, vessel) in &places {
            d.cloud.take(vessel);
            std::thread::sleep(Duration::from_secs(1));
        }
    }
    let over = site.record.now();
    let rentals = d.cloud.rentals();
    let mut leaders = BTreeSet::new();
    let goes_on = || site.done_of(JOB) == 2 || (d.trouble && !site.places_of(JOB).is_empty());
    while !goes_on() && site.record.now() < over + LONGEST_WAIT_S {
        std::thread::sleep(Duration::from_millis(100));
        if let Some(mark) = d.state.mark("leader")
            && leaders.insert(mark)
        {
            site.record.line(&format!("{} leads, token {mark}", d.state.leader().unwrap_or_default()));
        }
    }
    let waited = site.record.now() - over;
    for (i, n) in d.nodes.iter().enumerate() {
        let health = Client::new(n.api).send("GET", "/healthz", &[], Duration::from_secs(1)).map(|a| a.0);
        site.record.line(&format!("after {waited:.1} s: GET /healthz at node {i}: {health:?}"));
    }
    site.poll(JOB, 0);
    site.record.line(&format!("requests for machines since: {}", d.cloud.rentals() - rentals));
    if !goes_on() {
        site.record.broken(&format!(
            "accepted work stands still: none of the 2 tasks of {JOB} has run for {waited:.1} s since the trouble was over (bound \
             {LONGEST_WAIT_S} s); the cloud has 13 machines to give and was asked for {}; {} leaders meanwhile",
            d.cloud.rentals() - rentals,
            leaders.len()
        ));
    }
    std::process::exit(d.end());
}
