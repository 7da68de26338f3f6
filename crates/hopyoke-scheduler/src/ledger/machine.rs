//! Machines and what is known to be, or may be, on them.

use super::allocation::Allocation;
use crate::amounts::Resources;
use crate::provisioning::ProvisioningState;
use hopyoke_protocol::user::{JobKind, Priority};
use hopyoke_types::Micros;
use hopyoke_types::{Attempt, FencingToken, JobId, MachineId, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A hash of an image's name. Two names with the same hash only cost a worse choice of place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ImageKey(u64);

impl ImageKey {
    pub fn of(name: &str) -> ImageKey {
        let mut h = DefaultHasher::new();
        name.hash(&mut h);
        ImageKey(h.finish())
    }
}

/// What is on a machine, summed up. Kept until the machine's slots change, so that a plan need
/// not look at every slot of the fleet.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Load {
    /// What live attempts take.
    pub used: Resources,
    /// Live attempts.
    pub live: u32,
    /// Replicas of services among them, which stay long.
    pub replicas: u32,
    /// What attempts take that have been told to go at once.
    pub freeing: Resources,
    /// What tasks of arrays below production take that nobody has stopped yet.
    pub preemptible: Resources,
    /// A live attempt of a job that the ledger doesn't know.
    pub orphaned: bool,
    /// What live attempts take, by team (a place in the settings' list).
    pub teams: Vec<(u16, Resources)>,
    /// Images that it has or fetches.
    pub images: Vec<ImageKey>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachinePhase {
    /// Rented, its worker has not reported yet.
    Provisioning,
    /// Its worker reports.
    Up,
    /// Its worker's lease has lapsed: everything on it is gone.
    Lost,
}

pub struct Machine {
    pub id: MachineId,
    pub address: Option<std::net::SocketAddr>,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub phase: MachinePhase,
    pub epoch: u64,
    pub sequence: u64,
    pub token_seen: FencingToken,
    /// Rented by this leader: no earlier holder can have commanded it.
    pub created_by_this_leader: bool,
    /// Its session began after our grant: no earlier holder can have commanded it either.
    pub epoch_began_after_grant: bool,
    pub last_seen: Micros,
    /// By now the session has ended, unless we answer another of its reports.
    pub lease_end: Micros,
    /// When the cloud takes it away.
    pub preemption_notice_at: Option<Micros>,
    allocations: BTreeMap<(TaskId, Attempt), Allocation>,
    load: Option<Load>,
    /// Most recently used last.
    images: Vec<(ImageKey, f64)>,
    pub requested_at: Micros,
    /// When it was rented is known: from the cloud's answer, or its list.
    pub has_known_age: bool,
    /// What to think of it while it boots.
    pub provisioning: ProvisioningState,
    pub idle_since: Option<Micros>,
    /// Jobs whose tasks failed here since one last succeeded here.
    pub failed_jobs: BTreeSet<JobId>,
    pub failures: u32,
    /// Judged faulty: nothing more is placed on it, and it is returned.
    pub faulty: bool,
    /// Far slower than its peers: nothing more is placed on it, and it is returned once it is empty.
    pub slow: bool,
    /// A refused start: nothing is placed here before this.
    pub no_placement_before: Micros,
    /// It stands in the register of machines that may hold tasks.
    pub is_registered: bool,
    /// It stood there when this leader read it.
    pub inherited: bool,
    /// A deletion is wanted or under way.
    pub deleting: bool,
    pub deletion_requested: bool,
    /// Overdue and no longer listed by the cloud: most likely gone.
    pub presumed_deleted: bool,
    /// The latest direct order to it got no answer, and no report has come since.
    pub unreachable: bool,
    pub push_open: bool,
    /// The direct order under way is a question after a takeover.
    pub probing: bool,
    pub probed_at: Micros,
    pub push_retry_at: Micros,
}

impl Machine {
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
            has_known_age: false,
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
            push_open: false,
            probing: false,
            probed_at: Micros::ZERO,
            push_retry_at: Micros::ZERO,
        }
    }

    /// Commands of earlier holders can no longer be executed on it.
    pub fn is_reconciled(&self, token: FencingToken) -> bool {
        self.created_by_this_leader || self.epoch_began_after_grant || self.token_seen >= token
    }

    pub fn allocations(&self) -> &BTreeMap<(TaskId, Attempt), Allocation> {
        &self.allocations
    }

    /// The slots, to be changed: the sums over them are counted anew when next needed.
    pub fn allocations_mut(&mut self) -> &mut BTreeMap<(TaskId, Attempt), Allocation> {
        self.load = None;
        &mut self.allocations
    }

    /// Notes how far orders have come. Only for what does not show in the sums.
    pub(crate) fn allocations_in_flight(
        &mut self,
    ) -> impl Iterator<Item = (&(TaskId, Attempt), &mut Allocation)> {
        self.allocations.iter_mut()
    }

    /// The sums over its slots.
    pub fn load(&mut self, teams: &[crate::Team]) -> &Load {
        if self.load.is_none() {
            self.load = Some(self.count(teams));
        }
        self.load.get_or_insert_default()
    }

    /// The sums, counted anew; `None` from [`Machine::cached_load`] means that they will be.
    pub fn count(&self, teams: &[crate::Team]) -> Load {
        let mut load = Load {
            images: self.images.iter().map(|(i, _)| *i).collect(),
            ..Load::default()
        };
        for allocation in self.allocations.values() {
            let Some(spec) = &allocation.spec else {
                load.orphaned |= allocation.is_live();
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
            load.live += 1;
            load.replicas += u32::from(spec.kind == JobKind::Service);
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
                match load.teams.iter_mut().find(|(t, _)| *t == team) {
                    Some((_, sum)) => *sum = *sum + amounts,
                    None => load.teams.push((team, amounts)),
                }
            }
        }
        load
    }

    /// The sums as kept, if no slot has changed since they were counted.
    pub fn cached_load(&self) -> Option<&Load> {
        self.load.as_ref()
    }

    pub fn has_live(&self) -> bool {
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
