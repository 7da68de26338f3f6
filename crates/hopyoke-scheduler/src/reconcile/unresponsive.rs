//! Machines that stopped reporting: partitioned zones, expired leases, machines to be given up.

use crate::Scheduler;
use crate::ledger::{Machine, MachinePhase};
use hopyoke_types::{MachineId, Micros};
use tracing::{info, warn};

/// A machine that has not answered a question after a failover for so long, while nearly all others have, is
/// taken not to: waiting for the whole time limit would hold up the fleet.
const PROBE_TIMEOUT: Micros = Micros::from_millis(1_200);

/// Whether this node can take in the heartbeats that are sent to it.
#[derive(Debug, Default)]
pub(crate) struct ReceiveHealth {
    /// Until then missing heartbeats are no evidence against machines.
    overloaded_until: Micros,
    /// When the last heartbeat of any machine was received.
    last_heartbeat_at: Micros,
    /// After a time without any, machines are given until then to find this node again.
    contact_settled_at: Micros,
}

impl ReceiveHealth {
    /// That of a leader elected at `now`.
    pub(crate) fn of_new_leader(now: Micros) -> ReceiveHealth {
        ReceiveHealth {
            last_heartbeat_at: now,
            ..ReceiveHealth::default()
        }
    }

    /// A heartbeat was received. The first one after a time in which no machine was heard at all says that this node was
    /// cut off: what is known of the others' silence is from that time. (Guards against giving up machines that are about
    /// to report: scenario unlisted_machines_kept_any_order.)
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

/// Zones of which most machines fell silent together, by their index in the settings' list.
#[derive(Debug, Default)]
pub(crate) struct PartitionedZones(Vec<bool>);

impl PartitionedZones {
    pub(crate) fn contains(&self, zone_index: usize) -> bool {
        self.0.get(zone_index).copied().unwrap_or(false)
    }
}

/// What the fleet's heartbeats say of the cause of silence.
struct FleetReachability {
    /// Most machines report: the silence of others is not this node's fault.
    most_report: bool,
    /// This node can't receive all heartbeats.
    is_overloaded: bool,
    /// All unreconciled machines failed their probe, and they are few: the whole fleet's work waits for them, so a
    /// new leader gives them up. Were they many, they might be partitioned or hang, and be back.
    only_few_unreconciled: bool,
}

impl Scheduler {
    /// Heartbeats can't all be received: this node is behind on its own processor, or has no room for
    /// connections. Until two heartbeat intervals after the last such moment no machine is given up for
    /// its silence, and none is requested in place of those whose heartbeats are lost. (Guards against a fleet
    /// that is deleted and requested anew because its leader is overloaded: seen at four to six times
    /// heirloomlane-fleet's size.)
    pub fn set_receive_overloaded(&mut self, now: Micros) {
        if now >= self.receive_health.overloaded_until {
            info!(
                machines = self.machines.len(),
                "not all machines can be heard"
            );
        }
        self.receive_health.overloaded_until = now + self.cfg.heartbeat_interval.times(2);
    }

    pub(crate) fn is_receive_overloaded(&self, now: Micros) -> bool {
        self.receive_health.is_overloaded(now)
    }

    /// When most machines of a zone fall silent together, the zone is most likely cut off: they will
    /// be back, and machines requested there now could not report either.
    pub(crate) fn detect_partitioned_zones(&mut self, now: Micros) {
        let zones = self.cfg.zones.len() + 1;
        let silent_after = self.cfg.heartbeat_interval.times(2) + Micros::from_secs(1);
        let mut machines_and_silent = vec![(0usize, 0usize); zones];
        for m in self
            .machines
            .values()
            .filter(|m| m.is_registered && !m.deleting)
        {
            let since = m.last_seen.max(self.resumed_at);
            let (all, silent) = &mut machines_and_silent[self.cfg.zone_index(&m.zone)];
            *all += 1;
            *silent += usize::from(m.phase == MachinePhase::Lost || now >= since + silent_after);
        }
        // Were all zones silent, the fault would be ours.
        let some_zone_reports = machines_and_silent
            .iter()
            .any(|(all, silent)| *all > 0 && silent * 2 < *all);
        let partitioned: Vec<bool> = machines_and_silent
            .iter()
            .map(|(all, silent)| some_zone_reports && *all >= 3 && silent * 2 >= *all)
            .collect();
        for (z, name) in self.cfg.zones.iter().enumerate() {
            if partitioned[z] != self.partitioned_zones.contains(z) {
                info!(zone = %name, partitioned = partitioned[z], machines = machines_and_silent[z].0, silent = machines_and_silent[z].1, "zone silent");
                self.plan_schedule.request();
            }
        }
        self.partitioned_zones = PartitionedZones(partitioned);
    }

    pub(crate) fn is_zone_partitioned(&self, zone: &str) -> bool {
        self.partitioned_zones.contains(self.cfg.zone_index(zone))
    }

    /// A machine that has fallen silent while most others report is given up: its deletion proves
    /// that its tasks are gone, sooner than its lease's expiry would. Were it this node that is cut
    /// off, most would be silent, and nothing is deleted.
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
        // One that the cloud no longer lists is most likely gone: the list proves nothing, but the
        // deletion does. It is probed first, and given up if it does not answer either, though most were silent:
        // what was returned while the state service could not be written is still in the registry, and a new
        // leader would wait for it until all leases had run out. (Scenario returned_in_outage.)
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
                self.plan_schedule.request();
                info!(machine = %id, zone = %m.zone, spot = m.spot, "machine silent: giving it up");
            }
        }
    }

    /// How much of the fleet reports; `None`: nobody, so nothing can be concluded.
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
        // After a failover, or a time in which we were not entitled to answer (scenario
        // outage_short), agents need a moment to find us.
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

    /// The cloud's latest list does not name it.
    fn is_unlisted(&self, m: &Machine) -> bool {
        self.inventory
            .listed
            .as_ref()
            .is_some_and(|l| !l.contains(&m.id))
    }

    /// Epochs end by themselves when we have not answered for long enough; then everything on
    /// the machine is gone. (Guards `ran_twice`: not a moment earlier.)
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
        // Machines of a zone that is cut off are kept for as long as new ones would take to boot.
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
                self.plan_schedule.request();
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
                warn!(machine = %id, zone = %m.zone, spot = m.spot, tasks = live_attempts, epoch = m.epoch, "machine lost: its lease lapsed");
            }
            self.plan_schedule.request();
        }
    }
}
