//! Selectors of nodes and machines in scenarios, and durations of faults.

use super::parser::{Words, key_values, next_word, number, seconds};
use crate::Simulation;
use hopyoke_types::{JobId, MachineId, Micros};

/// Returns when a fault ends, by the pair `for SECONDS` of the line.
pub(super) fn fault_end(sim: &Simulation, words: &mut Words<'_>) -> Micros {
    sim.now + seconds(key_values(words)["for"])
}

/// Returns the duration of an event's fault. Returns zero if the event is not a lasting fault.
pub(super) fn duration_of(words: &[&str]) -> Micros {
    let after = |key: &str| {
        words
            .iter()
            .position(|word| *word == key)
            .and_then(|at| words.get(at + 1))
    };
    match words[0] {
        "submit" | "many" | "stream" | "cancel" => Micros::ZERO,
        "outage" => seconds(words[1]),
        "hang" => seconds(words[2]),
        _ => after("for")
            .or(after("back"))
            .or(after("hang"))
            .map_or(Micros::ZERO, |s| seconds(s)),
    }
}

/// Returns nodes by role or number: `all`, `leader`, `follower` (the first), `followers`, or a number from 0.
pub(super) fn nodes(sim: &Simulation, selector: &str) -> Vec<usize> {
    match selector {
        "all" => (0..sim.nodes.len()).collect(),
        "leader" => sim.leader().into_iter().collect(),
        "followers" => (0..sim.nodes.len())
            .filter(|node| sim.leader() != Some(*node))
            .collect(),
        "follower" => (0..sim.nodes.len())
            .find(|node| sim.leader() != Some(*node))
            .into_iter()
            .collect(),
        // Random days also name nodes that smaller clusters lack.
        n => vec![number(n) as usize % sim.nodes.len()],
    }
}

/// Returns the nodes that the next word selects.
pub(super) fn next_nodes(sim: &Simulation, words: &mut Words<'_>) -> Vec<usize> {
    nodes(sim, next_word(words))
}

/// Returns a machine by name, the first with a task of a job (`of:req-1`), or the first of all (`any`).
pub(super) fn machine(sim: &Simulation, selector: &str) -> Option<MachineId> {
    if let Some(id) = selector.strip_prefix("of:") {
        let id = JobId::new(id);
        return sim
            .machines
            .values()
            .find(|m| m.tasks.keys().any(|(t, _)| t.job == id))
            .map(|m| m.id.clone());
    }
    if selector == "any" {
        return sim.machines.keys().next().cloned();
    }
    Some(MachineId::new(selector))
}
