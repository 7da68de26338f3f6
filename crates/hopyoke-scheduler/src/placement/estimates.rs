//! Uses of learned run times in placement.
//!
//! Each use can be disabled by a setting of its own. Learned run times only guide choices: what may
//! be stopped, charged or placed does not depend on them.

use super::AttemptKey;
use super::queue::QueueEntry;
use super::request::PlacementRequest;
use super::snapshot::{BackfillCapacity, ClusterSnapshot, ExpectedCapacity};
use crate::Scheduler;
use crate::ledger::{Allocation, Machine, MachinePhase};
use crate::resources::Resources;
use hopyoke_protocol::user::{JobKind, Priority};
use hopyoke_types::{MachineId, Micros};

/// Lower bound on the assumed image download rate, in GB/s.
const MIN_FETCH_GB_PER_S: f64 = 0.05;

impl Scheduler {
    /// Reorders jobs with a deadline by their latest start time, among entries of the same tier and
    /// priority.
    ///
    /// Jobs without a deadline keep their positions.
    pub(super) fn order_by_latest_start(&self, entries: &mut [QueueEntry]) {
        let mut from = 0;
        while from < entries.len() {
            let level = (entries[from].tier, entries[from].priority);
            let len = entries[from..]
                .iter()
                .take_while(|e| (e.tier, e.priority) == level)
                .count();
            let group = &mut entries[from..from + len];
            from += len;
            let mut positions = Vec::new();
            let mut by_latest_start: Vec<(i64, QueueEntry)> = Vec::new();
            for (i, entry) in group.iter().enumerate() {
                let Some(job) = self.jobs.get(&entry.job) else {
                    continue;
                };
                let Some(deadline) = job.spec.deadline_s else {
                    continue;
                };
                let run_s = self.estimate_run_time(&job.spec).distribution.quantile(0.9);
                let slack_s = (deadline - run_s).clamp(-1e9, 1e9);
                let latest_start_us = entry.accepted_us as i64 + (slack_s * 1e6) as i64;
                positions.push(i);
                by_latest_start.push((latest_start_us, entry.clone()));
            }
            by_latest_start.sort();
            for (i, (_, entry)) in positions.into_iter().zip(by_latest_start) {
                group[i] = entry;
            }
        }
    }

    /// Returns the cost of stopping a task, in seconds of lost work.
    ///
    /// This is the time that the task has run. With `use_for_victims` it is weighted up the closer
    /// the task is to its expected end.
    pub(super) fn lost_work_s(
        &self,
        key: &AttemptKey,
        allocation: &Allocation,
        now: Micros,
    ) -> f64 {
        let ran = allocation
            .running_since
            .map_or(0.0, |t| (now - t).as_secs_f64());
        if !self.tuning.use_for_victims {
            return ran;
        }
        let remaining_s = self.remaining_s(&key.0, key.1, 0.5, now).unwrap_or(ran);
        ran * (1.0 + ran / (ran + remaining_s).max(1e-6))
    }

    /// Opens the resources reserved for a gang to backfill, until the last of its machines is
    /// expected to be free.
    pub(super) fn allow_backfill(
        &self,
        reserved: &[usize],
        snapshot: &mut ClusterSnapshot,
        now: Micros,
    ) {
        let mut available_s = 0.0f64;
        for &i in reserved {
            let machine = snapshot.bins[i].machine.as_ref();
            let Some(m) = machine.and_then(|id| self.machines.get(id)) else {
                continue;
            };
            if m.phase == MachinePhase::Provisioning {
                available_s = available_s
                    .max((m.requested_at + self.boot_time(&m.machine_type) - now).as_secs_f64());
            }
            for ((task, attempt), allocation) in m.allocations().iter().filter(|(_, s)| s.is_live())
            {
                let remaining_s = match self.remaining_s(task, *attempt, 0.5, now) {
                    Some(s) => s,
                    None => allocation.spec.as_ref().map_or(0.0, |s| {
                        self.estimate_run_time(s).distribution.quantile(0.5)
                    }),
                };
                available_s = available_s.max(remaining_s);
            }
        }
        for &i in reserved {
            let bin = &mut snapshot.bins[i];
            if bin.ready && (bin.free.gpus > 0.0 || bin.free.cpus > 0.0) {
                bin.backfill_capacity = Some(BackfillCapacity {
                    free: bin.free,
                    available_s,
                });
                snapshot.backfill_bins.push(i);
            }
        }
    }

