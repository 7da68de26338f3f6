//! The leader's decisions, without any I/O: events and the time go in, actions come out.
//!
//! - [`job`], [`fleet`]: the ledger of jobs and machines.
//! - `check`: the three-way check of a task's recorded previous attempt.
//! - `heartbeats`: workers' reports rebuild and update the ledger; orders answer them.
//! - `plan`: placement inside the leased blocks, and the demand for machines.
//! - `rent`: renting and returning machines.
//! - `registry`: which machines may hold tasks, in pages in the state service.
//! - `hours`: work that is held while nobody is there.
//! - `records`: what must be written to the state service, in batches.

mod amounts;
mod batch;
mod check;
mod fleet;
pub mod fragmentation;
mod heartbeats;
mod hours;
mod job;
mod learn;
mod plan;
pub mod provisioning;
pub mod queue_order;
mod ranges;
mod records;
mod registry;
mod rent;
pub mod reservation;
pub mod starvation;
mod tuning;

pub use amounts::{Resources, Team, never_runs};
pub use batch::{Batch, BatchError, RegistryPage, Write};
pub use check::RestartDecision;
pub use fleet::{Allocation, AllocationState, Load, Machine, MachinePhase};
pub use heartbeats::HeartbeatReply;
pub use job::{EndRecord, Job, JobRecord};
pub use learn::{Ask, Past, When};
pub use plan::HELD;
pub use ranges::Ranges;
pub use rent::ScaleOutOutcome;
pub use tuning::Tuning;

use crate::provisioning::ProvisioningEstimator;
use crate::reservation::Reservations;
use hopyoke_consistency::Tombstones;
use hopyoke_protocol::cloud::MachineType;
use hopyoke_protocol::worker::Command;
use hopyoke_settings::Settings;
use hopyoke_types::Micros;
use hopyoke_types::{FencingToken, JobId, MachineId, ModRevision};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tracing::info;

/// What the core needs to know of the settings.
#[derive(Debug, Clone)]
pub struct SchedulerConfig {
    pub zones: Vec<String>,
    pub teams: Vec<Team>,
    pub heartbeat_interval: Micros,
    pub lease: Micros,
    pub gang_wait: Micros,
    pub gang_peer: Micros,
    pub list_lag: Micros,
    pub value_bytes: usize,
    pub txn_ops: usize,
    pub write_rps: f64,
    /// Longest time in which an old holder's answer can still reach a worker, and then some.
    pub margin: Micros,
}

impl SchedulerConfig {
    pub fn of(s: &Settings) -> SchedulerConfig {
        let f = &s.facts;
        SchedulerConfig {
            zones: f.zones.clone(),
            teams: f
                .teams
                .iter()
                .map(|t| Team {
                    name: t.name.clone(),
                    cpus: t.cpus,
                    cpus_max: t.cpus_max,
                    gpus: t.gpus,
                    gpus_max: t.gpus_max,
                })
                .collect(),
            heartbeat_interval: Micros::from_secs_f64(f.workers.report_s),
            lease: Micros::from_secs_f64(f.workers.lease_s),
            gang_wait: Micros::from_secs_f64(f.workers.gang_wait_s),
            gang_peer: Micros::from_secs_f64(f.workers.gang_peer_s),
            list_lag: Micros::from_secs_f64(f.cloud.list_lag_s),
            value_bytes: (f.state.value_kb * 1024.0) as usize,
            txn_ops: f.state.txn_ops as usize,
            write_rps: f.state.write_rps,
            margin: Micros::from_millis(500),
        }
    }

    /// A zone's place in the settings' list; unknown ones share the place after the last.
    fn zone_index(&self, name: &str) -> usize {
        self.zones
            .iter()
            .position(|z| z == name)
            .unwrap_or(self.zones.len())
    }

    /// A worker's lease is over this long after we last answered it.
    pub fn lease_bound(&self) -> Micros {
        self.lease.with_drift() + self.margin
    }

    /// What a record's done tasks may take, in characters.
    fn done_chars(&self) -> usize {
        self.value_bytes.saturating_sub(3584)
    }

    /// This many of a job's unfinished tasks, lowest numbers first, are always looked at: what is done among
    /// them never falls into more ranges than fit.
    pub fn window(&self) -> u32 {
        (self.done_chars() / ranges::RANGE_CHARS).max(16) as u32
    }

