//! The cloud: machines come and go, and its faults: boots that take far longer or hardly any time, and listings
//! that are stale, older than the one before, or miss machines that are up.

use crate::Simulation;
use crate::agent::Agent;
use hopyoke_protocol::cloud::{ListedMachine, ListedMachineState};
use hopyoke_types::{MachineId, Micros};
use std::collections::VecDeque;

/// Listings that are remembered.
const REMEMBERED_LISTS: usize = 16;

/// Faults of the cloud.
#[derive(Debug, Default)]
pub(crate) struct Cloud {
    /// Until when boots take so many times as long.
    pub(crate) slow: Option<(f64, Micros)>,
    /// Until when a listing may be any that was true of late.
    pub(crate) stale_lists_until: Micros,
    /// Recent listings by time, newest last.
    recent: VecDeque<(Micros, Vec<ListedMachine>)>,
}

impl Simulation {
    /// How long a boot takes that would take `boot`.
    pub(crate) fn scaled_boot_time(&self, boot: Micros) -> Micros {
        match self.cloud.slow {
            Some((factor, until)) if self.now < until => Micros((boot.0 as f64 * factor) as u64),
            _ => boot,
        }
    }

    /// Lists the machines as they were, at least the list's lag ago, or at some time before that.
    pub(crate) fn cloud_list(&mut self) -> Vec<ListedMachine> {
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
            age_s: (now - m.created_at).as_secs_f64(),
        });
        let there: Vec<ListedMachine> = there.collect();
        let lag = self.config.max_list_lag;
        self.cloud.recent.push_back((now, there.clone()));
        if self.cloud.recent.len() > REMEMBERED_LISTS {
            self.cloud.recent.pop_front();
        }
        if now >= self.cloud.stale_lists_until {
            // As it is, but for machines that are younger than the lag.
            return there
                .into_iter()
                .filter(|l| l.age_s >= lag.as_secs_f64())
                .collect();
        }
        let old: Vec<usize> = (0..self.cloud.recent.len())
            .filter(|i| now >= self.cloud.recent[*i].0 + lag)
            .collect();
        if old.is_empty() {
            return Vec::new();
        }
        let pick = self.random(0, old.len() as u64 - 1) as usize;
        self.cloud.recent[old[pick]].1.clone()
    }

    /// Adds a machine that boots for `boot`, or never.
    pub fn add_machine(
        &mut self,
        kind: &str,
        zone: &str,
        spot: bool,
        boot: Option<Micros>,
    ) -> MachineId {
        let id = MachineId::new(&format!("m-{:06}", self.next_machine));
        self.next_machine += 1;
        let drift = self.random(0, 1000) as f64 / 1e6 - 0.0005;
        let w = Agent::new(id.clone(), kind, zone, spot, drift, self.now);
        self.machines.insert(id.clone(), w);
        if let Some(boot) = boot {
            let m = id.clone();
            self.after(boot, move |w| w.boot(&m));
        }
        id
    }

    /// The cloud takes a machine back, or deletes it.
    pub(crate) fn remove_machine(&mut self, id: &MachineId) {
        let Some(m) = self.machines.get(id) else {
            return;
        };
        *self
            .capacity
            .entry((m.kind.clone(), m.zone.clone(), m.spot))
            .or_default() += 1;
        let tasks: Vec<_> = m.tasks.keys().cloned().collect();
        self.machines.remove(id);
        for (task, attempt) in tasks {
            self.gang_lost(&task.job, attempt);
        }
    }

    /// Creates machines for a request, as many as there is capacity for; those of before, if it is repeated.
    pub(crate) fn scale_out(
        &mut self,
        request: &str,
        kind: &str,
        zone: &str,
        spot: bool,
        count: u32,
    ) -> Vec<MachineId> {
        if let Some(ids) = self.scale_outs.get(request) {
            return ids.clone();
        }
        let key = (kind.to_owned(), zone.to_owned(), spot);
        let free = self.capacity.get(&key).copied().unwrap_or(0).min(count);
        if free == 0 {
            return Vec::new();
        }
        if let Some(c) = self.capacity.get_mut(&key) {
            *c -= free;
        }
        let boot = Micros::from_secs_f64(self.machine_type(kind).boot_s);
        let ids: Vec<MachineId> = (0..free)
            .map(|_| {
                let fails = self.failed_boots_left > 0;
                self.failed_boots_left = self.failed_boots_left.saturating_sub(1);
                let spread = Micros(self.random(boot.0 * 6 / 10, boot.0 * 15 / 10));
                let takes = self.scaled_boot_time(spread);
                self.add_machine(kind, zone, spot, (!fails).then_some(takes))
            })
            .collect();
        self.scale_outs.insert(request.to_owned(), ids.clone());
        ids
    }
}
