//! The state service lowers its limits to those that `state.next` announces.

use review_standins::site::wait_for;
use review_standins::start::{Plan, could_not_run, start};
use review_standins::state::Limits;
use review_standins::users::job;
use std::time::Duration;

fn main() {
    let d = start(
        Plan {
            machines: vec!["pasigeast"; 72],
            capacity: 80,
            boot_s: 2.0,
            more: "\n[facts.state.next]\nwrite_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 5\n".into(),
            log: "info",
        },
        |_| {},
    );
    let site = d.site.clone();
    // Work on all machines but one, so that they are kept.
    for i in 0..9u64 {
        let id = format!("req-{:06}", i + 1);
        site.set_run_s(&id, 600.0);
        let crew = ["fleetwatch", "ledgermove", "skipperops", "dockworks"][i as usize % 4];
        let spec = review_standins::users::with(job(&id, "array", crew, 14), "cards", 1.0);
        if !site.submit(&spec, i as usize % 3) {
            could_not_run("not accepted");
        }
    }
    wait_for(15.0, || d.state.keys("fleet/").iter().any(|(_, n)| *n > 2048));
    site.record.line(&format!("pages {:?}", d.state.keys("fleet/")));
    if d.trouble {
        d.state.set_limits(Limits { rps: 150.0, write_rps: 18.0, value_bytes: 2048, txn_ops: 5 });
        site.record.line("the state service lowers its limits to those of state.next");
    }
    std::thread::sleep(Duration::from_secs(2));
    // Another machine reports, and a job comes.
    d.cloud.add("bancarig", "pasigeast", false, Duration::from_millis(100));
    std::thread::sleep(Duration::from_secs(5));
    let ok = site.submit(&job("req-000100", "array", "bookingdesk", 1), 0);
    let started = wait_for(30.0, || !site.starts_of("req-000100").is_empty());
    site.record.line(&format!("accepted {ok} started {started} refused {} pages {:?}", d.state.refused_by_limits(), d.state.keys("fleet/")));
    println!("accepted {ok} started {started} refused {}", d.state.refused_by_limits());
    std::process::exit(d.end());
}
