//! Placement inside the leased blocks, and the demand for machines that follows from it.
//!
//! Every plan is made anew: jobs in order of importance take room on machines that are up, then
//! (in the plan only) on machines that boot, then on machines yet to be rented. So room that an
//! important job waits for is not given to a lesser one.
//!
//! What a plan costs follows the work that waits, not the fleet: sums per machine are kept until
//! its slots change, jobs that have all their places are passed over, and the bins are searched
//! once per job, not once per task.

use super::Core;
use super::amounts::{Amounts, Team};
use super::check::Verdict;
use super::fleet::{ImageKey, Machine, Phase, Slot, SlotState};
use super::rent::{Demand, Offer};
use crate::ids::{Attempt, JobId, MachineId, TaskId};
use crate::time::Micros;
use crate::wire::user::{JobKind, JobSpec, Priority};
use crate::wire::worker::TaskState;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::rc::Rc;
use tracing::{debug, info};

/// One attempt of one task.
type TaskKey = (TaskId, Attempt);

/// What making room costs, in which bin, and who must go.
type Room = (f64, usize, Vec<TaskKey>);

/// A machine, real or yet to be rented, in a plan.
struct Bin {
    machine: Option<MachineId>,
    /// Tasks can be started on it now.
    ready: bool,
    /// Its type: a place in the catalog.
    kind: usize,
    /// Its zone: a place in the settings' list, or just past it.
    zone: usize,
    spot: bool,
    free: Amounts,
    empty: bool,
    /// Replicas on it, which stay long.
    replicas: u32,
    /// What its tasks will free that have been told to go at once.
    freeing: Amounts,
    /// What could be freed for production work.
    preemptible: Amounts,
    /// Where its images stand in the plan's list.
    images: (u32, u32),
    /// The image of the task that this plan put on it last.
    latest: Option<ImageKey>,
    /// Some job's tasks failed on it.
    failed: bool,
    /// It is cut off and may be back: production work does not wait for that.
    returning: bool,
    /// The plan counts on it.
    wanted: bool,
}

/// Work for which room was found.
struct Start {
    job: JobId,
    index: u32,
    machine: MachineId,
    attempt: Attempt,
    /// The machine has the image.
    image: bool,
}

/// A kind of machine that the cloud sells, as seen by one plan.
struct OfferView {
    offer: Offer,
    kind: usize,
    zone: usize,
    spot: bool,
    /// Price with what speaks against it: a zone that holds much of the fleet, a long boot.
    cost: f64,
}

/// A plan in the making.
struct Plan {
    bins: Vec<Bin>,
    /// Bins that had room for the smallest waiting task, and all new ones.
    open: Vec<usize>,
    images: Vec<ImageKey>,
    /// What a machine of each type offers.
    kinds: Vec<Amounts>,
    offers: Vec<OfferView>,
    demand: Vec<u32>,
    /// Use by team.
    used: Vec<Amounts>,
    /// Some live attempt is of a job that the ledger doesn't know.
    strange: bool,
    starts: Vec<Start>,
    /// Tasks to be stopped for more important ones.
    victims: Vec<(MachineId, TaskKey)>,
    /// Gangs that have reserved machines.
    reservations: usize,
    /// Tasks looked at by the search for room by preemption; see [`MOST_PREEMPT_SEARCHES`].
    preempt_searches: usize,
}

/// Each reservation sorts all machines, so only the gangs that are next in line make one. More
/// would hold back machines for gangs whose turn is far off anyway.
const MOST_RESERVATIONS: usize = 16;

/// Each search looks at every machine with lesser work; the next plan goes on with the rest.
const MOST_PREEMPT_SEARCHES: usize = 32;

/// The share of all replicas' time that may be lost to moving them.
const MOVE_SHARE: f64 = 0.0015;
/// What a move costs a replica whose image is there, in seconds.
const MOVE_S: f64 = 1.5;
/// Machines looked at for draining in one round.
const MOST_DRAIN_LOOKS: usize = 64;

/// What the placement of one job must look at.
#[derive(Clone)]
struct Needs {
    id: JobId,
    spec: Rc<JobSpec>,
    task: Amounts,
    image: ImageKey,
    team: Option<usize>,
    /// The only zone allowed.
    zone: Option<usize>,
    /// Types allowed, by their place in the catalog.
    kinds: Vec<bool>,
    /// It failed on several machines, so no machine is avoided for that.
    suspect: bool,
    /// Spot machines are to be had: it leaves empty ordinary ones to work that needs them.
    spare_ordinary: bool,
    /// Places of the job's tasks by zone.
    zones: Vec<u32>,
}

