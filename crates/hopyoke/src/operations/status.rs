//! The status page of a controller: leader, shards, machines, teams, jobs, and why jobs wait.

use crate::node::{Leadership, Node};
use hopyoke_admission::RequestPriority;
use hopyoke_consistency::latency::RequestKind;
use hopyoke_event_loop as runtime;
use hopyoke_scheduler::{MachinePhase, Resources, RestartDecision, Scheduler, WaitReason};
use hopyoke_types::Micros;
use std::collections::BTreeMap;
use std::fmt::{self, Write};

/// Renders the status as text, one item per line.
pub(crate) fn render(node: &Node) -> String {
    let mut out = String::new();
    // Writing to a string can't fail.
    let _ = write_status(&mut out, node);
    out
}

fn write_status(out: &mut String, node: &Node) -> fmt::Result {
    let leader = node
        .leader
        .borrow()
        .clone()
        .unwrap_or_else(|| "none".into());
    write_node(out, node, &leader)?;
    let Some(leadership) = node.leadership() else {
        return Ok(());
    };
    let scheduler = leadership.scheduler.borrow();
    let now = runtime::now();
    write_leader_state(out, &leadership, &scheduler)?;
    write_shards(out, &scheduler, &leader)?;
    let usage = write_machines(out, &scheduler)?;
    write_teams(out, &scheduler, &usage)?;
    write_rejected_writes(out, &scheduler, now)?;
    write_jobs(out, &scheduler, now)
}

/// Writes what every node knows about itself, whether or not it leads.
fn write_node(out: &mut String, node: &Node, leader: &str) -> fmt::Result {
    writeln!(
        out,
        "node {} zone {}",
        node.settings.node, node.settings.zone
    )?;
    writeln!(
        out,
        "leader {leader} state_answers {}",
        node.store.is_responding()
    )?;
    writeln!(out, "candidacy {}", node.candidacy.borrow())?;
    write_store_latency(out, node)?;
    write_admission(out, node)?;
    for priority in RequestPriority::ALL {
        let (sent, held_back) = node.store.request_counts(priority);
        writeln!(
            out,
            "state requests {priority:?} sent {sent} held_back {held_back} timed_out {}",
            node.store.timeouts.timeout_count(priority)
        )?;
    }
    let (relayed, refused) = node.heartbeat_relay.counts();
    let open = node.open_connections.count();
    writeln!(
        out,
        "connections {open} of {} reports carried {relayed} refused {refused}",
        node.max_open_connections()
    )?;
    let stale: u64 = node.peers.all().iter().map(|p| p.stale_messages()).sum();
    writeln!(
        out,
        "mesh unknown {} stale {stale}",
        node.peers.unknown_sender_messages()
    )?;
    let cancellation_log = node.lease_support.cancellation_log.borrow();
    writeln!(out, "cancellations remembered {}", cancellation_log.len())
}

/// Writes the latency of the key-value store by kind of request, and the current timeouts of critical requests.
fn write_store_latency(out: &mut String, node: &Node) -> fmt::Result {
    let timeouts = &node.store.timeouts;
    writeln!(out, "state slow {}", timeouts.is_slow())?;
    for kind in RequestKind::ALL {
        let latency = timeouts.smoothed_latency(kind);
        let latency = latency.map_or("unknown".into(), |l| format!("{:.3} s", l.as_secs_f64()));
        let timeout = timeouts.timeout(kind, RequestPriority::Critical);
        writeln!(
            out,
            "state latency {kind:?} {latency} timeout {:.3} s",
            timeout.as_secs_f64()
        )?;
    }
    Ok(())
}

/// Writes the counters of admission control, in total and by team.
fn write_admission(out: &mut String, node: &Node) -> fmt::Result {
    let admission = node.admission.stats();
    writeln!(
        out,
        "door let_in {} refused {} line_s {:.0} rate {:.1} a second",
        admission.admitted,
        admission.rejected,
        admission.estimated_wait.as_secs_f64(),
        admission.rate
    )?;
    for (team, counts) in node.admission.team_counts() {
        if counts.admitted + counts.rejected > 0 {
            writeln!(
                out,
                "door team {team} let_in {} refused {}",
                counts.admitted, counts.rejected
            )?;
        }
    }
    Ok(())
}

