//! What a controller tells its operators: leader, blocks, machines, jobs, teams, and why jobs wait.

use crate::node::Node;
use hopyoke_admission::RequestPriority;
use hopyoke_event_loop as runtime;
use hopyoke_scheduler::{HELD, MachinePhase, Resources};
use std::collections::BTreeMap;
use std::fmt::Write;

/// The status as text, one fact a line.
pub fn text(node: &Node) -> String {
    let mut out = String::new();
    let leader = node
        .leader
        .borrow()
        .clone()
        .unwrap_or_else(|| "none".into());
    let _ = writeln!(
        out,
        "node {} zone {}",
        node.settings.node, node.settings.zone
    );
    let _ = writeln!(
        out,
        "leader {leader} state_answers {}",
        node.state.answers()
    );
    let admission = node.admission.stats();
    let _ = writeln!(
        out,
        "door let_in {} refused {} line_s {:.0} rate {:.1} a second",
        admission.admitted,
        admission.rejected,
        admission.estimated_wait.as_secs_f64(),
        admission.rate
    );
    for (team, counts) in node
        .admission
        .team_counts()
        .into_iter()
        .filter(|(_, c)| c.admitted + c.rejected > 0)
    {
        let _ = writeln!(
            out,
            "door team {team} let_in {} refused {}",
            counts.admitted, counts.rejected
        );
    }
    for importance in RequestPriority::ALL {
        let (sent, held_back) = node.state.counts(importance);
        let _ = writeln!(
            out,
            "state requests {importance:?} sent {sent} held_back {held_back}"
        );
    }
    let (carried, not_carried) = node.heartbeat_relay.counts();
    let open = node.open.count();
    let _ = writeln!(
        out,
        "connections {open} of {} reports carried {carried} refused {not_carried}",
        node.most_connections()
    );
    let stale: u64 = node.peers.0.iter().map(|l| l.stale()).sum();
    let _ = writeln!(out, "mesh unknown {} stale {stale}", node.peers.refused());
    let confirmed = node.lease_support.confirmed.borrow();
    let _ = writeln!(out, "cancellations remembered {}", confirmed.len());
    let Some(leadership) = node.leadership() else {
        return out;
    };
    let scheduler = leadership.scheduler.borrow();
    let now = runtime::now();
    let (runs, classes, _, forgotten) = scheduler.learned_counts();
    let _ = writeln!(
        out,
        "learned classes {classes} forgotten {forgotten} runs_under_way {runs}"
    );
    for slow in scheduler.slow_machines() {
        let _ = writeln!(
            out,
            "slow machine {} factor {:.2} from {:.0} runs",
            slow.machine, slow.factor, slow.runs
        );
    }
    let (questions, reads) = leadership.replica.counts();
    let _ = writeln!(out, "polls from the replica {reads} questions {questions}");
    let _ = writeln!(
        out,
        "token {} entitled {} recovering {}",
        scheduler.token,
        leadership.lease_is_valid(),
        scheduler.is_reconciling()
    );
    for zone in &scheduler.cfg.zones {
        let n = scheduler
            .machines
            .values()
            .filter(|m| m.zone == *zone)
            .count();
        let _ = writeln!(out, "block {zone} holder {leader} machines {n}");
    }
    if let Some(until) = scheduler.held_until() {
        let _ = writeln!(out, "hours not staffed until {until}");
    }
    let mut used: BTreeMap<&str, Resources> = BTreeMap::new();
    for m in scheduler.machines.values() {
        let phase = match m.phase {
            MachinePhase::Booting => "booting",
            MachinePhase::Up => "up",
            MachinePhase::Lost => "lost",
        };
        let live = m.allocations().values().filter(|s| s.is_live()).count();
        let _ = writeln!(
            out,
            "machine {} type {} zone {} spot {} {phase} tasks {live} faulty {} returning {}",
            m.id, m.machine_type, m.zone, m.spot, m.faulty, m.deleting
        );
        for s in m.allocations().values().filter(|s| s.is_live()) {
            if let Some(spec) = &s.spec {
                let sum = used.entry(spec.team.as_str()).or_default();
                *sum = *sum + Resources::of_task(spec);
            }
        }
    }
    for t in &scheduler.cfg.teams {
        let u = used.get(t.name.as_str()).copied().unwrap_or_default();
        let _ = writeln!(
            out,
            "team {} cpus {} of {} gpus {} of {}",
            t.name, u.cpus, t.cpus_max, u.gpus, t.gpus_max
        );
    }
    for (id, j) in &scheduler.jobs {
        let unknown = j
            .done
            .missing(j.spec.tasks)
            .filter(|&i| scheduler.check(j, i) == hopyoke_scheduler::RestartDecision::Unknown);
        let _ = write!(
            out,
            "job {id} team {} tasks {} done {} placed {} running {} unknown {}",
            j.spec.team,
            j.spec.tasks,
            j.done.count(),
            j.places.len(),
            scheduler.running(id),
            unknown.count()
        );
        if let Ok(w) = scheduler.when_job(id, now) {
            let _ = write!(out, " ends_in {:.0} to {:.0} s", w.p50_s, w.p90_s);
        }
        let _ = match (j.waits_for, scheduler.held_until()) {
            ("", _) => writeln!(out),
            (HELD, Some(until)) => writeln!(out, " waits for {HELD} until {until}"),
            (why, _) => writeln!(out, " waits for {why}"),
        };
    }
    out
}
