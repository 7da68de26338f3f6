//! A direct command that was carried out is repeated, after the attempt that it started has been stopped and reaped.

use review_standins::map;
use review_standins::site::wait_for;
use review_standins::start::{Plan, could_not_run, start};
use review_standins::users::{job, with};
use review_standins::wire::{Client, Value};
use std::time::Duration;

fn main() {
    let d = start(
        Plan {
            machines: vec!["pasigeast", "pasigeast"],
            spot: false,
            capacity: 2,
            boot_s: 2.0,
            more: String::new(),
            log: "info",
        },
        |_| {},
    );
    let site = d.site.clone();
    let whole = |j: Value| with(j, "cards", 2.0);
    let service = |id: &str| {
        with(
            with(whole(job(id, "daemon", "bookingdesk", 1)), "rank", "prod"),
            "voyage_s",
            0.0,
        )
    };
    let place = |id: &str| site.places_of(id).first().map(|p| p.1.clone());
    let need = |ok: bool, what: &str| {
        if !ok {
            d.logs();
            could_not_run(what);
        }
    };
    // A service takes one machine, an array of one task the other.
    need(
        site.submit(&service("req-000001"), 0),
        "service not accepted",
    );
    need(
        wait_for(20.0, || place("req-000001").is_some()),
        "service not started",
    );
    site.set_run_s("req-000002", 600.0);
    need(
        site.submit(&whole(job("req-000002", "array", "fleetwatch", 1)), 1),
        "array not accepted",
    );
    need(
        wait_for(20.0, || place("req-000002").is_some()),
        "array not started",
    );
    let first = place("req-000002").unwrap_or_default();
    let Some(worker) = d.cloud.worker(&first) else {
        could_not_run("no worker")
    };
    let starts_it = |body: &[u8]| {
        let orders = Value::decode(body).unwrap_or(Value::Nil).list("orders");
        orders
            .iter()
            .any(|o| o.text("order") == "run" && o.text("oar") == "req-000002/0")
    };
    let sent = worker
        .carried_out
        .lock()
        .unwrap()
        .iter()
        .find(|b| starts_it(b))
        .cloned();
    let Some(sent) = sent else {
        could_not_run("the task was not started by a direct command")
    };
    // A second service stops the task, as production work may; its attempt ends and is reaped.
    need(
        site.submit(&service("req-000003"), 2),
        "second service not accepted",
    );
    need(
        wait_for(30.0, || place("req-000003").as_deref() == Some(&first)),
        "second service not started",
    );
    need(
        wait_for(10.0, || !worker.knows("req-000002/0")),
        "the stopped attempt was not reaped",
    );
    // The first service is cancelled: the task starts again on the other machine.
    need(
        site.withdraw("req-000001", 0).is_some(),
        "first service not cancelled",
    );
    need(
        wait_for(30.0, || place("req-000002").is_some_and(|m| m != first)),
        "array not started again",
    );
    // The second service is cancelled: the first machine is empty.
    need(
        site.withdraw("req-000003", 1).is_some(),
        "second service not cancelled",
    );
    need(
        wait_for(20.0, || place("req-000003").is_none()),
        "second service not gone",
    );
    let now = Value::decode(&sent).unwrap_or(Value::Nil);
    need(
        now.int("watch") == Some(worker.watch()) && now.int("helm") == Some(worker.helm()),
        "token or session changed",
    );
    if d.trouble {
        site.record.line(&format!(
            "the network repeats a request that was carried out: POST /commands {} to {first}",
            now.json()
        ));
        let answer =
            Client::new(worker.addr()).send("POST", "/commands", &sent, Duration::from_secs(3));
        site.record.line(&format!(
            "answered: {}",
            answer.map_or(map! {}, |a| a.1).json()
        ));
    }
    std::thread::sleep(Duration::from_secs(8));
    site.check_cancelled();
    std::process::exit(d.end());
}