/// Writes the learned run times, the reads served by the leader, and the state of its term.
fn write_leader_state(
    out: &mut String,
    leadership: &Leadership,
    scheduler: &Scheduler,
) -> fmt::Result {
    let (runs, classes, _, evicted) = scheduler.learned_counts();
    writeln!(
        out,
        "learned classes {classes} forgotten {evicted} runs_under_way {runs}"
    )?;
    for slow in scheduler.slow_machines() {
        writeln!(
            out,
            "slow machine {} factor {:.2} from {:.0} runs",
            slow.machine, slow.factor, slow.runs
        )?;
    }
    let (queries, reads) = leadership.waiting_reads.counts();
    writeln!(out, "polls from the replica {reads} questions {queries}")?;
    writeln!(
        out,
        "token {} entitled {} recovering {}",
        scheduler.token,
        leadership.lease_is_valid(),
        scheduler.is_reconciling()
    )
}

/// Writes the shards, one per zone, all of which the leader holds, and whether held work waits for staffed hours.
fn write_shards(out: &mut String, scheduler: &Scheduler, leader: &str) -> fmt::Result {
    for zone in &scheduler.cfg.zones {
        let machines = scheduler
            .machines
            .values()
            .filter(|m| m.zone == *zone)
            .count();
        writeln!(out, "block {zone} holder {leader} machines {machines}")?;
    }
    if let Some(until) = scheduler.held_until() {
        writeln!(out, "hours not staffed until {until}")?;
    }
    Ok(())
}

/// Writes the machines. Returns the resources in use by team.
fn write_machines<'a>(
    out: &mut String,
    scheduler: &'a Scheduler,
) -> Result<BTreeMap<&'a str, Resources>, fmt::Error> {
    let mut usage: BTreeMap<&str, Resources> = BTreeMap::new();
    for machine in scheduler.machines.values() {
        let phase = match machine.phase {
            MachinePhase::Provisioning => "booting",
            MachinePhase::Up => "up",
            MachinePhase::Lost => "lost",
        };
        let live = || machine.allocations().values().filter(|a| a.is_live());
        writeln!(
            out,
            "machine {} type {} zone {} spot {} {phase} tasks {} faulty {} returning {}",
            machine.id,
            machine.machine_type,
            machine.zone,
            machine.spot,
            live().count(),
            machine.faulty,
            machine.deleting
        )?;
        for spec in live().filter_map(|a| a.spec.as_ref()) {
            let sum = usage.entry(spec.team.as_str()).or_default();
            *sum = *sum + Resources::of_task(spec);
        }
    }
    Ok(usage)
}

/// Writes each team's resource usage and quota.
fn write_teams(
    out: &mut String,
    scheduler: &Scheduler,
    usage: &BTreeMap<&str, Resources>,
) -> fmt::Result {
    for team in &scheduler.cfg.teams {
        let usage = usage.get(team.name.as_str()).copied().unwrap_or_default();
        writeln!(
            out,
            "team {} cpus {} of {} gpus {} of {}",
            team.name, usage.cpus, team.cpus_max, usage.gpus, team.gpus_max
        )?;
    }
    Ok(())
}

/// Writes the writes that the key-value store rejects as invalid, with the time until the next attempt.
fn write_rejected_writes(out: &mut String, scheduler: &Scheduler, now: Micros) -> fmt::Result {
    for (write, rejection) in scheduler.rejected_writes() {
        writeln!(
            out,
            "rejected {write} bytes {} times {} retry_in {:.0} s",
            rejection.bytes,
            rejection.count,
            (rejection.retry_at - now).as_secs_f64()
        )?;
    }
    Ok(())
}

/// Writes the unfinished jobs, with the estimated time to their end and why they wait.
fn write_jobs(out: &mut String, scheduler: &Scheduler, now: Micros) -> fmt::Result {
    for (id, job) in &scheduler.jobs {
        let tasks_of_unknown_outcome = job
            .done
            .missing(job.spec.tasks)
            .filter(|&task| scheduler.restart_decision(job, task) == RestartDecision::Unknown);
        write!(
            out,
            "job {id} team {} tasks {} done {} placed {} running {} unknown {}",
            job.spec.team,
            job.spec.tasks,
            job.done.count(),
            job.attempts.len(),
            scheduler.running_tasks(id),
            tasks_of_unknown_outcome.count()
        )?;
        if let Ok(estimate) = scheduler.estimate_job_end(id, now) {
            write!(
                out,
                " ends_in {:.0} to {:.0} s",
                estimate.p50_s, estimate.p90_s
            )?;
        }
        match (job.wait_reason, scheduler.held_until()) {
            (None, _) => writeln!(out)?,
            (Some(WaitReason::StaffedHours), Some(until)) => {
                writeln!(out, " waits for {} until {until}", WaitReason::StaffedHours)?;
            }
            (Some(reason), _) => writeln!(out, " waits for {reason}")?,
        }
    }
    Ok(())
}
