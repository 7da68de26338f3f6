//! What the cloud gets wrong: boots that take far longer or hardly any time, and lists that are old, older
//! than the one before, or miss what is up.

use crate::World;
use hopyoke_protocol::cloud::{ListedMachine, ListedMachineState};
use hopyoke_types::Micros;
use std::collections::VecDeque;

/// Lists that are remembered.
const LISTS: usize = 16;

#[derive(Debug, Default)]
pub struct Cloud {
    /// Boots of machines rented until then take so many times as long.
    pub slow: Option<(f64, Micros)>,
    /// Until when a list may be any that was true of late.
    pub old_lists: Micros,
    /// What was there, newest last.
    seen: VecDeque<(Micros, Vec<ListedMachine>)>,
}

impl World {
    /// How long a boot takes that would take `boot`.
    pub fn boot_takes(&self, boot: Micros) -> Micros {
        match self.cloud.slow {
            Some((factor, until)) if self.now < until => Micros((boot.0 as f64 * factor) as u64),
            _ => boot,
        }
    }

    /// What the cloud answers: machines as they were, at least the lag ago, or at some time before that.
    pub fn cloud_list(&mut self) -> Vec<ListedMachine> {
        let now = self.now;
        let there = self.machines.values().map(|m| ListedMachine {
            id: m.id.clone(),
            address: None,
            machine_type: m.kind.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            state: if m.up {
                ListedMachineState::Running
            } else {
                ListedMachineState::Booting
            },
            age_s: (now - m.rented_at).as_secs_f64(),
        });
        let there: Vec<ListedMachine> = there.collect();
        let lag = self.cfg.list_lag;
        self.cloud.seen.push_back((now, there.clone()));
        if self.cloud.seen.len() > LISTS {
            self.cloud.seen.pop_front();
        }
        if now >= self.cloud.old_lists {
            // As it is, but for machines that are younger than the lag.
            return there
                .into_iter()
                .filter(|l| l.age_s >= lag.as_secs_f64())
                .collect();
        }
        let old: Vec<usize> = (0..self.cloud.seen.len())
            .filter(|i| now >= self.cloud.seen[*i].0 + lag)
            .collect();
        if old.is_empty() {
            return Vec::new();
        }
        let pick = self.random(0, old.len() as u64 - 1) as usize;
        self.cloud.seen[old[pick]].1.clone()
    }
}
