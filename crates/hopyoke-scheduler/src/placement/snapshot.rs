//! What one plan sees and changes: bins (machines, real or yet to be rented), offers, use by team.

use super::request::PlacementRequest;
use super::{Start, TaskKey};
use crate::Scheduler;
use crate::autoscale::provisioning::ProvisioningState;
use crate::autoscale::scale_out::Offer;
use crate::ledger::{ImageKey, MachinePhase};
use crate::placement::fragmentation::Fragmentation;
use crate::resources::{Resources, Team};
use hopyoke_protocol::user::JobKind;
use hopyoke_types::{JobId, MachineId, Micros};
use std::collections::BTreeMap;
use tracing::debug;

/// A worker lists each attempt, ended ones until they are recorded, in some 90 characters, and a report may
/// have 64 KiB. (Guards against a report that no node takes, and so a session that lapses: large machines
/// full of tiny tasks; scenario tiny_tasks.)
const MOST_REPORTED: usize = 560;

/// A machine, real or yet to be rented, in a plan.
pub(super) struct Bin {
    pub(super) machine: Option<MachineId>,
    /// Tasks can be started on it now.
    pub(super) ready: bool,
    /// Its type: a place in the catalog.
    pub(super) kind: usize,
    /// Its zone: a place in the settings' list, or just past it.
    pub(super) zone: usize,
    pub(super) spot: bool,
    pub(super) free: Resources,
    pub(super) empty: bool,
    /// Attempts that its worker's report still has room for.
    pub(super) reportable: usize,
    /// Replicas on it, which stay long.
    pub(super) replicas: u32,
    /// What its tasks will free that have been told to go at once.
    pub(super) freeing: Resources,
    /// What could be freed for production work.
    pub(super) preemptible: Resources,
    /// Where its images stand in the plan's list.
    pub(super) images: (u32, u32),
    /// The image of the task that this plan put on it last.
    pub(super) latest: Option<ImageKey>,
    /// Some job's tasks failed on it.
    pub(super) failed: bool,
    /// It is cut off and may be back: production work does not wait for that.
    pub(super) returning: bool,
    /// The plan counts on it.
    pub(super) wanted: bool,
    /// Room that is kept for a gang, and for how many seconds nobody will miss it.
    pub(super) lent: Option<(Resources, f64)>,
}

/// A kind of machine that the cloud sells, as seen by one plan.
pub(super) struct OfferView {
    pub(super) offer: Offer,
    pub(super) kind: usize,
    pub(super) zone: usize,
    pub(super) spot: bool,
    /// Price with what speaks against it: a zone that holds much of the fleet, a long boot.
    pub(super) cost: f64,
}

/// A plan in the making.
pub(super) struct ClusterSnapshot {
    pub(super) bins: Vec<Bin>,
    /// Bins that had room for the smallest waiting task, and all new ones.
    pub(super) open: Vec<usize>,
    pub(super) images: Vec<ImageKey>,
    /// What a machine of each type offers.
    pub(super) kinds: Vec<Resources>,
    pub(super) offers: Vec<OfferView>,
    pub(super) demand: Vec<u32>,
    /// Use by team.
    pub(super) used: Vec<Resources>,
    /// Some live attempt is of a job that the ledger doesn't know.
    pub(super) orphaned: bool,
    /// Room is kept for gangs that need it to collect; now and then a plan keeps none.
    pub(super) keeps_room: bool,
    pub(super) starts: Vec<Start>,
    /// Of arrays that this plan lets begin before their turn, the task that starts and its zone.
    pub(super) begun: BTreeMap<JobId, (u32, usize)>,
    /// Tasks to be stopped for more important ones.
    pub(super) victims: Vec<(MachineId, TaskKey)>,
    /// Gangs that have reserved machines.
    pub(super) reservations: usize,
    /// Tasks looked at by the search for room by preemption.
    pub(super) preempt_searches: usize,
    /// Bins with room that may be lent.
    pub(super) lending: Vec<usize>,
    /// Room that running tasks will most likely have made before a machine could boot; `None`: not
    /// looked up yet.
    pub(super) soon: Option<Vec<Soon>>,
    /// Kinds of machine that some of the waiting work has no alternative to.
    pub(super) fragmentation: Fragmentation,
}

