//! Faults of nodes, and of the network between nodes, agents, store and cloud.

use super::parser::{Words, key_values, next_word, seconds};
use super::selectors::{fault_end, next_nodes, nodes};
use crate::{DeliveryDelay, Host, NetworkPartition, Simulation};
use std::collections::BTreeMap;

/// Injects a fault of nodes or of the network. Returns false if `name` is not one.
pub(super) fn event(sim: &mut Simulation, name: &str, words: &mut Words<'_>) -> bool {
    match name {
        "crash" => {
            let selector = next_word(words);
            let restart_delay = seconds(key_values(words).get("back").copied().unwrap_or("6"));
            for node in nodes(sim, selector) {
                sim.crash_node(node, restart_delay);
            }
        }
        "give_up" => {
            for node in next_nodes(sim, words) {
                sim.step_down(node);
            }
        }
        "cut" => partition_nodes(sim, words),
        "cut_zone" => {
            let name = next_word(words);
            let pairs = key_values(words);
            let zone = sim.config.zones.iter().position(|z| z == name);
            let until = sim.now + seconds(pairs["for"]);
            sim.partition_zone(zone.expect("a known zone"), until, has_held_packets(&pairs));
        }
        "lag" => {
            let (selector, delay) = (next_word(words), seconds(next_word(words)));
            let until = fault_end(sim, words);
            for node in nodes(sim, selector) {
                sim.delivery_delays
                    .push(DeliveryDelay { node, delay, until });
            }
        }
        "freeze" => {
            let selector = next_word(words);
            let until = fault_end(sim, words);
            for node in nodes(sim, selector) {
                sim.paused_nodes.insert(node, until);
            }
        }
        "no_sockets" => {
            let selector = next_word(words);
            let until = fault_end(sim, words);
            for node in nodes(sim, selector) {
                sim.sockets_exhausted_until.insert(node, until);
            }
        }
        _ => return false,
    }
    true
}

/// Returns whether packets of a partition are delivered at its end instead of lost.
fn has_held_packets(pairs: &BTreeMap<&str, &str>) -> bool {
    pairs.get("packets") == Some(&"held")
}

/// `cut NODES from PEERS[+PEERS ...] for SECONDS [packets held]`.
fn partition_nodes(sim: &mut Simulation, words: &mut Words<'_>) {
    let selector = next_word(words);
    let pairs = key_values(words);
    let peers = || (0..sim.nodes.len()).map(Host::Node);
    let hosts = |name| match name {
        "state" => vec![Host::KvStore],
        "workers" => vec![Host::Agents],
        "cloud" => vec![Host::Cloud],
        "peers" => peers().collect(),
        _ => [Host::KvStore, Host::Agents, Host::Cloud]
            .into_iter()
            .chain(peers())
            .collect(),
    };
    let unreachable: Vec<Host> = pairs["from"].split('+').flat_map(hosts).collect();
    let until = sim.now + seconds(pairs["for"]);
    let holds_packets = has_held_packets(&pairs);
    for node in nodes(sim, selector) {
        sim.partitions.push(NetworkPartition {
            node,
            unreachable: unreachable.clone(),
            until,
            holds_packets,
        });
    }
}
