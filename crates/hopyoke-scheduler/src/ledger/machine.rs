//! Machines and what is known to be, or may be, on them.

use super::allocation::Allocation;
use crate::autoscale::provisioning::ProvisioningState;
use crate::resources::Resources;
use hopyoke_protocol::user::{JobKind, Priority};
use hopyoke_types::Micros;
use hopyoke_types::{Attempt, FencingToken, JobId, MachineId, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A hash of an image's name. A collision only costs a worse choice of machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ImageKey(u64);

impl ImageKey {
    /// The key of an image.
    pub fn of(name: &str) -> ImageKey {
        let mut h = DefaultHasher::new();
        name.hash(&mut h);
        ImageKey(h.finish())
    }
}

/// What is on a machine, summed up. Kept until the machine's allocations change, so that a plan need
/// not visit every allocation of the fleet.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Load {
    /// What live attempts take.
    pub used: Resources,
    /// Live attempts.
    pub live_attempts: u32,
    /// Replicas of services among them, which stay long.
    pub service_replicas: u32,
    /// What attempts take that are being killed.
    pub freeing: Resources,
    /// What tasks of arrays below production priority take that are not being stopped.
    pub preemptible: Resources,
    /// A live attempt of a job that the ledger doesn't know.
    pub has_orphans: bool,
    /// What live attempts take, by team (an index into the settings' list).
    pub used_by_team: Vec<(u16, Resources)>,
    /// Images that it has or fetches.
    pub images: Vec<ImageKey>,
}

/// Whether a machine reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachinePhase {
    /// Requested from the cloud; its agent has not reported yet.
    Provisioning,
    /// Its agent reports.
    Up,
    /// Its agent's lease has expired: everything on it is gone.
    Lost,
}

/// A machine in the ledger.
pub struct Machine {
    /// Its id at the cloud.
    pub id: MachineId,
    /// Where its agent takes pushed commands; `None`: not known, or not an address.
    pub address: Option<std::net::SocketAddr>,
    /// Its type in the catalog.
    pub machine_type: String,
    /// The zone that it is in.
    pub zone: String,
    /// Whether the cloud may take it away.
    pub spot: bool,
    /// Whether it reports.
    pub phase: MachinePhase,
    /// The agent's epoch in its newest heartbeat; 0: none yet.
    pub epoch: u64,
    /// The sequence number of its newest heartbeat.
    pub sequence: u64,
    /// The highest fencing token that its agent has reported.
    pub token_seen: FencingToken,
    /// Requested by this leader: no stale leaseholder can have commanded it.
    pub created_by_this_leader: bool,
    /// Its epoch began after our grant: no stale leaseholder can have commanded it either.
    pub epoch_began_after_grant: bool,
    /// When its newest heartbeat, or the answer to pushed commands, came.
    pub last_seen: Micros,
    /// By then the epoch has ended, unless another of its heartbeats is answered.
    pub lease_end: Micros,
    /// When the cloud will take it away, as its preemption notice says.
    pub preemption_notice_at: Option<Micros>,
    allocations: BTreeMap<(TaskId, Attempt), Allocation>,
    load: Option<Load>,
    /// Most recently used last.
    images: Vec<(ImageKey, f64)>,
    /// When the cloud was asked for it; see `is_request_time_known`.
    pub requested_at: Micros,
    /// When it was requested is known: from the cloud's answer, or its list.
    pub is_request_time_known: bool,
    /// Whether it is still expected to come up.
    pub provisioning: ProvisioningState,
    /// Since when nothing has been on it.
    pub idle_since: Option<Micros>,
    /// Jobs whose tasks failed here since one last succeeded here.
    pub failed_jobs: BTreeSet<JobId>,
    /// Tasks that failed on it since one last succeeded.
    pub failures: u32,
    /// Judged faulty: nothing more is placed on it, and it is deleted.
    pub faulty: bool,
    /// Far slower than its peers: nothing more is placed on it, and it is deleted once it is empty.
    pub slow: bool,
    /// A refused start: nothing is placed here before this.
    pub no_placement_before: Micros,
    /// It is on a page of the machine registry: it may hold tasks.
    pub is_registered: bool,
    /// It was on a page when this leader read the registry.
    pub inherited: bool,
    /// It is to be deleted, or its deletion is under way.
    pub deleting: bool,
    /// The deletion is under way.
    pub deletion_requested: bool,
    /// Overdue and no longer listed by the cloud: most likely gone.
    pub presumed_deleted: bool,
    /// The latest push to it got no answer, and no heartbeat has come since.
    pub unreachable: bool,
    /// Pushed commands are under way.
    pub push_in_flight: bool,
    /// The push under way is a probe.
    pub probe_in_flight: bool,
    /// When the latest probe was sent.
    pub probed_at: Micros,
    /// No commands are pushed before this.
    pub push_retry_at: Micros,
}