    /// Others are looked at up to this far behind the first unfinished one: within this span a bit for
    /// each task fits. Whatever is done beyond it was in the window, and then ranges are few. So a record
    /// always fits its value. (Scenarios fragmented_record, huge_array.)
    pub fn span(&self) -> u32 {
        (self.done_chars().saturating_sub(64) * 6) as u32
    }
}

/// What the core wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    ScaleOut {
        request: String,
        machine_type: String,
        zone: String,
        spot: bool,
        count: u32,
    },
    Delete {
        machines: Vec<MachineId>,
    },
    /// Read the job's record again: a write of it failed or went unanswered.
    ReloadRecord {
        job: JobId,
    },
    /// Send orders straight to a worker.
    Direct {
        machine: MachineId,
        address: std::net::SocketAddr,
        epoch: u64,
        commands: Vec<Command>,
    },
}

/// A worker takes an answer no later than this after it sent its report.
const ANSWER_LIMIT: Micros = Micros::from_millis(4_010);

/// A machine that has not answered a question after a takeover for so long, while nearly all others have, is
/// taken not to: waiting for the whole time limit would hold up the fleet.
const MUTE_AFTER: Micros = Micros::from_millis(1_200);

/// How often machines are looked at for what only time brings.
const SWEEP: Micros = Micros::from_millis(100);

pub struct Scheduler {
    pub cfg: SchedulerConfig,
    pub tuning: Tuning,
    /// Says that we are entitled to command; the revision at which the blocks were granted to us.
    pub token: FencingToken,
    /// When we learned of the grant.
    started: Micros,
    /// When we last began, or began again, to act.
    resumed: Micros,
    last_settled: Micros,
    pub jobs: BTreeMap<JobId, Job>,
    pub machines: BTreeMap<MachineId, Machine>,
    pub types: Vec<MachineType>,
    /// Machines that are gone for certain: the cloud confirmed their deletion.
    gone: BTreeMap<MachineId, Micros>,
    /// What the cloud listed last.
    listed: Option<BTreeSet<MachineId>>,
    /// Jobs whose record has left `job/`.
    tombstones: Tombstones,
    is_reconciling: bool,
    counter: u64,
    pending_scale_outs: rent::PendingScaleOuts,
    provisioning_estimator: ProvisioningEstimator,
    writes: records::Writes,
    learned: learn::Learned,
    staffing: hours::Staffing,
    reservations: Reservations,
    actions: VecDeque<Action>,
    /// Something changed that a plan must see.
    changed: bool,
    /// No plan before this: changes are gathered.
    next_plan: Micros,
    /// A plan at this time even if nothing changed.
    plan_by: Micros,
    /// The least time between plans; follows from what a plan costs.
    plan_gap: Micros,
    /// Plans made so far.
    plans: u64,
    /// When silent machines and lapsed leases are looked for again.
    next_sweep: Micros,
    /// Machines whose orders have changed since they were last sent.
    commands_due: BTreeSet<MachineId>,
    registry: registry::MachineRegistry,
    /// Machines to be asked what is on them, after a takeover.
    probes: VecDeque<MachineId>,
    open_probes: usize,
    open_deletes: usize,
    /// Seconds that moves of replicas may still take, and up to when they were earned.
    move_budget: f64,
    moves_earned: Micros,
    next_fleet_line: Micros,
    /// Machines, jobs, bins and slots looked at so far; scenarios assert that it stays in bounds.
    entities_visited: Cell<u64>,
    /// Zones of which most machines fell silent together, by their place in the settings' list.
    cut_zones: Vec<bool>,
    /// No replica is moved before this.
    next_move: Micros,
    /// Until then silence speaks against us, not against machines.
    receive_overloaded_until: Micros,
}

