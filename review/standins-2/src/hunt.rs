//! Random troubles around real controllers, to look for broken rules.

use crate::cases::{Site, secs};
use crate::users::{Users, job};
use hopyoke_event_loop::http::{Client, Method};
use hopyoke_event_loop::{self as runtime};
use hopyoke_protocol::encode;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

const CREWS: [&str; 5] = [
    "bookingdesk",
    "fleetwatch",
    "ledgermove",
    "skipperops",
    "dockworks",
];

pub async fn hunt(dir: &str, trouble: bool) -> u8 {
    let seed: u64 = std::env::var("SEED")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(1);
    let Some(site) = Site::start(dir, 16).await else {
        return 2;
    };
    let site = Rc::new(site);
    let rng = Rc::new(RefCell::new(StdRng::seed_from_u64(seed)));
    let quiet = Rc::new(Cell::new(false));
    let next = Rc::new(Cell::new(1u32));
    site.fleet.keep_copies.set(true);
    for _ in 0..6 {
        let (u, rng, quiet, next) = (site.users.clone(), rng.clone(), quiet.clone(), next.clone());
        runtime::spawn(async move {
            while !quiet.get() {
                one_job(&u, &rng, &next).await;
                let pause = rng.borrow_mut().random_range(0.2..2.0);
                runtime::sleep(secs(pause)).await;
            }
        });
    }
    let down: Rc<RefCell<BTreeSet<usize>>> = Rc::default();
    let end = runtime::now() + secs(70.0);
    while trouble && runtime::now() < end {
        let s = site.clone();
        let (kind, i, long, short) = {
            let mut r = rng.borrow_mut();
            (
                r.random_range(0..16),
                r.random_range(0..3usize),
                r.random_range(1.0..25.0),
                r.random_range(0.05..4.0),
            )
        };
        let lead = site.controllers.leader().unwrap_or(i);
        let i = if rng.borrow_mut().random_range(0..3) > 0 {
            lead
        } else {
            i
        };
        let log = |t: String| site.record.line(&format!("TROUBLE {t}"));
        let down = down.clone();
        match kind {
            0 | 1 if down.borrow_mut().insert(i) => {
                log(format!("kill {i}, back after {short:.2} s"));
                s.controllers.kill(i);
                runtime::spawn(async move {
                    runtime::sleep(secs(short)).await;
                    s.controllers.start(i);
                    down.borrow_mut().remove(&i);
                });
            }
            2 if down.borrow().is_empty() => {
                log(format!("kill all, back after {short:.2} s"));
                for i in 0..3 {
                    down.borrow_mut().insert(i);
                    s.controllers.kill(i);
                }
                runtime::spawn(async move {
                    for i in 0..3 {
                        runtime::sleep(secs(short)).await;
                        s.controllers.start(i);
                        down.borrow_mut().remove(&i);
                    }
                });
            }
            3 | 4 if down.borrow_mut().insert(i) => {
                log(format!("stop {i} for {long:.1} s"));
                s.controllers.signal(i, "-STOP");
                runtime::spawn(async move {
                    runtime::sleep(secs(long)).await;
                    s.controllers.signal(i, "-CONT");
                    down.borrow_mut().remove(&i);
                });
            }
            5 | 6 => {
                log(format!("state service refuses {i} for {long:.1} s"));
                s.store.treatment.borrow_mut()[i].refused = true;
                runtime::spawn(async move {
                    runtime::sleep(secs(long)).await;
                    s.store.treatment.borrow_mut()[i].refused = false;
                });
            }
            7 => {
                log(format!("state service down for {long:.1} s"));
                s.store.set_down(true);
                runtime::spawn(async move {
                    runtime::sleep(secs(long)).await;
                    s.store.set_down(false);
                });
            }
            8 | 9 => {
                let which: Vec<usize> = if long > 12.0 { vec![0, 1, 2] } else { vec![i] };
                let late = short > 2.0;
                log(format!(
                    "state service slow for {which:?} by {short:.2} s, late {late}, for {long:.1} s"
                ));
                for i in &which {
                    let t = &mut s.store.treatment.borrow_mut()[*i];
                    if late {
                        t.before = secs(short)
                    } else {
                        t.after = secs(short)
                    }
                }
                runtime::spawn(async move {
                    runtime::sleep(secs(long)).await;
                    for i in which {
                        let t = &mut s.store.treatment.borrow_mut()[i];
                        (t.before, t.after) = (secs(0.0), secs(0.0));
                    }
                });
            }
            10 | 11 => {
                let share = rng.borrow_mut().random_range(0.2..1.0);
                let deaf = kind == 10;
                log(format!(
                    "{share:.2} of the workers are {} for {long:.1} s",
                    if deaf { "deaf" } else { "mute" }
                ));
                let all: Vec<_> = s.fleet.workers.borrow().values().cloned().collect();
                let some: Vec<_> = all
                    .into_iter()
                    .filter(|_| rng.borrow_mut().random_bool(share))
                    .collect();
                for w in &some {
                    if deaf {
                        w.deaf.set(true)
                    } else {
                        w.mute.set(true)
                    }
                }
                runtime::spawn(async move {
                    runtime::sleep(secs(long)).await;
                    for w in &some {
                        if deaf {
                            w.deaf.set(false)
                        } else {
                            w.mute.set(false)
                        }
                    }
                });
            }
            12 => {
                log(format!("mesh of {i} held for {long:.1} s"));
                for j in 0..3 {
                    s.links[i][j].held.set(true);
                    s.links[j][i].held.set(true);
                }
                runtime::spawn(async move {
                    runtime::sleep(secs(long)).await;
                    for j in 0..3 {
                        s.links[i][j].held.set(false);
                        s.links[j][i].held.set(false);
                    }
                });
            }
            13 => {
                log(format!("peers refuse connections for {long:.1} s"));
                for l in s.links.iter().flatten() {
                    l.refuse(true);
                }
                runtime::spawn(async move {
                    runtime::sleep(secs(long)).await;
                    for l in s.links.iter().flatten() {
                        l.refuse(false);
                    }
                });
            }
            _ => {
                let copies: Vec<_> = {
                    let mut all = s.fleet.old_commands.borrow_mut();
                    let n = all.len().min(30);
                    let at = all.len() - n;
                    all.split_off(at)
                };
                log(format!(
                    "{} direct commands and some reports arrive again",
                    copies.len()
                ));
                for (id, helm, watch, orders) in copies {
                    let w = s.fleet.workers.borrow().get(&id).cloned();
                    if let Some(w) = w {
                        w.repeat(helm, watch, orders);
                    }
                }
                let reports = s.fleet.old_reports.borrow();
                for _ in 0..30.min(reports.len()) {
                    let r = reports[rng.borrow_mut().random_range(0..reports.len())].clone();
                    let to = s.controllers.api[rng.borrow_mut().random_range(0..3)];
                    runtime::spawn(async move {
                        let _ = Client::new(to)
                            .send(Method::Post, "/hello", &encode(&r), secs(1.0))
                            .await;
                    });
                }
            }
        }
        let pause = rng.borrow_mut().random_range(0.3..7.0);
        runtime::sleep(secs(pause)).await;
    }
    if !trouble {
        runtime::sleep(secs(60.0)).await;
    }
    quiet.set(true);
    runtime::sleep(secs(30.0)).await;
    let told = site.users.told.borrow().clone();
    let open: Vec<String> = told
        .iter()
        .filter(|(_, t)| t.accepted.is_some() && t.fin.is_none())
        .map(|(j, _)| j.clone())
        .collect();
    let mut left = Vec::new();
    for round in 0..40 {
        left.clear();
        for j in &open {
            let service = site.users.uploads.borrow()[j].text("hull") == "daemon";
            if !service
                && site
                    .users
                    .poll(round % 3, j)
                    .await
                    .is_none_or(|b| b != "done" && b != "aborted")
            {
                left.push(j.clone());
            }
        }
        if left.is_empty() {
            break;
        }
        runtime::sleep(secs(1.5)).await;
    }
    if !left.is_empty() {
        println!("seed {seed}: not over after all troubles: {left:?}");
    }
    if let Some(i) = site.controllers.ended() {
        site.record
            .broken(&format!("controller {i} ended by itself"));
    }
    println!(
        "seed {seed}: {} jobs, {} starts, {} malformed",
        told.len(),
        site.fleet.starts.borrow().len(),
        site.store.malformed.get()
    );
    site.verdict()
}