    /// Reserves backfill capacity for a task of an array that is likely to end before the gang
    /// needs it.
    ///
    /// Returns the bin and whether it has the image. Returns `None` if no backfill capacity fits, or
    /// if the job is no array or is zone-sensitive.
    pub(super) fn backfill(
        &self,
        request: &PlacementRequest,
        snapshot: &mut ClusterSnapshot,
    ) -> Option<(usize, bool)> {
        if snapshot.backfill_bins.is_empty()
            || request.spec.kind != JobKind::Array
            || request.is_zone_sensitive()
        {
            return None;
        }
        let run_s = self
            .estimate_run_time(&request.spec)
            .distribution
            .quantile(0.9);
        let found = snapshot.backfill_bins.iter().copied().find_map(|i| {
            let bin = &snapshot.bins[i];
            let capacity = bin.backfill_capacity?;
            let has_image = snapshot.has_image(bin, request.image);
            let fetch_gb_per_s = self.types[bin.type_index]
                .fetch_gb_per_s
                .max(MIN_FETCH_GB_PER_S);
            let fetch_s = if has_image {
                0.0
            } else {
                request.spec.image_gb / fetch_gb_per_s
            };
            (request.task_resources.fits_in(&capacity.free)
                && run_s + fetch_s <= capacity.available_s
                && self.passes_filters(request, bin))
            .then_some((i, has_image))
        })?;
        let bin = &mut snapshot.bins[found.0];
        if let Some(capacity) = &mut bin.backfill_capacity {
            capacity.free = capacity.free - request.task_resources;
        }
        bin.last_image = Some(request.image);
        Some(found)
    }

    /// Claims resources for one task that running tasks are expected to free before an instance
    /// requested now would be ready.
    ///
    /// Returns false if there are none, or if the job is production work or zone-sensitive.
    pub(super) fn claim_expected_capacity(
        &self,
        request: &PlacementRequest,
        snapshot: &mut ClusterSnapshot,
        now: Micros,
    ) -> bool {
        if request.spec.priority == Priority::Production || request.is_zone_sensitive() {
            return false;
        }
        if snapshot.expected_capacity.is_none() {
            let min_boot_s = self
                .types
                .iter()
                .map(|t| t.boot_s)
                .fold(f64::INFINITY, f64::min);
            let horizon = Micros::from_secs_f64(if min_boot_s.is_finite() {
                min_boot_s
            } else {
                0.0
            });
            snapshot.expected_capacity = Some(self.expected_capacity(snapshot, now, horizon));
        }
        let Some(expected_capacity) = &mut snapshot.expected_capacity else {
            return false;
        };
        let fits = |e: &&mut ExpectedCapacity| {
            request.task_resources.fits_in(&e.resources)
                && request.eligible_types[e.type_index]
                && request.zone.is_none_or(|z| z == e.zone)
                && (request.spec.spot || !e.spot)
        };
        let Some(found) = expected_capacity.iter_mut().find(fits) else {
            return false;
        };
        found.resources = found.resources - request.task_resources;
        true
    }

    /// Returns the resources that running tasks, and tasks bound in this cycle, are expected to
    /// free within `horizon`.
    fn expected_capacity(
        &self,
        snapshot: &ClusterSnapshot,
        now: Micros,
        horizon: Micros,
    ) -> Vec<ExpectedCapacity> {
        let mut expected = Vec::new();
        for binding in &snapshot.bindings {
            let job = self.jobs.get(&binding.job);
            let Some(job) = job.filter(|j| j.spec.kind == JobKind::Array) else {
                continue;
            };
            let start_latency_s = self.learned.learner.start_latency_s(&job.spec.class);
            let machine = self.machines.get(&binding.machine);
            let Some(capacity) = machine.and_then(|m| self.capacity_on(m, job.task_resources))
            else {
                continue;
            };
            let run_s = self.estimate_run_time(&job.spec).distribution.quantile(0.9);
            if start_latency_s + run_s <= horizon.as_secs_f64() {
                expected.push(capacity);
            }
        }
        for (task, _) in self.learned.learner.runs_ending_within(now, horizon) {
            self.add_visited(1);
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            // All tasks of a gang end together, so that one of them represents all.
            let only_index = (!job.is_gang()).then_some(task.index);
            for (_, attempts) in job
                .attempts
                .iter()
                .filter(|(i, _)| only_index.is_none_or(|only| **i == only))
            {
                let machines = attempts
                    .iter()
                    .filter_map(|(id, _)| self.usable_machine(id));
                expected.extend(machines.filter_map(|m| self.capacity_on(m, job.task_resources)));
            }
        }
        expected
    }

    /// Returns the machine if new tasks can use resources freed on it.
    ///
    /// Returns `None` for a machine that is unknown, faulty, slow or being deleted.
    fn usable_machine(&self, id: &MachineId) -> Option<&Machine> {
        let machine = self.machines.get(id);
        machine.filter(|m| !m.faulty && !m.slow && !m.deleting)
    }

    /// Describes resources that are expected to become free on the machine.
    ///
    /// Returns `None` if the catalog no longer has the machine's type.
    fn capacity_on(&self, m: &Machine, resources: Resources) -> Option<ExpectedCapacity> {
        let type_index = self.types.iter().position(|t| t.name == m.machine_type)?;
        Some(ExpectedCapacity {
            type_index,
            zone: self.cfg.zone_index(&m.zone),
            spot: m.spot,
            resources,
        })
    }
}
