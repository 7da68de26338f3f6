//! Simulated cloud provider: creates, lists and deletes machines. Its faults are boots that are much slower or faster
//! than usual, and listings that are stale, older than the previous one or lack machines that are up.

use crate::Simulation;
use crate::agent::Agent;
use hopyoke_protocol::cloud::{ListedMachine, ListedMachineState};
use hopyoke_types::{MachineId, Micros};
use std::collections::VecDeque;

/// Number of recent listings from which a stale one is drawn.
const MAX_RECENT_LISTS: usize = 16;

/// Faults of the cloud and the listings that they draw on.
#[derive(Debug, Default)]
pub(crate) struct Cloud {
    /// Factor by which boots take longer, and until when. `None` if there was no such fault.
    pub(crate) slow_boots: Option<(f64, Micros)>,
    /// End of the period during which a request may return any recent listing.
    pub(crate) stale_lists_until: Micros,
    /// Recent listings with their times, newest last.
    recent_lists: VecDeque<(Micros, Vec<ListedMachine>)>,
}

impl Simulation {
    /// Returns how long a boot takes now that would take `boot` without faults.
    pub(crate) fn scaled_boot_time(&self, boot: Micros) -> Micros {
        match self.cloud.slow_boots {
            Some((factor, until)) if self.now < until => Micros((boot.0 as f64 * factor) as u64),
            _ => boot,
        }
    }

    /// Lists the machines. Usually the listing is current but lacks machines younger than the list lag; while listings
    /// are stale it is a random recent one that is at least as old as the lag.
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
        let lag = self.config.max_list_lag;
        self.cloud.recent_lists.push_back((now, machines.clone()));
        if self.cloud.recent_lists.len() > MAX_RECENT_LISTS {
            self.cloud.recent_lists.pop_front();
        }
        if now >= self.cloud.stale_lists_until {
            // New machines are listed only after the lag.
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

    /// Adds a machine that boots within `boot`. With `None` it never comes up.
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

    /// Removes a machine that was preempted or deleted, and returns its capacity.
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

    /// Creates machines for a scale-out request, as far as capacity allows. The request is idempotent: a repeated one
    /// returns the machines that were created for it before.
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
