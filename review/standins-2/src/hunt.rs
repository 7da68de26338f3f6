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
    let users = std::env::var("USERS")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(6);
    if std::env::var("FLOOD").is_ok() {
        for n in 0..3600usize {
            let (to, quiet, rng) = (site.controllers.api[n % 3], quiet.clone(), rng.clone());
            runtime::spawn(async move {
                while !quiet.get() {
                    if let Ok(c) = hopyoke_event_loop::TcpStream::connect(to, secs(5.0)).await {
                        let mut buf = [0u8; 64];
                        let hold = rng.borrow_mut().random_range(5.0..60.0);
                        let _ = runtime::timeout(secs(hold), c.read(&mut buf)).await;
                    }
                    let pause = rng.borrow_mut().random_range(0.3..3.0);
                    runtime::sleep(secs(pause)).await;
                }
            });
        }
    }
    for _ in 0..users {
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
    if std::env::var("STUTTER").is_ok() {
        for i in 0..3 {
            let (c, quiet, rng) = (site.controllers.clone(), quiet.clone(), rng.clone());
            runtime::spawn(async move {
                while !quiet.get() {
                    let (stop, go) = {
                        let mut r = rng.borrow_mut();
                        if std::env::var("STUTTER").is_ok_and(|v| v == "2") {
                            let long = r.random_bool(0.004);
                            (
                                if long {
                                    3.0
                                } else {
                                    r.random_range(0.09..0.16)
                                },
                                r.random_range(0.006..0.016),
                            )
                        } else {
                            (r.random_range(0.02..0.9), r.random_range(0.02..0.3))
                        }
                    };
                    c.signal(i, "-STOP");
                    runtime::sleep(secs(stop)).await;
                    c.signal(i, "-CONT");
                    runtime::sleep(secs(go)).await;
                }
            });
        }
    }
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
            14 | 15 => {
                let all: Vec<_> = s.fleet.workers.borrow().values().cloned().collect();
                let share = rng.borrow_mut().random_range(0.1..0.7);
                let some: Vec<_> = all
                    .into_iter()
                    .filter(|_| rng.borrow_mut().random_bool(share))
                    .collect();
                log(format!("{} machines hang for {long:.1} s", some.len()));
                some.iter().for_each(|w| w.hung.set(true));
                runtime::spawn(async move {
                    runtime::sleep(secs(long)).await;
                    some.iter().for_each(|w| w.hung.set(false));
                });
            }
            16 | 17 => {
                let all: Vec<String> = s.fleet.workers.borrow().keys().cloned().collect();
                let share = rng.borrow_mut().random_range(0.1..0.6);
                for id in all {
                    if rng.borrow_mut().random_bool(share) {
                        log(format!("{id} stops with all that is on it"));
                        s.cloud.die(&id);
                    }
                }
            }
            18 => {
                let all: Vec<_> = s.fleet.workers.borrow().values().cloned().collect();
                if !all.is_empty() {
                    let w = all[rng.borrow_mut().random_range(0..all.len())].clone();
                    log(format!("{} fails every task for {long:.1} s", w.id));
                    w.failing.set(true);
                    runtime::spawn(async move {
                        runtime::sleep(secs(long)).await;
                        w.failing.set(false);
                    });
                }
            }
            19 => {
                log(format!("cloud in trouble for {long:.1} s"));
                s.cloud.trouble.set(true);
                runtime::spawn(async move {
                    runtime::sleep(secs(long)).await;
                    s.cloud.trouble.set(false);
                });
            }
            20 => {
                log(format!(
                    "cloud carries requests out {:.1} s late for {long:.1} s",
                    short * 4.0
                ));
                s.cloud.late.set(Some(secs(short * 4.0)));
                runtime::spawn(async move {
                    runtime::sleep(secs(long)).await;
                    s.cloud.late.set(None);
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
    runtime::sleep(secs(26.0)).await;
    let waiting: Vec<String> = {
        let told = site.users.told.borrow();
        told.iter()
            .filter(|(_, t)| t.accepted.is_some() && t.fin.is_none() && !t.asked_cancel)
            .map(|(j, _)| j.clone())
            .collect()
    };
    site.record.line("all troubles are over");
    crate::cases::watch_waiting(&site, &waiting, runtime::now() + secs(96.0)).await;
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
        for i in 0..3 {
            let out = std::process::Command::new("target/release/hopyoke")
                .args(["status", "--mesh"])
                .arg(site.controllers.mesh[i].to_string())
                .output();
            if let Ok(o) = out {
                site.record.line(&format!(
                    "status of mooring-{i}:\n{}",
                    String::from_utf8_lossy(&o.stdout)
                ));
            }
        }
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
        j["basin"] = json!(crate::world::cfg().zones[zone]);
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

/// The meetings that kit/more/hunt/LATER.md names, with details drawn at random.
pub async fn meetings(dir: &str) -> u8 {
    let seed: u64 = std::env::var("SEED")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(1);
    let Some(site) = Site::start(dir, 16).await else {
        return 2;
    };
    let mut r = StdRng::seed_from_u64(seed);
    let u = &site.users;
    let log = |t: String| site.record.line(&format!("TROUBLE {t}"));
    // Long work: services, and arrays with long tasks, in two teams at about half of what fits.
    let mut ids = Vec::new();
    for n in 0..12u32 {
        let id = format!("req-{n:06}");
        let mut j = job(
            &id,
            CREWS[1 + n as usize % 4],
            if n % 3 == 0 { "daemon" } else { "array" },
            1 + n % 2,
        );
        j["driftboats"] = json!(n % 2 == 0);
        if !u
            .submit_until_accepted(n as usize % 3, &j, if n % 4 == 1 { 6.0 } else { 500.0 })
            .await
        {
            return 2;
        }
        ids.push(id);
    }
    runtime::sleep(secs(9.0)).await;
    let Some(l) = site.controllers.leader() else {
        return 2;
    };
    let (p, q) = ((l + 1) % 3, (l + 2) % 3);
    let kind = seed % 4;
    let outage = r.random_range(20.0..42.0);
    let t = |i: usize, f: &dyn Fn(&mut crate::store::Treatment)| {
        f(&mut site.store.treatment.borrow_mut()[i])
    };
    log(format!("meeting {kind}, leader {l}"));
    match kind {
        0 => {
            if r.random_bool(0.4) {
                let s = r.random_range(0.5..6.0);
                log(format!("leader stands still for {s:.1} s"));
                site.controllers.signal(l, "-STOP");
                let c = site.controllers.clone();
                runtime::spawn(async move {
                    runtime::sleep(secs(s)).await;
                    c.signal(l, "-CONT");
                });
            }
            t(l, &|t| t.refused = true);
            log("the state service refuses the leader".into());
            if r.random_bool(0.4) {
                site.links[l][p].held.set(true);
                site.links[p][l].held.set(true);
                log("mesh between leader and one other held".into());
            }
            if r.random_bool(0.3) {
                t(p, &|t| t.after = secs(30.0));
                log("answers to one other are lost".into());
            }
        }
        1 => {
            t(l, &|t| t.held = true);
            for j in [p, q] {
                site.links[l][j].held.set(true);
                site.links[j][l].held.set(true);
            }
            log("leader cut from the state service and the others".into());
            runtime::sleep(secs(r.random_range(0.1..14.0))).await;
        }
        2 => {
            let some: Vec<_> = site.fleet.workers.borrow().values().cloned().collect();
            for w in some {
                match r.random_range(0..4) {
                    0 => w.deaf.set(true),
                    1 => w.mute.set(true),
                    _ => {}
                }
            }
            log("some workers are deaf or mute".into());
            site.controllers.kill(l);
            site.controllers.start(l);
            log("the leader ends and is back at once".into());
            runtime::sleep(secs(r.random_range(0.0..5.0))).await;
        }
        _ => {
            for i in 0..3 {
                t(i, &|t| t.before = secs(1.3));
            }
            log("the state service answers slowly".into());
            runtime::sleep(secs(r.random_range(0.0..6.0))).await;
        }
    }
    // Users cancel many jobs at once, at all nodes.
    let calls = ids.clone();
    for (n, id) in calls.into_iter().enumerate() {
        if r.random_bool(0.75) {
            let (u, node) = (
                u.clone(),
                if kind == 1 || r.random_bool(0.7) {
                    if n % 2 == 0 { p } else { q }
                } else {
                    l
                },
            );
            let wait = r.random_range(0.0..0.3);
            runtime::spawn(async move {
                runtime::sleep(secs(wait)).await;
                for k in 0..90 {
                    if u.cancel((node + k) % 3, &id).await.is_some() {
                        break;
                    }
                    runtime::sleep(secs(1.0)).await;
                }
                for n in 0..3 {
                    u.poll(n, &id).await;
                }
            });
        }
    }
    runtime::sleep(secs(r.random_range(0.2..1.5))).await;
    if r.random_bool(0.5) {
        let (c, back) = (site.controllers.clone(), r.random_range(0.05..6.0));
        log(format!("one other ends, back after {back:.1} s"));
        c.kill(p);
        runtime::spawn(async move {
            runtime::sleep(secs(back)).await;
            c.start(p);
        });
    }
    if kind != 2 || r.random_bool(0.5) {
        site.store.set_down(true);
        log(format!("the state service is out for {outage:.1} s"));
        let half = r.random_range(3.0..outage);
        runtime::sleep(secs(half)).await;
        if r.random_bool(0.4) {
            log("the other other ends and is back".into());
            site.controllers.kill(q);
            site.controllers.start(q);
        }
        runtime::sleep(secs(outage - half)).await;
        for i in 0..3 {
            t(i, &|t| {
                (t.refused, t.before, t.after) = (false, secs(0.0), secs(0.0))
            });
        }
        site.store.set_down(false);
        log("the state service is back".into());
    }
    runtime::sleep(secs(r.random_range(0.0..8.0))).await;
    for i in 0..3 {
        t(i, &|t| *t = crate::store::Treatment::default());
    }
    for l in site.links.iter().flatten() {
        l.held.set(false);
    }
    for w in site.fleet.workers.borrow().values() {
        w.deaf.set(false);
        w.mute.set(false);
    }
    log("all troubles are over".into());
    for _ in 0..20 {
        runtime::sleep(secs(1.5)).await;
        for (n, id) in ids.iter().enumerate() {
            if n % 3 == 0 {
                u.poll(n % 3, id).await;
            }
        }
    }
    let told = u.told.borrow();
    let open: Vec<&String> = told
        .iter()
        .filter(|(_, t)| t.asked_cancel && t.fin.is_none())
        .map(|(j, _)| j)
        .collect();
    if !open.is_empty() {
        println!("seed {seed}: not cancelled: {open:?}");
    }
    println!(
        "seed {seed}: meeting {kind}, {} starts",
        site.fleet.starts.borrow().len()
    );
    site.verdict()
}

/// Once met by chance: a job is accepted shortly before an outage that a slow spell follows.
pub async fn before_outage(dir: &str) -> u8 {
    let seed: u64 = std::env::var("SEED")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(1);
    let Some(site) = Site::start(dir, 16).await else {
        return 2;
    };
    let mut r = StdRng::seed_from_u64(seed);
    let u = &site.users;
    if !u
        .submit_until_accepted(0, &job("req-000001", "fleetwatch", "array", 2), 8.0)
        .await
    {
        return 2;
    }
    runtime::sleep(secs(r.random_range(8.0..26.0))).await;
    let Some(l) = site.controllers.leader() else {
        return 2;
    };
    for j in 0..3 {
        site.links[l][j].held.set(true);
        site.links[j][l].held.set(true);
    }
    let mut ids = Vec::new();
    for n in 0..4u32 {
        let id = format!("req-{:06}", 100 + n);
        let mut j = job(&id, CREWS[n as usize % 5], "array", 1 + n);
        j["basin"] = json!(crate::world::cfg().zones[n as usize % 3]);
        j["driftboats"] = json!(n % 2 == 0);
        if !u.submit_until_accepted(l, &j, 4.0).await {
            return 2;
        }
        u.poll(l, &id).await;
        ids.push(id);
        runtime::sleep(secs(r.random_range(0.0..0.8))).await;
    }
    runtime::sleep(secs(r.random_range(0.0..2.5))).await;
    site.store.set_down(true);
    runtime::sleep(secs(r.random_range(2.0..8.0))).await;
    for l in site.links.iter().flatten() {
        l.held.set(false);
    }
    runtime::sleep(secs(r.random_range(8.0..16.0))).await;
    for t in site.store.treatment.borrow_mut().iter_mut() {
        t.before = secs(3.5);
    }
    site.store.set_down(false);
    runtime::sleep(secs(r.random_range(1.0..9.0))).await;
    for t in site.store.treatment.borrow_mut().iter_mut() {
        t.before = secs(0.0);
    }
    site.record.line("all troubles are over");
    let until = runtime::now() + secs(75.0);
    while runtime::now() < until && !ids.iter().all(|j| site.fleet.is_over(j)) {
        runtime::sleep(secs(1.0)).await;
    }
    let left: Vec<&String> = ids.iter().filter(|j| !site.fleet.is_over(j)).collect();
    if !left.is_empty() {
        println!("seed {seed}: left {left:?}");
        for i in 0..3 {
            let out = std::process::Command::new("target/release/hopyoke")
                .args(["status", "--mesh"])
                .arg(site.controllers.mesh[i].to_string())
                .output();
            if let Ok(o) = out {
                site.record.line(&format!(
                    "status of mooring-{i}:\n{}",
                    String::from_utf8_lossy(&o.stdout)
                ));
            }
        }
    }
    println!("seed {seed}: before-outage");
    site.verdict()
}

/// A slow state service, and a leader that ends and is back at once.
pub async fn slow_state(dir: &str) -> u8 {
    let slow: f64 = std::env::var("SLOW")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(1.7);
    let Some(site) = Site::start(dir, 16).await else {
        return 2;
    };
    let u = &site.users;
    if !u
        .submit_until_accepted(0, &job("req-000001", "fleetwatch", "array", 1), 60.0)
        .await
    {
        return 2;
    }
    runtime::sleep(secs(6.0)).await;
    for t in site.store.treatment.borrow_mut().iter_mut() {
        t.before = secs(slow);
    }
    let Some(l) = site.controllers.leader() else {
        return 2;
    };
    site.controllers.kill(l);
    site.controllers.start(l);
    runtime::sleep(secs(5.0)).await;
    let accepted = u
        .submit_until_accepted(
            (l + 1) % 3,
            &job("req-000002", "skipperops", "array", 1),
            4.0,
        )
        .await;
    let at = runtime::now();
    let mut answered = [0u32; 2];
    let mut asked = 0;
    while runtime::now() < at + secs(75.0) && !site.fleet.is_over("req-000002") {
        runtime::sleep(secs(2.0)).await;
        asked += 1;
        for (k, j) in ["req-000001", "req-000002"].iter().enumerate() {
            answered[k] += u32::from(u.poll(asked % 3, j).await.is_some());
        }
    }
    println!(
        "slow {slow}: accepted {accepted}, started after {:?}, asked {asked} times, answered {answered:?}, over {}",
        site.fleet
            .started("req-000002")
            .map(|t| (t - at).as_secs_f64()),
        site.fleet.is_over("req-000002")
    );
    site.verdict()
}
