//! What the placement of one job must look at, and the bins that it may use.

use super::Turn;
use super::snapshot::{Bin, ClusterSnapshot};
use crate::Scheduler;
use crate::ledger::ImageKey;
use crate::placement::fragmentation::Fragmentation;
use crate::resources::Resources;
use hopyoke_protocol::user::{JobKind, JobSpec, Priority};
use hopyoke_types::JobId;
use std::rc::Rc;

/// What the placement of one job must look at.
#[derive(Clone)]
pub(super) struct PlacementRequest {
    pub(super) id: JobId,
    pub(super) spec: Rc<JobSpec>,
    pub(super) task: Resources,
    pub(super) image: ImageKey,
    pub(super) team: Option<usize>,
    /// The only zone allowed.
    pub(super) zone: Option<usize>,
    /// Types allowed, by their place in the catalog.
    pub(super) kinds: Vec<bool>,
    /// How many types can hold a task of it.
    pub(super) choices: usize,
    /// It failed on several machines, so no machine is avoided for that.
    pub(super) is_crash_looping: bool,
    /// Spot machines are to be had: it leaves empty ordinary ones to work that needs them.
    pub(super) spare_ordinary: bool,
    /// Places of the job's tasks by zone.
    pub(super) zones: Vec<u32>,
}

impl PlacementRequest {
    /// The job's zone rules allow one more task in this zone, given where its others are.
    /// (Guards `wrong_place`.)
    pub(super) fn zone_allows(&self, zone: usize) -> bool {
        if self.spec.one_zone
            && self
                .zones
                .iter()
                .enumerate()
                .any(|(z, &n)| n > 0 && z != zone)
        {
            return false;
        }
        !self.spec.spread || self.zones[zone] < self.spec.tasks.div_ceil(2)
    }

    pub(super) fn cares_for_zones(&self) -> bool {
        self.spec.one_zone || self.spec.spread || self.spec.kind == JobKind::Service
    }
}

/// Bins that one job may use, best first, by zone if the job cares for zones.
pub(super) struct Candidates {
    pub(super) lists: Vec<Vec<usize>>,
    pub(super) next: Vec<usize>,
}

impl Candidates {
    /// The best bin that still has room, in a zone that the job's rules allow.
    pub(super) fn best(
        &mut self,
        request: &PlacementRequest,
        snapshot: &ClusterSnapshot,
        score: impl Fn(&Bin) -> f64,
    ) -> Option<usize> {
        let mut best: Option<(f64, usize)> = None;
        for (list, next) in self.lists.iter().zip(&mut self.next) {
            while list
                .get(*next)
                .is_some_and(|&b| !request.task.fits_in(&snapshot.bins[b].free))
            {
                *next += 1;
            }
            let Some(&b) = list.get(*next) else { continue };
            let bin = &snapshot.bins[b];
            if request.cares_for_zones() && !request.zone_allows(bin.zone) {
                continue;
            }
            let value = score(bin);
            if best.is_none_or(|(v, _)| value > v) {
                best = Some((value, b));
            }
        }
        best.map(|(_, b)| b)
    }

    /// A bin that was opened for the job comes first in its zone.
    pub(super) fn put_first(&mut self, bin: usize, zone: usize) {
        let list = zone.min(self.lists.len() - 1);
        let next = self.next[list];
        self.lists[list].insert(next, bin);
    }
}

impl Scheduler {
    pub(super) fn request(&self, id: &JobId) -> Option<PlacementRequest> {
        let job = self.jobs.get(id)?;
        let kinds: Vec<bool> = self.kinds_of(&job.spec).collect();
        let mut request = PlacementRequest {
            id: id.clone(),
            spec: job.spec.clone(),
            task: job.task,
            image: job.image,
            team: self.team_index(&job.spec.team),
            zone: job.spec.zone.as_ref().map(|z| self.cfg.zone_index(z)),
            choices: kinds.iter().filter(|fits| **fits).count(),
            kinds,
            is_crash_looping: job.is_crash_looping(self.tuning.suspect_after),
            spare_ordinary: false,
            zones: vec![0; self.cfg.zones.len() + 1],
        };
        if request.cares_for_zones() {
            for (machine, _) in job.attempts.values().flatten() {
                if let Some(m) = self.machines.get(machine) {
                    request.zones[self.cfg.zone_index(&m.zone)] += 1;
                }
            }
        }
        Some(request)
    }

    /// Which types hold a task of the job, by their place in the catalog.
    fn kinds_of(&self, spec: &JobSpec) -> impl Iterator<Item = bool> {
        let task = Resources::of_task(spec);
        self.types.iter().map(move |t| {
            spec.types
                .as_ref()
                .is_none_or(|names| names.contains(&t.name))
                && task.fits_in(&Resources::of_type(t))
        })
    }

    /// Types that some of the waiting work has no alternative to.
    pub(super) fn fragmentation(&self, waiting: &[Turn]) -> Fragmentation {
        let mut fragmentation = Fragmentation::none(self.types.len());
        for job in waiting.iter().filter_map(|t| self.jobs.get(&t.id)) {
            fragmentation.add(
                self.kinds_of(&job.spec)
                    .enumerate()
                    .filter(|(_, fits)| *fits)
                    .map(|(kind, _)| kind),
            );
        }
        fragmentation
    }

    /// The job may use this machine.
    pub(super) fn allowed(&self, request: &PlacementRequest, bin: &Bin) -> bool {
        request.kinds[bin.kind]
            && request.zone.is_none_or(|z| z == bin.zone)
            && (request.spec.spot || !bin.spot)
            && !(request.spare_ordinary && !bin.spot && bin.empty)
            && !(bin.returning && request.spec.priority == Priority::Production)
            && (request.is_crash_looping || !bin.failed || !self.failed_on(bin, &request.id))
    }

    pub(super) fn failed_on(&self, bin: &Bin, job: &JobId) -> bool {
        let machine = bin.machine.as_ref().and_then(|m| self.machines.get(m));
        machine.is_some_and(|m| m.failed_jobs.contains(job))
    }

    /// All bins that have room for a task of the job, best first.
    pub(super) fn candidates(
        &self,
        request: &PlacementRequest,
        snapshot: &ClusterSnapshot,
        zone: Option<usize>,
    ) -> Candidates {
        self.add_visited(snapshot.open.len());
        let zones = if request.cares_for_zones() {
            self.cfg.zones.len() + 1
        } else {
            1
        };
        let mut scored: Vec<Vec<(f64, usize)>> = vec![Vec::new(); zones];
        for &i in &snapshot.open {
            let b = &snapshot.bins[i];
            if request.task.fits_in(&b.free)
                && zone.is_none_or(|z| z == b.zone)
                && self.allowed(request, b)
            {
                scored[b.zone.min(zones - 1)].push((snapshot.score(request, b), i));
            }
        }
        let lists: Vec<Vec<usize>> = scored
            .into_iter()
            .map(|mut list| {
                list.sort_by(|a, b| b.0.total_cmp(&a.0));
                list.into_iter().map(|(_, i)| i).collect()
            })
            .collect();
        Candidates {
            next: vec![0; lists.len()],
            lists,
        }
    }
}