impl Scheduler {
    /// Takes over: `jobs` and `registry` are as read after the grant of `token`.
    pub fn new(
        cfg: SchedulerConfig,
        token: FencingToken,
        jobs: Vec<(JobId, JobRecord, ModRevision)>,
        registry: Vec<(String, ModRevision, Option<RegistryPage>)>,
        now: Micros,
    ) -> Scheduler {
        let mut scheduler = Scheduler {
            writes: records::Writes::new(&cfg, now),
            cfg,
            token,
            started: now,
            resumed: now,
            last_settled: now,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            types: Vec::new(),
            gone: BTreeMap::new(),
            listed: None,
            tombstones: Tombstones::default(),
            is_reconciling: false,
            counter: 0,
            learned: learn::Learned::default(),
            staffing: hours::Staffing::default(),
            reservations: Reservations::default(),
            pending_scale_outs: rent::PendingScaleOuts::default(),
            provisioning_estimator: ProvisioningEstimator::default(),
            actions: VecDeque::new(),
            changed: true,
            next_plan: Micros::ZERO,
            plan_by: Micros::ZERO,
            plan_gap: Tuning::default().plan_gap_least,
            tuning: Tuning::default(),
            plans: 0,
            next_sweep: Micros::ZERO,
            commands_due: BTreeSet::new(),
            registry: registry::MachineRegistry::default(),
            probes: VecDeque::new(),
            open_probes: 0,
            open_deletes: 0,
            move_budget: 0.0,
            moves_earned: now,
            next_fleet_line: Micros::ZERO,
            entities_visited: Cell::new(0),
            cut_zones: Vec::new(),
            next_move: Micros::ZERO,
            receive_overloaded_until: Micros::ZERO,
        };
        for (id, record, mod_revision) in jobs {
            scheduler.job_seen(id, record, mod_revision, now);
        }
        for (key, mod_revision, page) in registry {
            for id in scheduler.registry.read(key, mod_revision, page.as_ref()) {
                let Some(p) = &page else { continue };
                let mut m = Machine::new(
                    id.clone(),
                    p.machine_type.clone(),
                    p.zone.clone(),
                    p.spot,
                    now,
                );
                (m.is_registered, m.inherited) = (true, true);
                m.address = p.machines.get(&id).and_then(|a| a.parse().ok());
                scheduler.probes.push_back(id.clone());
                // An earlier holder may have answered it until just before our grant.
                m.lease_end = now + scheduler.cfg.lease_bound();
                scheduler.machines.insert(id, m);
            }
        }
        scheduler.is_reconciling = !scheduler.registry.is_empty();
        scheduler
    }

    /// Reports can't all be heard: this node is behind on its own processor, or has no room for
    /// connections. Until two report intervals after the last such moment no machine is given up for
    /// its silence, and none is rented in place of those that are not heard. (Guards against a fleet
    /// that is deleted and rented anew because its leader is overloaded: seen at four to six times
    /// heirloomlane-fleet's size.)
    pub fn set_receive_overloaded(&mut self, now: Micros) {
        if now >= self.receive_overloaded_until {
            info!(
                machines = self.machines.len(),
                "not all machines can be heard"
            );
        }
        self.receive_overloaded_until = now + self.cfg.heartbeat_interval.times(2);
    }

    fn is_receive_overloaded(&self, now: Micros) -> bool {
        now < self.receive_overloaded_until
    }

    pub fn set_catalog(&mut self, types: Vec<MachineType>) {
        if self.types != types {
            self.types = types;
            self.changed = true;
        }
    }

    /// A job's record as the state service has it.
    pub fn job_seen(
        &mut self,
        id: JobId,
        record: JobRecord,
        mod_revision: ModRevision,
        now: Micros,
    ) {
        match self.jobs.get_mut(&id) {
            None if self.tombstones.is_outdated(&id, mod_revision) => return,
            None => {
                // Whatever was first written after our grant can't have been started by an earlier
                // holder: its time was over before the grant was applied.
                let inherited = mod_revision.0 <= self.token.0;
                let job = Job::new(record, mod_revision, inherited, now);
                let spec = job.spec.clone();
                self.jobs.insert(id.clone(), job);
                self.adopt_allocations(&id, &spec);
            }
            Some(job) if mod_revision > job.mod_revision => {
                let done = record.done.tidy(job.spec.tasks);
                job.done.merge(&done);
                job.recorded = done;
                job.recorded_term = record.term;
                job.mod_revision = mod_revision;
                self.writes.note(&id);
                return;
            }
            Some(_) => return,
        }
        self.changed = true;
    }

    /// The job's record is gone: it was cancelled, or we recorded its end ourselves.
    pub fn job_dropped(&mut self, id: &JobId, now: Micros) {
        self.tombstones.add(id, now);
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        for (index, places) in job.places {
            for (machine, attempt) in places {
                self.stop_allocation(&machine, id, index, attempt, 0.0);
            }
        }
        self.changed = true;
    }

    /// All changes of jobs' records up to `revision` have been told to us, by an answer to what was asked at
    /// `sent`.
    pub fn caught_up(&mut self, revision: ModRevision, sent: Micros) {
        self.tombstones.caught_up(revision, sent);
    }