/// Room that is about to be free.
pub(super) struct Soon {
    pub(super) kind: usize,
    pub(super) zone: usize,
    pub(super) spot: bool,
    pub(super) room: Resources,
}

/// What of a bin a gang's try changes.
pub(super) type Before = (Resources, bool, usize, u32, Option<ImageKey>, bool);

impl Bin {
    pub(super) fn rented(kind: usize, zone: usize, spot: bool, total: Resources) -> Bin {
        Bin {
            machine: None,
            ready: false,
            kind,
            zone,
            spot,
            free: total,
            empty: true,
            reportable: MOST_REPORTED,
            replicas: 0,
            freeing: Resources::default(),
            preemptible: Resources::default(),
            images: (0, 0),
            latest: None,
            failed: false,
            returning: false,
            wanted: false,
            lent: None,
        }
    }

    pub(super) fn before(&self) -> Before {
        (
            self.free,
            self.empty,
            self.reportable,
            self.replicas,
            self.latest,
            self.wanted,
        )
    }

    pub(super) fn restore(&mut self, before: Before) {
        (
            self.free,
            self.empty,
            self.reportable,
            self.replicas,
            self.latest,
            self.wanted,
        ) = before;
    }
}

impl ClusterSnapshot {
    pub(super) fn has_image(&self, bin: &Bin, image: ImageKey) -> bool {
        bin.latest == Some(image) || self.had_image(bin, image)
    }

    /// It has the image, or fetches it, without what this plan starts.
    pub(super) fn had_image(&self, bin: &Bin, image: ImageKey) -> bool {
        let (first, end) = bin.images;
        self.images[first as usize..end as usize].contains(&image)
    }

    pub(super) fn score(&self, request: &PlacementRequest, bin: &Bin) -> f64 {
        let mut score = 0.0;
        if bin.ready {
            score += 1000.0;
        }
        if self.has_image(bin, request.image) {
            score += 100.0;
        }
        // Work that may use spot machines leaves the ordinary ones to work that may not.
        if bin.spot {
            score += 50.0;
        }
        if !bin.empty {
            score += 20.0;
        }
        // Work that has a choice leaves room to work that has none.
        if self.fragmentation.avoids(bin.kind, request.choices) {
            score -= 60.0;
        }
        if request.spec.kind == JobKind::Service {
            // Replicas stay long: packed together they leave whole machines to gangs, and to be
            // returned. Spread over zones, one zone's end takes few of a job's.
            if bin.replicas > 0 {
                score += 70.0;
            }
            score -= 30.0 * f64::from(request.zones[bin.zone]);
        }
        // Best fit.
        score - (bin.free.gpus - request.task.gpus) - (bin.free.cpus - request.task.cpus) / 16.0
    }

    /// Says how the fleet is used once this plan's tasks run; for finding out what is paid in vain.
    pub(super) fn tell(&self) {
        let sum = |f: &dyn Fn(&&Bin) -> bool| {
            let bins = self.bins.iter().filter(f);
            bins.fold((0u32, 0.0, 0.0), |s, b| {
                (s.0 + 1, s.1 + self.kinds[b.kind].gpus, s.2 + b.free.gpus)
            })
        };
        let (ready, idle) = (sum(&|b| b.ready), sum(&|b| b.ready && b.empty));
        let coming = sum(&|b| !b.ready && b.machine.is_some());
        let planned = sum(&|b| b.machine.is_none());
        debug!(
            ready = ready.0,
            ready_gpus = ready.1,
            ready_free = ready.2,
            idle = idle.0,
            idle_gpus = idle.1,
            coming = coming.0,
            coming_gpus = coming.1,
            coming_free = coming.2,
            planned = planned.0,
            planned_gpus = planned.1,
            planned_free = planned.2,
            "fleet"
        );
    }

