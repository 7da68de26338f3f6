//! Workers' reports: they rebuild and update the ledger, and are answered with orders.

use super::fleet::{Allocation, AllocationState, Machine, MachinePhase, Stop};
use super::{Action, Scheduler};
use hopyoke_protocol::user::{JobKind, JobSpec};
use hopyoke_protocol::worker::{Command, ExitReason, Heartbeat, TaskState, TaskStatus};
use hopyoke_run_times::RunOutcome;
use hopyoke_types::Micros;
use hopyoke_types::{Attempt, FencingToken, JobId, MachineId, TaskId};
use std::rc::Rc;
use tracing::{debug, info, warn};

/// What to answer to a report.
#[derive(Debug, PartialEq)]
pub struct HeartbeatReply {
    pub token: FencingToken,
    /// The report was newer than all before. One that is not says nothing about now.
    pub fresh: bool,
    pub commands: Vec<Command>,
}

impl Scheduler {
    /// A report came in on `/hello`; the answer renews the worker's lease.
    pub fn heartbeat(&mut self, heartbeat: &Heartbeat, now: Micros) -> HeartbeatReply {
        // A late report, or one of a machine that is gone, is answered without orders.
        let fresh = self.merge(heartbeat, true, now);
        let lease_bound = self.cfg.lease_bound();
        let mut commands = Vec::new();
        if let Some(m) = self.machines.get_mut(&heartbeat.machine) {
            // Counted from the answer, the worker counts from its earlier sending: we are never early.
            m.lease_end = m.lease_end.max(now + lease_bound);
        }
        if fresh {
            // Plan first, so that the orders go with this answer.
            if self.changed && self.plan_due(now) {
                self.settle(now);
            }
            commands = self.orders_for(
                &heartbeat.machine,
                Some((heartbeat.epoch, heartbeat.sequence)),
                now,
            );
        }
        HeartbeatReply {
            token: self.token,
            fresh,
            commands,
        }
    }

    /// A worker answered direct orders (or refused them) with its report.
    pub fn direct_answer(
        &mut self,
        machine: &MachineId,
        executed: bool,
        heartbeat: Option<&Heartbeat>,
        now: Micros,
    ) {
        self.probe_over(machine);
        if let Some(m) = self.machines.get_mut(machine) {
            m.direct_open = false;
            let answered = heartbeat.map(|r| (r.epoch, r.sequence));
            for (_, allocation) in m.slots_in_flight().filter(|(_, s)| s.direct) {
                allocation.direct = false;
                match answered {
                    // Its report can't be read: what was started is unknown until another shows it.
                    None => allocation.outcome_unknown |= executed,
                    Some(_) if executed && allocation.offered < answered => {
                        allocation.offered = answered
                    }
                    Some(_) => {}
                }
            }
            // A probe that met another session than we believed can be repeated at once.
            if !executed && heartbeat.is_none_or(|r| r.epoch == m.epoch) {
                m.direct_retry_at = now + Micros::from_millis(500);
            }
        }
        if let Some(r) = heartbeat
            && r.machine == *machine
        {
            self.merge(r, false, now);
        }
        // The session was another than we believed; now we know it.
        if self.is_reconciling
            && self
                .machines
                .get(machine)
                .is_some_and(|m| !m.is_reconciled(self.token))
        {
            self.probes.push_back(machine.clone());
        }
        // What changed meanwhile, or was refused, is still to be sent.
        self.commands_due.insert(machine.clone());
    }

    /// Direct orders got no answer. If they may have been sent they may be executed late, at any
    /// time of the session.
    pub fn direct_failed(&mut self, machine: &MachineId, maybe_sent: bool, now: Micros) {
        self.probe_over(machine);
        if let Some(m) = self.machines.get_mut(machine) {
            m.direct_open = false;
            m.direct_retry_at = now + Micros::from_secs(3);
            m.unreachable = true;
            if self.is_reconciling && !m.is_reconciled(self.token) {
                self.probes.push_back(machine.clone());
            }
            for (_, allocation) in m.slots_in_flight().filter(|(_, s)| s.direct) {
                allocation.direct = false;
                allocation.outcome_unknown |= maybe_sent;
            }
            self.commands_due.insert(machine.clone());
        }
    }

