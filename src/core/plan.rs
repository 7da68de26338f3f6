//! Placement inside the leased blocks, and the demand for machines that follows from it.
//!
//! Every plan is made anew: jobs in order of importance take room on machines that are up, then
//! (in the plan only) on machines that boot, then on machines yet to be rented. So room that an
//! important job waits for is not given to a lesser one.

use super::amounts::{Amounts, Team};
use super::check::Verdict;
use super::fleet::{Machine, Phase, Slot, SlotState};
use super::rent::{Demand, Offer};
use super::{Core, Job};
use crate::ids::{Attempt, JobId, MachineId, TaskId};
use crate::time::Micros;
use crate::wire::user::{JobKind, JobSpec, Priority};
use crate::wire::worker::TaskState;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tracing::info;

/// What making room costs, in which bin, and who must go.
type Room = (f64, usize, Vec<TaskKey>);

/// One attempt of one task.
type TaskKey = (TaskId, Attempt);

/// A machine, real or yet to be rented, in a plan.
struct Bin {
    machine: Option<MachineId>,
    /// Tasks can be started on it now.
    ready: bool,
    machine_type: String,
    zone: String,
    spot: bool,
    free: Amounts,
    /// Images it has or fetches.
    images: Vec<String>,
    empty: bool,
    /// Replicas on it, which stay long.
    replicas: u32,
    /// What its tasks will free that have been told to go at once.
    freeing: Amounts,
    failed_jobs: BTreeSet<JobId>,
}

/// Work for which room was found.
struct Start {
    job: JobId,
    index: u32,
    machine: MachineId,
    attempt: Attempt,
}

/// A plan in the making.
struct Plan {
    bins: Vec<Bin>,
    used: BTreeMap<String, Amounts>,
    starts: Vec<Start>,
    demand: BTreeMap<Offer, u32>,
    /// Machines that the plan counts on.
    wanted: BTreeSet<MachineId>,
    /// Tasks to be stopped for more important ones.
    victims: Vec<(MachineId, TaskKey)>,
}

/// What the placement of one job must look at.
struct Needs {
    id: JobId,
    spec: Rc<JobSpec>,
    task: Amounts,
    /// It failed on several machines, so no machine is avoided for that.
    suspect: bool,
    /// Spot machines are to be had: it leaves empty ordinary ones to work that needs them.
    spare_ordinary: bool,
    /// Places of the job's tasks by zone.
    zones: BTreeMap<String, u32>,
}

impl Core {
    /// Makes a plan, starts what it can, and says which machines to rent.
    pub(super) fn plan(&mut self, now: Micros) -> Demand {
        let mut plan = Plan {
            bins: self.bins(now),
            used: self.team_use(),
            starts: Vec::new(),
            demand: BTreeMap::new(),
            wanted: BTreeSet::new(),
            victims: Vec::new(),
        };
        // A task on a machine whose job we don't know may belong to any team: until it is gone
        // (it has been told to stop) nothing that counts against a limit is started.
        let strange = self.machines.values().any(|m| m.slots.values().any(|s| s.is_live() && s.spec.is_none()));
        for id in self.order() {
            let Some(job) = self.jobs.get(&id) else { continue };
            let why = if now < job.hold_until {
                "its backoff"
            } else if (strange || self.recovering()) && self.limited(&job.spec.team) {
                // While recovering, machines that have not reported may hold tasks of jobs that
                // were cancelled under an earlier holder; no record names them any more, but
                // they use their team's quota. (Guards `quota`; scenario cancelled_before_takeover.)
                "recovery"
            } else if job.is_gang() {
                self.place_gang(&id, &mut plan, now)
            } else {
                self.place_each(&id, &mut plan, now)
            };
            if let Some(job) = self.jobs.get_mut(&id) {
                job.waits_for = why;
            }
        }
        for s in std::mem::take(&mut plan.starts) {
            self.start(s, now);
        }
        for (machine, (task, attempt)) in std::mem::take(&mut plan.victims) {
            info!(machine = %machine, task = %task, "preempted for a production task");
            self.stop_slot(&machine, &task.job, task.index, attempt, 0.0);
        }
        self.consolidate(&plan, now);
        Demand { offers: plan.demand, wanted: plan.wanted }
    }

