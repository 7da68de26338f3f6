//! Faults of the key-value store, of the cloud, and of messages that are lost, late or repeated.

use super::parser::{Words, key_values, next_word, number, seconds};
use super::selectors::{fault_end, nodes};
use crate::Simulation;
use crate::kv_store::FaultWindow;

/// Injects a fault of the store, the cloud or messages. Returns false if `name` is not one.
pub(super) fn event(sim: &mut Simulation, name: &str, words: &mut Words<'_>) -> bool {
    match name {
        "boots" => {
            let factor = number(next_word(words));
            sim.cloud.slow_boots = Some((factor, fault_end(sim, words)));
        }
        "duds" => sim.failed_boots_left = number(next_word(words)) as u32,
        "old_lists" => sim.cloud.stale_lists_until = fault_end(sim, words),
        "slow_state" => {
            let delay = seconds(next_word(words));
            sim.kv_store.request_delay = (delay, fault_end(sim, words));
        }
        "refuse" => {
            let selector = next_word(words);
            let until = fault_end(sim, words);
            for node in nodes(sim, selector) {
                sim.kv_store.rejected_nodes.insert(node, until);
            }
        }
        "reject_put" => {
            let prefix = next_word(words).to_owned();
            let until = fault_end(sim, words);
            sim.kv_store.invalid_prefixes.insert(prefix, until);
        }
        "outage" => sim.begin_outage(seconds(next_word(words))),
        "lost_answers" | "lost_renewals" | "late_writes" | "late_reports" | "held_reports"
        | "late_commands" => open_fault_window(sim, name, words),
        "repeat_commands" => {
            let percent = number(next_word(words)) as u64;
            let until = fault_end(sim, words);
            sim.repeat_executed_pushes(percent, until);
        }
        _ => return false,
    }
    true
}

/// `NAME PERCENT for SECONDS [next SECONDS]`: opens the window in which a fault affects that share of a kind of message;
/// with `next`, heartbeats arrive that many seconds after the next election.
fn open_fault_window(sim: &mut Simulation, name: &str, words: &mut Words<'_>) {
    let percent = number(next_word(words)) as u64;
    let pairs = key_values(words);
    let window = FaultWindow {
        percent,
        until: sim.now + seconds(pairs["for"]),
    };
    let next = pairs.get("next").map(|s| seconds(s));
    let slot = match name {
        "lost_answers" => &mut sim.kv_store.lost_responses,
        "lost_renewals" => &mut sim.kv_store.lost_renewals,
        "late_writes" => &mut sim.kv_store.delayed_writes,
        "late_commands" => &mut sim.delayed_commands,
        "held_reports" => &mut sim.heartbeats_for_next_leader.held,
        _ if next.is_some() => &mut sim.heartbeats_for_next_leader.copied,
        _ => &mut sim.duplicated_heartbeats,
    };
    *slot = window;
    sim.heartbeats_for_next_leader.after = next.unwrap_or(sim.heartbeats_for_next_leader.after);
}
