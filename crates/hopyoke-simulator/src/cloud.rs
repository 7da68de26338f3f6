//! The cloud: machines come and go, and its faults: boots that take far longer or hardly any time, and listings
//! that are stale, older than the one before, or miss machines that are up.

use crate::Simulation;
use crate::agent::Agent;
use hopyoke_protocol::cloud::{ListedMachine, ListedMachineState};
use hopyoke_types::{MachineId, Micros};
use std::collections::VecDeque;

/// Listings that are remembered.
const MAX_RECENT_LISTS: usize = 16;

/// Faults of the cloud.
#[derive(Debug, Default)]
pub(crate) struct Cloud {
    /// Until when boots take so many times as long.
    pub(crate) slow_boots: Option<(f64, Micros)>,
    /// Until when a listing may be any that was true of late.
    pub(crate) stale_lists_until: Micros,
    /// Recent listings by time, newest last.
    recent_lists: VecDeque<(Micros, Vec<ListedMachine>)>,
}

impl Simulation {
    /// How long a boot takes that would take `boot`.
    pub(crate) fn scaled_boot_time(&self, boot: Micros) -> Micros {
        match self.cloud.slow_boots {
            Some((factor, until)) if self.now < until => Micros((boot.0 as f64 * factor) as u64),
            _ => boot,
        }
    }

    /// Lists the machines as they were, at least the list's lag ago, or at some time before that.
    pub(crate) fn list_machines(&mut self) -> Vec<ListedMachine> {
        let now = self.now;
        let machines = self.machines.values().map(|m| ListedMachine {
            id: m.id.clone(),
            address: None,
            machine_type: m.machine_type.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            state: if m.up {
                ListedMachineState::Running
            } else {
                ListedMachineState::Booting
            },
            age_s: (now - m.created_at).as_secs_f64(),
        });
        let machines: Vec<ListedMachine> = machines.collect();
        let lag = self.config.list_lag;
        self.cloud.recent_lists.push_back((now, machines.clone()));
        if self.cloud.recent_lists.len() > MAX_RECENT_LISTS {
            self.cloud.recent_lists.pop_front();
        }
        if now >= self.cloud.stale_lists_until {
            // As it is, but for machines that are younger than the lag.
            return machines
                .into_iter()
                .filter(|l| l.age_s >= lag.as_secs_f64())
                .collect();
        }
        let visible: Vec<usize> = (0..self.cloud.recent_lists.len())
            .filter(|i| now >= self.cloud.recent_lists[*i].0 + lag)
            .collect();
        if visible.is_empty() {
            return Vec::new();
        }
        let pick = self.random(0, visible.len() as u64 - 1) as usize;
        self.cloud.recent_lists[visible[pick]].1.clone()
    }

    /// Adds a machine that boots for `boot`, or never.
    pub fn add_machine(
        &mut self,
        machine_type: &str,
        zone: &str,
        spot: bool,
        boot: Option<Micros>,
    ) -> MachineId {
        let id = MachineId::new(&format!("m-{:06}", self.next_machine));
        self.next_machine += 1;
        let clock_drift = self.random(0, 1000) as f64 / 1e6 - 0.0005;
        let agent = Agent::new(id.clone(), machine_type, zone, spot, clock_drift, self.now);
        self.machines.insert(id.clone(), agent);
        if let Some(boot) = boot {
            let m = id.clone();
            self.after(boot, move |sim| sim.boot(&m));
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
            .entry((m.machine_type.clone(), m.zone.clone(), m.spot))
            .or_default() += 1;
        let tasks: Vec<_> = m.tasks.keys().cloned().collect();
        self.machines.remove(id);
        for (task, attempt) in tasks {
            self.end_gang_on_member_loss(&task.job, attempt);
        }
    }

    /// Creates machines for a request, as many as there is capacity for; those of before, if it is repeated.
    pub(crate) fn scale_out(
        &mut self,
        request: &str,
        machine_type: &str,
        zone: &str,
        spot: bool,
        count: u32,
    ) -> Vec<MachineId> {
        if let Some(ids) = self.scale_outs.get(request) {
            return ids.clone();
        }
        let key = (machine_type.to_owned(), zone.to_owned(), spot);
        let created_count = self.capacity.get(&key).copied().unwrap_or(0).min(count);
        if created_count == 0 {
            return Vec::new();
        }
        if let Some(c) = self.capacity.get_mut(&key) {
            *c -= created_count;
        }
        let boot = Micros::from_secs_f64(self.machine_type(machine_type).boot_s);
        let ids: Vec<MachineId> = (0..created_count)
            .map(|_| {
                let fails = self.failed_boots_left > 0;
                self.failed_boots_left = self.failed_boots_left.saturating_sub(1);
                let boot_time = Micros(self.random(boot.0 * 6 / 10, boot.0 * 15 / 10));
                let scaled = self.scaled_boot_time(boot_time);
                self.add_machine(machine_type, zone, spot, (!fails).then_some(scaled))
            })
            .collect();
        self.scale_outs.insert(request.to_owned(), ids.clone());
        ids
    }
}