    /// Takes over what a report says if it is newer than all before; true if so.
    fn merge(&mut self, heartbeat: &Heartbeat, hello: bool, now: Micros) -> bool {
        let id = &heartbeat.machine;
        if self.gone.contains_key(id) {
            return false;
        }
        if !self.machines.contains_key(id) {
            if !hello {
                return false;
            }
            // A machine that nobody told us of: an earlier leader's, or a late rental's.
            let mut m = Machine::new(
                id.clone(),
                heartbeat.machine_type.clone(),
                heartbeat.zone.clone(),
                heartbeat.spot,
                now,
            );
            m.lease_end = now + self.cfg.lease_bound();
            self.machines.insert(id.clone(), m);
        }
        let old_sessions_are_over = self.old_sessions_are_over(now);
        let Some(m) = self.machines.get_mut(id) else {
            return false;
        };
        // Reports can arrive late: only the newest counts.
        if (heartbeat.epoch, heartbeat.sequence) <= (m.epoch, m.sequence) {
            return false;
        }
        let new_session = heartbeat.epoch > m.epoch;
        let back = m.phase != MachinePhase::Up;
        let booted = (m.phase == MachinePhase::Booting && m.dated).then_some(now - m.rented_at);
        let was_settled = m.is_reconciled(self.token);
        m.epoch = heartbeat.epoch;
        m.sequence = heartbeat.sequence;
        m.token_seen = m.token_seen.max(heartbeat.token);
        m.young_session |= hello && old_sessions_are_over;
        self.changed |= back || was_settled != m.is_reconciled(self.token);
        if !m.is_registered {
            self.registry.want(id);
        }
        m.last_seen = now;
        m.unreachable = false;
        m.is_crash_looping = false;
        m.address = heartbeat.address.parse().ok();
        m.spot = heartbeat.spot;
        m.phase = MachinePhase::Up;
        if new_session || (back && m.lease_end <= now) {
            // A session has its whole lease from its beginning, and that may have been just now: the
            // end that was counted is that of the session before. A direct order's answer tells of a
            // new session as well as a report does. (Scenario epoch_learned_by_pushed_command.)
            m.lease_end = m.lease_end.max(now + self.cfg.lease_bound());
        }
        let notice = heartbeat
            .preemption_notice_s
            .map(|s| now + Micros::from_secs_f64(s));
        if notice.is_some() && m.notice.is_none() {
            self.changed = true;
            info!(machine = %id, zone = %m.zone, in_s = heartbeat.preemption_notice_s, "notice: machine will be taken");
        }
        m.notice = notice;
        let (spot, zone) = (m.spot, m.zone.clone());
        if back {
            info!(machine = %id, zone = %zone, spot, epoch = heartbeat.epoch, "machine up");
        }
        let nominal = self.boot_time(&heartbeat.machine_type);
        if let Some(took) = booted.filter(|_| nominal > Micros::ZERO) {
            let in_boots = |t: Micros| t.as_secs_f64() / nominal.as_secs_f64();
            self.provisioning_estimator.came_up(
                &heartbeat.machine_type,
                in_boots(took),
                in_boots(now),
            );
        }
        if new_session {
            // Everything of earlier sessions is gone, and so are their late direct orders.
            self.clear_allocations(id);
        }
        let allocations = self.machines.get(id).map_or(0, |m| m.allocations().len());
        self.add_visited(1 + heartbeat.tasks.len() + allocations);
        let mut listed = Vec::with_capacity(heartbeat.tasks.len());
        for t in &heartbeat.tasks {
            let Some(task) = TaskId::parse(&t.task) else {
                warn!(machine = %id, task = %t.task, "report names a malformed task");
                continue;
            };
            listed.push((task.clone(), t.attempt));
            self.merge_task(id, task, t, now);
        }
        listed.sort_unstable();
        self.merge_absent(id, &listed, hello, heartbeat, now);
        true
    }