async fn one_job(u: &Rc<Users>, rng: &Rc<RefCell<StdRng>>, next: &Rc<Cell<u32>>) {
    let n = next.replace(next.get() + 1);
    let id = format!("req-{n:06}");
    let (node, kind, oars, run, cancel, wait, spot, zone) = {
        let mut r = rng.borrow_mut();
        (
            r.random_range(0..3usize),
            r.random_range(0..5),
            r.random_range(1..5u32),
            r.random_range(0.2..12.0),
            r.random_range(0..3) == 0,
            r.random_range(0.0..10.0),
            r.random_bool(0.5),
            r.random_range(0..5usize),
        )
    };
    let mut j = job(
        &id,
        CREWS[n as usize % 5],
        if kind == 0 { "daemon" } else { "array" },
        oars,
    );
    j["driftboats"] = json!(spot);
    if zone < 3 {
        j["basin"] = json!(crate::cluster::ZONES[zone]);
    }
    if !u.submit_until_accepted(node, &j, run).await {
        return;
    }
    for n in 0..3 {
        u.poll((node + n) % 3, &id).await;
    }
    if kind == 1 {
        u.submit((node + 1) % 3, &j, run).await;
    }
    if cancel || kind == 0 {
        runtime::sleep(secs(wait)).await;
        let until = runtime::now() + secs(60.0);
        let mut n = node + 1;
        while runtime::now() < until && u.cancel(n % 3, &id).await.is_none() {
            runtime::sleep(secs(1.0)).await;
            n += 1;
        }
        for n in 0..3 {
            u.poll(n, &id).await;
        }
        return;
    }
    for n in 0..8 {
        runtime::sleep(secs(2.5)).await;
        if u.poll((node + n) % 3, &id)
            .await
            .is_some_and(|b| b == "done")
        {
            for n in 0..3 {
                u.poll(n, &id).await;
            }
            return;
        }
    }
}