impl Needs {
    /// The job's zone rules allow one more task in this zone, given where its others are.
    /// (Guards `wrong_place`.)
    fn zone_allows(&self, zone: usize) -> bool {
        if self.spec.one_zone && self.zones.iter().enumerate().any(|(z, &n)| n > 0 && z != zone) {
            return false;
        }
        !self.spec.spread || self.zones[zone] < self.spec.tasks.div_ceil(2)
    }

    fn cares_for_zones(&self) -> bool {
        self.spec.one_zone || self.spec.spread || self.spec.kind == JobKind::Service
    }
}

/// Bins that one job may use, best first, by zone if the job cares for zones.
struct Candidates {
    lists: Vec<Vec<usize>>,
    next: Vec<usize>,
}

impl Candidates {
    /// The best bin that still has room, in a zone that the job's rules allow.
    fn best(&mut self, needs: &Needs, plan: &Plan, score: impl Fn(&Bin) -> f64) -> Option<usize> {
        let mut best: Option<(f64, usize)> = None;
        for (list, next) in self.lists.iter().zip(&mut self.next) {
            while list.get(*next).is_some_and(|&b| !needs.task.fits_in(&plan.bins[b].free)) {
                *next += 1;
            }
            let Some(&b) = list.get(*next) else { continue };
            let bin = &plan.bins[b];
            if needs.cares_for_zones() && !needs.zone_allows(bin.zone) {
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
    fn put_first(&mut self, bin: usize, zone: usize) {
        let list = zone.min(self.lists.len() - 1);
        let next = self.next[list];
        self.lists[list].insert(next, bin);
    }
}

impl Core {
    /// Makes a plan, starts what it can, and says which machines to rent.
    pub(super) fn plan(&mut self, now: Micros) -> Demand {
        self.plans += 1;
        self.looked_at(self.jobs.len() + 2 * self.machines.len());
        let order = self.order();
        let mut plan = self.new_plan(&order, now);
        // A task on a machine whose job we don't know may belong to any team: until it is gone
        // (it has been told to stop) nothing that counts against a limit is started.
        let strange = plan.strange;
        let unbounded = !self.charge_unknown(&mut plan);
        for id in order {
            let Some(job) = self.jobs.get(&id) else { continue };
            let why = if now < job.hold_until {
                "its backoff"
            } else if (strange || unbounded) && self.limited(&job.spec.team) {
                "recovery"
            } else if job.is_gang() {
                self.place_gang(&id, &mut plan, now)
            } else {
                self.place_each(&id, &mut plan, now)
            };
            if let Some(job) = self.jobs.get_mut(&id) {
                job.waits_for = why;
                if !why.is_empty() {
                    job.waited_for = why;
                }
            }
        }
        if now >= self.next_fleet_line {
            self.next_fleet_line = now + Micros::from_secs(5);
            plan.tell();
        }
        for s in std::mem::take(&mut plan.starts) {
            self.start(s, now);
        }
        for (machine, (task, attempt)) in std::mem::take(&mut plan.victims) {
            info!(machine = %machine, task = %task, "preempted for a production task");
            self.stop_slot(&machine, &task.job, task.index, attempt, 0.0);
        }
        self.consolidate(&plan, now);
        let offers = plan.offers.into_iter().zip(plan.demand).filter(|(_, n)| *n > 0);
        Demand {
            offers: offers.map(|(o, n)| (o.offer, n)).collect(),
            wanted: plan.bins.into_iter().filter(|b| b.wanted).filter_map(|b| b.machine).collect(),
        }
    }

    fn new_plan(&mut self, order: &[JobId], now: Micros) -> Plan {
        let mut plan = Plan {
            bins: Vec::with_capacity(self.machines.len() + 64),
            open: Vec::new(),
            images: Vec::new(),
            kinds: self.types.iter().map(Amounts::of_type).collect(),
            offers: self.offers(now),
            demand: Vec::new(),
            used: vec![Amounts::default(); self.cfg.teams.len()],
            strange: false,
            starts: Vec::new(),
            victims: Vec::new(),
            reservations: 0,
            preempt_searches: 0,
        };
        plan.demand = vec![0; plan.offers.len()];
        self.fill_bins(&mut plan, now);
        // Bins without room even for the smallest waiting task need no second look.
        let least = order.iter().filter_map(|id| self.jobs.get(id)).map(|j| j.task).reduce(|a, b| Amounts {
            cpus: a.cpus.min(b.cpus),
            gpus: a.gpus.min(b.gpus),
            memory_gb: a.memory_gb.min(b.memory_gb),
        });
        if let Some(least) = least {
            plan.open = (0..plan.bins.len()).filter(|&i| least.fits_in(&plan.bins[i].free)).collect();
        }
        plan
    }

    fn limited(&self, team: &str) -> bool {
        self.team(team).is_none_or(|t| t.cpus_max > 0.0 || t.gpus_max > 0.0)
    }

    fn team(&self, name: &str) -> Option<&Team> {
        self.cfg.teams.iter().find(|t| t.name == name)
    }

    fn team_index(&self, name: &str) -> Option<usize> {
        self.cfg.teams.iter().position(|t| t.name == name)
    }

    /// While recovering, machines that have not reported may hold tasks of any team: of its
    /// unfinished jobs, and of jobs that were cancelled under an earlier holder, which no record
    /// names any more. They hold no more than the machines have, for workers refuse what has no
    /// room; so that is charged to every team. False if even that is not known.
    /// (Guards `quota`; scenario cancelled_before_takeover.)
    fn charge_unknown(&self, plan: &mut Plan) -> bool {
        if !self.recovering() {
            return true;
        }
        let mut most = Amounts::default();
        for m in self.machines.values().filter(|m| m.registered && self.unaccounted(m)) {
            let Some(t) = self.machine_type(&m.machine_type) else { return false };
            most = most + Amounts::of_type(t);
        }
        for used in &mut plan.used {
            *used = *used + most;
        }
        !self.register.blind()
    }

    /// Jobs with work that has no place, in the order in which they get room.
    fn order(&mut self) -> Vec<JobId> {
        let mut jobs: Vec<(u64, &JobId)> = self.jobs.iter().map(|(id, j)| (j.accepted_us, id)).collect();
        jobs.sort_unstable();
        let mut claimed = vec![Amounts::default(); self.cfg.teams.len()];
        let mut keyed = Vec::new();
        let mut settled = Vec::new();
        for (accepted_us, id) in jobs {
            let job = &self.jobs[id];
            let spec = &job.spec;
            let left = f64::from(spec.tasks - job.done.count().min(spec.tasks));
            let within = self.team_index(&spec.team).is_some_and(|t| {
                claimed[t] = claimed[t] + job.task.times(left);
                self.cfg.teams[t].guarantees(&claimed[t])
            });
            if job.unplaced() == 0 {
                if !job.waits_for.is_empty() {
                    settled.push(id.clone());
                }
                continue;
            }
            let class = match (spec.priority, within) {
                (Priority::Production, _) => 0,
                (_, true) => 1,
                (Priority::High, _) => 2,
                (Priority::Normal, _) => 3,
                (Priority::Low, _) => 4,
            };
            keyed.push(((class, spec.priority, accepted_us), id.clone()));
        }
        keyed.sort_unstable();
        for id in settled {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.waits_for = "";
            }
        }
        keyed.into_iter().map(|(_, id)| id).collect()
    }

    fn fill_bins(&mut self, plan: &mut Plan, now: Micros) {
        let quiet = self.cfg.report.times(2) + Micros::from_secs(2);
        let Core { machines, cfg, types, token, .. } = self;
        for m in machines.values_mut() {
            let load = m.load(&cfg.teams);
            plan.strange |= load.strange;
            for (team, amounts) in &load.teams {
                let used = &mut plan.used[usize::from(*team)];
                *used = *used + *amounts;
            }
            let fresh = m.phase == Phase::Up && now < m.last_seen + quiet;
            if (m.phase == Phase::Up && !fresh)
                || m.deleting
                || m.faulty
                || m.notice.is_some()
                || now < m.cool_until
            {
                continue;
            }
            let Some(kind) = types.iter().position(|t| t.name == m.machine_type) else { continue };
            let Some(load) = m.kept_load() else { continue };
            let first = plan.images.len() as u32;
            plan.images.extend_from_slice(&load.images);
            plan.bins.push(Bin {
                machine: Some(m.id.clone()),
                ready: fresh && m.registered && m.settled(*token),
                kind,
                zone: cfg.zone_index(&m.zone),
                spot: m.spot,
                free: plan.kinds[kind] - load.used,
                empty: load.live == 0,
                replicas: load.replicas,
                freeing: load.freeing,
                preemptible: load.preemptible,
                images: (first, plan.images.len() as u32),
                latest: None,
                failed: !m.failed_jobs.is_empty(),
                // Its lease has lapsed, but its zone is cut off and it may be back.
                returning: m.phase == Phase::Lost,
                wanted: false,
            });
        }
        // Machines that are being rented right now.
        for (offer, n) in self.rents.open() {
            if let Some(kind) = self.types.iter().position(|t| t.name == offer.machine_type) {
                let zone = self.cfg.zone_index(&offer.zone);
                for _ in 0..n {
                    plan.bins.push(Bin::rented(kind, zone, offer.spot, plan.kinds[kind]));
                }
            }
        }
    }

    /// What can be rented, but for what the cloud refused of late.
    fn offers(&self, now: Micros) -> Vec<OfferView> {
        let mut here = vec![0u32; self.cfg.zones.len() + 1];
        for m in self.machines.values() {
            here[self.cfg.zone_index(&m.zone)] += 1;
        }
        let all = f64::from(here.iter().sum::<u32>().max(1));
        let mut offers = Vec::new();
        for (kind, t) in self.types.iter().enumerate() {
            let zones = if t.zones.is_empty() { &self.cfg.zones } else { &t.zones };
            for z in zones {
                let zone = self.cfg.zone_index(z);
                // Zones that hold less of the fleet are preferred, slightly.
                let burden = 1.0 + 0.4 * f64::from(here[zone]) / all + 0.001 * t.boot_s;
                for spot in [true, false] {
                    let price = if spot { t.spot_price } else { t.price };
                    let offer = Offer { machine_type: t.name.clone(), zone: z.clone(), spot };
                    if (spot && price <= 0.0) || self.rents.refused(&offer, now) || self.zone_cut(z) {
                        continue;
                    }
                    offers.push(OfferView { offer, kind, zone, spot, cost: price * burden });
                }
            }
        }
        offers
    }

    fn needs(&self, id: &JobId) -> Option<Needs> {
        let job = self.jobs.get(id)?;
        let mut needs = Needs {
            id: id.clone(),
            spec: job.spec.clone(),
            task: job.task,
            image: job.image,
            team: self.team_index(&job.spec.team),
            zone: job.spec.zone.as_ref().map(|z| self.cfg.zone_index(z)),
            kinds: self
                .types
                .iter()
                .map(|t| job.spec.types.as_ref().is_none_or(|names| names.contains(&t.name)))
                .collect(),
            suspect: job.suspect(),
            spare_ordinary: false,
            zones: vec![0; self.cfg.zones.len() + 1],
        };
        if needs.cares_for_zones() {
            for (machine, _) in job.places.values().flatten() {
                if let Some(m) = self.machines.get(machine) {
                    needs.zones[self.cfg.zone_index(&m.zone)] += 1;
                }
            }
        }
        Some(needs)
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
        needs.spare_ordinary =
            needs.spec.spot && plan.best_offer(&needs, None, 1).is_some_and(|o| plan.offers[o].spot);
        let mut candidates = self.candidates(&needs, plan, None);
        let production = needs.spec.priority == Priority::Production;
        for index in startable {
            if !plan.charge(&needs, 1, &self.cfg.teams) {
                return "its team's limit";
            }
            let found = candidates.best(&needs, plan, |b| plan.score(&needs, b));
            let bin = match found {
                Some(bin) if plan.bins[bin].ready => bin,
                _ => {
                    if production && let Some(zone) = self.preempt(&needs, plan, now) {
                        needs.zones[zone] += 1;
                        left -= 1;
                        continue;
                    }
                    match found {
                        Some(bin) => bin,
                        None => match plan.open_new(&needs, None, left) {
                            Some(bin) => {
                                candidates.put_first(bin, plan.bins[bin].zone);
                                bin
                            }
                            None => {
                                plan.refund(&needs, 1);
                                return "machines";
                            }
                        },
                    }
                }
            };
            left -= 1;
            let image = plan.has_image(&plan.bins[bin], needs.image);
            plan.take(bin, &mut needs);
            if plan.bins[bin].ready
                && let Some(machine) = plan.bins[bin].machine.clone()
            {
                let attempt = self.new_attempt();
                plan.starts.push(Start { job: id.clone(), index, machine, attempt, image });
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
        if !plan.charge(&needs, count, &self.cfg.teams) {
            return "its team's limit";
        }
        let Some(bins) = self.choose_all(&needs, plan, count) else {
            plan.refund(&needs, count);
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
            let waited_ms = (now - job.seen_at).as_millis();
            let (class, tasks, waited_for) = (&job.spec.class, job.spec.tasks, job.waited_for);
            let warm = bins.iter().filter(|b| plan.had_image(&plan.bins[**b], needs.image)).count();
            debug!(job = %id, class, tasks, waited_ms, waited_for, warm, first = term.0 == 0, "gang start");
            self.writes.note(id);
        }
        for (index, bin) in missing.into_iter().zip(bins) {
            if let Some(machine) = plan.bins[bin].machine.clone() {
                let image = plan.had_image(&plan.bins[bin], needs.image);
                plan.starts.push(Start { job: id.clone(), index, machine, attempt, image });
            }
        }
        ""
    }

    /// Finds room for `count` tasks at once, in one zone if the job asks for it. Room on machines
    /// that are not ready yet is taken in the plan, so that it is kept for this gang.
    fn choose_all(&self, needs: &Needs, plan: &mut Plan, count: u32) -> Option<Vec<usize>> {
        let zones: Vec<Option<usize>> = if needs.spec.one_zone {
            let mut room = vec![(0u32, 0u32, 0u32); self.cfg.zones.len()];
            for &i in &plan.open {
                let b = &plan.bins[i];
                let Some(room) = room.get_mut(b.zone) else { continue };
                let holds = b.free.holds(&needs.task);
                if holds > 0 && self.allowed(needs, b) {
                    room.0 += if b.ready { holds } else { 0 };
                    room.1 += holds;
                    room.2 += if b.ready && plan.has_image(b, needs.image) { holds } else { 0 };
                }
            }
            let mut zones: Vec<usize> = (0..room.len()).collect();
            // Where all can start now; among those where most have the image: the last to fetch it is
            // the one that all wait for.
            zones.sort_by_key(|&z| Reverse((room[z].0.min(count), room[z].1.min(count), room[z].2.min(count))));
            zones.into_iter().map(Some).collect()
        } else {
            vec![None]
        };
        for zone in zones {
            let mut taking = needs.clone();
            let mut candidates = self.candidates(needs, plan, zone);
            let mut taken: Vec<usize> = Vec::new();
            let (bins, open, demand) = (plan.bins.len(), plan.open.len(), plan.demand.clone());
            let mut undo = Vec::new();
            for left in (1..=count).rev() {
                let found = candidates.best(&taking, plan, |b| plan.score(&taking, b)).or_else(|| {
                    let new = plan.open_new(&taking, zone, left)?;
                    candidates.put_first(new, plan.bins[new].zone);
                    Some(new)
                });
                let Some(bin) = found else { break };
                if bin < bins {
                    undo.push((bin, plan.bins[bin].before()));
                }
                plan.take(bin, &mut taking);
                taken.push(bin);
            }
            if taken.len() == count as usize {
                return Some(taken);
            }
            for (bin, before) in undo.into_iter().rev() {
                plan.bins[bin].restore(before);
            }
            plan.bins.truncate(bins);
            plan.open.truncate(open);
            plan.demand = demand;
        }
        None
    }

    /// A gang that finds no room keeps lesser work off the machines that will hold it: without
    /// this, single tasks take every place that falls free, and gangs starve. Machines without
    /// replicas, which stay long, are chosen; the emptiest first, and in one zone if it must be.
    fn reserve(&self, needs: &Needs, plan: &mut Plan, count: u32) {
        if plan.reservations >= MOST_RESERVATIONS {
            return;
        }
        plan.reservations += 1;
        self.looked_at(plan.bins.len());
        let holds: Vec<u32> = plan.kinds.iter().map(|k| k.holds(&needs.task)).collect();
        let zones = if needs.spec.one_zone { self.cfg.zones.len() + 1 } else { 1 };
        let mut fits: Vec<Vec<(u32, u32, usize)>> = vec![Vec::new(); zones];
        for (i, b) in plan.bins.iter().enumerate() {
            if b.replicas == 0 && holds[b.kind] > 0 && self.allowed(needs, b) {
                fits[b.zone.min(zones - 1)].push((b.free.holds(&needs.task), holds[b.kind], i));
            }
        }
        let mut best: Option<(u32, u32, Vec<usize>)> = None;
        for mut fits in fits {
            fits.sort_unstable_by_key(|f| Reverse((f.0, f.1)));
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
                plan.bins[i].free = Amounts::default();
                plan.bins[i].wanted = true;
            }
        }
    }

    /// Moves replicas off machines that hold little else than free room, to ones that are fuller:
    /// the machine can then hold a gang, or be returned. A move costs the replica a moment, so a
    /// small share of all replicas' time is what moves may take. (Moving replicas to drain a
    /// machine is allowed.)
    fn consolidate(&mut self, plan: &Plan, now: Micros) {
        let replicas: u32 = plan.bins.iter().map(|b| b.replicas).sum();
        // A small deployment earns a move a minute.
        let earned = f64::from(replicas.max(16)) * MOVE_SHARE * (now - self.moves_earned).as_secs_f64();
        self.moves_earned = now;
        // At most what 20 s earn is kept, but enough for one move.
        let most = (f64::from(replicas) * MOVE_SHARE * 20.0).max(MOVE_S + 30.0);
        self.move_budget = (self.move_budget + earned).min(most);
        if now < self.next_move || self.recovering() {
            return;
        }
        self.next_move = now + Micros::from_secs(2);
        let usage =
            |b: &Bin| 1.0 - (b.free.gpus + b.free.cpus) / (plan.kinds[b.kind].gpus + plan.kinds[b.kind].cpus);
        let room = |b: &Bin| b.free.gpus > 0.0 || plan.kinds[b.kind].gpus == 0.0 && b.free.cpus > 0.0;
        let mut hosts: Vec<(f64, usize)> = plan
            .bins
            .iter()
            .enumerate()
            .filter(|(_, b)| b.ready && b.replicas > 0 && room(b))
            .map(|(i, b)| (usage(b), i))
            .collect();
        hosts.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut free: Vec<Amounts> = hosts.iter().map(|h| plan.bins[h.1].free).collect();
        let mut moves = Vec::new();
        // Each look searches all hosts; what is not reached now is reached when others have gone.
        for from in 0..hosts.len().min(MOST_DRAIN_LOOKS) {
            let bin = &plan.bins[hosts[from].1];
            let Some(m) = bin.machine.as_ref().and_then(|id| self.machines.get(id)) else { continue };
            self.looked_at(hosts.len());
            let Some(drain) = self.drain_of(m, now) else {
                continue;
            };
            let mut targets = Vec::new();
            let mut cost = 0.0;
            for (task, attempt) in drain {
                let Some(mut needs) = self.needs(&task.job) else { break };
                needs.zones[bin.zone] = needs.zones[bin.zone].saturating_sub(1);
                let fits = |i: usize| {
                    let b = &plan.bins[hosts[i].1];
                    needs.task.fits_in(&free[i]) && self.allowed(&needs, b) && needs.zone_allows(b.zone)
                };
                let image = |i: &usize| plan.has_image(&plan.bins[hosts[*i].1], needs.image);
                // The fullest first. Each drained machine is one machine less, so this comes to an end.
                let fuller = || (from + 1..hosts.len()).rev();
                let Some(to) = fuller().filter(image).find(|&i| fits(i)).or_else(|| fuller().find(|&i| fits(i)))
                else {
                    break;
                };
                let fetch = self.types[plan.bins[hosts[to].1].kind].fetch_gb_per_s;
                cost += MOVE_S + if image(&to) { 0.0 } else { needs.spec.image_gb / fetch.max(0.05) };
                free[to] = free[to] - needs.task;
                targets.push((to, needs.task, (m.id.clone(), task, attempt, needs.spec.save_s)));
            }
            if targets.len() as u32 == bin.replicas && cost <= self.move_budget {
                self.move_budget -= cost;
                // Nothing is moved to a machine that is being drained.
                free[from] = Amounts::default();
                moves.extend(targets.into_iter().map(|t| t.2));
            } else {
                for (to, task, _) in targets {
                    free[to] = free[to] + task;
                }
            }
        }
        for (machine, task, attempt, grace) in moves {
            info!(machine = %machine, task = %task, "moving replica to drain machine");
            self.stop_slot(&machine, &task.job, task.index, attempt, grace);
        }
    }

    /// The replicas whose leaving would empty a machine, if it holds nothing else and all of them
    /// have run for a while.
    fn drain_of(&self, m: &Machine, now: Micros) -> Option<Vec<TaskKey>> {
        let settled = Micros::from_secs(40);
        let load = m.kept_load()?;
        if load.live == 0 || load.live != load.replicas {
            return None;
        }
        let ran = |s: &Slot| s.stop.is_none() && s.running_since.is_some_and(|t| now >= t + settled);
        let live = || m.slots().iter().filter(|(_, s)| s.is_live());
        live().all(|(_, s)| ran(s)).then(|| live().map(|(k, _)| k.clone()).collect())
    }

    /// The job may use this machine.
    fn allowed(&self, needs: &Needs, bin: &Bin) -> bool {
        needs.kinds[bin.kind]
            && needs.zone.is_none_or(|z| z == bin.zone)
            && (needs.spec.spot || !bin.spot)
            && !(needs.spare_ordinary && !bin.spot && bin.empty)
            && !(bin.returning && needs.spec.priority == Priority::Production)
            && (needs.suspect || !bin.failed || !self.failed_on(bin, &needs.id))
    }

    fn failed_on(&self, bin: &Bin, job: &JobId) -> bool {
        let machine = bin.machine.as_ref().and_then(|m| self.machines.get(m));
        machine.is_some_and(|m| m.failed_jobs.contains(job))
    }

    /// All bins that have room for a task of the job, best first.
    fn candidates(&self, needs: &Needs, plan: &Plan, zone: Option<usize>) -> Candidates {
        self.looked_at(plan.open.len());
        let zones = if needs.cares_for_zones() { self.cfg.zones.len() + 1 } else { 1 };
        let mut scored: Vec<Vec<(f64, usize)>> = vec![Vec::new(); zones];
        for &i in &plan.open {
            let b = &plan.bins[i];
            if needs.task.fits_in(&b.free) && zone.is_none_or(|z| z == b.zone) && self.allowed(needs, b) {
                scored[b.zone.min(zones - 1)].push((plan.score(needs, b), i));
            }
        }
        let lists: Vec<Vec<usize>> = scored
            .into_iter()
            .map(|mut list| {
                list.sort_by(|a, b| b.0.total_cmp(&a.0));
                list.into_iter().map(|(_, i)| i).collect()
            })
            .collect();
        Candidates { next: vec![0; lists.len()], lists }
    }

    /// Makes room for a production task on a machine that is up by stopping tasks of arrays of
    /// lower priority: nobody else is preempted, for arrays lose least. The room is taken in the
    /// plan; the task starts once the others have exited. Returns the zone.
    fn preempt(&self, needs: &Needs, plan: &mut Plan, now: Micros) -> Option<usize> {
        if plan.preempt_searches >= MOST_PREEMPT_SEARCHES {
            return None;
        }
        plan.preempt_searches += 1;
        self.looked_at(plan.bins.len());
        let mut best: Option<Room> = None;
        for (i, bin) in plan.bins.iter().enumerate() {
            if !bin.ready
                || !needs.task.fits_in(&(bin.free + bin.freeing + bin.preemptible))
                || !self.allowed(needs, bin)
                || !needs.zone_allows(bin.zone)
            {
                continue;
            }
            let image = if plan.has_image(bin, needs.image) { 0.0 } else { 1000.0 };
            if best.as_ref().is_some_and(|b| image >= b.0) {
                continue;
            }
            let mut room = bin.free + bin.freeing;
            let mut victims = Vec::new();
            let mut lost = 0.0;
            let Some(m) = bin.machine.as_ref().and_then(|m| self.machines.get(m)) else { continue };
            let mut candidates: Vec<(f64, &TaskKey, &Slot)> = m
                .slots()
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
        let freed = victims.iter().filter_map(|k| self.machines.get(&machine)?.slots().get(k)).map(Slot::amounts);
        let freed = freed.fold(Amounts::default(), |a, b| a + b);
        // Room that is promised to this task is neither free nor freeing for others.
        bin.freeing = bin.freeing + bin.free + freed - needs.task;
        bin.preemptible = bin.preemptible - freed;
        bin.free = Amounts::default();
        bin.wanted = true;
        plan.victims.extend(victims.into_iter().map(|k| (machine.clone(), k)));
        Some(plan.bins[i].zone)
    }

    /// Puts an attempt on a machine; its start order goes out with the next orders.
    fn start(&mut self, s: Start, now: Micros) {
        let Some(job) = self.jobs.get_mut(&s.job) else { return };
        if job.term.0 == 0 {
            // Its first start is recorded before it is commanded.
            job.term = s.attempt;
            let waited_ms = (now - job.seen_at).as_millis();
            let (class, tasks, waited_for) = (&job.spec.class, job.spec.tasks, job.waited_for);
            debug!(job = %s.job, class, tasks, waited_ms, waited_for, image = s.image, "first start");
            self.writes.note(&s.job);
        }
        let spec = job.spec.clone();
        let Some(m) = self.machines.get_mut(&s.machine) else { return };
        let task = TaskId { job: s.job, index: s.index };
        let slot = Slot::new(SlotState::Sent, Some(spec), now);
        m.slots_mut().insert((task.clone(), s.attempt), slot);
        m.idle_since = None;
        self.orders_due.insert(s.machine.clone());
        self.place_add(&s.machine, &task, s.attempt);
    }

    /// Gangs that lost a task after they started, or that are to move, must end altogether first;
    /// services leave machines that are about to be taken.
    pub(super) fn wind_up(&mut self) {
        let mut stops: Vec<(MachineId, JobId, u32, Attempt, f64)> = Vec::new();
        let mut moving: BTreeSet<JobId> = BTreeSet::new();
        for m in self.machines.values().filter(|m| m.notice.is_some() || m.faulty) {
            for ((task, attempt), _) in m.slots().iter().filter(|(_, s)| s.is_live()) {
                let Some(job) = self.jobs.get(&task.job) else { continue };
                match job.spec.kind {
                    JobKind::Service => {
                        stops.push((m.id.clone(), task.job.clone(), task.index, *attempt, job.spec.save_s));
                    }
                    JobKind::Gang => {
                        moving.insert(task.job.clone());
                    }
                    JobKind::Array => {}
                }
            }
        }
        for (id, job) in self.jobs.iter_mut().filter(|(_, j)| j.is_gang()) {
            let placed = job.places.len() as u32;
            if placed == 0 {
                job.gang_failing = false;
                job.gang_started = false;
                continue;
            }
            if job.gang_started && placed < job.spec.tasks {
                job.gang_failing = true;
            }
            let moved = moving.contains(id);
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
    }

    /// How many of a job's tasks run, as far as we know.
    pub fn running(&self, id: &JobId) -> u32 {
        let Some(job) = self.jobs.get(id) else { return 0 };
        let runs = |index: u32, machine: &MachineId, attempt: Attempt| {
            let key = (TaskId { job: id.clone(), index }, attempt);
            let slot = self.machines.get(machine).and_then(|m| m.slots().get(&key));
            slot.is_some_and(|s| matches!(s.state, SlotState::Live(TaskState::Running | TaskState::Saving)))
        };
        let places = job.places.iter().flat_map(|(i, p)| p.iter().map(move |(m, a)| (*i, m, *a)));
        places.filter(|(i, m, a)| runs(*i, m, *a)).count() as u32
    }
}

/// What of a bin a gang's try changes.
type Before = (Amounts, bool, u32, Option<ImageKey>, bool);

impl Bin {
    fn rented(kind: usize, zone: usize, spot: bool, total: Amounts) -> Bin {
        Bin {
            machine: None,
            ready: false,
            kind,
            zone,
            spot,
            free: total,
            empty: true,
            replicas: 0,
            freeing: Amounts::default(),
            preemptible: Amounts::default(),
            images: (0, 0),
            latest: None,
            failed: false,
            returning: false,
            wanted: false,
        }
    }

    fn before(&self) -> Before {
        (self.free, self.empty, self.replicas, self.latest, self.wanted)
    }

    fn restore(&mut self, before: Before) {
        (self.free, self.empty, self.replicas, self.latest, self.wanted) = before;
    }
}

impl Plan {
    fn has_image(&self, bin: &Bin, image: ImageKey) -> bool {
        bin.latest == Some(image) || self.had_image(bin, image)
    }

    /// It has the image, or fetches it, without what this plan starts.
    fn had_image(&self, bin: &Bin, image: ImageKey) -> bool {
        let (first, end) = bin.images;
        self.images[first as usize..end as usize].contains(&image)
    }

    fn score(&self, needs: &Needs, bin: &Bin) -> f64 {
        let mut score = 0.0;
        if bin.ready {
            score += 1000.0;
        }
        if self.has_image(bin, needs.image) {
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
            score -= 30.0 * f64::from(needs.zones[bin.zone]);
        }
        // Best fit.
        score - (bin.free.gpus - needs.task.gpus) - (bin.free.cpus - needs.task.cpus) / 16.0
    }

    /// The cheapest offer per task that the job can place on it.
    fn best_offer(&self, needs: &Needs, zone: Option<usize>, left: u32) -> Option<usize> {
        let mut best: Option<(f64, usize)> = None;
        for (i, o) in self.offers.iter().enumerate() {
            if !needs.kinds[o.kind]
                || (o.spot && !needs.spec.spot)
                || zone.is_some_and(|want| want != o.zone)
                || needs.zone.is_some_and(|want| want != o.zone)
                || !needs.zone_allows(o.zone)
            {
                continue;
            }
            let slots = self.kinds[o.kind].holds(&needs.task).min(left.max(1));
            let cost = o.cost / f64::from(slots);
            if slots > 0 && best.is_none_or(|(c, _)| cost < c) {
                best = Some((cost, i));
            }
        }
        best.map(|(_, i)| i)
    }

    /// Counts on one more machine for a task of the job; its bin.
    fn open_new(&mut self, needs: &Needs, zone: Option<usize>, left: u32) -> Option<usize> {
        let offer = self.best_offer(needs, zone, left)?;
        self.demand[offer] += 1;
        let o = &self.offers[offer];
        self.bins.push(Bin::rented(o.kind, o.zone, o.spot, self.kinds[o.kind]));
        self.open.push(self.bins.len() - 1);
        Some(self.bins.len() - 1)
    }

    /// Says how the fleet is used once this plan's tasks run; for finding out what is paid in vain.
    fn tell(&self) {
        let sum = |f: &dyn Fn(&&Bin) -> bool| {
            let bins = self.bins.iter().filter(f);
            bins.fold((0u32, 0.0, 0.0), |s, b| (s.0 + 1, s.1 + self.kinds[b.kind].gpus, s.2 + b.free.gpus))
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
    fn charge(&mut self, needs: &Needs, n: u32, teams: &[Team]) -> bool {
        let Some(team) = needs.team else { return false };
        let sum = self.used[team] + needs.task.times(f64::from(n));
        if !teams[team].allows(&sum) {
            return false;
        }
        self.used[team] = sum;
        true
    }

    fn refund(&mut self, needs: &Needs, n: u32) {
        if let Some(team) = needs.team {
            self.used[team] = self.used[team] - needs.task.times(f64::from(n));
        }
    }

    fn take(&mut self, bin: usize, needs: &mut Needs) {
        let b = &mut self.bins[bin];
        b.free = b.free - needs.task;
        b.empty = false;
        b.replicas += u32::from(needs.spec.kind == JobKind::Service);
        b.latest = Some(needs.image);
        b.wanted = true;
        needs.zones[b.zone] += 1;
    }
}
