//! The cloud's list of instances.

use crate::Scheduler;
use crate::ledger::Machine;
use hopyoke_protocol::cloud::{ListedMachine, ListedMachineState};
use hopyoke_types::{MachineId, Micros};
use std::collections::{BTreeMap, BTreeSet};
use tracing::info;

/// What the cloud has said of instances.
#[derive(Debug, Default)]
pub(crate) struct CloudInventory {
    /// Machines whose deletion the cloud confirmed, and when.
    pub(crate) deleted: BTreeMap<MachineId, Micros>,
    /// What the cloud listed last; `None`: nothing yet.
    pub(crate) listed: Option<BTreeSet<MachineId>>,
    /// Deletions under way.
    pub(crate) deletions_in_flight: usize,
}

impl Scheduler {
    /// The cloud's list of instances. It lags, so it never proves that a machine is not there.
    pub fn instances_listed(&mut self, list: &[ListedMachine], now: Micros) {
        self.inventory.listed = Some(list.iter().map(|l| l.id.clone()).collect());
        for l in list {
            if self.inventory.deleted.contains_key(&l.id) {
                continue;
            }
            let age = Micros::from_secs_f64(l.age_s);
            let known = self.machines.contains_key(&l.id);
            let m = self.machines.entry(l.id.clone()).or_insert_with(|| {
                Machine::new(
                    l.id.clone(),
                    l.machine_type.clone(),
                    l.zone.clone(),
                    l.spot,
                    now,
                )
            });
            if !known {
                m.requested_at = now - age;
                m.is_request_time_known = true;
                self.placement_schedule.request();
                info!(machine = %l.id, zone = %l.zone, spot = l.spot, "found an unknown machine");
            }
            if l.state == ListedMachineState::Failed && !m.deleting {
                // It stopped by itself; the deletion proves it.
                m.deleting = true;
                self.placement_schedule.request();
                info!(machine = %l.id, zone = %l.zone, "machine failed");
            }
        }
        // A list can be twice its lag old, and a held-back heartbeat minutes: neither may bring a
        // deleted machine back as alive.
        let remember = Micros::from_secs(600).max(self.cfg.max_list_lag.times(8));
        self.inventory.deleted.retain(|_, at| now < *at + remember);
    }
}