    fn limited(&self, team: &str) -> bool {
        self.team(team).is_none_or(|t| t.cpus_max > 0.0 || t.gpus_max > 0.0)
    }

    fn team(&self, name: &str) -> Option<&Team> {
        self.cfg.teams.iter().find(|t| t.name == name)
    }

    /// What each team's tasks use, from command to proven exit. While recovering, also what
    /// tasks may use that nobody has reported yet: all that earlier holders may have started.
    /// (Guards `quota`.)
    fn team_use(&self) -> BTreeMap<String, Amounts> {
        let mut used: BTreeMap<String, Amounts> = BTreeMap::new();
        let mut add = |spec: &JobSpec, n: f64| {
            let sum = used.entry(spec.team.clone()).or_default();
            *sum = *sum + Amounts::of_task(spec).times(n);
        };
        for slot in self.machines.values().flat_map(|m| m.slots.values()) {
            if let (true, Some(spec)) = (slot.is_live(), &slot.spec) {
                add(spec, 1.0);
            }
        }
        if self.recovering() {
            for job in self.jobs.values().filter(|j| j.inherited) {
                let unknown = job
                    .done
                    .missing(job.spec.tasks)
                    .take(self.cfg.window())
                    .filter(|&i| self.check(job, i) == Verdict::Unknown)
                    .count();
                add(&job.spec, unknown as f64);
            }
        }
        used
    }

    /// Jobs in the order in which they get room.
    fn order(&self) -> Vec<JobId> {
        let mut jobs: Vec<(&JobId, &Job)> = self.jobs.iter().collect();
        jobs.sort_by_key(|(id, j)| (j.accepted_us, *id));
        let mut claimed: BTreeMap<&str, Amounts> = BTreeMap::new();
        let mut keyed: Vec<_> = jobs
            .into_iter()
            .map(|(id, job)| {
                let spec = &job.spec;
                let left = f64::from(spec.tasks - job.done.count().min(spec.tasks));
                let sum = claimed.entry(spec.team.as_str()).or_default();
                *sum = *sum + Amounts::of_task(spec).times(left);
                let within = self.team(&spec.team).is_some_and(|t| t.guarantees(sum));
                let class = match (spec.priority, within) {
                    (Priority::Production, _) => 0,
                    (_, true) => 1,
                    (Priority::High, _) => 2,
                    (Priority::Normal, _) => 3,
                    (Priority::Low, _) => 4,
                };
                ((class, spec.priority, job.accepted_us), id.clone())
            })
            .collect();
        keyed.sort();
        keyed.into_iter().map(|(_, id)| id).collect()
    }

    fn bins(&self, now: Micros) -> Vec<Bin> {
        let quiet = self.cfg.report.times(2) + Micros::from_secs(2);
        let usable = |m: &&Machine| {
            m.phase != Phase::Lost && !m.deleting && !m.faulty && m.notice.is_none() && now >= m.cool_until
        };
        let mut bins: Vec<Bin> = self
            .machines
            .values()
            .filter(usable)
            .filter_map(|m| {
                let total = Amounts::of_type(self.machine_type(&m.machine_type)?);
                let fresh = m.phase == Phase::Up && now < m.last_seen + quiet;
                if m.phase == Phase::Up && !fresh {
                    return None;
                }
                let mut images: Vec<String> = m.images.iter().map(|(i, _)| i.clone()).collect();
                images.extend(m.slots.values().filter_map(|s| s.spec.as_ref().map(|s| s.image.clone())));
                Some(Bin {
                    machine: Some(m.id.clone()),
                    ready: fresh && m.registered && m.settled(self.token),
                    machine_type: m.machine_type.clone(),
                    zone: m.zone.clone(),
                    spot: m.spot,
                    free: total - m.used(),
                    images,
                    empty: !m.has_live(),
                    replicas: replicas(m),
                    freeing: freeing(m),
                    failed_jobs: m.failed_jobs.clone(),
                })
            })
            .collect();
        // Machines that are being rented right now.
        for (offer, n) in self.rents.open() {
            for _ in 0..n {
                bins.extend(self.new_bin(&offer));
            }
        }
        bins
    }

