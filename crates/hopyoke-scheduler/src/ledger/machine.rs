//! Machines in the ledger, and the allocations that are or may be on them.

use super::allocation::Allocation;
use crate::autoscale::provisioning::ProvisioningState;
use crate::reconcile::command_tokens::AgentToken;
use crate::resources::Resources;
use hopyoke_protocol::user::{JobKind, Priority};
use hopyoke_types::Micros;
use hopyoke_types::{Attempt, FencingToken, JobId, MachineId, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Hash of an image's name. A collision only makes image locality scores less accurate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ImageKey(u64);

impl ImageKey {
    /// Returns the key of an image.
    pub fn of(name: &str) -> ImageKey {
        let mut h = DefaultHasher::new();
        name.hash(&mut h);
        ImageKey(h.finish())
    }
}

/// Totals over a machine's allocations. Cached until they change, so that a scheduling cycle does not
/// visit every allocation of the fleet.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Load {
    /// Resources of live attempts.
    pub used: Resources,
    /// Number of live attempts.
    pub live_attempts: u32,
    /// Number of live attempts that are replicas of services.
    pub service_replicas: u32,
    /// Resources of live attempts that are being stopped without a grace period.
    pub freeing: Resources,
    /// Resources of live job array tasks below production priority that are not being stopped.
    pub preemptible: Resources,
    /// Some live attempt belongs to a job that the ledger does not know.
    pub has_orphans: bool,
    /// Resources of live attempts by team, as an index into the list of teams in the settings.
    pub used_by_team: Vec<(u16, Resources)>,
    /// Images that are cached, being pulled, or about to be pulled.
    pub images: Vec<ImageKey>,
}

/// Lifecycle phase of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachinePhase {
    /// Requested from the cloud; no heartbeat has arrived yet.
    Provisioning,
    /// Its agent sends heartbeats.
    Up,
    /// Its agent's lease has expired, so none of its tasks run any more.
    Lost,
}

/// A machine in the ledger.
pub struct Machine {
    /// Instance id, given by the cloud.
    pub id: MachineId,
    /// Address at which its agent accepts pushed commands. `None` if it is unknown or malformed.
    pub address: Option<std::net::SocketAddr>,
    /// Name of its type in the catalog.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// True for a spot instance, which the cloud may preempt.
    pub spot: bool,
    /// Lifecycle phase.
    pub phase: MachinePhase,
    /// Agent epoch of its newest heartbeat; 0 if there was none yet.
    pub epoch: u64,
    /// Sequence number of its newest heartbeat.
    pub sequence: u64,
    /// Highest fencing token that its agent has reported.
    pub token_seen: FencingToken,
    /// Token of this leader's commands to its agent.
    pub(crate) agent_token: AgentToken,
    /// Requested by this leader, so no earlier leader can have sent it commands.
    pub created_by_this_leader: bool,
    /// Its epoch began after this leader's token was granted, so no earlier leader can have sent it
    /// commands in this epoch.
    pub epoch_began_after_grant: bool,
    /// When its newest status arrived, in a heartbeat or in the answer to a push.
    pub last_seen: Micros,
    /// Upper bound of the end of its agent's lease; zero if the agent has no lease yet. By then its epoch
    /// has ended, unless a further heartbeat is answered.
    pub lease_end: Micros,
    /// When the cloud will preempt it, according to its preemption notice.
    pub preemption_notice_at: Option<Micros>,
    allocations: BTreeMap<(TaskId, Attempt), Allocation>,
    load: Option<Load>,
    /// Cached images with their sizes in GB, most recently used last.
    images: Vec<(ImageKey, f64)>,
    /// When it was requested from the cloud. Valid only with `is_request_time_known`.
    pub requested_at: Micros,
    /// `requested_at` is known from the cloud's response or its list of instances.
    pub is_request_time_known: bool,
    /// Whether it is still expected to finish provisioning.
    pub provisioning: ProvisioningState,
    /// Since when it has had no allocations; `None` if it has some or is not up.
    pub idle_since: Option<Micros>,
    /// Jobs whose tasks failed on it since a task last completed on it.
    pub failed_jobs: BTreeSet<JobId>,
    /// Number of tasks that failed on it since one last completed.
    pub failures: u32,
    /// Considered faulty: it gets no more tasks and is to be deleted.
    pub faulty: bool,
    /// Much slower than its peers: it gets no more tasks and is deleted once it is empty.
    pub slow: bool,
    /// No task is placed on it before this time, after a failed or refused start.
    pub no_placement_before: Micros,
    /// It is on a stored page of the machine registry. Only then may it hold tasks.
    pub is_registered: bool,
    /// It was on a page when this leader loaded the registry.
    pub inherited: bool,
    /// It is to be deleted, or its deletion is in progress.
    pub deleting: bool,
    /// Its deletion has been requested from the cloud.
    pub deletion_requested: bool,
    /// Its heartbeats are overdue and the cloud no longer lists it, so it is most likely deleted.
    pub presumed_deleted: bool,
    /// The latest push to it failed, and no heartbeat has arrived since.
    pub unreachable: bool,
    /// A push awaits its answer.
    pub push_in_flight: bool,
    /// The push in flight is a probe.
    pub probe_in_flight: bool,
    /// When the latest probe was sent.
    pub probed_at: Micros,
    /// No commands are pushed before this time.
    pub push_retry_at: Micros,
}

impl Machine {
    /// Creates a machine that is being provisioned and is not registered, in the ledger of the leader with `token`.
    pub fn new(
        id: MachineId,
        machine_type: String,
        zone: String,
        spot: bool,
        token: FencingToken,
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
            agent_token: AgentToken::new(token),
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

    /// Returns true if it can no longer execute commands of leaders before the one with `token`.
    pub fn is_reconciled(&self, token: FencingToken) -> bool {
        self.created_by_this_leader || self.epoch_began_after_grant || self.token_seen >= token
    }

    /// Returns the attempts on it.
    pub fn allocations(&self) -> &BTreeMap<(TaskId, Attempt), Allocation> {
        &self.allocations
    }

    /// Returns the attempts on it for modification. Invalidates the cached load.
    pub fn allocations_mut(&mut self) -> &mut BTreeMap<(TaskId, Attempt), Allocation> {
        self.load = None;
        &mut self.allocations
    }

    /// Returns the attempts on it for updates of their command delivery state. Keeps the cached load, so
    /// fields that enter the load must not be changed.
    pub(crate) fn allocations_in_flight(
        &mut self,
    ) -> impl Iterator<Item = (&(TaskId, Attempt), &mut Allocation)> {
        self.allocations.iter_mut()
    }

    /// Returns the load of its allocations, recomputed if they have changed.
    pub fn load(&mut self, teams: &[crate::Team]) -> &Load {
        if self.load.is_none() {
            self.load = Some(self.compute_load(teams));
        }
        self.load.get_or_insert_default()
    }

    /// Computes the load from scratch, without the cache.
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
            // A team that is not in the settings has no quota to be charged.
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

    /// Returns the cached load. `None` if allocations or images have changed since it was computed.
    pub fn cached_load(&self) -> Option<&Load> {
        self.load.as_ref()
    }

    /// Returns true if some attempt on it is not known to have exited.
    pub fn has_live_attempts(&self) -> bool {
        self.allocations.values().any(Allocation::is_live)
    }

    /// Records the use of an image of `gb` GB, and evicts the least recently used ones beyond `capacity` GB.
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
