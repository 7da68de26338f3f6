//! Writes of job records, registry pages and learned run times to the key-value store, in batches that
//! use at most half of the store's write rate.

use super::batch::{Batch, BatchError, Write};
use super::rejected_writes::{RejectedWrites, Rejection, Selection, WriteKey};
use crate::config::MAX_BATCH_BYTES;
use crate::ledger::Job;
use crate::{MachinePhase, Scheduler, SchedulerConfig};
use hopyoke_types::Micros;
use hopyoke_types::{FencingToken, JobId, MachineId, ModRevision};
use std::collections::{BTreeMap, BTreeSet};

/// Pending writes and the rate limit on them.
pub(crate) struct Writes {
    /// Jobs whose records may have to be written, with the time from which the delay of gathered writes
    /// counts; `None` until a batch first considers them.
    dirty: BTreeMap<JobId, Option<Micros>>,
    /// Changes that may be written now (token bucket).
    budget: f64,
    refilled_at: Micros,
    retry_not_before: Micros,
    /// The nodes' admission control rejects new jobs, so deferrable writes leave write rate for those of submissions.
    admission_saturated: bool,
    /// Changes that deferrable writes may use while admission is saturated (token bucket).
    deferrable_budget: f64,
    /// Pages of the machine registry are not rewritten for removals alone before this time.
    removals_not_before: Micros,
    rejected: RejectedWrites,
}

/// Budget from which writes that the store may reject are tried, so that any single write fits.
const MIN_TRIAL_BUDGET: f64 = 2.0;

/// Share of the leader's write rate that deferrable writes get while admission is saturated.
const DEFERRABLE_SHARE: f64 = 0.3;

/// Delay after a batch that failed for a reason that may pass.
const RETRY_INTERVAL: Micros = Micros::from_millis(200);

/// Most that a write adds to a transaction besides its value, in bytes of JSON: keys, revisions and field names.
const WRITE_FRAME_BYTES: usize = 256;

impl Writes {
    pub(crate) fn new(cfg: &SchedulerConfig, now: Micros) -> Writes {
        Writes {
            dirty: BTreeMap::new(),
            budget: cfg.max_writes_per_s / 2.0,
            refilled_at: now,
            retry_not_before: Micros::ZERO,
            admission_saturated: false,
            deferrable_budget: 0.0,
            removals_not_before: Micros::ZERO,
            rejected: RejectedWrites::default(),
        }
    }

    /// Refills the budgets for the time since the last call, at `rate` changes per second.
    fn refill(&mut self, rate: f64, max_budget: f64, now: Micros) {
        let elapsed_s = (now - self.refilled_at).as_secs_f64();
        self.budget = (self.budget + rate * elapsed_s).min(max_budget);
        self.deferrable_budget =
            (self.deferrable_budget + rate * DEFERRABLE_SHARE * elapsed_s).min(4.0);
        self.refilled_at = now;
    }

    /// Handles the outcome of a batch of these writes, after which the next may be sent.
    pub(super) fn batch_answered(
        &mut self,
        writes: &[Write],
        result: &Result<ModRevision, BatchError>,
        now: Micros,
    ) {
        match result {
            Ok(_) => self.rejected.batch_applied(writes),
            Err(BatchError::Invalid) => self.rejected.batch_rejected(writes, now),
            Err(_) => self.retry_not_before = now + RETRY_INTERVAL,
        }
    }

    /// Marks a job whose record may have to be written.
    pub(crate) fn mark_dirty(&mut self, job: &JobId) {
        if !self.dirty.contains_key(job) {
            self.dirty.insert(job.clone(), None);
        }
    }

    pub(crate) fn is_dirty(&self, job: &JobId) -> bool {
        self.dirty.contains_key(job)
    }
}

/// Priority of the write of a job's record, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WritePriority {
    /// A first start, or a gang's new placement, waits for the write.
    Start,
    /// The job has finished.
    End,
    /// Completed tasks; several completions are gathered into one write.
    Progress,
}

/// A batch under construction, within the limits on its operations and bytes.
struct BatchBuilder {
    writes: Vec<Write>,
    ops: usize,
    bytes: usize,
    max_ops: usize,
}

impl BatchBuilder {
    /// Returns whether a write fits with a value of this size, in bytes of JSON. The first one always has room.
    fn fits(&self, ops: usize, value_len: usize) -> bool {
        let bytes = self.bytes + WRITE_FRAME_BYTES + value_len;
        self.ops + ops <= self.max_ops && (self.writes.is_empty() || bytes <= MAX_BATCH_BYTES)
    }

    fn push(&mut self, write: Write, ops: usize, value_len: usize) {
        self.ops += ops;
        self.bytes += WRITE_FRAME_BYTES + value_len;
        self.writes.push(write);
    }
}