    fn new_bin(&self, offer: &Offer) -> Option<Bin> {
        let total = Amounts::of_type(self.machine_type(&offer.machine_type)?);
        Some(Bin {
            machine: None,
            ready: false,
            machine_type: offer.machine_type.clone(),
            zone: offer.zone.clone(),
            spot: offer.spot,
            free: total,
            images: Vec::new(),
            empty: true,
            replicas: 0,
            freeing: Amounts::default(),
            failed_jobs: BTreeSet::new(),
        })
    }

    fn needs(&self, id: &JobId) -> Option<Needs> {
        let job = self.jobs.get(id)?;
        let mut zones = BTreeMap::new();
        for (machine, _) in job.places.values().flatten() {
            if let Some(m) = self.machines.get(machine) {
                *zones.entry(m.zone.clone()).or_default() += 1;
            }
        }
        Some(Needs {
            id: id.clone(),
            spec: job.spec.clone(),
            task: Amounts::of_task(&job.spec),
            suspect: job.suspect(),
            spare_ordinary: false,
            zones,
        })
    }

    /// Arrays and services: each task for itself.
    fn place_each(&mut self, id: &JobId, plan: &mut Plan, now: Micros) -> &'static str {
        let (Some(mut needs), Some(job)) = (self.needs(id), self.jobs.get(id)) else { return "" };
        let mut unknown = false;
        let mut startable = Vec::new();
        for index in job.done.missing(job.spec.tasks).take(self.cfg.window()) {
            match self.check(job, index) {
                Verdict::StartAnew => startable.push(index),
                Verdict::Unknown => unknown = true,
                Verdict::Reconnect | Verdict::AcceptResult => {}
            }
        }
        let mut left = startable.len() as u32;
        // A zone rule must not be broken by tasks that nobody has reported yet.
        if unknown && (needs.spec.spread || needs.spec.one_zone) {
            return "recovery";
        }
        for index in startable {
            if !plan.charge(&needs, 1.0, self.team(&needs.spec.team)) {
                return "its team's limit";
            }
            needs.spare_ordinary = needs.spec.spot && self.spot_offered(&needs, now);
            let bin = match self.choose_open(&needs, plan, None) {
                Some(bin) if plan.bins[bin].ready => bin,
                _ => match self.preempt(&needs, plan, now) {
                    Some(zone) => {
                        *needs.zones.entry(zone).or_default() += 1;
                        left -= 1;
                        continue;
                    }
                    None => match self.choose(&needs, plan, None, left, now) {
                        Some(bin) => bin,
                        None => {
                            plan.refund(&needs, 1.0);
                            return "machines";
                        }
                    },
                },
            };
            left -= 1;
            plan.take(bin, &mut needs);
            if plan.bins[bin].ready
                && let Some(machine) = plan.bins[bin].machine.clone()
            {
                let attempt = self.new_attempt();
                plan.starts.push(Start { job: id.clone(), index, machine, attempt });
            }
        }
        if unknown { "recovery" } else { "" }
    }

    /// Gangs: all tasks at once, or the replacements that a waiting gang lacks.
    fn place_gang(&mut self, id: &JobId, plan: &mut Plan, now: Micros) -> &'static str {
        let (Some(needs), Some(job)) = (self.needs(id), self.jobs.get(id)) else { return "" };
        let n = job.spec.tasks;
        let missing: Vec<u32> = (0..n).filter(|i| !job.places.contains_key(i)).collect();
        if missing.is_empty() || job.is_done() {
            return "";
        }
        // Tasks of the old attempt stay where they are until they exit: nothing new before that.
        if job.gang_failing || (job.gang_started && missing.len() < n as usize) {
            return "its old attempt to end";
        }
        if missing.iter().any(|&i| self.check(job, i) != Verdict::StartAnew) {
            return "recovery";
        }
        let anew = missing.len() == n as usize;
        let term = job.term;
        let count = missing.len() as u32;
        if !plan.charge(&needs, f64::from(count), self.team(&needs.spec.team)) {
            return "its team's limit";
        }
        let Some(bins) = self.choose_all(&needs, plan, count, now) else {
            plan.refund(&needs, f64::from(count));
            self.reserve(&needs, plan, count);
            return "machines";
        };
        if !bins.iter().all(|&b| plan.bins[b].ready) {
            return "machines to boot";
        }
        let attempt = if anew { self.new_attempt() } else { term };
        if anew && let Some(job) = self.jobs.get_mut(id) {
            // Written before any of its tasks is told to start.
            job.term = attempt;
            job.gang_started = false;
        }
        for (index, bin) in missing.into_iter().zip(bins) {
            if let Some(machine) = plan.bins[bin].machine.clone() {
                plan.starts.push(Start { job: id.clone(), index, machine, attempt });
            }
        }
        ""
    }

    /// Finds room for `count` tasks at once, in one zone if the job asks for it. Room on machines
    /// that are not ready yet is taken in the plan, so that it is kept for this gang.
    fn choose_all(&self, needs: &Needs, plan: &mut Plan, count: u32, now: Micros) -> Option<Vec<usize>> {
        let zones: Vec<Option<String>> = if needs.spec.one_zone {
            let mut zones: Vec<(u32, u32, String)> = self
                .cfg
                .zones
                .iter()
                .map(|z| {
                    let room = |ready: bool| -> u32 {
                        let fits = |b: &&Bin| b.zone == *z && (b.ready || !ready) && self.allowed(needs, b);
                        plan.bins.iter().filter(fits).map(|b| b.free.holds(&needs.task)).sum()
                    };
                    (room(true).min(count), room(false).min(count), z.clone())
                })
                .collect();
            zones.sort_by_key(|z| std::cmp::Reverse((z.0, z.1)));
            zones.into_iter().map(|z| Some(z.2)).collect()
        } else {
            vec![None]
        };
        for zone in zones {
            let mut needs = Needs {
                id: needs.id.clone(),
                spec: needs.spec.clone(),
                task: needs.task,
                suspect: needs.suspect,
                spare_ordinary: false,
                zones: needs.zones.clone(),
            };
            let mut taken = Vec::new();
            let before = plan.bins.len();
            let demand = plan.demand.clone();
            for left in (1..=count).rev() {
                match self.choose(&needs, plan, zone.as_deref(), left, now) {
                    Some(bin) => {
                        plan.take(bin, &mut needs);
                        taken.push(bin);
                    }
                    None => break,
                }
            }
            if taken.len() == count as usize {
                return Some(taken);
            }
            for &bin in &taken {
                plan.bins[bin].free = plan.bins[bin].free + needs.task;
            }
            plan.bins.truncate(before);
            plan.demand = demand;
        }
        None
    }

    /// A gang that finds no room keeps lesser work off the machines that will hold it: without
    /// this, single tasks take every place that falls free, and gangs starve. Machines without
    /// replicas, which stay long, are chosen; the emptiest first, and in one zone if it must be.
    fn reserve(&self, needs: &Needs, plan: &mut Plan, count: u32) {
        let mut best: Option<(u32, u32, Vec<usize>)> = None;
        let zones: Vec<Option<&String>> =
            if needs.spec.one_zone { self.cfg.zones.iter().map(Some).collect() } else { vec![None] };
        for zone in zones {
            let mut fits: Vec<(u32, u32, usize)> = plan
                .bins
                .iter()
                .enumerate()
                .filter(|(_, b)| zone.is_none_or(|z| b.zone == *z) && b.replicas == 0 && self.allowed(needs, b))
                .filter_map(|(i, b)| {
                    let total = Amounts::of_type(self.machine_type(&b.machine_type)?).holds(&needs.task);
                    let now = b.free.holds(&needs.task);
                    (total > 0).then_some((now, total, i))
                })
                .collect();
            fits.sort_by_key(|f| std::cmp::Reverse((f.0, f.1)));
            let (mut room, mut now, mut taken) = (0, 0, Vec::new());
            for (free, total, i) in fits {
                if room >= count {
                    break;
                }
                room += total;
                now += free;
                taken.push(i);
            }
            if best.as_ref().is_none_or(|b| (room.min(count), now) > (b.0, b.1)) {
                best = Some((room.min(count), now, taken));
            }
        }
        if let Some((room, _, taken)) = best
            && room >= count
        {
            for i in taken {
                let b = &mut plan.bins[i];
                b.free = Amounts::default();
                if let Some(m) = &b.machine {
                    plan.wanted.insert(m.clone());
                }
            }
        }
    }

    /// Moves a replica that keeps a machine half empty to one that has room and its image: the
    /// machine can then hold a gang, or be returned. One at a time, and none that has just
    /// started. (Moving replicas to drain a machine is allowed.)
    fn consolidate(&mut self, plan: &Plan, now: Micros) {
        if now < self.next_move || self.recovering() {
            return;
        }
        let settled = Micros::from_secs(40);
        let found = self.machines.values().find_map(|m| {
            let total = Amounts::of_type(self.machine_type(&m.machine_type)?);
            let mut live = m.slots.iter().filter(|(_, s)| s.is_live());
            let ((task, attempt), slot) = live.next()?;
            let spec = slot.spec.as_ref()?;
            let lone = live.next().is_none() && m.phase == Phase::Up && !m.deleting;
            let ran = slot.running_since.is_some_and(|t| now >= t + settled);
            if !lone || !ran || slot.stop.is_some() || spec.kind != JobKind::Service {
                return None;
            }
            let mut needs = self.needs(&task.job)?;
            if let Some(n) = needs.zones.get_mut(&m.zone) {
                *n -= 1;
            }
            let size = |free: &Amounts| free.holds(&needs.task);
            let better = plan.bins.iter().any(|b| {
                b.ready
                    && b.machine.as_ref().is_some_and(|o| *o != m.id)
                    && b.replicas > 0
                    && b.images.contains(&spec.image)
                    && needs.task.fits_in(&b.free)
                    // Only from the emptier to the fuller, or moves would never end.
                    && size(&b.free) <= size(&(total - needs.task))
                    && self.allowed(&needs, b)
                    && self.zone_allows(&needs, &b.zone)
            });
            better.then(|| (m.id.clone(), task.clone(), *attempt, spec.save_s))
        });
        if let Some((machine, task, attempt, grace)) = found {
            info!(machine = %machine, task = %task, "moving replica to drain machine");
            self.next_move = now + Micros::from_secs(4);
            self.stop_slot(&machine, &task.job, task.index, attempt, grace);
        }
    }

    /// The job may use this machine.
    fn allowed(&self, needs: &Needs, bin: &Bin) -> bool {
        let s = &needs.spec;
        s.types.as_ref().is_none_or(|t| t.contains(&bin.machine_type))
            && s.zone.as_ref().is_none_or(|z| *z == bin.zone)
            && (s.spot || !bin.spot)
            && !(needs.spare_ordinary && !bin.spot && bin.empty)
            && (needs.suspect || !bin.failed_jobs.contains(&needs.id))
    }

    /// The job's zone rules allow one more task in this zone, given where its others are.
    /// (Guards `wrong_place`.)
    fn zone_allows(&self, needs: &Needs, zone: &str) -> bool {
        let s = &needs.spec;
        if s.one_zone && needs.zones.iter().any(|(z, &n)| n > 0 && z != zone) {
            return false;
        }
        !s.spread || needs.zones.get(zone).copied().unwrap_or(0) < s.tasks.div_ceil(2)
    }

    /// The best bin for one task of a job; opens a new one if none has room.
    fn choose(&self, needs: &Needs, plan: &mut Plan, zone: Option<&str>, left: u32, now: Micros) -> Option<usize> {
        if let Some(i) = self.choose_open(needs, plan, zone) {
            return Some(i);
        }
        let offer = self.best_offer(needs, zone, left, now)?;
        let bin = self.new_bin(&offer)?;
        *plan.demand.entry(offer).or_default() += 1;
        plan.bins.push(bin);
        Some(plan.bins.len() - 1)
    }

    /// The best bin with room, ready ones first.
    fn choose_open(&self, needs: &Needs, plan: &Plan, zone: Option<&str>) -> Option<usize> {
        let mut best: Option<(f64, usize)> = None;
        for (i, bin) in plan.bins.iter().enumerate() {
            if !needs.task.fits_in(&bin.free)
                || zone.is_some_and(|z| z != bin.zone)
                || !self.allowed(needs, bin)
                || !self.zone_allows(needs, &bin.zone)
            {
                continue;
            }
            let score = self.score(needs, bin);
            if best.is_none_or(|(s, _)| score > s) {
                best = Some((score, i));
            }
        }
        best.map(|(_, i)| i)
    }

    /// Makes room for a production task on a machine that is up by stopping tasks of arrays of
    /// lower priority: nobody else is preempted, for arrays lose least. The room is taken in the
    /// plan; the task starts once the others have exited. Returns the zone.
    fn preempt(&self, needs: &Needs, plan: &mut Plan, now: Micros) -> Option<String> {
        if needs.spec.priority != Priority::Production {
            return None;
        }
        let mut best: Option<Room> = None;
        for (i, bin) in plan.bins.iter().enumerate() {
            if !bin.ready || !self.allowed(needs, bin) || !self.zone_allows(needs, &bin.zone) {
                continue;
            }
            let image = if bin.images.contains(&needs.spec.image) { 0.0 } else { 1000.0 };
            let mut room = bin.free + bin.freeing;
            let mut victims = Vec::new();
            let mut lost = 0.0;
            let Some(m) = bin.machine.as_ref().and_then(|m| self.machines.get(m)) else { continue };
            let mut candidates: Vec<(f64, &TaskKey, &Slot)> = m
                .slots
                .iter()
                .filter(|(k, s)| s.is_live() && s.stop.is_none() && !plan.victims.iter().any(|v| v.1 == **k))
                .filter(|(_, s)| {
                    s.spec.as_ref().is_some_and(|v| v.kind == JobKind::Array && v.priority > needs.spec.priority)
                })
                .map(|(k, s)| (s.running_since.map_or(0.0, |t| (now - t).as_secs_f64()), k, s))
                .collect();
            candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
            for (ran, key, slot) in candidates {
                if needs.task.fits_in(&room) {
                    break;
                }
                room = room + slot.amounts();
                lost += ran + 1.0;
                victims.push(key.clone());
            }
            if !needs.task.fits_in(&room) {
                continue;
            }
            let cost = image + lost;
            if best.as_ref().is_none_or(|b| cost < b.0) {
                best = Some((cost, i, victims));
            }
        }
        let (_, i, victims) = best?;
        let bin = &mut plan.bins[i];
        let machine = bin.machine.clone()?;
        let freed = victims.iter().filter_map(|k| self.machines.get(&machine)?.slots.get(k)).map(Slot::amounts);
        let freed = freed.fold(Amounts::default(), |a, b| a + b);
        // Room that is promised to this task is neither free nor freeing for others.
        bin.freeing = bin.freeing + bin.free + freed - needs.task;
        bin.free = Amounts::default();
        plan.wanted.insert(machine.clone());
        let zone = bin.zone.clone();
        plan.victims.extend(victims.into_iter().map(|k| (machine.clone(), k)));
        Some(zone)
    }

    fn score(&self, needs: &Needs, bin: &Bin) -> f64 {
        let mut score = 0.0;
        if bin.ready {
            score += 1000.0;
        }
        if bin.images.contains(&needs.spec.image) {
            score += 100.0;
        }
        // Work that may use spot machines leaves the ordinary ones to work that may not.
        if bin.spot {
            score += 50.0;
        }
        if !bin.empty {
            score += 20.0;
        }
        if needs.spec.kind == JobKind::Service {
            // Replicas stay long: packed together they leave whole machines to gangs, and to be
            // returned. Spread over zones, one zone's end takes few of a job's.
            if bin.replicas > 0 {
                score += 70.0;
            }
            score -= 30.0 * f64::from(needs.zones.get(&bin.zone).copied().unwrap_or(0));
        }
        // Best fit.
        score - (bin.free.gpus - needs.task.gpus) - (bin.free.cpus - needs.task.cpus) / 16.0
    }

    /// The cloud has not refused every kind of spot machine that the job may use.
    fn spot_offered(&self, needs: &Needs, now: Micros) -> bool {
        self.best_offer(needs, None, 1, now).is_some_and(|o| o.spot)
    }

    fn best_offer(&self, needs: &Needs, zone: Option<&str>, left: u32, now: Micros) -> Option<Offer> {
        let s = &needs.spec;
        let mut best: Option<(f64, Offer)> = None;
        for t in &self.types {
            let slots = Amounts::of_type(t).holds(&needs.task);
            if slots == 0 || s.types.as_ref().is_some_and(|names| !names.contains(&t.name)) {
                continue;
            }
            let zones = if t.zones.is_empty() { &self.cfg.zones } else { &t.zones };
            for z in zones {
                if zone.is_some_and(|want| want != z)
                    || s.zone.as_ref().is_some_and(|want| want != z)
                    || !self.zone_allows(needs, z)
                {
                    continue;
                }
                for spot in [true, false] {
                    let offer = Offer { machine_type: t.name.clone(), zone: z.clone(), spot };
                    if (spot && (!s.spot || t.spot_price <= 0.0)) || self.rents.refused(&offer, now) {
                        continue;
                    }
                    let price = if spot { t.spot_price } else { t.price };
                    // Per slot that this job can use.
                    let mut cost = price / f64::from(slots.min(left.max(1)));
                    // Zones in which we have fewer machines are preferred, slightly.
                    let here = self.machines.values().filter(|m| m.zone == *z).count();
                    cost *= 1.0 + 0.01 * here as f64 + 0.001 * t.boot_s;
                    if best.as_ref().is_none_or(|(c, _)| cost < *c) {
                        best = Some((cost, offer));
                    }
                }
            }
        }
        best.map(|(_, o)| o)
    }

    /// Puts an attempt on a machine; its start order goes out with the next orders.
    fn start(&mut self, s: Start, now: Micros) {
        let Some(spec) = self.jobs.get(&s.job).map(|j| j.spec.clone()) else { return };
        let Some(m) = self.machines.get_mut(&s.machine) else { return };
        let task = TaskId { job: s.job, index: s.index };
        let slot = Slot::new(SlotState::Sent, Some(spec), now);
        m.slots.insert((task.clone(), s.attempt), slot);
        m.orders_changed = true;
        m.idle_since = None;
        self.place_add(&s.machine, &task, s.attempt);
    }

    /// Gangs that lost a task after they started, or that are to move, must end altogether first;
    /// services leave machines that are about to be taken.
    pub(super) fn wind_up(&mut self) {
        let mut stops: Vec<(MachineId, JobId, u32, Attempt, f64)> = Vec::new();
        for (id, job) in &mut self.jobs {
            let placed = job.places.len() as u32;
            let leaving = |machines: &BTreeMap<MachineId, Machine>, m: &MachineId| {
                machines.get(m).is_some_and(|m| m.notice.is_some() || m.faulty)
            };
            if !job.is_gang() {
                if job.spec.kind == JobKind::Service {
                    for (&index, places) in &job.places {
                        for (m, attempt) in places.iter().filter(|(m, _)| leaving(&self.machines, m)) {
                            stops.push((m.clone(), id.clone(), index, *attempt, job.spec.save_s));
                        }
                    }
                }
                continue;
            }
            if placed == 0 {
                job.gang_failing = false;
                job.gang_started = false;
                continue;
            }
            if job.gang_started && placed < job.spec.tasks {
                job.gang_failing = true;
            }
            let moved = job.places.values().flatten().any(|(m, _)| leaving(&self.machines, m));
            for (&index, places) in &job.places {
                for (m, attempt) in places {
                    if job.gang_failing || *attempt != job.term {
                        stops.push((m.clone(), id.clone(), index, *attempt, 0.0));
                    } else if moved {
                        // Orderly stop: all are told at once and may save.
                        stops.push((m.clone(), id.clone(), index, *attempt, job.spec.save_s + 1.0));
                    }
                }
            }
        }
        for (machine, job, index, attempt, grace) in stops {
            self.stop_slot(&machine, &job, index, attempt, grace);
        }
        self.count_running();
    }

    fn count_running(&mut self) {
        for job in self.jobs.values_mut() {
            job.running = 0;
        }
        for m in self.machines.values() {
            for ((task, _), slot) in &m.slots {
                if matches!(slot.state, SlotState::Live(TaskState::Running | TaskState::Saving))
                    && let Some(job) = self.jobs.get_mut(&task.job)
                {
                    job.running += 1;
                }
            }
        }
    }
}

