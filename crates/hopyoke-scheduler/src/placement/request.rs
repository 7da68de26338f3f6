//! Placement request of one job: its resources, constraints (filter) and candidate machines
//! (score).

use super::queue::QueueItem;
use super::snapshot::{Bin, ClusterSnapshot};
use crate::Scheduler;
use crate::ledger::ImageKey;
use crate::placement::sole_choice::SoleChoiceTypes;
use crate::resources::Resources;
use hopyoke_protocol::user::{JobKind, JobSpec, Priority};
use hopyoke_stored_form::machine_types;
use hopyoke_types::JobId;
use std::rc::Rc;

/// Resources and constraints of a job's tasks.
#[derive(Clone)]
pub(super) struct PlacementRequest {
    pub(super) id: JobId,
    pub(super) spec: Rc<JobSpec>,
    /// Resources of one task.
    pub(super) task_resources: Resources,
    pub(super) image: ImageKey,
    /// Index of the team in the settings. `None` for an unknown team, whose work is never started.
    pub(super) team: Option<usize>,
    /// Index of the only permitted zone. `None` if the job may use any zone.
    pub(super) zone: Option<usize>,
    /// Whether each catalog type, by index, is permitted for the job and large enough for a task.
    pub(super) eligible_types: Vec<bool>,
    /// Number of eligible types.
    pub(super) eligible_type_count: usize,
    /// Whether the job failed on several machines. Such a job may return to machines on which it
    /// failed.
    pub(super) is_crash_looping: bool,
    /// Whether the job skips empty on-demand machines because spot instances are on offer, leaving
    /// them to work that requires on-demand machines.
    pub(super) avoid_empty_on_demand: bool,
    /// Number of the job's placed tasks, by zone index.
    pub(super) tasks_by_zone: Vec<u32>,
}

impl PlacementRequest {
    /// Returns whether the job's zone constraints permit another task in this zone, given the zones
    /// of its placed tasks.
    ///
    /// Guards the invariant `wrong_place`.
    pub(super) fn zone_allows(&self, zone: usize) -> bool {
        let has_task_elsewhere = || {
            self.tasks_by_zone
                .iter()
                .enumerate()
                .any(|(z, &count)| count > 0 && z != zone)
        };
        if self.spec.one_zone && has_task_elsewhere() {
            return false;
        }
        !self.spec.spread || self.tasks_by_zone[zone] < self.spec.tasks.div_ceil(2)
    }

    /// Returns whether the choice of a machine depends on the zones of the job's other tasks.
    pub(super) fn is_zone_sensitive(&self) -> bool {
        self.spec.one_zone || self.spec.spread || self.spec.kind == JobKind::Service
    }
}

/// Candidate bins of one job, sorted by descending score: one list per zone for a zone-sensitive
/// job, otherwise one list.
pub(super) struct Candidates {
    lists: Vec<Vec<usize>>,
    /// For each list, the position of the first bin that may still fit a task.
    next: Vec<usize>,
}

impl Candidates {
    /// Returns the highest-scoring bin that still fits a task, in a zone that the job's constraints
    /// permit.
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
                .is_some_and(|&b| !request.task_resources.fits_in(&snapshot.bins[b].free))
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

    /// Inserts a newly added bin before the remaining candidates of its zone.
    pub(super) fn put_first(&mut self, bin: usize, zone: usize) {
        let list = zone.min(self.lists.len() - 1);
        let next = self.next[list];
        self.lists[list].insert(next, bin);
    }
}

impl Scheduler {
    /// Returns the placement request of a job, or `None` for an unknown job.
    pub(super) fn placement_request(&self, id: &JobId) -> Option<PlacementRequest> {
        let job = self.jobs.get(id)?;
        let eligible_types: Vec<bool> = self.type_eligibility(&job.spec).collect();
        let mut request = PlacementRequest {
            id: id.clone(),
            spec: job.spec.clone(),
            task_resources: job.task_resources,
            image: job.image,
            team: self.team_index(&job.spec.team),
            zone: job.spec.zone.as_ref().map(|z| self.cfg.zone_index(z)),
            eligible_type_count: eligible_types.iter().filter(|fits| **fits).count(),
            eligible_types,
            is_crash_looping: job.is_crash_looping(self.tuning.suspect_after),
            avoid_empty_on_demand: false,
            tasks_by_zone: vec![0; self.cfg.zones.len() + 1],
        };
        if request.is_zone_sensitive() {
            for (machine, _) in job.attempts.values().flatten() {
                if let Some(m) = self.machines.get(machine) {
                    request.tasks_by_zone[self.cfg.zone_index(&m.zone)] += 1;
                }
            }
        }
        Some(request)
    }

    /// Returns for each catalog type whether it is permitted for the job and large enough for a
    /// task.
    fn type_eligibility(&self, spec: &JobSpec) -> impl Iterator<Item = bool> {
        let task = Resources::of_task(spec);
        self.types.iter().map(move |t| {
            machine_types::allows(spec, &t.name) && task.fits_in(&Resources::of_machine_type(t))
        })
    }

    /// Returns the types that are the only choice of some waiting job.
    pub(super) fn sole_choice_types(&self, queue: &[QueueItem]) -> SoleChoiceTypes {
        let mut sole_choice_types = SoleChoiceTypes::new(self.types.len());
        for job in queue.iter().filter_map(|item| self.jobs.get(&item.job)) {
            sole_choice_types.add(
                self.type_eligibility(&job.spec)
                    .enumerate()
                    .filter(|(_, fits)| *fits)
                    .map(|(type_index, _)| type_index),
            );
        }
        sole_choice_types
    }

    /// Returns whether the job may use this machine, not considering free resources and zone
    /// balance.
    pub(super) fn passes_filters(&self, request: &PlacementRequest, bin: &Bin) -> bool {
        request.eligible_types[bin.type_index]
            && request.zone.is_none_or(|z| z == bin.zone)
            && (request.spec.spot || !bin.spot)
            && !(request.avoid_empty_on_demand && !bin.spot && bin.empty)
            && !(bin.partitioned && request.spec.priority == Priority::Production)
            && (request.is_crash_looping || !bin.has_failures || !self.failed_on(bin, &request.id))
    }

    /// Returns whether a task of the job failed on the machine.
    fn failed_on(&self, bin: &Bin, job: &JobId) -> bool {
        let machine = bin.machine.as_ref().and_then(|m| self.machines.get(m));
        machine.is_some_and(|m| m.failed_jobs.contains(job))
    }

    /// Filters and scores the open bins that fit a task of the job, restricted to `zone` if given.
    pub(super) fn candidates(
        &self,
        request: &PlacementRequest,
        snapshot: &ClusterSnapshot,
        zone: Option<usize>,
    ) -> Candidates {
        self.add_visited(snapshot.open_bins.len());
        let zones = if request.is_zone_sensitive() {
            self.cfg.zones.len() + 1
        } else {
            1
        };
        let mut scored: Vec<Vec<(f64, usize)>> = vec![Vec::new(); zones];
        for &i in &snapshot.open_bins {
            let b = &snapshot.bins[i];
            if request.task_resources.fits_in(&b.free)
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
