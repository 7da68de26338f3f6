//! Setup of a scenario: the simulated cluster, the scheduler's settings and the initial machines.

use super::parser::{Words, key_values, next_word, number, seconds};
use crate::limits::StoreLimits;
use crate::{START_TIME_OF_DAY, Simulation};
use hopyoke_calendar::{Calendar, HoldSelector, StaffedHours};
use hopyoke_protocol::cloud::MachineType;
use hopyoke_scheduler::Team;
use hopyoke_types::Micros;

/// `seed N [nodes K]`: a cluster of K nodes, 3 by default, with the defaults of scenarios.
pub(super) fn new_simulation(words: &[&str]) -> Simulation {
    let nodes = words.get(3).map_or(3, |n| number(n) as usize);
    let mut sim = Simulation::new(number(words[1]) as u64, nodes);
    apply_defaults(&mut sim);
    sim
}

/// Adds one machine type, two teams and some capacity in each zone, and starts all nodes.
fn apply_defaults(sim: &mut Simulation) {
    sim.machine_types.push(MachineType {
        name: "std".into(),
        cpus: 16.0,
        gpus: 2.0,
        memory_gb: 64.0,
        cache_gb: 70.0,
        fetch_gb_per_s: 2.0,
        price: 7.0,
        spot_price: 2.5,
        boot_s: 10.0,
        zones: sim.config.zones.clone(),
    });
    for z in sim.config.zones.clone() {
        sim.capacity.insert(("std".into(), z.clone(), false), 4);
        sim.capacity.insert(("std".into(), z, true), 2);
    }
    sim.config.teams.push(Team {
        name: "crew".into(),
        gpus: 8.0,
        gpus_max: 16.0,
        ..Team::default()
    });
    sim.config.teams.push(Team {
        name: "other".into(),
        gpus: 4.0,
        gpus_max: 8.0,
        ..Team::default()
    });
    sim.expire_leases();
    for node in 0..sim.nodes.len() {
        sim.start_node(node);
    }
}

/// Executes a setup statement.
///
/// # Errors
///
/// Returns that the statement is unknown or which value is invalid.
pub(super) fn statement(
    sim: &mut Simulation,
    name: &str,
    words: &mut Words<'_>,
) -> Result<(), String> {
    match name {
        "team" => set_team(sim, words),
        "use" => return enable_estimates(sim, words),
        "hours" => sim.hours = Some(staffed_hours(words)?),
        "limits" => set_store_limits(sim, words),
        "patience" => sim.submission_timeout = Some(seconds(next_word(words))),
        "idle_return" => sim.tuning.idle_return = seconds(next_word(words)),
        "report" => sim.config.heartbeat_interval = seconds(next_word(words)),
        "lease" => sim.config.lease = seconds(next_word(words)),
        "cancel_s" => sim.cancellation_bound = seconds(next_word(words)),
        "capacity" => {
            let (zone, kind, n) = machine_group(words);
            sim.capacity
                .insert(("std".into(), zone.into(), kind == "spot"), n);
        }
        "machines" => {
            let (zone, kind, n) = machine_group(words);
            for _ in 0..n {
                sim.add_machine("std", zone, kind == "spot", Some(Micros::from_millis(10)));
            }
        }
        "duds" => sim.failed_boots_left = number(next_word(words)) as u32,
        other => return Err(format!("unknown statement {other}")),
    }
    Ok(())
}

/// Reads `ZONE ordinary|spot COUNT`.
fn machine_group<'a>(words: &mut Words<'a>) -> (&'a str, &'a str, u32) {
    (
        next_word(words),
        next_word(words),
        number(next_word(words)) as u32,
    )
}

/// `team NAME [cpus N] [cpus_max N] [gpus N] [gpus_max N]`: adds a team, or replaces its quota.
fn set_team(sim: &mut Simulation, words: &mut Words<'_>) {
    let name = next_word(words).to_owned();
    let pairs = key_values(words);
    let get = |key: &str| pairs.get(key).map_or(0.0, |v| number(v));
    sim.config.teams.retain(|t| t.name != name);
    sim.config.teams.push(Team {
        name,
        cpus: get("cpus"),
        cpus_max: get("cpus_max"),
        gpus: get("gpus"),
        gpus_max: get("gpus_max"),
    });
}

/// `use PURPOSE ...`: enables decisions based on learned run times.
fn enable_estimates(sim: &mut Simulation, words: &mut Words<'_>) -> Result<(), String> {
    let tuning = &mut sim.tuning;
    for name in words.by_ref() {
        let flag = match *name {
            "victims" => &mut tuning.use_for_victims,
            "backfill" => &mut tuning.use_for_backfill,
            "demand" => &mut tuning.use_for_demand,
            "deadlines" => &mut tuning.use_for_deadlines,
            "slow_machines" => &mut tuning.use_for_slow_machines,
            other => return Err(format!("unknown use {other}")),
        };
        *flag = true;
    }
    Ok(())
}

/// `hours HELD drain|keep FROM-TO ...`: staffed hours in seconds of virtual time, and the jobs held outside them.
fn staffed_hours(words: &mut Words<'_>) -> Result<StaffedHours, String> {
    let (held, drain) = (next_word(words), next_word(words) == "drain");
    let clock = |s: &str| {
        let t = START_TIME_OF_DAY.0 / 1_000_000 + number(s) as u64;
        format!("{:02}:{:02}:{:02}", t / 3600, t / 60 % 60, t % 60)
    };
    let spans: Vec<String> = words
        .by_ref()
        .map(|s| {
            s.split_once('-')
                .map_or(String::new(), |(a, b)| format!("{}-{}", clock(a), clock(b)))
        })
        .collect();
    let calendar = Calendar::parse(&format!("Thu {}", spans.join(" ")), "UTC", "");
    Ok(StaffedHours {
        calendar: calendar.map_err(|e| e.to_string())?,
        hold_selector: HoldSelector::parse(&held.replace('+', " ")).map_err(|e| e.to_string())?,
        drain,
        max_clock_skew: Micros::from_millis(250),
        placement_margin: Micros::from_secs(2),
        staffing_override: None,
    })
}

/// `limits REQUESTS CHANGES [unpaced]`: rate limits of the key-value store per second.
///
/// The nodes restart with their shares, so the statement must precede all events.
fn set_store_limits(sim: &mut Simulation, words: &mut Words<'_>) {
    let (requests, changes) = (number(next_word(words)), number(next_word(words)));
    let is_unpaced = words.next() == Some(&"unpaced");
    sim.limits = Some(StoreLimits::new(requests, changes, is_unpaced));
    // Scenarios with limits have many users: checking all invariants at every event would take minutes.
    sim.exhaustive_checks = false;
    for node in 0..sim.nodes.len() {
        sim.start_node(node);
    }
}