    /// All changes of jobs' records up to this revision are known here.
    pub fn applied(&self) -> ModRevision {
        self.tombstones.applied()
    }

    pub fn job_ids(&self) -> Vec<JobId> {
        self.jobs.keys().cloned().collect()
    }

    /// The next action, if any.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Something waits to be done or sent.
    pub fn has_actions(&self) -> bool {
        !self.actions.is_empty() || !self.commands_due.is_empty() || self.may_probe()
    }

    /// Does what is due; to be called after events and at least every half second.
    pub fn tick(&mut self, now: Micros) {
        self.settle(now);
        self.probe(now);
        self.pushed_commands(now);
    }

    /// All of a tick but the sending of direct orders.
    fn settle(&mut self, now: Micros) {
        if now > self.last_settled + Micros::from_secs(1) {
            self.resumed = now;
        }
        self.last_settled = now;
        self.apply_staffed_hours(now);
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP;
            self.add_visited(4 * self.machines.len());
            self.detect_partitioned_zones(now);
            self.expire_leases(now);
            self.remove_unresponsive(now);
            self.update_reconciliation(now);
            self.observe_runs(now);
        }
        if self.plan_due(now) {
            self.changed = false;
            self.next_plan = now + self.plan_gap;
            self.plan_by = now + Micros::from_millis(500).max(self.plan_gap);
            self.stop_finished();
            let demand = self.plan(now);
            self.rent(demand, now);
            self.return_idle(now);
        }
    }

    fn plan_due(&self, now: Micros) -> bool {
        (self.changed && now >= self.next_plan) || now >= self.plan_by
    }

    /// When a tick has something to do again, if no event comes before.
    pub fn next_due(&self, now: Micros) -> Micros {
        let tick = now + Micros::from_millis(250);
        if self.changed {
            tick.min(self.next_plan)
        } else {
            tick
        }
    }

    /// What has been looked at so far: machines, jobs, bins, slots.
    pub fn entities_visited(&self) -> u64 {
        self.entities_visited.get()
    }

    fn add_visited(&self, n: usize) {
        self.entities_visited
            .set(self.entities_visited.get() + n as u64);
    }

    /// Plans made so far.
    pub fn plans(&self) -> u64 {
        self.plans
    }

    /// What the latest plan cost, as a span of which `share` may go to plans.
    pub fn plan_cost(&mut self, cost: Micros, share: f64) {
        let gap = Micros::from_secs_f64(cost.as_secs_f64() / share.max(0.001));
        // A plan that nobody hears the answers to serves nobody: a node that is behind plans less often.
        let most =
            self.tuning
                .plan_gap_most
                .times(if self.is_receive_overloaded(self.last_settled) {
                    4
                } else {
                    1
                });
        self.plan_gap = gap.clamp(self.tuning.plan_gap_least, most);
    }

    /// Faults in the sums that are kept up to date with the changes, against sums counted anew;
    /// for scenarios.
    pub fn audit(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for m in self.machines.values() {
            if let Some(kept) = m.kept_load()
                && *kept != m.count(&self.cfg.teams)
            {
                faults.push(format!("sums of {} are stale: {kept:?}", m.id));
            }
            if m.is_registered && !self.registry.names(&m.id) {
                faults.push(format!("{} counts as registered but is on no page", m.id));
            }
        }
        for (id, job) in &self.jobs {
            if job.needs_write() && !self.writes.notes(id) {
                faults.push(format!("{id} has something to write that nobody noted"));
            }
            let tasks = job.spec.tasks;
            let open = job
                .done
                .missing(tasks)
                .filter(|i| !job.places.contains_key(i))
                .count();
            if open as u32 != job.unplaced_tasks() {
                faults.push(format!(
                    "{id} has {open} tasks without a place, not {}",
                    job.unplaced_tasks()
                ));
            }
        }
        faults
    }

    /// True while tasks that nobody has reported may still be on a machine.
    pub fn is_reconciling(&self) -> bool {
        self.is_reconciling
    }

    /// Recovery ends when every machine in the register is accounted for: it reported after
    /// having seen our token, its session has lapsed, or the cloud confirmed its deletion. Tasks
    /// are only ever started on registered machines, so what nobody reported by then is nowhere.
    /// (Guards `ran_twice` and `quota`.)
    ///
    /// Time alone ends it only for machines on pages that can't be read: whoever we have answered
    /// lives on, and an order of an earlier holder may have reached it between its report and our
    /// answer. (Scenario reconciliation_outlasts_leases.)
    fn update_reconciliation(&mut self, now: Micros) {
        if !self.is_reconciling {
            return;
        }
        let blind = self.registry.blind();
        let open = self
            .machines
            .values()
            .filter(|m| self.is_unreconciled(m))
            .count();
        if open == 0 && (!blind || now >= self.started + self.cfg.lease_bound()) {
            self.is_reconciling = false;
            self.changed = true;
            self.registry.recovered();
            info!(
                token = self.token.0,
                after_ms = (now - self.started).as_millis(),
                "recovered"
            );
        }
    }

    /// An earlier holder may have started something on it, and it has not shown yet that no more can come. What was
    /// not in the register when we read it has nothing of theirs: they start nothing on a machine before its page is
    /// written for certain. (Scenario reconciliation_new_machines.)
    fn is_unreconciled(&self, m: &Machine) -> bool {
        let may_hold = m.inherited || (self.registry.blind() && m.phase == MachinePhase::Up);
        may_hold && m.phase != MachinePhase::Lost && !m.is_reconciled(self.token)
    }

    /// A new report that still shows an older token, from now on, is of a session that began after our
    /// grant: one that is older was over when its lease ran out unless it took an answer of ours, and
    /// then it would show our token. No earlier holder can have commanded such a session.
    /// (An answer counts for reports sent up to [`ANSWER_LIMIT`] before it.)
    pub(crate) fn old_sessions_are_over(&self, now: Micros) -> bool {
        now >= self.started + self.cfg.lease_bound() + ANSWER_LIMIT
    }

    fn new_request(&mut self) -> String {
        self.counter += 1;
        format!("hy-{}-{}", self.token, self.counter)
    }

    fn boot_time(&self, name: &str) -> Micros {
        self.machine_type(name)
            .map_or(Micros::ZERO, |t| Micros::from_secs_f64(t.boot_s))
    }

    fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| t.name == name)
    }

    /// When most machines of a zone fall silent together, the zone is most likely cut off: they will
    /// be back, and machines rented there now could not report either.
    fn detect_partitioned_zones(&mut self, now: Micros) {
        let zones = self.cfg.zones.len() + 1;
        let quiet = self.cfg.heartbeat_interval.times(2) + Micros::from_secs(1);
        let mut seen = vec![(0usize, 0usize); zones];
        for m in self
            .machines
            .values()
            .filter(|m| m.is_registered && !m.deleting)
        {
            let since = m.last_seen.max(self.resumed);
            let (all, silent) = &mut seen[self.cfg.zone_index(&m.zone)];
            *all += 1;
            *silent += usize::from(m.phase == MachinePhase::Lost || now >= since + quiet);
        }
        // Were all zones silent, the fault would be ours.
        let heard = seen
            .iter()
            .any(|(all, silent)| *all > 0 && silent * 2 < *all);
        let cut: Vec<bool> = seen
            .iter()
            .map(|(all, silent)| heard && *all >= 3 && silent * 2 >= *all)
            .collect();
        for (z, name) in self.cfg.zones.iter().enumerate() {
            if cut[z] != self.cut_zones.get(z).copied().unwrap_or(false) {
                info!(zone = %name, cut = cut[z], machines = seen[z].0, silent = seen[z].1, "zone silent");
                self.changed = true;
            }
        }
        self.cut_zones = cut;
    }

    fn zone_cut(&self, zone: &str) -> bool {
        self.cut_zones
            .get(self.cfg.zone_index(zone))
            .copied()
            .unwrap_or(false)
    }

    /// A machine that has fallen silent while most others report is given up: its deletion proves
    /// that its tasks are gone, sooner than its lease's lapse would. Were it this node that is cut
    /// off, most would be silent, and nothing is deleted.
    fn remove_unresponsive(&mut self, now: Micros) {
        let silent_after = (self.cfg.heartbeat_interval.times(4)).max(Micros::from_secs(8));
        // After a takeover, or a time in which we were not entitled to answer (scenario
        // outage_short), workers need a moment to find us.
        let since = |m: &Machine| m.last_seen.max(self.resumed + Micros::from_secs(1));
        let watched: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| m.is_registered && m.phase != MachinePhase::Lost && !m.deleting)
            .collect();
        let is_fresh = |m: &&&Machine| {
            m.phase == MachinePhase::Up && now < m.last_seen + self.cfg.heartbeat_interval.times(2)
        };
        let fresh = watched.iter().filter(is_fresh).count();
        if fresh == 0 {
            return;
        }
        let most_report = watched.len() >= 3 && fresh * 10 >= watched.len() * 6;
        let set_receive_overloaded = self.is_receive_overloaded(now);
        // One that the cloud no longer lists is most likely gone: the list proves nothing, but the
        // deletion does. It is asked first, and given up if it does not answer either, though most were silent:
        // what was returned while the state service could not be written is still in the register, and a new
        // leader would wait for it until all leases had run out. (Scenario returned_in_outage.)
        // A new leader gives up the last few that did not answer it: work of the whole fleet waits for
        // them. Were they many, they might be cut off or hang, and be back.
        let open = watched
            .iter()
            .filter(|m| self.is_reconciling && self.is_unreconciled(m))
            .count();
        let is_mute = |m: &Machine| m.unreachable || (m.probing && now >= m.probed_at + MUTE_AFTER);
        let mute = watched
            .iter()
            .filter(|m| self.is_reconciling && self.is_unreconciled(m) && is_mute(m))
            .count();
        let last_few =
            !set_receive_overloaded && open > 0 && open == mute && open * 50 <= watched.len();
        let overdue_after = Micros(self.cfg.heartbeat_interval.0 * 5 / 4) + Micros::from_secs(1);
        let unlisted_after = self.cfg.heartbeat_interval.times(2);
        let unlisted = |m: &Machine| self.listed.as_ref().is_some_and(|l| !l.contains(&m.id));
        let silent: Vec<MachineId> = watched
            .iter()
            .filter(|m| {
                let quiet = now.saturating_sub(since(m));
                (most_report && last_few && self.is_unreconciled(m))
                    || (most_report
                        && quiet >= silent_after
                        && !self.zone_cut(&m.zone)
                        && !set_receive_overloaded)
                    || unlisted(m)
                        && ((m.unreachable && (most_report || !set_receive_overloaded))
                            || (most_report && quiet >= unlisted_after))
            })
            .map(|m| m.id.clone())
            .collect();
        let overdue = |m: &&&Machine| {
            !m.is_crash_looping && unlisted(m) && now >= m.last_seen + overdue_after
        };
        let suspects: Vec<MachineId> = watched
            .iter()
            .filter(overdue)
            .map(|m| m.id.clone())
            .collect();
        for id in suspects {
            if let Some(m) = self.machines.get_mut(&id) {
                m.is_crash_looping = true;
                self.probes.push_back(id);
            }
        }
        for id in silent {
            if let Some(m) = self.machines.get_mut(&id) {
                m.deleting = true;
                self.changed = true;
                info!(machine = %id, zone = %m.zone, spot = m.spot, "machine silent: giving it up");
            }
        }
    }

    /// Sessions end by themselves when we have not answered for long enough; then everything on
    /// the machine is gone. (Guards `ran_twice`: not a moment earlier.)
    fn expire_leases(&mut self, now: Micros) {
        let set_receive_overloaded = self.is_receive_overloaded(now);
        let lapsed: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| {
                m.phase != MachinePhase::Lost && m.lease_end > Micros::ZERO && now >= m.lease_end
            })
            .map(|m| m.id.clone())
            .collect();
        // Machines of a zone that is cut off are kept for as long as new ones would take to boot.
        let kept: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| m.phase == MachinePhase::Lost && !m.deleting && !set_receive_overloaded)
            .filter(|m| now >= m.lease_end + self.boot_time(&m.machine_type))
            .map(|m| m.id.clone())
            .collect();
        for id in kept {
            if let Some(m) = self.machines.get_mut(&id) {
                m.deleting = true;
                self.changed = true;
            }
        }
        for id in lapsed {
            let held = self.clear_allocations(&id);
            let cut = self
                .machines
                .get(&id)
                .is_some_and(|m| self.zone_cut(&m.zone));
            if let Some(m) = self.machines.get_mut(&id) {
                m.phase = MachinePhase::Lost;
                m.deleting |= !cut && !set_receive_overloaded;
                m.idle_since = None;
                info!(machine = %id, zone = %m.zone, spot = m.spot, tasks = held, epoch = m.epoch, "machine lost: its lease lapsed");
            }
            self.changed = true;
        }
    }
}
