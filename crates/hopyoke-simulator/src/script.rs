//! Scenarios as text: one statement a line, `#` starts a comment. See `crates/hopyoke/tests/scenarios/README.md`.

use crate::limits::Limits;
use crate::store::Spell;
use crate::{Cut, DAWN, Host, Lag, Truth, World};
use hopyoke_calendar::{Calendar, HoldSelector, StaffedHours, StaffingOverride};
use hopyoke_protocol::cloud::MachineType;
use hopyoke_protocol::user::{JobKind, JobSpec, JobState, Priority};
use hopyoke_scheduler::{CapacityQuery, Team, WaitReason};
use hopyoke_types::Micros;
use hopyoke_types::{JobId, MachineId};
use std::collections::BTreeMap;
use std::rc::Rc;

type Words<'a> = std::slice::Iter<'a, &'a str>;

fn secs(s: &str) -> Micros {
    Micros::from_secs_f64(
        s.parse()
            .unwrap_or_else(|_| panic!("not a number of seconds: {s}")),
    )
}

fn num(s: &str) -> f64 {
    s.parse().unwrap_or_else(|_| panic!("not a number: {s}"))
}

fn word<'a>(w: &mut Words<'a>) -> &'a str {
    w.next().copied().expect("another word")
}

/// `key value` pairs.
fn pairs<'a>(w: &mut Words<'a>) -> BTreeMap<&'a str, &'a str> {
    let mut out = BTreeMap::new();
    while let Some(k) = w.next() {
        out.insert(*k, word(w));
    }
    out
}

/// A statement that needs no world: given its first word and the line, the result if it is known.
pub type Extra<'a> = &'a dyn Fn(&str, &str) -> Option<Result<(), String>>;

/// `sweep NAME FROM TO STEP` plays the whole scenario once for each value; `{NAME}`, or `{NAME+2.5}`, is
/// replaced by it.
fn sweep_of(line: &str) -> Option<(&str, Vec<f64>)> {
    let words: Vec<&str> = line.split_whitespace().collect();
    let ["sweep", name, from, to, step] = words[..] else {
        return None;
    };
    let (from, to, step) = (num(from), num(to), num(step));
    let values = (0..)
        .map(|n| from + step * f64::from(n))
        .take_while(|v| *v <= to + step / 1e6)
        .collect();
    Some((name, values))
}

fn filled(text: &str, name: &str, value: f64) -> String {
    let open = format!("{{{name}");
    let mut parts = text.split(open.as_str());
    let mut out = parts.next().unwrap_or("").to_owned();
    for part in parts {
        let (more, rest) = part.split_once('}').expect("a closing brace");
        let shown = value + if more.is_empty() { 0.0 } else { num(more) };
        out.push_str(&format!("{}{rest}", (shown * 1e6).round() / 1e6));
    }
    out
}