/// What the tasks of a machine hold that have been told to end without saving.
fn freeing(m: &Machine) -> Amounts {
    let going = |s: &&Slot| s.is_live() && s.stop.is_some_and(|s| s.grace_s == 0.0);
    m.slots.values().filter(going).fold(Amounts::default(), |a, s| a + s.amounts())
}

/// Replicas of services on a machine.
fn replicas(m: &Machine) -> u32 {
    let service = |s: &&Slot| s.is_live() && s.spec.as_ref().is_some_and(|s| s.kind == JobKind::Service);
    m.slots.values().filter(service).count() as u32
}

impl Plan {
    /// Charges `n` tasks to their team unless that exceeds its limit.
    fn charge(&mut self, needs: &Needs, n: f64, team: Option<&Team>) -> bool {
        let Some(team) = team else { return false };
        let used = self.used.entry(needs.spec.team.clone()).or_default();
        let sum = *used + needs.task.times(n);
        if !team.allows(&sum) {
            return false;
        }
        *used = sum;
        true
    }

    fn refund(&mut self, needs: &Needs, n: f64) {
        if let Some(used) = self.used.get_mut(&needs.spec.team) {
            *used = *used - needs.task.times(n);
        }
    }

    fn take(&mut self, bin: usize, needs: &mut Needs) {
        let b = &mut self.bins[bin];
        b.free = b.free - needs.task;
        b.empty = false;
        b.replicas += u32::from(needs.spec.kind == JobKind::Service);
        if !b.images.contains(&needs.spec.image) {
            b.images.push(needs.spec.image.clone());
        }
        *needs.zones.entry(b.zone.clone()).or_default() += 1;
        if let Some(m) = &b.machine {
            self.wanted.insert(m.clone());
        }
    }
}