impl Machine {
    /// A machine that is being provisioned, as far as is known.
    pub fn new(
        id: MachineId,
        machine_type: String,
        zone: String,
        spot: bool,
        now: Micros,
    ) -> Machine {
        Machine {
            id,
            address: None,
            machine_type,
            zone,
            spot,
            phase: MachinePhase::Provisioning,
            epoch: 0,
            sequence: 0,
            token_seen: FencingToken(0),
            created_by_this_leader: false,
            epoch_began_after_grant: false,
            last_seen: now,
            lease_end: Micros::ZERO,
            preemption_notice_at: None,
            allocations: BTreeMap::new(),
            load: None,
            images: Vec::new(),
            requested_at: now,
            is_request_time_known: false,
            provisioning: ProvisioningState::Awaited,
            idle_since: None,
            failed_jobs: BTreeSet::new(),
            failures: 0,
            faulty: false,
            slow: false,
            no_placement_before: Micros::ZERO,
            is_registered: false,
            inherited: false,
            deleting: false,
            deletion_requested: false,
            presumed_deleted: false,
            unreachable: false,
            push_in_flight: false,
            probe_in_flight: false,
            probed_at: Micros::ZERO,
            push_retry_at: Micros::ZERO,
        }
    }

    /// Commands of stale leaseholders can no longer be executed on it.
    pub fn is_reconciled(&self, token: FencingToken) -> bool {
        self.created_by_this_leader || self.epoch_began_after_grant || self.token_seen >= token
    }

    /// The attempts on it.
    pub fn allocations(&self) -> &BTreeMap<(TaskId, Attempt), Allocation> {
        &self.allocations
    }

    /// The attempts on it, to be changed: the sums over them are counted anew when next needed.
    pub fn allocations_mut(&mut self) -> &mut BTreeMap<(TaskId, Attempt), Allocation> {
        self.load = None;
        &mut self.allocations
    }

    /// The attempts on it, to note how far commands have come; only for what does not show in the sums.
    pub(crate) fn allocations_in_flight(
        &mut self,
    ) -> impl Iterator<Item = (&(TaskId, Attempt), &mut Allocation)> {
        self.allocations.iter_mut()
    }

    /// The sums over its allocations.
    pub fn load(&mut self, teams: &[crate::Team]) -> &Load {
        if self.load.is_none() {
            self.load = Some(self.compute_load(teams));
        }
        self.load.get_or_insert_default()
    }

    /// The sums, counted anew; `None` from [`Machine::cached_load`] means that they will be.
    pub fn compute_load(&self, teams: &[crate::Team]) -> Load {
        let mut load = Load {
            images: self.images.iter().map(|(i, _)| *i).collect(),
            ..Load::default()
        };
        for allocation in self.allocations.values() {
            let Some(spec) = &allocation.spec else {
                load.has_orphans |= allocation.is_live();
                continue;
            };
            let image = ImageKey::of(&spec.image);
            if !load.images.contains(&image) {
                load.images.push(image);
            }
            if !allocation.is_live() {
                continue;
            }
            let amounts = allocation.resources();
            load.used = load.used + amounts;
            load.live_attempts += 1;
            load.service_replicas += u32::from(spec.kind == JobKind::Service);
            if allocation.stop.is_some_and(|s| s.grace_s == 0.0) {
                load.freeing = load.freeing + amounts;
            }
            if allocation.stop.is_none()
                && spec.kind == JobKind::Array
                && spec.priority > Priority::Production
            {
                load.preemptible = load.preemptible + amounts;
            }
            // A team that the settings do not name has no limit to be charged against.
            if let Some(team) = teams.iter().position(|t| t.name == spec.team) {
                let team = team as u16;
                match load.used_by_team.iter_mut().find(|(t, _)| *t == team) {
                    Some((_, sum)) => *sum = *sum + amounts,
                    None => load.used_by_team.push((team, amounts)),
                }
            }
        }
        load
    }

    /// The sums as kept, if no allocation has changed since they were counted.
    pub fn cached_load(&self) -> Option<&Load> {
        self.load.as_ref()
    }

    /// Some attempt on it has not ended, as far as is known.
    pub fn has_live_attempts(&self) -> bool {
        self.allocations.values().any(Allocation::is_live)
    }

    /// Notes that an image is in the machine's cache of `capacity` GB.
    pub fn touch_image(&mut self, image: ImageKey, gb: f64, capacity: f64) {
        if self.images.last().is_some_and(|(i, _)| *i == image) {
            return;
        }
        self.load = None;
        self.images.retain(|(i, _)| *i != image);
        self.images.push((image, gb));
        let mut total: f64 = self.images.iter().map(|(_, g)| g).sum();
        while total > capacity && self.images.len() > 1 {
            total -= self.images.remove(0).1;
        }
    }
}