impl Scheduler {
    /// Returns true if a write may be pending.
    pub fn has_writes(&self) -> bool {
        !self.writes.dirty.is_empty()
            || self.registry.has_additions()
            || self.registry.has_removals()
    }

    /// Sets whether the nodes' admission control rejects new jobs.
    pub fn set_admission_saturated(&mut self, admission_saturated: bool) {
        self.writes.admission_saturated = admission_saturated;
    }

    /// Returns true if writes are pending that the rate limit delays.
    pub fn is_write_rate_limited(&self) -> bool {
        self.writes.budget < 1.0 && self.has_writes()
    }

    /// Returns the writes that the store has rejected as invalid, which are set aside.
    pub fn rejected_writes(&self) -> &BTreeMap<WriteKey, Rejection> {
        self.writes.rejected.rejections()
    }

    /// Returns the next batch of writes. `None` if none is due, or the rate limit or the delay after an
    /// error forbids it.
    pub fn next_batch(&mut self, now: Micros) -> Option<Batch> {
        let rate = self.cfg.max_writes_per_s / 2.0;
        self.writes.refill(rate, self.max_write_budget(), now);
        if now < self.writes.retry_not_before || self.writes.budget < 1.0 {
            return None;
        }
        if self.writes.budget >= MIN_TRIAL_BUDGET
            && let Selection::Only(keys) = self.writes.rejected.next_selection(now)
            && let Some(batch) = self.trial_batch(keys, now)
        {
            return Some(batch);
        }
        let selection = self.writes.rejected.all_others(now);
        self.batch_of(&selection, now)
    }

    fn max_write_budget(&self) -> f64 {
        (self.cfg.max_writes_per_s / 2.0).max(4.0)
    }

    /// Returns a batch that serves to find or to retry an invalid write. `None` if none of these writes is needed any
    /// more.
    fn trial_batch(&mut self, keys: BTreeSet<WriteKey>, now: Micros) -> Option<Batch> {
        let batch = self.batch_of(&Selection::Only(keys.clone()), now);
        let tried: BTreeSet<WriteKey> = batch
            .iter()
            .flat_map(|b| b.writes.iter().map(Write::key))
            .collect();
        let (left_out, unneeded): (BTreeSet<WriteKey>, BTreeSet<WriteKey>) = keys
            .into_iter()
            .filter(|key| !tried.contains(key))
            .partition(|key| self.is_write_pending(key));
        for key in &unneeded {
            self.writes.rejected.forget(key);
        }
        self.writes.rejected.add_suspects(left_out);
        batch
    }

    /// Returns whether a write is still to be made.
    fn is_write_pending(&self, key: &WriteKey) -> bool {
        let job = |id: &JobId| self.jobs.get(id).filter(|job| job.needs_write());
        match key {
            WriteKey::JobUpdate(id) => job(id).is_some_and(|job| !job.is_finished()),
            WriteKey::JobEnd(id) => job(id).is_some_and(Job::is_finished),
            WriteKey::RegistryPage(page) => self.registry.is_write_pending(page),
            WriteKey::LearnedRunTimes(_) | WriteKey::Term => false,
        }
    }

    /// Builds a batch of selected writes and charges it to the budget. `None` if none is due.
    fn batch_of(&mut self, selection: &Selection, now: Micros) -> Option<Batch> {
        let mut builder = BatchBuilder {
            writes: Vec::new(),
            ops: 0,
            bytes: 0,
            max_ops: (self.writes.budget as usize).min(self.cfg.max_txn_ops),
        };
        // Order: starts, for which tasks wait; additions to the registry, for which machines wait before
        // their first task; ends; gathered progress.
        let mut start_writes = self.jobs_by_priority(selection, now);
        let split = start_writes.partition_point(|(priority, _)| *priority == WritePriority::Start);
        let other_writes = start_writes.split_off(split);
        self.add_job_writes(&mut builder, start_writes);
        self.add_registry_writes(&mut builder, selection.is_trial(), selection);
        self.add_job_writes(&mut builder, other_writes);
        if now >= self.writes.removals_not_before
            && builder.fits(2, 0)
            && self.registry.has_removals()
        {
            self.writes.removals_not_before = now + Micros::from_millis(500);
            self.add_registry_writes(&mut builder, true, selection);
        }
        if builder.writes.is_empty() {
            self.add_lone_write(&mut builder, selection, now);
        }
        if builder.writes.is_empty() {
            return None;
        }
        self.writes.budget -= builder.ops as f64;
        Some(Batch {
            writes: builder.writes,
        })
    }

    /// Adds one of the writes for which nothing waits and which have batches of their own: learned run times, at their
    /// own rate, or the record of the term.
    fn add_lone_write(&mut self, builder: &mut BatchBuilder, selection: &Selection, now: Micros) {
        if let Some((key, page)) = self.next_learned_page(now) {
            if !selection.contains(&WriteKey::LearnedRunTimes(key)) {
                return self.learned_page_written(key, false);
            }
            let write = Write::LearnedRunTimes { key, page };
            builder.push(write, 1, self.cfg.max_value_bytes);
        } else if self.command_tokens.is_write_due(now) && selection.contains(&WriteKey::Term) {
            builder.push(Write::Term { token: self.token }, 1, 0);
        }
    }

