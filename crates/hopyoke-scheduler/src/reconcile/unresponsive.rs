//! Machines without heartbeats: partitioned zones, lease expiry, and deletion of unresponsive machines.

use crate::Scheduler;
use crate::ledger::{Machine, MachinePhase};
use hopyoke_types::{MachineId, Micros};
use tracing::{info, warn};

/// A probe without an answer for this long counts as failed if nearly all other machines have answered.
/// Waiting for the full timeout would delay the end of reconciliation.
const PROBE_TIMEOUT: Micros = Micros::from_millis(1_200);

/// Whether this node can receive the heartbeats that are sent to it.
#[derive(Debug, Default)]
pub(crate) struct ReceiveHealth {
    /// Until then missing heartbeats do not count against machines.
    overloaded_until: Micros,
    /// When the latest heartbeat of any machine was received.
    last_heartbeat_at: Micros,
    /// Until then machines have time to find this node again after a period without any heartbeats.
    contact_settled_at: Micros,
}

impl ReceiveHealth {
    /// Creates the state of a leader elected at `now`.
    pub(crate) fn for_new_leader(now: Micros) -> ReceiveHealth {
        ReceiveHealth {
            last_heartbeat_at: now,
            ..ReceiveHealth::default()
        }
    }

    /// Records the receipt of a heartbeat. If it ends a period without heartbeats from any machine, this
    /// node was partitioned, and the silence of the other machines dates from that period. Guards against
    /// deleting machines that are about to report (scenario unlisted_machines_kept_any_order).
    pub(crate) fn heartbeat_received(&mut self, heartbeat_interval: Micros, now: Micros) {
        let two_intervals = heartbeat_interval.times(2);
        if now > self.last_heartbeat_at + two_intervals {
            self.contact_settled_at = now + two_intervals;
        }
        self.last_heartbeat_at = now;
    }

    fn is_contact_settled(&self, now: Micros) -> bool {
        now >= self.contact_settled_at
    }

    pub(crate) fn is_overloaded(&self, now: Micros) -> bool {
        now < self.overloaded_until
    }
}

/// Zones whose machines mostly stopped reporting together, by index into the list of zones in the settings;
/// the last entry is for unknown zones.
#[derive(Debug, Default)]
pub(crate) struct PartitionedZones(Vec<bool>);

impl PartitionedZones {
    pub(crate) fn contains(&self, zone_index: usize) -> bool {
        self.0.get(zone_index).copied().unwrap_or(false)
    }
}

/// Evidence from the fleet's heartbeats on why some are missing.
struct FleetReachability {
    /// Most machines report, so the silence of others is not caused by this node.
    most_report: bool,
    /// This node can't receive all heartbeats that are sent to it.
    is_overloaded: bool,
    /// Few machines are unreconciled and all of them failed their probes. They delay the whole fleet, so
    /// they are deleted. If there were many, they might be partitioned or hang, and come back.
    only_few_unreconciled: bool,
}

impl Scheduler {
    /// Records that this node can't receive all heartbeats, for lack of CPU time or connections. Until two
    /// heartbeat intervals after the last call no machine is deleted for missing heartbeats, and none is
    /// requested to replace it. Guards against deleting and replacing the fleet because the leader is
    /// overloaded, as seen with four to six times the usual number of machines.
    pub fn set_receive_overloaded(&mut self, now: Micros) {
        if now >= self.receive_health.overloaded_until {
            info!(
                machines = self.machines.len(),
                "node overloaded: not all heartbeats can be received"
            );
        }
        self.receive_health.overloaded_until = now + self.cfg.heartbeat_interval.times(2);
    }

    pub(crate) fn is_receive_overloaded(&self, now: Micros) -> bool {
        self.receive_health.is_overloaded(now)
    }

    /// Detects partitioned zones: those in which at least half of the machines stopped reporting while
    /// another zone reports. Their machines will come back, and new ones requested there could not report
    /// either.
    pub(crate) fn detect_partitioned_zones(&mut self, now: Micros) {
        let zones = self.cfg.zones.len() + 1;
        let silent_after = self.cfg.heartbeat_interval.times(2) + Micros::from_secs(1);
        let mut zone_counts = vec![(0usize, 0usize); zones];
        for m in self
            .machines
            .values()
            .filter(|m| m.is_registered && !m.deleting)
        {
            let since = m.last_seen.max(self.resumed_at);
            let (all, silent) = &mut zone_counts[self.cfg.zone_index(&m.zone)];
            *all += 1;
            *silent += usize::from(m.phase == MachinePhase::Lost || now >= since + silent_after);
        }
        // If no zone reports, this node is the one that is partitioned.
        let some_zone_reports = zone_counts
            .iter()
            .any(|(all, silent)| *all > 0 && silent * 2 < *all);
        let partitioned: Vec<bool> = zone_counts
            .iter()
            .map(|(all, silent)| some_zone_reports && *all >= 3 && silent * 2 >= *all)
            .collect();
        for (z, name) in self.cfg.zones.iter().enumerate() {
            if partitioned[z] != self.partitioned_zones.contains(z) {
                info!(zone = %name, partitioned = partitioned[z], machines = zone_counts[z].0, silent = zone_counts[z].1, "zone partition state changed");
                self.placement_schedule.request();
            }
        }
        self.partitioned_zones = PartitionedZones(partitioned);
    }

    pub(crate) fn is_zone_partitioned(&self, zone: &str) -> bool {
        self.partitioned_zones.contains(self.cfg.zone_index(zone))
    }

