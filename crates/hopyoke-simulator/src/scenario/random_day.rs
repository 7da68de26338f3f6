//! Random days: random jobs and random overlapping faults, during which the invariants are checked.

use super::inject;
use crate::Simulation;
use hopyoke_types::Micros;

/// Largest record with odd names of machine types: by the protocol's count it just fits when the job is accepted.
const MAX_ODD_RECORD_BYTES: u64 = 8_190;

/// Highest job number that random faults name.
const MAX_FAULT_JOB: u64 = 40;

/// Schedules jobs and faults over `duration_s` seconds.
pub(super) fn schedule(sim: &mut Simulation, duration_s: u64) {
    // Decisions based on learned run times must not violate invariants either.
    if sim.random(0, 1) == 1 {
        let tuning = &mut sim.tuning;
        (
            tuning.use_for_victims,
            tuning.use_for_backfill,
            tuning.use_for_demand,
        ) = (true, true, true);
        (tuning.use_for_deadlines, tuning.use_for_slow_machines) = (true, true);
    }
    let jobs = schedule_jobs(sim, duration_s);
    schedule_faults(sim, duration_s, jobs);
}

/// Schedules submissions and some cancellations. Returns the number of jobs.
fn schedule_jobs(sim: &mut Simulation, duration_s: u64) -> u64 {
    let mut time_s = 1;
    let mut job_count = 0;
    while time_s < duration_s {
        job_count += 1;
        let id = format!("req-{job_count:06}");
        let kind = ["array", "gang", "service"][sim.random(0, 2) as usize];
        let tasks = sim.random(1, if kind == "gang" { 3 } else { 5 });
        let team = ["crew", "other"][sim.random(0, 1) as usize];
        let run = sim.random(3, 40);
        let flag = |sim: &mut Simulation| ["no", "yes"][sim.random(0, 1) as usize];
        let (spot, together) = (flag(sim), flag(sim));
        let apart = if together == "yes" { "no" } else { flag(sim) };
        let checkpoint = if kind == "gang" { 5 } else { 0 };
        let line = format!(
            "submit {id} {kind} tasks {tasks} team {team} run {run} spot {spot} together {together} apart {apart} \
             checkpoint {checkpoint} save 2 image img-{}",
            sim.random(1, 4)
        );
        let odd = match sim.random(0, 9) {
            0 => format!(" odd {MAX_ODD_RECORD_BYTES}"),
            1 => format!(" odd {}", sim.random(1_000, MAX_ODD_RECORD_BYTES)),
            _ => String::new(),
        };
        schedule_event(sim, time_s, line + &odd);
        if kind == "service" || sim.random(0, 9) == 0 {
            let at = time_s + sim.random(5, 80);
            schedule_event(sim, at, format!("cancel {id}"));
        }
        time_s += sim.random(2, 9);
    }
    job_count
}

/// Schedules overlapping faults, and cancellations during them.
fn schedule_faults(sim: &mut Simulation, duration_s: u64, jobs: u64) {
    let mut time_s = 20;
    while time_s < duration_s {
        // The second fault begins while the first lasts or at its end.
        let first_span = sim.random(5, 40);
        let (line, second_span) = (random_fault(sim, first_span), sim.random(1, 40));
        let second_at = time_s + sim.random(0, first_span);
        let second = random_fault(sim, second_span);
        schedule_event(sim, time_s, line);
        schedule_event(sim, second_at, second);
        // In half of the cases a third fault begins soon after the second.
        if sim.random(0, 1) == 0 {
            let (span, at) = (sim.random(1, 40), second_at + sim.random(0, 5));
            let third = random_fault(sim, span);
            schedule_event(sim, at, third);
        }
        if jobs > 0 && sim.random(0, 1) == 0 {
            let at = second_at + sim.random(0, 3);
            let id = sim.random(1, jobs);
            schedule_event(sim, at, format!("cancel req-{id:06}"));
        }
        time_s += sim.random(8, 45);
    }
}

/// Parameters of a random fault. All of them are drawn for every fault.
struct FaultParameters {
    /// Selector of the affected nodes.
    nodes: &'static str,
    /// Whether packets of a partition are held or lost.
    packets: &'static str,
    /// Seconds after which a crashed node restarts.
    restart_s: &'static str,
    /// Share of affected messages, in percent.
    percent: u64,
    /// Number of the job whose machine is affected.
    job: u64,
    /// Duration of the fault, in seconds.
    span: u64,
}