    fn merge_task(&mut self, id: &MachineId, task: TaskId, t: &TaskStatus, now: Micros) {
        let key = (task, t.attempt);
        let known = self
            .machines
            .get(id)
            .is_some_and(|m| m.allocations().contains_key(&key));
        if !known {
            // Reconnect: an attempt of an earlier holder, or one that we believed gone.
            let spec = self.jobs.get(&key.0.job).map(|j| j.spec.clone());
            let allocation = Allocation::new(AllocationState::Live(TaskState::Fetching), spec, now);
            if let Some(m) = self.machines.get_mut(id) {
                m.slots_mut().insert(key.clone(), allocation);
            }
            self.place_add(id, &key.0, t.attempt);
            self.changed = true;
            debug!(machine = %id, task = %key.0, attempt = t.attempt.0, state = ?t.state, "attempt found");
        }
        let state = match (t.state, t.exit_reason) {
            (TaskState::Ended, why) => AllocationState::Ended(why.unwrap_or(ExitReason::Other)),
            (s, _) => AllocationState::Live(s),
        };
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        let Some(was) = m.allocations().get(&key).map(|s| s.state) else {
            return;
        };
        if matches!(was, AllocationState::Ended(_)) || (known && was == state) {
            return;
        }
        let Some(allocation) = m.slots_mut().get_mut(&key) else {
            return;
        };
        allocation.state = state;
        // Only an end makes room.
        self.changed |= matches!(state, AllocationState::Ended(_));
        match state {
            AllocationState::Live(TaskState::Running) => {
                let first = allocation.running_since.is_none();
                allocation.running_since.get_or_insert(now);
                self.task_runs(id, &key.0, t.attempt);
                if first {
                    self.run_began(id, &key.0, t.attempt, known, now);
                }
            }
            AllocationState::Ended(why) => {
                let end = match why {
                    ExitReason::Done => RunOutcome::Done,
                    ExitReason::Stopped | ExitReason::GangPeersLost => RunOutcome::Cut,
                    _ => RunOutcome::Void,
                };
                if !known && end == RunOutcome::Done {
                    self.run_found_ended(&key.0, t.attempt, now);
                }
                self.run_ended(id, &key.0, t.attempt, end, now);
                self.task_ended(id, &key.0, t.attempt, why, now);
            }
            _ => {}
        }
        if !known {
            self.judge_adopted(id, &key.0, t.attempt);
        }
        self.stop_if_held(id, &key.0.job, key.0.index, t.attempt, state);
    }

