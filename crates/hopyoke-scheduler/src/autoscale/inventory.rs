//! Instances as listed by the cloud.

use crate::Scheduler;
use crate::ledger::Machine;
use hopyoke_protocol::cloud::{ListedMachine, ListedMachineState};
use hopyoke_types::{MachineId, Micros};
use std::collections::{BTreeMap, BTreeSet};
use tracing::info;

/// Instances as reported by the cloud.
#[derive(Debug, Default)]
pub(crate) struct CloudInventory {
    /// Machines whose deletion the cloud confirmed, with the time of the confirmation.
    pub(crate) deleted: BTreeMap<MachineId, Micros>,
    /// Machines in the latest list. `None` until the first list arrives.
    pub(crate) listed: Option<BTreeSet<MachineId>>,
    /// Number of deletion requests in flight.
    pub(crate) deletions_in_flight: usize,
}

impl Scheduler {
    /// Adds machines from the cloud's list of instances. The list may be stale, so a missing machine is not
    /// taken to be gone.
    pub fn instances_listed(&mut self, list: &[ListedMachine], now: Micros) {
        self.inventory.listed = Some(list.iter().map(|instance| instance.id.clone()).collect());
        for instance in list {
            if self.inventory.deleted.contains_key(&instance.id) {
                continue;
            }
            let age = Micros::from_secs_f64(instance.age_s);
            let is_known = self.machines.contains_key(&instance.id);
            let m = self.machines.entry(instance.id.clone()).or_insert_with(|| {
                Machine::new(
                    instance.id.clone(),
                    instance.machine_type.clone(),
                    instance.zone.clone(),
                    instance.spot,
                    self.token,
                    now,
                )
            });
            if !is_known {
                m.requested_at = now - age;
                m.is_request_time_known = true;
                self.placement_schedule.request();
                info!(machine = %instance.id, zone = %instance.zone, spot = instance.spot, "unknown machine found in the cloud's list");
            }
            if instance.state == ListedMachineState::Failed && !m.deleting {
                // The instance has stopped, but only a confirmed deletion proves that its tasks are gone.
                m.deleting = true;
                self.placement_schedule.request();
                info!(machine = %instance.id, zone = %instance.zone, "cloud lists machine as failed: deleting it");
            }
        }
        // A list may be as old as twice the maximum lag, and a delayed heartbeat minutes old. Neither may
        // add a deleted machine again.
        let retention = Micros::from_secs(600).max(self.cfg.max_list_lag.times(8));
        self.inventory.deleted.retain(|_, at| now < *at + retention);
    }
}