/// Draws a fault that lasts about `span` seconds, as a line of the scenario language.
fn random_fault(sim: &mut Simulation, span: u64) -> String {
    let fault = FaultParameters {
        nodes: ["leader", "leader", "follower", "followers", "0", "1", "2"]
            [sim.random(0, 6) as usize],
        packets: ["held", "lost"][sim.random(0, 1) as usize],
        restart_s: ["0.05", "0.2", "1", "6"][sim.random(0, 3) as usize],
        percent: [20, 60, 100][sim.random(0, 2) as usize],
        job: sim.random(1, MAX_FAULT_JOB),
        span,
    };
    match sim.random(0, 52) {
        kind @ 0..=24 => cluster_fault(sim, kind, &fault),
        kind => message_or_user_fault(sim, kind, &fault),
    }
}

/// Returns a fault of nodes, links, machines, the store or the cloud.
fn cluster_fault(sim: &mut Simulation, kind: u64, fault: &FaultParameters) -> String {
    let FaultParameters {
        nodes,
        packets,
        restart_s,
        percent,
        job,
        span,
    } = fault;
    match kind {
        0 => format!("crash {nodes} back 6"),
        1 => "crash all back 6".into(),
        2 => format!("cut {nodes} from state for {span} packets {packets}"),
        3 => format!("cut {nodes} from workers for {span} packets {packets}"),
        4 => format!("cut {nodes} from all for {span} packets {packets}"),
        5 => format!("outage {}", sim.random(2, 70)),
        6 => format!("hang any {span}"),
        7 => format!("hang of:req-{job:06} {span}"),
        8 => format!("take of:req-{job:06}"),
        9 => format!("notice of:req-{job:06} 10"),
        10 => format!(
            "lag {nodes} {}.{} for {span}",
            sim.random(0, 3),
            sim.random(1, 9)
        ),
        11 => format!("no_room {} for {span}", any_machine(sim)),
        12 => format!("no_sockets {nodes} for {span}"),
        13 => format!("freeze {nodes} for {span}"),
        14 => format!("crash {nodes} back {restart_s}"),
        15 => format!("crash all back {restart_s}"),
        16 => format!(
            "boots {} for {span}",
            ["0.02", "3"][sim.random(0, 1) as usize]
        ),
        17 => format!("duds {}", sim.random(1, 3)),
        18 => format!("old_lists for {span}"),
        19 | 20 => format!("refuse {nodes} for {span}"),
        21 => format!("cut {nodes} from state+peers for {span} packets {packets}"),
        22 => format!("cut {nodes} from peers for {span} packets {packets}"),
        _ => format!("late_writes {percent} for {span}"),
    }
}

/// Returns a fault of lost, late or repeated messages, or users' requests that race with other changes.
fn message_or_user_fault(sim: &mut Simulation, kind: u64, fault: &FaultParameters) -> String {
    let FaultParameters {
        percent, job, span, ..
    } = fault;
    match kind {
        25 => format!("lost_answers {percent} for {span}"),
        26 => format!("late_reports {percent} for {}", span * 3),
        27 => format!("deaf {} for {span}", any_machine(sim)),
        29 => format!(
            "slow_state {}.{} for {span}",
            sim.random(0, 2),
            sim.random(1, 9)
        ),
        30 | 31 => format!("close_looks for {}", 10 + span),
        32 | 33 => format!("cancel_at_end {percent} for {}", 10 + span),
        34 => format!("cancel_now {}", sim.random(1, 6)),
        35 | 36 => format!("cancel_now {} hang {span}", sim.random(1, 6)),
        37 => format!("odd_requests for {}", 10 + span),
        38 => format!("mute of:req-{job:06} for {span}"),
        39 => format!("wave mute 2 for {span}"),
        40 => format!(
            "late_reports {percent} for {span} next 0.{}",
            sim.random(0, 9)
        ),
        41 => format!("held_reports {percent} for 8 next {}", sim.random(0, 20)),
        42 => format!("hold_orders of:req-{job:06} for {span}"),
        43 => format!("hold_answers of:req-{job:06} for {}", sim.random(1, 8)),
        44 => format!("lost_renewals {percent} for {span}"),
        45..=47 => format!("late_commands {percent} for {}", span * 2),
        48..=50 => format!("repeat_commands {percent} for {}", span * 2),
        51 | 52 => {
            // An agent keeps the highest token that it has seen.
            let epoch = ["same", "next"][sim.random(0, 1) as usize];
            format!("reboot of:req-{job:06} epoch {epoch} token kept sequence kept")
        }
        _ => format!("deaf of:req-{job:06} for {span}"),
    }
}

/// Draws a machine selector: any machine, or one of the first.
fn any_machine(sim: &mut Simulation) -> &'static str {
    ["any", "m-000001", "m-000002"][sim.random(0, 2) as usize]
}

/// Executes a line of the scenario language at `at_s` seconds of virtual time.
fn schedule_event(sim: &mut Simulation, at_s: u64, line: String) {
    sim.at(Micros::from_secs(at_s), move |sim| {
        let words: Vec<&str> = line.split_whitespace().collect();
        sim.log(|| line.clone());
        inject(sim, &words);
    });
}