/// Runs one scenario; the error names the line. Statements that `extra` knows are left to it. What is returned is
/// a digest of all that happened in virtual time.
pub fn run(text: &str, extra: Extra<'_>) -> Result<u64, String> {
    if let Some((line, (name, values))) = text.lines().find_map(|l| Some((l, sweep_of(l)?))) {
        let rest = text.replacen(line, "", 1);
        let mut digest = 0u64;
        for v in values {
            let run =
                run(&filled(&rest, name, v), extra).map_err(|e| format!("{name} {v}: {e}"))?;
            digest = digest.rotate_left(1) ^ run;
        }
        return Ok(digest);
    }
    let mut world: Option<World> = None;
    for (n, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("").trim();
        if line.is_empty() {
            continue;
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        let fail = |e: String| format!("line {}: `{line}`: {e}", n + 1);
        match words[0] {
            "seed" => {
                // `seed N [nodes K]`
                let mut w = World::new(
                    num(words[1]) as u64,
                    words.get(3).map_or(3, |n| num(n) as usize),
                );
                world_defaults(&mut w);
                world = Some(w);
            }
            other => {
                if let Some(result) = extra(other, line) {
                    result.map_err(fail)?;
                    continue;
                }
                let w = world
                    .as_mut()
                    .ok_or_else(|| fail("a scenario starts with `seed N`".into()))?;
                statement(w, &words).map_err(fail)?;
                if let Some(b) = w.broken.first() {
                    return Err(fail(b.clone()));
                }
            }
        }
    }
    Ok(world.map_or(0, |w| w.digest.value()))
}

fn world_defaults(w: &mut World) {
    w.types.push(MachineType {
        name: "std".into(),
        cpus: 16.0,
        gpus: 2.0,
        memory_gb: 64.0,
        cache_gb: 70.0,
        fetch_gb_per_s: 2.0,
        price: 7.0,
        spot_price: 2.5,
        boot_s: 10.0,
        zones: w.cfg.zones.clone(),
    });
    for z in w.cfg.zones.clone() {
        w.capacity.insert(("std".into(), z.clone(), false), 4);
        w.capacity.insert(("std".into(), z, true), 2);
    }
    w.cfg.teams.push(Team {
        name: "crew".into(),
        gpus: 8.0,
        gpus_max: 16.0,
        ..Team::default()
    });
    w.cfg.teams.push(Team {
        name: "other".into(),
        gpus: 4.0,
        gpus_max: 8.0,
        ..Team::default()
    });
    w.expire_leases();
    for i in 0..w.nodes.len() {
        w.start_node(i);
    }
}

fn statement(w: &mut World, words: &[&str]) -> Result<(), String> {
    let mut it = words.iter();
    match word(&mut it) {
        "team" => {
            let name = word(&mut it).to_owned();
            let p = pairs(&mut it);
            let get = |k: &str| p.get(k).map_or(0.0, |v| num(v));
            w.cfg.teams.retain(|t| t.name != name);
            w.cfg.teams.push(Team {
                name,
                cpus: get("cpus"),
                cpus_max: get("cpus_max"),
                gpus: get("gpus"),
                gpus_max: get("gpus_max"),
            });
        }
        "use" => {
            let t = &mut w.tuning;
            for name in it.by_ref() {
                let flag = match *name {
                    "victims" => &mut t.use_for_victims,
                    "backfill" => &mut t.use_for_backfill,
                    "demand" => &mut t.use_for_demand,
                    "deadlines" => &mut t.use_for_deadlines,
                    "slow_machines" => &mut t.use_for_slow_machines,
                    other => return Err(format!("unknown use {other}")),
                };
                *flag = true;
            }
        }
        "hours" => {
            // Staffed from and to seconds of the world, and what is held outside.
            let (held, drain) = (word(&mut it), word(&mut it) == "drain");
            let clock = |s: &str| {
                let t = DAWN.0 / 1_000_000 + num(s) as u64;
                format!("{:02}:{:02}:{:02}", t / 3600, t / 60 % 60, t % 60)
            };
            let spans: Vec<String> = it
                .by_ref()
                .map(|s| {
                    s.split_once('-')
                        .map_or(String::new(), |(a, b)| format!("{}-{}", clock(a), clock(b)))
                })
                .collect();
            let calendar = Calendar::parse(&format!("Thu {}", spans.join(" ")), "UTC", "");
            w.hours = Some(StaffedHours {
                calendar: calendar.map_err(|e| e.to_string())?,
                held: HoldSelector::parse(&held.replace('+', " ")).map_err(|e| e.to_string())?,
                drain,
                skew: Micros::from_millis(250),
                margin: Micros::from_secs(2),
                staffing_override: None,
            });
        }
        "limits" => {
            // Before the nodes have done anything: they start anew with their parts.
            let (requests, changes) = (num(word(&mut it)), num(word(&mut it)));
            w.limits = Some(Limits::new(
                requests,
                changes,
                it.next() == Some(&"unpaced"),
            ));
            // With so many users whole-world checks at every step would take minutes.
            w.thorough = false;
            for i in 0..w.nodes.len() {
                w.start_node(i);
            }
        }
        "patience" => w.patience = Some(secs(word(&mut it))),
        "idle_return" => w.tuning.idle_return = secs(word(&mut it)),
        "report" => w.cfg.heartbeat_interval = secs(word(&mut it)),
        "lease" => w.cfg.lease = secs(word(&mut it)),
        "cancel_s" => w.cancel_s = secs(word(&mut it)),
        "capacity" => {
            let (zone, kind, n) = (word(&mut it), word(&mut it), num(word(&mut it)) as u32);
            w.capacity
                .insert(("std".into(), zone.into(), kind == "spot"), n);
        }
        "machines" => {
            let (zone, kind, n) = (word(&mut it), word(&mut it), num(word(&mut it)) as u32);
            for _ in 0..n {
                w.add_machine("std", zone, kind == "spot", Some(Micros::from_millis(10)));
            }
        }
        "duds" => w.never_boot = num(word(&mut it)) as u32,
        "at" => {
            let t = secs(word(&mut it));
            let rest: Vec<String> = it.map(|s| (*s).to_owned()).collect();
            w.at(t, move |w| {
                let words: Vec<&str> = rest.iter().map(String::as_str).collect();
                happen(w, &words);
            });
        }
        "until" => w.run_until(secs(word(&mut it))),
        "expect" => expect(w, &mut it)?,
        "random" => random_day(w, num(word(&mut it)) as u64),
        other => return Err(format!("unknown statement {other}")),
    }
    Ok(())
}

fn happen(w: &mut World, words: &[&str]) {
    w.trouble_until = w.trouble_until.max(w.now + span_of(words));
    let mut it = words.iter();
    match word(&mut it) {
        "submit" => {
            let (id, kind) = (JobId::new(word(&mut it)), word(&mut it));
            let p = pairs(&mut it);
            let truth = job(&id, kind, &p);
            w.jobs.insert(id.clone(), truth);
            w.submit(id);
        }
        "many" => {
            let n = num(word(&mut it)) as u64;
            for id in new_jobs(w, n, &mut it) {
                w.submit(id);
            }
        }
        "stream" => {
            let (n, rate, cancelled) = (
                num(word(&mut it)) as u64,
                num(word(&mut it)),
                num(word(&mut it)) as u64,
            );
            for (k, id) in (0..).zip(new_jobs(w, n, &mut it)) {
                let begins = Micros::from_secs_f64(k as f64 / rate);
                if k * cancelled % 100 < cancelled {
                    let (id, later) = (id.clone(), Micros(w.random(500_000, 10_000_000)));
                    w.after(begins + later, move |w| w.cancel(id));
                }
                w.after(begins, move |w| w.submit(id));
            }
        }
        "wave" => {
            let (what, n) = (word(&mut it), num(word(&mut it)) as usize);
            let until = w.now + secs(pairs(&mut it).get("for").copied().unwrap_or("0"));
            let up = w
                .machines
                .values()
                .filter(|m| m.up && (what != "spot" || m.spot));
            // Every third, so that a wave goes through the whole fleet.
            let hit: Vec<MachineId> = up.map(|m| m.id.clone()).step_by(3).take(n).collect();
            for id in hit {
                match w.machines.get_mut(&id) {
                    Some(m) if what == "hang" => m.hung_until = until,
                    Some(m) if what == "deaf" => m.deaf_until = until,
                    Some(m) if what == "mute" => m.mute_until = until,
                    _ => w.remove_machine(&id),
                }
            }
        }
        "cancel" => w.cancel(JobId::new(word(&mut it))),
        "close_looks" => w.habits.close_looks = until(w, &mut it),
        "cancel_at_end" => {
            let percent = num(word(&mut it)) as u64;
            w.habits.cancel_at_end = Spell {
                percent,
                until: until(w, &mut it),
            };
        }
        "cancel_now" => {
            let most = num(word(&mut it)) as usize;
            let hang = pairs(&mut it).get("hang").map_or(Micros::ZERO, |s| secs(s));
            w.cancel_now(most, hang);
        }
        "odd_requests" => {
            w.habits.odd_requests = until(w, &mut it);
            w.odd_requests();
        }
        "staffed" => {
            let (on, until) = (word(&mut it) == "on", secs(word(&mut it)));
            let switch = Some(StaffingOverride {
                staffed: on,
                until_us: (DAWN + until).0,
                by: "operator".into(),
            });
            if let Some(h) = &mut w.hours {
                h.staffing_override.clone_from(&switch);
            }
            for lead in w.nodes.iter_mut().filter_map(|n| n.lead.as_mut()) {
                lead.scheduler.set_switch(switch.clone());
            }
        }
        "crash" => {
            let who = word(&mut it);
            let back = secs(pairs(&mut it).get("back").copied().unwrap_or("6"));
            for i in nodes(w, who) {
                w.crash_node(i, back);
            }
        }
        "give_up" => {
            for i in nodes(w, word(&mut it)) {
                w.give_up(i);
            }
        }
        "cut" => {
            let who = word(&mut it);
            let p = pairs(&mut it);
            let peers = || (0..w.nodes.len()).map(Host::Node);
            let hosts = |name| match name {
                "state" => vec![Host::State],
                "workers" => vec![Host::Workers],
                "cloud" => vec![Host::Cloud],
                "peers" => peers().collect(),
                _ => [Host::State, Host::Workers, Host::Cloud]
                    .into_iter()
                    .chain(peers())
                    .collect(),
            };
            let from: Vec<Host> = p["from"].split('+').flat_map(hosts).collect();
            let until = w.now + secs(p["for"]);
            let hold = p.get("packets") == Some(&"held");
            for node in nodes(w, who) {
                w.cuts.push(Cut {
                    node,
                    from: from.clone(),
                    until,
                    hold,
                });
            }
        }
        "cut_zone" => {
            let name = word(&mut it);
            let p = pairs(&mut it);
            let zone = w
                .cfg
                .zones
                .iter()
                .position(|z| z == name)
                .expect("a known zone");
            w.cut_zone(
                zone,
                w.now + secs(p["for"]),
                p.get("packets") == Some(&"held"),
            );
        }
        "lag" => {
            let (who, by) = (word(&mut it), secs(word(&mut it)));
            let until = until(w, &mut it);
            for node in nodes(w, who) {
                w.lags.push(Lag { node, by, until });
            }
        }
        "freeze" => {
            let who = word(&mut it);
            let until = until(w, &mut it);
            for node in nodes(w, who) {
                w.standstills.insert(node, until);
            }
        }
        "boots" => {
            let factor = num(word(&mut it));
            w.cloud.slow = Some((factor, until(w, &mut it)));
        }
        "duds" => w.never_boot = num(word(&mut it)) as u32,
        "old_lists" => w.cloud.old_lists = until(w, &mut it),
        "slow_state" => {
            let by = secs(word(&mut it));
            w.store.slow = (by, until(w, &mut it));
        }
        "refuse" => {
            let who = word(&mut it);
            let until = until(w, &mut it);
            for node in nodes(w, who) {
                w.store.refused.insert(node, until);
            }
        }
        spell @ ("lost_answers" | "lost_renewals" | "late_writes" | "late_reports"
        | "held_reports" | "late_commands") => {
            let percent = num(word(&mut it)) as u64;
            let p = pairs(&mut it);
            let spell_ends = Spell {
                percent,
                until: w.now + secs(p["for"]),
            };
            let next = p.get("next").map(|s| secs(s));
            let place = match spell {
                "lost_answers" => &mut w.store.lost_answers,
                "lost_renewals" => &mut w.store.lost_renewals,
                "late_writes" => &mut w.store.late_writes,
                "late_commands" => &mut w.late_commands,
                "held_reports" => &mut w.reports_for_next.held,
                _ if next.is_some() => &mut w.reports_for_next.copied,
                _ => &mut w.late_reports,
            };
            *place = spell_ends;
            w.reports_for_next.after = next.unwrap_or(w.reports_for_next.after);
        }
        // Of one machine: what arrives there, or leaves it, and until when it does not.
        trouble @ ("deaf" | "mute" | "hold_orders" | "hold_answers") => {
            let m = machine(w, word(&mut it));
            let until = until(w, &mut it);
            if let Some(m) = m.and_then(|m| w.machines.get_mut(&m)) {
                *match trouble {
                    "deaf" => &mut m.deaf_until,
                    "mute" => &mut m.mute_until,
                    "hold_orders" => &mut m.orders_held_until,
                    _ => &mut m.answers_held_until,
                } = until;
            }
        }
        "no_sockets" => {
            let who = word(&mut it);
            let until = until(w, &mut it);
            for node in nodes(w, who) {
                w.no_sockets.insert(node, until);
            }
        }
        "no_room" => {
            let m = machine(w, word(&mut it));
            let until = until(w, &mut it);
            w.no_room.extend(m.map(|m| (m, until)));
        }
        "outage" => w.outage(secs(word(&mut it))),
        "hang" => {
            let (m, span) = (machine(w, word(&mut it)), secs(word(&mut it)));
            let until = w.now + span;
            if let Some(m) = m.and_then(|m| w.machines.get_mut(&m)) {
                m.hung_until = until;
            }
        }
        "slow" => {
            let (m, factor) = (machine(w, word(&mut it)), num(word(&mut it)));
            if let Some(m) = m.and_then(|m| w.machines.get_mut(&m)) {
                m.slowness = factor;
            }
        }
        "sick" => {
            if let Some(m) = machine(w, word(&mut it)).and_then(|m| w.machines.get_mut(&m)) {
                m.sick = true;
            }
        }
        "take" => {
            if let Some(m) = machine(w, word(&mut it)) {
                w.remove_machine(&m);
            }
        }
        "notice" => {
            let (m, span) = (machine(w, word(&mut it)), secs(word(&mut it)));
            let until = w.now + span;
            let Some(id) = m else { return };
            if let Some(m) = w.machines.get_mut(&id) {
                m.notice = Some(until);
            }
            w.heartbeat_soon(&id);
            w.at(until, move |w| w.remove_machine(&id));
        }
        other => panic!("unknown event {other}"),
    }
}

/// So many jobs of one kind that nobody has submitted yet: `KIND KEY VALUE ...`.
fn new_jobs(w: &mut World, n: u64, it: &mut Words) -> Vec<JobId> {
    let (kind, p) = (word(it), pairs(it));
    let add = |_| {
        let id = JobId::new(&format!("req-{:06}", 1000 + w.jobs.len()));
        w.jobs.insert(id.clone(), job(&id, kind, &p));
        id
    };
    (0..n).map(add).collect()
}

/// When a trouble is over: `for S`, and what is said besides.
fn until(w: &World, it: &mut Words) -> Micros {
    w.now + secs(pairs(it)["for"])
}

/// How long an event's trouble lasts; zero if it is none.
fn span_of(words: &[&str]) -> Micros {
    let after = |key: &str| {
        words
            .iter()
            .position(|w| *w == key)
            .and_then(|at| words.get(at + 1))
    };
    match words[0] {
        "submit" | "many" | "stream" | "cancel" => Micros::ZERO,
        "outage" => secs(words[1]),
        "hang" => secs(words[2]),
        _ => after("for")
            .or(after("back"))
            .or(after("hang"))
            .map_or(Micros::ZERO, |s| secs(s)),
    }
}

/// `leader`, `all` or a number.
fn nodes(w: &World, who: &str) -> Vec<usize> {
    match who {
        "all" => (0..w.nodes.len()).collect(),
        "leader" => w.leader().into_iter().collect(),
        "followers" => (0..w.nodes.len())
            .filter(|i| w.leader() != Some(*i))
            .collect(),
        "follower" => (0..w.nodes.len())
            .find(|i| w.leader() != Some(*i))
            .into_iter()
            .collect(),
        // A world may have fewer.
        n => vec![num(n) as usize % w.nodes.len()],
    }
}

/// A machine by name, or one that runs a task of a job (`of:req-1`), or any (`any`).
fn machine(w: &World, who: &str) -> Option<MachineId> {
    if let Some(id) = who.strip_prefix("of:") {
        let id = JobId::new(id);
        return w
            .machines
            .values()
            .find(|m| m.tasks.keys().any(|(t, _)| t.job == id))
            .map(|m| m.id.clone());
    }
    if who == "any" {
        return w.machines.keys().next().cloned();
    }
    Some(MachineId::new(who))
}

fn job(id: &JobId, kind: &str, p: &BTreeMap<&str, &str>) -> Truth {
    let get = |k: &str, d: f64| p.get(k).map_or(d, |v| num(v));
    let yes = |k: &str| p.get(k) == Some(&"yes");
    let tasks = get("tasks", 1.0) as u32;
    let run = get("run", 10.0);
    let spec = JobSpec {
        id: id.clone(),
        class: p.get("class").unwrap_or(&"c").to_string(),
        team: p.get("team").unwrap_or(&"crew").to_string(),
        kind: match kind {
            "array" => JobKind::Array,
            "gang" => JobKind::Gang,
            "service" => JobKind::Service,
            other => panic!("unknown kind {other}"),
        },
        priority: match p.get("priority").copied() {
            Some("production") => Priority::Production,
            Some("high") => Priority::High,
            Some("low") => Priority::Low,
            _ => Priority::Normal,
        },
        tasks,
        cpus: get("cpus", 6.0),
        gpus: get("gpus", 1.0),
        memory_gb: get("mem", 20.0),
        image: p.get("image").unwrap_or(&"img-1").to_string(),
        image_gb: get("image_gb", 2.0),
        types: None,
        zone: p.get("zone").map(|z| (*z).to_string()),
        one_zone: yes("together"),
        spread: yes("apart"),
        spot: yes("spot"),
        estimate_s: if kind == "service" {
            0.0
        } else {
            run * get("owner", 1.0)
        },
        checkpoint_s: get("checkpoint", 0.0),
        save_s: get("save", 0.0),
        deadline_s: p.get("deadline").map(|v| num(v)),
    };
    Truth {
        run: Micros::from_secs_f64(run),
        fails: yes("fails"),
        flow: yes("flow"),
        done: vec![false; tasks as usize],
        spec: Rc::new(spec),
        ..Truth::new(id.clone())
    }
}

fn expect(w: &World, it: &mut Words) -> Result<(), String> {
    let id = JobId::new(word(it));
    let what = word(it);
    if id.as_str() == "leaders" {
        let n = num(word(it)) as u32;
        let ok = match what {
            "most" => w.leaders <= n,
            "least" => w.leaders >= n,
            _ => w.leaders == n,
        };
        return ok.then_some(()).ok_or(format!("{} nodes led", w.leaders));
    }
    if id.as_str() == "machines" {
        let n = num(word(it)) as usize;
        let ok = if what == "most" {
            w.machines.len() <= n
        } else {
            w.machines.len() == n
        };
        return ok
            .then_some(())
            .ok_or(format!("{} machines", w.machines.len()));
    }
    if id.as_str() == "class" {
        return expect_class(w, what, it);
    }
    if id.as_str() == "when" {
        return expect_when(w, what, it);
    }
    if id.as_str() == "machine" {
        let there = w.machines.contains_key(&MachineId::new(what));
        return (there == (word(it) == "there"))
            .then_some(())
            .ok_or(format!("{what} is there: {there}"));
    }
    if id.as_str() == "looks" {
        let looks = if what == "report" {
            w.report_looks
        } else {
            w.tick_looks
        };
        let most = num(word(it)) as u64;
        return (looks <= most)
            .then_some(())
            .ok_or(format!("{looks} looks"));
    }
    if id.as_str() == "rented" {
        let n = w.charters.values().map(Vec::len).sum::<usize>();
        let ok = what == "most" && n <= num(word(it)) as usize;
        return ok.then_some(()).ok_or(format!("{n} machines were rented"));
    }
    if id.as_str() == "refused" {
        // Of the state service's requests, in percent.
        let l = w
            .limits
            .as_ref()
            .ok_or("the state service has no limits here")?;
        let part = l.refused as f64 * 100.0 / (l.refused + l.taken).max(1) as f64;
        let ok = what == "most" && part <= num(word(it));
        return ok
            .then_some(())
            .ok_or(format!("{part:.1}% of the requests were refused"));
    }
    if id.as_str() == "began" {
        // Every accepted job whose user has not cancelled it has begun, the largest ones too.
        let open = |j: &Truth| {
            j.accepted.is_some() && j.cancelled.is_none() && j.told.is_none() && j.starts == 0
        };
        let scheduler = w
            .leader()
            .and_then(|i| w.nodes[i].lead.as_ref())
            .map(|l| &l.scheduler);
        let why = |id: &JobId| {
            scheduler.map_or("no leader", |c| {
                c.jobs
                    .get(id)
                    .map_or("unknown", |j| j.wait_reason.map_or("", WaitReason::as_str))
            })
        };
        let waits: Vec<String> = w
            .jobs
            .iter()
            .filter(|(_, j)| open(j))
            .map(|(id, _)| format!("{id} ({})", why(id)))
            .collect();
        return waits
            .is_empty()
            .then_some(())
            .ok_or(format!("never begun: {}", waits.join(" ")));
    }
    if id.as_str() == "accepted" {
        if what == "from" {
            // Nobody who came to the door then stands there still, or has given up.
            let (first, last) = (secs(word(it)), secs(it.nth(1).copied().expect("`to T`")));
            let came = |j: &&Truth| j.first_try.is_some_and(|t| (first..=last).contains(&t));
            let waits = w
                .jobs
                .values()
                .filter(came)
                .filter(|j| j.accepted.is_none())
                .count();
            let all = w.jobs.values().filter(came).count();
            return (waits == 0)
                .then_some(())
                .ok_or(format!("{waits} of {all} jobs are not accepted"));
        }
        let n = w.jobs.values().filter(|j| j.accepted.is_some()).count();
        let ok = what == "least" && n >= num(word(it)) as usize;
        return ok
            .then_some(())
            .ok_or(format!("{n} of {} jobs are accepted", w.jobs.len()));
    }
    if id.as_str() == "served" || id.as_str() == "ended" {
        return expect_served(w, id.as_str() == "ended", what, it);
    }
    if id.as_str() == "largest" {
        return expect_largest(w, what, it);
    }
    if id.as_str() == "started" {
        let n = w.jobs.values().filter(|j| j.starts > 0).count();
        let bound = num(word(it)) as usize;
        let ok = if what == "most" {
            n <= bound
        } else {
            n >= bound
        };
        return ok
            .then_some(())
            .ok_or(format!("{n} of {} jobs have started", w.jobs.len()));
    }
    if id.as_str() == "cancelled_starts" {
        let most = num(word(it)) as usize;
        let after = pairs(it).get("after").map_or(Micros::ZERO, |s| secs(s));
        let late = w.cancelled_starts.iter().filter(|t| **t > after).count();
        let last = w
            .cancelled_starts
            .iter()
            .max()
            .copied()
            .unwrap_or_default()
            .as_secs_f64();
        let ok = what == "most" && late <= most;
        return ok.then_some(()).ok_or(format!(
            "{late} starts of cancelled tasks, the last after {last:.3} s"
        ));
    }
    if id.as_str() == "lapses" {
        let ok = what == "most" && w.lapses <= num(word(it)) as u32;
        return ok
            .then_some(())
            .ok_or(format!("{} sessions lapsed", w.lapses));
    }
    if id.as_str() == "recovery" {
        let ok = what == "most" && w.longest_recovery <= secs(word(it));
        return ok.then_some(()).ok_or(format!(
            "a recovery took {:.1} s",
            w.longest_recovery.as_secs_f64()
        ));
    }
    let job = w.jobs.get(&id).ok_or("no such job")?;
    match what {
        "done" => {
            if w.end_of(&id) != Some(JobState::Done) {
                let n = job.done.iter().filter(|d| **d).count();
                return Err(format!(
                    "not recorded as done; {n} of {} tasks are",
                    job.spec.tasks
                ));
            }
            if let (Some(&"by"), Some(t)) = (it.next(), it.next()) {
                let at = w.done_after(&id).unwrap_or_default();
                if at > secs(t) {
                    return Err(format!("done only at {:.1} s", at.as_secs_f64()));
                }
            }
        }
        "told" => {
            let what = word(it);
            let told = job.told.map_or("unfinished", |t| {
                if t == JobState::Done {
                    "done"
                } else {
                    "cancelled"
                }
            });
            if told != what {
                return Err(format!("its user was told: {told}"));
            }
        }
        "unfinished" if w.end_of(&id).is_some() => return Err("it is over".into()),
        "unfinished" => {}
        "cancelled" if w.end_of(&id) != Some(JobState::Cancelled) => {
            return Err("not cancelled".into());
        }
        "cancelled" => {}
        "running" => {
            let n = num(word(it)) as usize;
            if w.running(&id) != n {
                return Err(format!("{} of its tasks run", w.running(&id)));
            }
        }
        "starts" => {
            let how = word(it);
            let n = num(word(it)) as u32;
            let ok = if how == "most" {
                job.starts <= n
            } else {
                job.starts >= n
            };
            if !ok {
                return Err(format!("{} starts", job.starts));
            }
        }
        other => return Err(format!("unknown expectation {other}")),
    }
    Ok(())
}

/// `expect served least SHARE`: of the jobs of each tenant (a team with a class) so many have started,
/// of those that were submitted, accepted or not, and not cancelled; `expect ended least SHARE`: of the
/// jobs of each team and of each class so many are done, services aside.
fn expect_served(w: &World, ended: bool, what: &str, it: &mut Words) -> Result<(), String> {
    let mut tenants: BTreeMap<(String, String), (u32, u32)> = BTreeMap::new();
    for job in w
        .jobs
        .values()
        .filter(|j| j.cancelled.is_none() && j.body.is_none())
    {
        let served = match job.spec.kind {
            JobKind::Service if ended => continue,
            _ if ended => job.done_at.is_some(),
            _ => job.starts > 0,
        };
        // The users count classes and teams, each for itself.
        let (team, class) = (job.spec.team.clone(), job.spec.class.clone());
        let counted = if ended {
            vec![(team, "any".into()), ("any".into(), class)]
        } else {
            vec![(team, class)]
        };
        for tenant in counted {
            let count = tenants.entry(tenant).or_default();
            *count = (count.0 + u32::from(served), count.1 + 1);
        }
    }
    let share = |(started, all): &(u32, u32)| f64::from(*started) / f64::from((*all).max(1));
    let least = tenants
        .iter()
        .min_by(|a, b| share(a.1).total_cmp(&share(b.1)));
    let ((team, class), count) = least.ok_or("no jobs")?;
    let ok = what == "least" && share(count) >= num(word(it));
    ok.then_some(()).ok_or(format!(
        "of team {team}, class {class} {} of {} are served",
        count.0, count.1
    ))
}

/// `expect largest least SHARE within S`: of each class's largest jobs, a quarter of those that were not cancelled, that
/// share began so soon after their users first tried to submit them.
fn expect_largest(w: &World, what: &str, it: &mut Words) -> Result<(), String> {
    let (share, within) = (num(word(it)), secs(pairs(it)["within"]));
    let mut classes: BTreeMap<&str, Vec<&Truth>> = BTreeMap::new();
    for job in w
        .jobs
        .values()
        .filter(|j| j.cancelled.is_none() && j.body.is_none())
    {
        classes.entry(&job.spec.class).or_default().push(job);
    }
    for (class, mut jobs) in classes {
        jobs.sort_by_key(|j| std::cmp::Reverse(j.spec.tasks));
        jobs.truncate(jobs.len().div_ceil(4));
        let soon = |j: &&&Truth| {
            j.began
                .zip(j.first_try)
                .is_some_and(|(began, tried)| began <= tried + within)
        };
        let served = jobs.iter().filter(soon).count();
        if what != "least" || (served as f64) < share * jobs.len() as f64 {
            return Err(format!(
                "of class {class} {served} of its {} largest jobs began in time",
                jobs.len()
            ));
        }
    }
    Ok(())
}

/// `expect when JOB LEAST MOST`, `expect when TEAM GPUS ZONE|any LEAST MOST`: the p50 that the
/// leader answers, in seconds; `... error WORD`: why it can't be told.
fn expect_when(w: &World, what: &str, it: &mut Words) -> Result<(), String> {
    let leader = w
        .leader()
        .and_then(|i| w.nodes[i].lead.as_ref())
        .ok_or("nobody leads")?;
    let found = if what.starts_with("req-") {
        leader.scheduler.estimate_job_end(&JobId::new(what), w.now)
    } else {
        let (gpus, zone) = (num(word(it)), word(it));
        let zone = (zone != "any").then(|| zone.to_owned());
        leader.scheduler.estimate_capacity(
            &CapacityQuery {
                team: what.to_owned(),
                gpus,
                zone,
            },
            w.now,
        )
    };
    let (first, second) = (word(it), word(it));
    match found {
        Err(e) if first == "error" && e.contains(second) => Ok(()),
        Err(e) => Err(e),
        Ok(a) => {
            let fits = (num(first)..=num(second)).contains(&a.p50_s) && a.p90_s >= a.p50_s;
            fits.then_some(()).ok_or(format!(
                "p50 {:.1} s, p90 {:.1} s, {}",
                a.p50_s, a.p90_s, a.rests_on
            ))
        }
    }
}

/// `expect class NAME p50 LEAST MOST`: what the leader expects a run of the class to take, in
/// seconds, without the owner's help; `expect class NAME runs LEAST`: ends that it has learned from.
fn expect_class(w: &World, class: &str, it: &mut Words) -> Result<(), String> {
    let leader = w
        .leader()
        .and_then(|i| w.nodes[i].lead.as_ref())
        .ok_or("nobody leads")?;
    let p = BTreeMap::from([("class", class)]);
    let mut spec = (*job(&JobId::new("req-0"), "array", &p).spec).clone();
    spec.estimate_s = 0.0;
    let found = leader.scheduler.expected(&spec);
    match word(it) {
        "p50" => {
            let (least, most) = (num(word(it)), num(word(it)));
            let p50 = found.distribution.quantile(0.5);
            (least..=most)
                .contains(&p50)
                .then_some(())
                .ok_or(format!("p50 is {p50:.2} s"))
        }
        _ => {
            let least = num(word(it)) as u32;
            let runs = found.basis.class_runs;
            (runs >= least).then_some(()).ok_or(format!("{runs} runs"))
        }
    }
}

/// A day of random work and random troubles; only the rules are expected to hold.
fn random_day(w: &mut World, span: u64) {
    // Uses of estimates must break no rule either.
    if w.random(0, 1) == 1 {
        let t = &mut w.tuning;
        (t.use_for_victims, t.use_for_backfill, t.use_for_demand) = (true, true, true);
        (t.use_for_deadlines, t.use_for_slow_machines) = (true, true);
    }
    let mut t = 1;
    let mut n = 0;
    while t < span {
        n += 1;
        let id = format!("req-{n:06}");
        let kind = ["array", "gang", "service"][w.random(0, 2) as usize];
        let tasks = w.random(1, if kind == "gang" { 3 } else { 5 });
        let team = ["crew", "other"][w.random(0, 1) as usize];
        let run = w.random(3, 40);
        let flag = |w: &mut World| ["no", "yes"][w.random(0, 1) as usize];
        let (spot, together) = (flag(w), flag(w));
        let apart = if together == "yes" { "no" } else { flag(w) };
        let checkpoint = if kind == "gang" { 5 } else { 0 };
        let line = format!(
            "submit {id} {kind} tasks {tasks} team {team} run {run} spot {spot} together {together} apart {apart} \
             checkpoint {checkpoint} save 2 image img-{}",
            w.random(1, 4)
        );
        later(w, t, line);
        if kind == "service" || w.random(0, 9) == 0 {
            let at = t + w.random(5, 80);
            later(w, at, format!("cancel {id}"));
        }
        t += w.random(2, 9);
    }
    let mut t = 20;
    while t < span {
        // Two or three at once: the second begins while the first lasts, or just after.
        let first = w.random(5, 40);
        let (line, other) = (trouble(w, first), w.random(1, 40));
        let within = t + w.random(0, first);
        let second = trouble(w, other);
        later(w, t, line);
        later(w, within, second);
        // Sometimes a third, soon after the second began.
        if w.random(0, 1) == 0 {
            let (span, at) = (w.random(1, 40), within + w.random(0, 5));
            let third = trouble(w, span);
            later(w, at, third);
        }
        // What users ask for in the middle of it.
        if n > 0 && w.random(0, 1) == 0 {
            let at = within + w.random(0, 3);
            let id = w.random(1, n);
            later(w, at, format!("cancel req-{id:06}"));
        }
        t += w.random(8, 45);
    }
}

/// A random trouble, as an event that lasts about so many seconds.
fn trouble(w: &mut World, span: u64) -> String {
    let who = ["leader", "leader", "follower", "followers", "0", "1", "2"][w.random(0, 6) as usize];
    let held = ["held", "lost"][w.random(0, 1) as usize];
    let back = ["0.05", "0.2", "1", "6"][w.random(0, 3) as usize];
    let share = [20, 60, 100][w.random(0, 2) as usize];
    let job = w.random(1, 40);
    match w.random(0, 47) {
        0 => format!("crash {who} back 6"),
        1 => "crash all back 6".into(),
        2 => format!("cut {who} from state for {span} packets {held}"),
        3 => format!("cut {who} from workers for {span} packets {held}"),
        4 => format!("cut {who} from all for {span} packets {held}"),
        5 => format!("outage {}", w.random(2, 70)),
        6 => format!("hang any {span}"),
        7 => format!("hang of:req-{job:06} {span}"),
        8 => format!("take of:req-{job:06}"),
        9 => format!("notice of:req-{job:06} 10"),
        10 => format!("lag {who} {}.{} for {span}", w.random(0, 3), w.random(1, 9)),
        11 => format!(
            "no_room {} for {span}",
            ["any", "m-000001", "m-000002"][w.random(0, 2) as usize]
        ),
        12 => format!("no_sockets {who} for {span}"),
        13 => format!("freeze {who} for {span}"),
        14 => format!("crash {who} back {back}"),
        15 => format!("crash all back {back}"),
        16 => format!(
            "boots {} for {span}",
            ["0.02", "3"][w.random(0, 1) as usize]
        ),
        17 => format!("duds {}", w.random(1, 3)),
        18 => format!("old_lists for {span}"),
        19 | 20 => format!("refuse {who} for {span}"),
        21 => format!("cut {who} from state+peers for {span} packets {held}"),
        22 => format!("cut {who} from peers for {span} packets {held}"),
        23 | 24 => format!("late_writes {share} for {span}"),
        30 | 31 => format!("close_looks for {}", 10 + span),
        32 | 33 => format!("cancel_at_end {share} for {}", 10 + span),
        34 => format!("cancel_now {}", w.random(1, 6)),
        35 | 36 => format!("cancel_now {} hang {span}", w.random(1, 6)),
        37 => format!("odd_requests for {}", 10 + span),
        38 => format!("mute of:req-{job:06} for {span}"),
        39 => format!("wave mute 2 for {span}"),
        40 => format!("late_reports {share} for {span} next 0.{}", w.random(0, 9)),
        41 => format!("held_reports {share} for 8 next {}", w.random(0, 20)),
        42 => format!("hold_orders of:req-{job:06} for {span}"),
        43 => format!("hold_answers of:req-{job:06} for {}", w.random(1, 8)),
        44 => format!("lost_renewals {share} for {span}"),
        45..=47 => format!("late_commands {share} for {}", span * 2),
        29 => format!(
            "slow_state {}.{} for {span}",
            w.random(0, 2),
            w.random(1, 9)
        ),
        25 => format!("lost_answers {share} for {span}"),
        26 => format!("late_reports {share} for {}", span * 3),
        27 => format!(
            "deaf {} for {span}",
            ["any", "m-000001", "m-000002"][w.random(0, 2) as usize]
        ),
        _ => format!("deaf of:req-{job:06} for {span}"),
    }
}

fn later(w: &mut World, t: u64, line: String) {
    w.at(Micros::from_secs(t), move |w| {
        let words: Vec<&str> = line.split_whitespace().collect();
        w.log(|| line.clone());
        happen(w, &words);
    });
}
