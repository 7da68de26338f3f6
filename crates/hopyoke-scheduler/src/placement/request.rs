//! One job's placement request: resources, constraints (filter), and its candidate machines (score).

use super::queue::QueueItem;
use super::snapshot::{Bin, ClusterSnapshot};
use crate::Scheduler;
use crate::ledger::ImageKey;
use crate::placement::fragmentation::Fragmentation;
use crate::resources::Resources;
use hopyoke_protocol::user::{JobKind, JobSpec, Priority};
use hopyoke_types::JobId;
use std::rc::Rc;

/// Resources and constraints of one job's tasks.
#[derive(Clone)]
pub(super) struct PlacementRequest {
    pub(super) id: JobId,
    pub(super) spec: Rc<JobSpec>,
    /// Resources of one task.
    pub(super) task: Resources,
    pub(super) image: ImageKey,
    /// Index of its team in the settings; `None`: unknown team, whose work is never started.
    pub(super) team: Option<usize>,
    /// Index of the only zone allowed.
    pub(super) zone: Option<usize>,
    /// Whether each type of the catalog is allowed and large enough, by its index.
    pub(super) allowed_types: Vec<bool>,
    /// Number of types that are allowed and large enough.
    pub(super) type_choices: usize,
    /// It failed on several machines, so that a machine on which it failed is not avoided.
    pub(super) is_crash_looping: bool,
    /// Spot machines are on offer: it leaves empty on-demand machines to work that needs them.
    pub(super) spare_on_demand: bool,
    /// Number of the job's placed tasks by zone index.
    pub(super) zones: Vec<u32>,
}

impl PlacementRequest {
    /// The job's zone constraints allow one more task in this zone, given where its others are.
    /// (Guards `wrong_place`.)
    pub(super) fn zone_allows(&self, zone: usize) -> bool {
        let has_task_elsewhere = || {
            self.zones
                .iter()
                .enumerate()
                .any(|(z, &count)| count > 0 && z != zone)
        };
        if self.spec.one_zone && has_task_elsewhere() {
            return false;
        }
        !self.spec.spread || self.zones[zone] < self.spec.tasks.div_ceil(2)
    }

    /// Its candidates depend on the zones of its other tasks.
    pub(super) fn is_zone_sensitive(&self) -> bool {
        self.spec.one_zone || self.spec.spread || self.spec.kind == JobKind::Service
    }
}

/// Bins that one job may use, best first; one list per zone for a zone-sensitive job, else a single list.
pub(super) struct Candidates {
    lists: Vec<Vec<usize>>,
    /// The first position of each list that may still have room.
    next: Vec<usize>,
}

impl Candidates {
    /// The bin with the highest score that still has room, in a zone that the job's constraints allow.
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
            if request.is_zone_sensitive() && !request.zone_allows(bin.zone) {
                continue;
            }
            let value = score(bin);
            if best.is_none_or(|(v, _)| value > v) {
                best = Some((value, b));
            }
        }
        best.map(|(_, b)| b)
    }

    /// Puts a newly added bin before the others of its zone.
    pub(super) fn put_first(&mut self, bin: usize, zone: usize) {
        let list = zone.min(self.lists.len() - 1);
        let next = self.next[list];
        self.lists[list].insert(next, bin);
    }
}

impl Scheduler {
    /// The placement request of a job; `None` for an unknown job.
    pub(super) fn request(&self, id: &JobId) -> Option<PlacementRequest> {
        let job = self.jobs.get(id)?;
        let allowed_types: Vec<bool> = self.types_holding(&job.spec).collect();
        let mut request = PlacementRequest {
            id: id.clone(),
            spec: job.spec.clone(),
            task: job.task,
            image: job.image,
            team: self.team_index(&job.spec.team),
            zone: job.spec.zone.as_ref().map(|z| self.cfg.zone_index(z)),
            type_choices: allowed_types.iter().filter(|fits| **fits).count(),
            allowed_types,
            is_crash_looping: job.is_crash_looping(self.tuning.suspect_after),
            spare_on_demand: false,
            zones: vec![0; self.cfg.zones.len() + 1],
        };
        if request.is_zone_sensitive() {
            for (machine, _) in job.attempts.values().flatten() {
                if let Some(m) = self.machines.get(machine) {
                    request.zones[self.cfg.zone_index(&m.zone)] += 1;
                }
            }
        }
        Some(request)
    }

    /// Whether each type of the catalog is allowed for the job and holds a task of it.
    fn types_holding(&self, spec: &JobSpec) -> impl Iterator<Item = bool> {
        let task = Resources::of_task(spec);
        self.types.iter().map(move |t| {
            spec.machine_types
                .as_ref()
                .is_none_or(|names| names.contains(&t.name))
                && task.fits_in(&Resources::of_type(t))
        })
    }

    /// Types that are the only choice of some waiting job.
    pub(super) fn fragmentation(&self, queue: &[QueueItem]) -> Fragmentation {
        let mut fragmentation = Fragmentation::new(self.types.len());
        for job in queue.iter().filter_map(|item| self.jobs.get(&item.job)) {
            fragmentation.add(
                self.types_holding(&job.spec)
                    .enumerate()
                    .filter(|(_, fits)| *fits)
                    .map(|(type_index, _)| type_index),
            );
        }
        fragmentation
    }

    /// Filter: the job may use this machine, room and zone balance aside.
    pub(super) fn passes_filters(&self, request: &PlacementRequest, bin: &Bin) -> bool {
        request.allowed_types[bin.type_index]
            && request.zone.is_none_or(|z| z == bin.zone)
            && (request.spec.spot || !bin.spot)
            && !(request.spare_on_demand && !bin.spot && bin.empty)
            && !(bin.partitioned && request.spec.priority == Priority::Production)
            && (request.is_crash_looping || !bin.has_failures || !self.failed_on(bin, &request.id))
    }

    /// Some task of the job failed on the machine.
    fn failed_on(&self, bin: &Bin, job: &JobId) -> bool {
        let machine = bin.machine.as_ref().and_then(|m| self.machines.get(m));
        machine.is_some_and(|m| m.failed_jobs.contains(job))
    }

    /// Filters and scores the open bins: those with room for a task of the job, in `zone` only if it is given.
    pub(super) fn candidates(
        &self,
        request: &PlacementRequest,
        snapshot: &ClusterSnapshot,
        zone: Option<usize>,
    ) -> Candidates {
        self.add_visited(snapshot.open.len());
        let zones = if request.is_zone_sensitive() {
            self.cfg.zones.len() + 1
        } else {
            1
        };
        let mut scored: Vec<Vec<(f64, usize)>> = vec![Vec::new(); zones];
        for &i in &snapshot.open {
            let b = &snapshot.bins[i];
            if request.task.fits_in(&b.free)
                && zone.is_none_or(|z| z == b.zone)
                && self.passes_filters(request, b)
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