    /// Charges `n` tasks to their team unless that exceeds its limit.
    pub(super) fn charge(&mut self, request: &PlacementRequest, n: u32, teams: &[Team]) -> bool {
        let Some(team) = request.team else {
            return false;
        };
        let sum = self.used[team] + request.task.times(f64::from(n));
        if !teams[team].allows(&sum) {
            return false;
        }
        self.used[team] = sum;
        true
    }

    pub(super) fn refund(&mut self, request: &PlacementRequest, n: u32) {
        if let Some(team) = request.team {
            self.used[team] = self.used[team] - request.task.times(f64::from(n));
        }
    }

    /// What was taken on machines that are up, for a gang whose others still boot, is free for others.
    pub(super) fn lend_ready(&mut self, request: &PlacementRequest, bins: &[usize]) {
        for &bin in bins {
            let b = &mut self.bins[bin];
            if b.ready {
                b.free = b.free + request.task;
            }
        }
        self.refund(request, bins.len() as u32);
    }

    pub(super) fn take(&mut self, bin: usize, request: &mut PlacementRequest) {
        let b = &mut self.bins[bin];
        b.free = b.free - request.task;
        b.empty = false;
        b.reportable = b.reportable.saturating_sub(1);
        if b.reportable == 0 {
            b.free = Resources::default();
        }
        b.replicas += u32::from(request.spec.kind == JobKind::Service);
        b.latest = Some(request.image);
        b.wanted = true;
        request.zones[b.zone] += 1;
    }
}

impl Scheduler {
    pub(super) fn fill_bins(&mut self, snapshot: &mut ClusterSnapshot, now: Micros) {
        let quiet = self.cfg.heartbeat_interval.times(2) + Micros::from_secs(2);
        let Scheduler {
            machines,
            cfg,
            types,
            token,
            ..
        } = self;
        for m in machines.values_mut() {
            let load = m.load(&cfg.teams);
            snapshot.orphaned |= load.orphaned;
            for (team, amounts) in &load.teams {
                let used = &mut snapshot.used[usize::from(*team)];
                *used = *used + *amounts;
            }
            let fresh = m.phase == MachinePhase::Up && now < m.last_seen + quiet;
            if (m.phase == MachinePhase::Up && !fresh)
                || m.deleting
                || m.faulty
                || m.slow
                || (m.phase == MachinePhase::Provisioning
                    && m.provisioning != ProvisioningState::Awaited)
                || m.preemption_notice_at.is_some()
                || now < m.no_placement_before
            {
                continue;
            }
            let Some(kind) = types.iter().position(|t| t.name == m.machine_type) else {
                continue;
            };
            let Some(load) = m.cached_load() else {
                continue;
            };
            let reportable = MOST_REPORTED.saturating_sub(m.allocations().len());
            let first = snapshot.images.len() as u32;
            snapshot.images.extend_from_slice(&load.images);
            snapshot.bins.push(Bin {
                machine: Some(m.id.clone()),
                ready: fresh && m.is_registered && m.is_reconciled(*token),
                kind,
                zone: cfg.zone_index(&m.zone),
                spot: m.spot,
                free: if reportable > 0 {
                    snapshot.kinds[kind] - load.used
                } else {
                    Resources::default()
                },
                empty: load.live == 0,
                reportable,
                replicas: load.replicas,
                freeing: load.freeing,
                preemptible: load.preemptible,
                images: (first, snapshot.images.len() as u32),
                latest: None,
                failed: !m.failed_jobs.is_empty(),
                // Its lease has lapsed, but its zone is cut off and it may be back.
                returning: m.phase == MachinePhase::Lost,
                wanted: false,
                lent: None,
            });
        }
        // Machines that are being rented right now.
        for (offer, n) in self.pending_scale_outs.open() {
            if let Some(kind) = self.types.iter().position(|t| t.name == offer.machine_type) {
                let zone = self.cfg.zone_index(&offer.zone);
                for _ in 0..n {
                    snapshot
                        .bins
                        .push(Bin::rented(kind, zone, offer.spot, snapshot.kinds[kind]));
                }
            }
        }
    }
}