    /// Returns the jobs whose records are to be written now, by priority. Forgets jobs that need no write.
    fn jobs_by_priority(
        &mut self,
        selection: &Selection,
        now: Micros,
    ) -> Vec<(WritePriority, JobId)> {
        let mut ranked = Vec::new();
        let max_budget = self.max_write_budget();
        let writes = &mut self.writes;
        let (jobs, tuning, machines) = (&self.jobs, &self.tuning, &self.machines);
        let is_up = |m: &MachineId| machines.get(m).is_some_and(|m| m.phase == MachinePhase::Up);
        let (is_budget_high, is_budget_moderate) = (
            writes.budget >= max_budget * 0.75,
            writes.budget >= max_budget * 0.5,
        );
        let (admission_saturated, deferrable_budget) =
            (writes.admission_saturated, &mut writes.deferrable_budget);
        writes.dirty.retain(|id, since| {
            let Some(job) = jobs.get(id) else {
                return false;
            };
            if job.write_in_flight {
                return true;
            }
            if !job.needs_write() {
                return false;
            }
            let since = *since.get_or_insert(now);
            if !selection.is_everything() && !selection.contains(&write_key(id, job)) {
                return true;
            }
            if selection.is_trial() {
                ranked.push((WritePriority::Start, id.clone()));
                return true;
            }
            let priority = if job.start_attempt != job.recorded_start_attempt {
                // Deferrable: no task can start before one of its machines is up.
                if admission_saturated && !job.attempts.values().flatten().any(|(m, _)| is_up(m)) {
                    if *deferrable_budget < 1.0 {
                        return true;
                    }
                    *deferrable_budget -= 1.0;
                }
                WritePriority::Start
            } else if job.is_finished() {
                WritePriority::End
            } else if (is_budget_high && now >= since + tuning.gather_least)
                || (is_budget_moderate && now >= since + tuning.gather)
                || now >= since + tuning.gather_most
            {
                WritePriority::Progress
            } else {
                return true;
            };
            ranked.push((priority, id.clone()));
            true
        });
        ranked.sort_unstable();
        ranked
    }

    fn add_job_writes(&mut self, builder: &mut BatchBuilder, jobs: Vec<(WritePriority, JobId)>) {
        for (_, id) in jobs {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let write = if job.is_finished() {
                Write::End {
                    job: id.clone(),
                    mod_revision: job.mod_revision,
                    end: job.end_record(),
                }
            } else {
                Write::Update {
                    job: id.clone(),
                    mod_revision: job.mod_revision,
                    record: job.record(),
                }
            };
            let (cost, value_len) = match &write {
                Write::Update { record, .. } => {
                    (1, job.len_without_done + record.done.max_encoded_len())
                }
                other => (2, other.value_len()),
            };
            if !builder.fits(cost, value_len) {
                break;
            }
            job.write_in_flight = true;
            self.writes.dirty.insert(id, None);
            builder.push(write, cost, value_len);
        }
    }

    /// Adds writes of registry pages. A machine is registered after its first heartbeat and before its
    /// first task, so that a new leader does not wait for machines that are still booting.
    fn add_registry_writes(
        &mut self,
        builder: &mut BatchBuilder,
        include_removals: bool,
        selection: &Selection,
    ) {
        for id in self.registry.take_pending() {
            let Some(m) = self.machines.get(&id) else {
                continue;
            };
            if m.phase != MachinePhase::Up || m.deleting {
                continue;
            }
            let (counter, token) = (&mut self.sequence_number, self.token);
            let kind = (m.machine_type.as_str(), m.zone.as_str(), m.spot);
            let address = m.address.map(|a| a.to_string()).unwrap_or_default();
            self.registry
                .add(id, address, kind, self.cfg.max_value_bytes, || {
                    page_key(counter, token)
                });
        }
        while builder.fits(1, self.cfg.max_value_bytes)
            || (builder.writes.is_empty() && builder.max_ops >= 1)
        {
            let Some(write) = self.registry.next_write(include_removals, selection) else {
                return;
            };
            let value_len = write.value_len();
            builder.push(write, 1, value_len);
        }
    }
}

/// Returns the key of the next write of a job's record.
fn write_key(id: &JobId, job: &Job) -> WriteKey {
    if job.is_finished() {
        WriteKey::JobEnd(id.clone())
    } else {
        WriteKey::JobUpdate(id.clone())
    }
}

/// Returns a key that no page has had before: it contains the fencing token and a counter.
pub(super) fn page_key(counter: &mut u64, token: FencingToken) -> String {
    *counter += 1;
    format!("{token}-{counter}")
}