    /// Deletes machines that stopped reporting while most others report. The deletion proves that their
    /// tasks are gone, sooner than lease expiry would. If this node is partitioned, most machines are
    /// silent, and none is deleted.
    pub(crate) fn remove_unresponsive(&mut self, now: Micros) {
        let watched: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| m.is_registered && m.phase != MachinePhase::Lost && !m.deleting)
            .collect();
        let Some(fleet) = self.fleet_reachability(&watched, now) else {
            return;
        };
        let unresponsive: Vec<MachineId> = watched
            .iter()
            .filter(|m| self.is_unresponsive(m, &fleet, now))
            .map(|m| m.id.clone())
            .collect();
        // A machine that the cloud no longer lists is most likely deleted, which the list does not prove but
        // a deletion does. It is probed first, and deleted if it does not answer, even if most machines are
        // silent. Machines deleted while the store could not be written are still registered, and a new
        // leader would otherwise wait for them until all leases have expired (scenario returned_in_outage).
        let overdue_after = Micros(self.cfg.heartbeat_interval.0 * 5 / 4) + Micros::from_secs(1);
        let presumed_deleted: Vec<MachineId> = watched
            .iter()
            .filter(|m| {
                !m.presumed_deleted && self.is_unlisted(m) && now >= m.last_seen + overdue_after
            })
            .map(|m| m.id.clone())
            .collect();
        for id in presumed_deleted {
            if let Some(m) = self.machines.get_mut(&id) {
                m.presumed_deleted = true;
                self.probes.push(id);
            }
        }
        for id in unresponsive {
            if let Some(m) = self.machines.get_mut(&id) {
                m.deleting = true;
                self.placement_schedule.request();
                info!(machine = %id, zone = %m.zone, spot = m.spot, "machine unresponsive: deleting it");
            }
        }
    }

    /// Returns how much of the fleet reports. `None` if no machine does, so that nothing can be concluded.
    fn fleet_reachability(&self, watched: &[&Machine], now: Micros) -> Option<FleetReachability> {
        let reporting_within = self.cfg.heartbeat_interval.times(2);
        let reporting = watched
            .iter()
            .filter(|m| m.phase == MachinePhase::Up && now < m.last_seen + reporting_within)
            .count();
        if reporting == 0 {
            return None;
        }
        let is_overloaded = self.is_receive_overloaded(now);
        let has_timed_out = |m: &Machine| {
            m.unreachable || (m.probe_in_flight && now >= m.probed_at + PROBE_TIMEOUT)
        };
        let unreconciled: Vec<&&Machine> = watched
            .iter()
            .filter(|m| self.reconciliation.is_active() && self.is_unreconciled(m))
            .collect();
        Some(FleetReachability {
            most_report: watched.len() >= 3 && reporting * 10 >= watched.len() * 6,
            is_overloaded,
            only_few_unreconciled: !is_overloaded
                && !unreconciled.is_empty()
                && unreconciled.iter().all(|m| has_timed_out(m))
                && unreconciled.len() * 50 <= watched.len(),
        })
    }

    fn is_unresponsive(&self, m: &Machine, fleet: &FleetReachability, now: Micros) -> bool {
        let silent_after = (self.cfg.heartbeat_interval.times(4)).max(Micros::from_secs(8));
        let unlisted_after = self.cfg.heartbeat_interval.times(2);
        // After a failover, or a period without a valid leader lease (scenario outage_short), agents need a
        // moment to find this node.
        let since = m.last_seen.max(self.resumed_at + Micros::from_secs(1));
        let silent_for = now.saturating_sub(since);
        let is_last_unreconciled =
            fleet.most_report && fleet.only_few_unreconciled && self.is_unreconciled(m);
        let is_silent = fleet.most_report
            && silent_for >= silent_after
            && !self.is_zone_partitioned(&m.zone)
            && !fleet.is_overloaded;
        let is_unlisted_and_silent = self.is_unlisted(m)
            && ((m.unreachable
                && self.receive_health.is_contact_settled(now)
                && (fleet.most_report || !fleet.is_overloaded))
                || (fleet.most_report && silent_for >= unlisted_after));
        is_last_unreconciled || is_silent || is_unlisted_and_silent
    }

    /// Returns true if the cloud's latest list of instances does not contain the machine.
    fn is_unlisted(&self, m: &Machine) -> bool {
        self.inventory
            .listed
            .as_ref()
            .is_some_and(|l| !l.contains(&m.id))
    }

    /// Marks machines as lost once their agent's lease has expired: the agent's epoch has ended and its tasks
    /// are gone. Guards the invariant `ran_twice`: this must not happen before `lease_end`.
    pub(crate) fn expire_leases(&mut self, now: Micros) {
        let is_overloaded = self.is_receive_overloaded(now);
        let expired: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| {
                m.phase != MachinePhase::Lost && m.lease_end > Micros::ZERO && now >= m.lease_end
            })
            .map(|m| m.id.clone())
            .collect();
        // Lost machines of a partitioned zone are kept for as long as new ones would take to boot.
        let overdue_lost: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| m.phase == MachinePhase::Lost && !m.deleting && !is_overloaded)
            .filter(|m| now >= m.lease_end + self.boot_time(&m.machine_type))
            .map(|m| m.id.clone())
            .collect();
        for id in overdue_lost {
            if let Some(m) = self.machines.get_mut(&id) {
                m.deleting = true;
                self.placement_schedule.request();
            }
        }
        for id in expired {
            let live_attempts = self.clear_allocations(&id);
            let partitioned = self
                .machines
                .get(&id)
                .is_some_and(|m| self.is_zone_partitioned(&m.zone));
            if let Some(m) = self.machines.get_mut(&id) {
                m.phase = MachinePhase::Lost;
                m.deleting |= !partitioned && !is_overloaded;
                m.idle_since = None;
                warn!(machine = %id, zone = %m.zone, spot = m.spot, tasks = live_attempts, epoch = m.epoch, "machine lost: lease expired");
            }
            self.placement_schedule.request();
        }
    }
}
