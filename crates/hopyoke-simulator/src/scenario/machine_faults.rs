//! Faults of machines and of their agents' links.

use super::parser::{Words, key_values, next_word, number, seconds};
use super::selectors::{fault_end, machine};
use crate::Simulation;
use crate::agent::{Agent, AgentMemory, RememberedEpoch};
use hopyoke_types::{MachineId, Micros};

/// Injects a machine fault. Returns false if `name` is not one.
pub(super) fn event(sim: &mut Simulation, name: &str, words: &mut Words<'_>) -> bool {
    match name {
        "wave" => inject_on_many(sim, words),
        "deaf" | "mute" | "hold_orders" | "hold_answers" => inject_link_fault(sim, name, words),
        "no_room" => {
            let id = machine(sim, next_word(words));
            let until = fault_end(sim, words);
            sim.connections_refused_until
                .extend(id.map(|id| (id, until)));
        }
        "hang" => {
            let (id, span) = (machine(sim, next_word(words)), seconds(next_word(words)));
            let until = sim.now + span;
            if let Some(agent) = agent_mut(sim, id) {
                agent.hangs_until = until;
            }
        }
        "slow" => {
            let (id, factor) = (machine(sim, next_word(words)), number(next_word(words)));
            if let Some(agent) = agent_mut(sim, id) {
                agent.slowdown = factor;
            }
        }
        "sick" => {
            let id = machine(sim, next_word(words));
            if let Some(agent) = agent_mut(sim, id) {
                agent.is_faulty = true;
            }
        }
        "reboot" => {
            let id = machine(sim, next_word(words));
            let memory = agent_memory(words);
            if let Some(id) = id {
                sim.reboot(&id, &memory);
            }
        }
        "take" => {
            if let Some(id) = machine(sim, next_word(words)) {
                sim.remove_machine(&id);
            }
        }
        "notice" => {
            let (id, span) = (machine(sim, next_word(words)), seconds(next_word(words)));
            if let Some(id) = id {
                announce_preemption(sim, id, span);
            }
        }
        _ => return false,
    }
    true
}

/// `epoch same|next|first token kept|lost sequence kept|lost`: what an agent remembers of the time before a restart.
fn agent_memory(words: &mut Words<'_>) -> AgentMemory {
    let pairs = key_values(words);
    AgentMemory {
        epoch: match pairs["epoch"] {
            "same" => RememberedEpoch::Same,
            "next" => RememberedEpoch::Next,
            _ => RememberedEpoch::First,
        },
        token: pairs["token"] == "kept",
        sequence: pairs["sequence"] == "kept",
    }
}

/// Returns the agent of a machine. Returns `None` if there is no such machine.
fn agent_mut(sim: &mut Simulation, id: Option<MachineId>) -> Option<&mut Agent> {
    id.and_then(|id| sim.machines.get_mut(&id))
}

/// Announces that the cloud takes a spot machine back after `span`, and removes it then.
fn announce_preemption(sim: &mut Simulation, id: MachineId, span: Micros) {
    let until = sim.now + span;
    if let Some(agent) = sim.machines.get_mut(&id) {
        agent.preemption_at = Some(until);
    }
    sim.schedule_heartbeat(&id);
    sim.at(until, move |sim| sim.remove_machine(&id));
}

/// `deaf|mute|hold_orders|hold_answers MACHINE for SECONDS`: messages to or from one machine are lost or held.
fn inject_link_fault(sim: &mut Simulation, name: &str, words: &mut Words<'_>) {
    let id = machine(sim, next_word(words));
    let until = fault_end(sim, words);
    if let Some(agent) = agent_mut(sim, id) {
        *match name {
            "deaf" => &mut agent.responses_lost_until,
            "mute" => &mut agent.outbound_lost_until,
            "hold_orders" => &mut agent.commands_held_until,
            _ => &mut agent.responses_held_until,
        } = until;
    }
}

/// `wave hang|deaf|mute|spot|lost COUNT [for SECONDS]`: the same fault on many machines at the same time.
fn inject_on_many(sim: &mut Simulation, words: &mut Words<'_>) {
    let (fault, n) = (next_word(words), number(next_word(words)) as usize);
    let until = sim.now + seconds(key_values(words).get("for").copied().unwrap_or("0"));
    let up = sim
        .machines
        .values()
        .filter(|m| m.up && (fault != "spot" || m.spot));
    // Every third machine, so that the fault spreads evenly over the cluster.
    let affected: Vec<MachineId> = up.map(|m| m.id.clone()).step_by(3).take(n).collect();
    for id in affected {
        match sim.machines.get_mut(&id) {
            Some(m) if fault == "hang" => m.hangs_until = until,
            Some(m) if fault == "deaf" => m.responses_lost_until = until,
            Some(m) if fault == "mute" => m.outbound_lost_until = until,
            _ => sim.remove_machine(&id),
        }
    }
}