    /// Decides whether an attempt that a worker reported unasked may go on.
    fn judge_adopted(&mut self, id: &MachineId, task: &TaskId, attempt: Attempt) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            // Cancelled or done, or never accepted.
            return self.stop_allocation(id, &task.job, task.index, attempt, 0.0);
        };
        // A later attempt was only started once all earlier ones were proven to be gone: if one is found beside it, an old
        // report tells of that, and the later goes on. (Scenario stale_heartbeat_stops_nothing.)
        let places = job.places.get(&task.index).into_iter().flatten();
        let others: Vec<_> = places
            .filter(|(m, a)| m != id || *a != attempt)
            .cloned()
            .collect();
        let surplus = others.iter().any(|(_, a)| *a >= attempt);
        if job.done.contains(task.index) || task.index >= job.spec.tasks || surplus {
            return self.stop_allocation(id, &task.job, task.index, attempt, 0.0);
        }
        if job.is_gang() {
            // All tasks of a gang share their latest recorded attempt; others are being wound up.
            if attempt > job.term {
                job.term = attempt;
                self.writes.note(&task.job);
            } else if attempt < job.term {
                self.stop_allocation(id, &task.job, task.index, attempt, 0.0);
            }
        }
        for (machine, earlier) in others {
            self.stop_allocation(&machine, &task.job, task.index, earlier, 0.0);
        }
    }

    fn task_runs(&mut self, id: &MachineId, task: &TaskId, attempt: Attempt) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            if job.is_gang() && attempt == job.term {
                job.gang_started = true;
            }
            let (image, gb) = (job.image, job.spec.image_gb);
            self.note_image(id, image, gb);
        }
    }

    fn note_image(&mut self, id: &MachineId, image: super::fleet::ImageKey, gb: f64) {
        let Some(m) = self.machines.get(id) else {
            return;
        };
        let cache = self
            .machine_type(&m.machine_type)
            .map_or(f64::MAX, |t| t.cache_gb);
        if let Some(m) = self.machines.get_mut(id) {
            m.touch_image(image, gb, cache);
        }
    }

    /// An attempt has ended by the worker's own word: its place is free.
    fn task_ended(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        why: ExitReason,
        now: Micros,
    ) {
        self.place_remove(id, task, attempt);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        match why {
            ExitReason::Done if job.spec.kind != JobKind::Service => {
                if job.is_gang() {
                    // Gangs complete together.
                    job.done = super::Ranges::all(job.spec.tasks);
                } else if task.index < job.spec.tasks {
                    job.done.insert(task.index);
                }
                job.failed_on.clear();
                job.backoffs = 0;
                let (image, gb) = (job.image, job.spec.image_gb);
                self.writes.note(&task.job);
                if let Some(m) = self.machines.get_mut(id) {
                    m.failed_jobs.clear();
                    m.failures = 0;
                }
                self.note_image(id, image, gb);
            }
            ExitReason::Error => self.task_failed(id, task, now),
            ExitReason::InsufficientResources | ExitReason::Busy => {
                // Our view of the machine was wrong: leave it alone until it has reported again.
                if let Some(m) = self.machines.get_mut(id) {
                    m.cool_until = now + self.cfg.heartbeat_interval.times(2);
                }
                warn!(machine = %id, task = %task, why = ?why, "start refused");
            }
            ExitReason::UnknownTask => {
                job.hold_until = now + Micros::from_secs(2);
                warn!(machine = %id, task = %task, "start refused: the worker can't find the job");
            }
            _ => {}
        }
        if let Some(job) = self.jobs.get_mut(&task.job)
            && job.is_gang()
            && attempt == job.term
            && why != ExitReason::Done
        {
            job.gang_failing = true;
        }
    }

    /// Errors on several machines speak against the job, errors of several jobs against the
    /// machine.
    fn task_failed(&mut self, id: &MachineId, task: &TaskId, now: Micros) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.failed_on.insert(id.clone());
        let bad_job = job.is_crash_looping(self.tuning.suspect_after);
        if bad_job {
            // Its failures so far speak against it, not against the machines.
            for m in &job.failed_on {
                if let Some(m) = self.machines.get_mut(m) {
                    m.failed_jobs.remove(&task.job);
                }
            }
        }
        if bad_job && now >= job.hold_until {
            // Jobs that fail everywhere are started anew ever more rarely.
            let wait = self.tuning.job_backoff.times(1 << job.backoffs.min(4));
            job.backoffs += 1;
            job.hold_until = now + wait;
            let machines = job.failed_on.len();
            info!(job = %task.job, machines, wait_s = wait.as_secs_f64(), "backoff: job fails on several machines");
            // Nobody watches a step as a user watches a job: its run is to hear that it failed.
            if job.flow && job.backoffs as usize > self.tuning.step_patience {
                info!(job = %task.job, "given up");
                job.given_up = true;
                self.writes.note(&task.job);
            }
        }
        if let Some(m) = self.machines.get_mut(id)
            && !bad_job
        {
            m.failed_jobs.insert(task.job.clone());
            m.failures += 1;
            // A faulty machine fails at once and so would draw the whole queue: pause it first.
            m.cool_until = now + self.tuning.machine_pause;
            if m.failed_jobs.len() >= self.tuning.faulty_after && !m.faulty {
                m.faulty = true;
                info!(machine = %id, zone = %m.zone, failures = m.failures, "machine judged faulty");
            }
        }
    }

    /// What the report does not list (`listed` is sorted) is gone, with one exception: a start that has not been
    /// proven to be unexecuted.
    fn merge_absent(
        &mut self,
        id: &MachineId,
        listed: &[(TaskId, Attempt)],
        hello: bool,
        heartbeat: &Heartbeat,
        now: Micros,
    ) {
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        let now_id = (heartbeat.epoch, heartbeat.sequence);
        let absent: Vec<(TaskId, Attempt)> = m
            .allocations()
            .iter()
            .filter(|(k, _)| listed.binary_search(k).is_err())
            .filter(|(_, s)| match s.state {
                // One report is in flight at a time, so a newer report shows whether the orders
                // that answered an older one were executed. A direct answer may overtake them.
                AllocationState::Sent => {
                    hello
                        && !s.direct
                        && !s.outcome_unknown
                        && s.offered.is_some_and(|o| o < now_id)
                }
                _ => true,
            })
            .map(|(k, _)| k.clone())
            .collect();
        for (task, attempt) in absent {
            let Some(m) = self.machines.get_mut(id) else {
                return;
            };
            let was = m.slots_mut().remove(&(task.clone(), attempt));
            if was
                .as_ref()
                .is_some_and(|s| s.is_live() && s.running_since.is_some())
            {
                self.run_ended(id, &task, attempt, RunOutcome::Cut, now);
            }
            if let Some(job) = self.jobs.get_mut(&task.job) {
                remove_place(job, &task, id, attempt);
            }
            self.changed |= was.is_some_and(|s| s.is_live());
        }
    }

    /// Forgets all that was on a machine; returns how many attempts held a place.
    pub(super) fn clear_allocations(&mut self, id: &MachineId) -> usize {
        let Some(m) = self.machines.get_mut(id) else {
            return 0;
        };
        let allocations = std::mem::take(m.slots_mut());
        // For all that we know they ran until it was last heard of.
        let seen = m.last_seen;
        self.commands_due.remove(id);
        let mut held = 0;
        for ((task, attempt), allocation) in allocations {
            if allocation.is_live() {
                held += 1;
                if allocation.running_since.is_some() {
                    self.run_ended(id, &task, attempt, RunOutcome::Cut, seen);
                }
            }
            if let Some(job) = self.jobs.get_mut(&task.job) {
                remove_place(job, &task, id, attempt);
            }
        }
        if held > 0 {
            self.changed = true;
        }
        held
    }

    /// A job appeared in the ledger of which workers have reported tasks already.
    pub(super) fn adopt_allocations(&mut self, id: &JobId, spec: &Rc<JobSpec>) {
        let mut found = Vec::new();
        let orphaned = |m: &Machine| {
            m.allocations()
                .iter()
                .any(|((t, _), s)| t.job == *id && s.spec.is_none())
        };
        for m in self.machines.values_mut().filter(|m| orphaned(m)) {
            let machine = m.id.clone();
            for ((task, attempt), allocation) in m.slots_mut() {
                if task.job == *id && allocation.spec.is_none() {
                    allocation.spec = Some(spec.clone());
                    if allocation.is_live() {
                        found.push((machine.clone(), task.clone(), *attempt));
                    }
                }
            }
        }
        for (machine, task, attempt) in found {
            self.place_add(&machine, &task, attempt);
        }
    }

    pub(super) fn place_add(&mut self, id: &MachineId, task: &TaskId, attempt: Attempt) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.places
                .entry(task.index)
                .or_default()
                .push((id.clone(), attempt));
        }
    }

    fn place_remove(&mut self, id: &MachineId, task: &TaskId, attempt: Attempt) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            remove_place(job, task, id, attempt);
        }
    }

    /// Has an attempt stopped. One that was never offered to the worker just goes.
    pub(super) fn stop_allocation(
        &mut self,
        id: &MachineId,
        job: &JobId,
        index: u32,
        attempt: Attempt,
        grace_s: f64,
    ) {
        let key = (
            TaskId {
                job: job.clone(),
                index,
            },
            attempt,
        );
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        let Some(allocation) = m.allocations().get(&key) else {
            return;
        };
        if allocation.state == AllocationState::Sent
            && allocation.offered.is_none()
            && !allocation.direct
            && !allocation.outcome_unknown
        {
            m.slots_mut().remove(&key);
            self.changed = true;
            return self.place_remove(id, &key.0, attempt);
        }
        let stop = Stop { grace_s };
        // A stop is only ever made harsher.
        if allocation.is_live()
            && allocation.stop.is_none_or(|s| grace_s < s.grace_s)
            && let Some(allocation) = m.slots_mut().get_mut(&key)
        {
            allocation.stop = Some(stop);
            self.commands_due.insert(id.clone());
        }
    }

    /// The orders that bring a machine in line; all of them can be repeated.
    fn orders_for(
        &mut self,
        id: &MachineId,
        answers: Option<(u64, u64)>,
        now: Micros,
    ) -> Vec<Command> {
        let Some(m) = self.machines.get_mut(id) else {
            return Vec::new();
        };
        self.commands_due.remove(id);
        let may_start = m.is_registered && m.is_reconciled(self.token);
        // Stops of work that is over come first and are never left for the next answer: this one renews the
        // lease of whatever it does not stop. (Guards `ran_cancelled`.)
        let mut stops = Vec::new();
        let mut commands = Vec::new();
        for ((task, attempt), allocation) in m.slots_in_flight() {
            let (name, attempt) = (task.to_string(), *attempt);
            let job = self.jobs.get(&task.job);
            // Answers to workers are bounded; the rest goes with the next. A machine holds no more attempts than
            // its report has room for, so all stops fit.
            let room = commands.len() < MOST_ORDERS;
            match allocation.state {
                AllocationState::Ended(why) => {
                    let recorded = match job {
                        Some(j) if why == ExitReason::Done && j.spec.kind != JobKind::Service => {
                            j.recorded.contains(task.index)
                        }
                        _ => true,
                    };
                    // A result is reaped only once it is recorded, and an attempt whose start may
                    // yet be executed late never: after a reap it would run again.
                    if room && recorded && !allocation.outcome_unknown && !allocation.direct {
                        commands.push(Command::Acknowledge {
                            task: name,
                            attempt,
                        });
                    }
                }
                AllocationState::Sent => {
                    let recorded = job.is_none_or(|j| j.may_start(attempt));
                    match allocation.stop {
                        None if room && may_start && recorded => {
                            match answers {
                                Some(a) => allocation.offered = Some(a),
                                None => allocation.direct = true,
                            }
                            commands.push(Command::Start {
                                task: name,
                                attempt,
                            });
                        }
                        // It may be executed late unless the worker knows it as stopped already.
                        Some(_)
                            if allocation.outcome_unknown
                                && now >= allocation.since + Micros::from_secs(5) =>
                        {
                            stops.push(Command::Start {
                                task: name.clone(),
                                attempt,
                            });
                            stops.push(Command::Stop {
                                task: name,
                                attempt,
                                grace_s: 0.0,
                            });
                        }
                        Some(_) => stops.push(Command::Stop {
                            task: name,
                            attempt,
                            grace_s: 0.0,
                        }),
                        None => {}
                    }
                }
                AllocationState::Live(state) => {
                    if let Some(stop) = allocation.stop
                        && (state != TaskState::Saving || stop.grace_s == 0.0)
                    {
                        stops.push(Command::Stop {
                            task: name,
                            attempt,
                            grace_s: stop.grace_s,
                        });
                    }
                }
            }
        }
        stops.append(&mut commands);
        stops
    }

    /// After a takeover, registered machines are asked at once what is on them, instead of waiting
    /// until each finds us with a report: an empty direct order shows them our token, and its
    /// answer is their report. (A machine that is known to have seen our token is accounted for.)
    /// Machines that are overdue and no longer listed are asked too, before they are given up.
    pub(super) fn probe(&mut self, now: Micros) {
        for _ in 0..self.probes.len() {
            if !self.may_probe() {
                return;
            }
            let Some(id) = self.probes.pop_front() else {
                return;
            };
            let Some(m) = self.machines.get_mut(&id) else {
                continue;
            };
            let wanted = m.phase != MachinePhase::Lost
                && !m.deleting
                && (m.is_crash_looping || !m.is_reconciled(self.token));
            let Some(address) = m.address.filter(|_| wanted) else {
                continue;
            };
            if m.direct_open || now < m.direct_retry_at {
                self.probes.push_back(id);
                continue;
            }
            m.direct_open = true;
            m.probing = true;
            m.probed_at = now;
            self.open_probes += 1;
            // Most machines are in their first session; another is told by the refusal.
            let epoch = m.epoch.max(1);
            self.actions.push_back(Action::Direct {
                machine: id,
                address,
                epoch,
                commands: Vec::new(),
            });
        }
    }

    pub(super) fn may_probe(&self) -> bool {
        !self.probes.is_empty() && self.open_probes < MOST_PROBES
    }

    pub(super) fn probe_over(&mut self, id: &MachineId) {
        if let Some(m) = self.machines.get_mut(id)
            && std::mem::take(&mut m.probing)
        {
            self.open_probes -= 1;
        }
    }

    /// Sends new orders at once instead of with the answer to the next report. Results that are
    /// merely to be forgotten can wait for that.
    pub(super) fn pushed_commands(&mut self, now: Micros) {
        let mut later = Vec::new();
        while let Some(id) = self.commands_due.pop_first() {
            let Some(m) = self.machines.get(&id) else {
                continue;
            };
            // Whatever is not up yet gets its orders with the answer to its first report.
            if m.phase != MachinePhase::Up || !m.is_reconciled(self.token) || m.address.is_none() {
                continue;
            }
            if m.direct_open {
                // Its answer makes the orders due again.
                continue;
            }
            if now < m.direct_retry_at {
                later.push(id);
                continue;
            }
            let commands: Vec<Command> = self.orders_for(&id, None, now);
            let Some(m) = self.machines.get_mut(&id) else {
                continue;
            };
            if let Some(address) = m.address
                && commands
                    .iter()
                    .any(|o| !matches!(o, Command::Acknowledge { .. }))
            {
                m.direct_open = true;
                self.actions.push_back(Action::Direct {
                    machine: id,
                    address,
                    epoch: m.epoch,
                    commands,
                });
            }
        }
        self.commands_due.extend(later);
    }
}

/// Starts and removals in one answer.
const MOST_ORDERS: usize = 400;

/// Machines asked at the same time: each takes a socket, and silent ones hold theirs for the
/// whole time limit, so there must be enough for the others to pass them.
const MOST_PROBES: usize = 96;

fn remove_place(job: &mut super::Job, task: &TaskId, id: &MachineId, attempt: Attempt) {
    if let Some(places) = job.places.get_mut(&task.index) {
        places.retain(|(m, a)| !(m == id && *a == attempt));
        if places.is_empty() {
            job.places.remove(&task.index);
        }
    }
}
