//! Life cycle of tasks on a machine: start, image fetch, run, checkpoint and exit.

use super::{Agent, Task};
use crate::Simulation;
use hopyoke_protocol::user::JobKind;
use hopyoke_protocol::worker::{Command, ExitReason, TaskState};
use hopyoke_types::{Attempt, MachineId, Micros, TaskId};

impl Simulation {
    /// Executes commands in the given order.
    pub(crate) fn execute_commands(&mut self, id: &MachineId, commands: Vec<Command>) {
        for command in commands {
            self.log(|| format!("{id} {command:?}"));
            match command {
                Command::Start { task, attempt } => self.start_task(id, &task, attempt),
                Command::Stop {
                    task,
                    attempt,
                    grace_s,
                } => self.stop_task(id, &task, attempt, grace_s),
                Command::Acknowledge { task, attempt } => {
                    if let (Some(t), Some(m)) = (TaskId::parse(&task), self.machines.get_mut(id))
                        && m.tasks
                            .get(&(t.clone(), attempt))
                            .is_some_and(|status| status.state == TaskState::Ended)
                    {
                        m.tasks.remove(&(t, attempt));
                    }
                }
            }
        }
    }

    /// Starts a task, or records the attempt as ended with the reason why it cannot run on this machine.
    fn start_task(&mut self, id: &MachineId, task: &str, attempt: Attempt) {
        let now = self.now;
        let Some(task) = TaskId::parse(task) else {
            return;
        };
        let key = (task.clone(), attempt);
        let Some(m) = self.machines.get(id) else {
            return;
        };
        if m.tasks.contains_key(&key) {
            return;
        }
        let exit_reason = self.rejection_reason(m, &task);
        let spec = self.jobs.get(&task.job).map(|j| j.spec.clone());
        let fetch_rate = self
            .machine_types
            .iter()
            .find(|t| t.name == m.machine_type)
            .map_or(1.0, |t| t.fetch_gb_per_s);
        let state = if exit_reason.is_some() {
            TaskState::Ended
        } else {
            TaskState::Fetching
        };
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        m.tasks.insert(
            key,
            Task {
                state,
                exit_reason,
                checkpoint_saved: false,
                started_at: now,
            },
        );
        let (Some(spec), None) = (spec, exit_reason) else {
            return self.schedule_heartbeat(id);
        };
        let cached = m.images.contains(&spec.image);
        let fetch = if cached {
            Micros::from_millis(1)
        } else {
            Micros::from_secs_f64(spec.image_gb / fetch_rate)
        };
        let epoch = m.epoch;
        let machine = id.clone();
        self.schedule_heartbeat(id);
        self.schedule_on_machine(id, fetch, move |sim| {
            sim.image_fetched(&machine, epoch, task, attempt)
        });
    }

    /// Returns why a task cannot start on a machine. Returns `None` if it can.
    fn rejection_reason(&self, m: &Agent, task: &TaskId) -> Option<ExitReason> {
        let Some(spec) = self.jobs.get(&task.job).map(|j| &j.spec) else {
            return Some(ExitReason::UnknownTask);
        };
        let running = || {
            m.tasks
                .iter()
                .filter(|(_, status)| status.state != TaskState::Ended)
        };
        if running().any(|((t, _), _)| t == task) {
            return Some(ExitReason::Busy);
        }
        let machine_type = self
            .machine_types
            .iter()
            .find(|t| t.name == m.machine_type)?;
        let (mut cpus, mut gpus, mut memory_gb) = (0.0, 0.0, 0.0);
        for ((t, _), _) in running() {
            if let Some(job) = self.jobs.get(&t.job) {
                cpus += job.spec.cpus;
                gpus += job.spec.gpus;
                memory_gb += job.spec.memory_gb;
            }
        }
        let exceeds = cpus + spec.cpus > machine_type.cpus + 1e-6
            || gpus + spec.gpus > machine_type.gpus + 1e-6
            || memory_gb + spec.memory_gb > machine_type.memory_gb + 1e-6;
        exceeds.then_some(ExitReason::InsufficientResources)
    }

    /// Returns a task that was started in `epoch` and has not ended. Returns `None` if the machine no longer exists or
    /// has moved to another epoch.
    pub(super) fn active_task(
        &mut self,
        id: &MachineId,
        epoch: u64,
        key: &(TaskId, Attempt),
    ) -> Option<&mut Task> {
        let m = self.machines.get_mut(id)?;
        if m.epoch != epoch {
            return None;
        }
        m.tasks.get_mut(key).filter(|t| t.state != TaskState::Ended)
    }

    /// Handles a completed image fetch: the task runs, or waits for the rest of its gang.
    fn image_fetched(&mut self, id: &MachineId, epoch: u64, task: TaskId, attempt: Attempt) {
        let key = (task.clone(), attempt);
        if self
            .active_task(id, epoch, &key)
            .is_none_or(|t| t.state != TaskState::Fetching)
        {
            return;
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.start_count += 1;
        job.first_started_at.get_or_insert(self.now);
        let (spec, is_done, always_fails) = (
            job.spec.clone(),
            job.done[task.index as usize],
            job.always_fails,
        );
        self.check_task_start(id, &task);
        if let Some(m) = self.machines.get_mut(id)
            && !m.images.contains(&spec.image)
        {
            m.images.push(spec.image.clone());
        }
        let is_faulty = self.machines.get(id).is_some_and(|m| m.is_faulty);
        if is_done {
            return self.end_task(id, &key, ExitReason::Done, false);
        }
        if is_faulty || always_fails {
            return self.end_task(id, &key, ExitReason::Error, false);
        }
        if spec.kind == JobKind::Gang {
            if let Some(t) = self.active_task(id, epoch, &key) {
                t.state = TaskState::Waiting;
            }
            let gang_timeout = self.config.gang_start_timeout;
            let (machine, waiting_key) = (id.clone(), key.clone());
            self.schedule_on_machine(id, gang_timeout, move |sim| {
                if sim
                    .active_task(&machine, epoch, &waiting_key)
                    .is_some_and(|t| t.state == TaskState::Waiting)
                {
                    sim.end_task(&machine, &waiting_key, ExitReason::Incomplete, false);
                }
            });
            self.schedule_heartbeat(id);
            return self.run_gang_if_ready(&task.job, attempt);
        }
        self.run_task(id, epoch, &key);
    }

    /// Runs a task. Unless it belongs to a service, it completes after the remainder of its run time.
    pub(super) fn run_task(&mut self, id: &MachineId, epoch: u64, key: &(TaskId, Attempt)) {
        let now = self.now;
        if let Some(t) = self.active_task(id, epoch, key) {
            t.state = TaskState::Running;
            t.started_at = now;
        }
        self.schedule_heartbeat(id);
        let Some(job) = self.jobs.get(&key.0.job) else {
            return;
        };
        if job.spec.kind == JobKind::Service {
            return;
        }
        let remaining = job.run_time - job.checkpointed_progress;
        let is_gang = job.spec.kind == JobKind::Gang;
        // A gang runs at the speed of its slowest machine.
        let members = if is_gang {
            self.active_tasks(&key.0.job, key.1)
        } else {
            vec![(id.clone(), key.0.clone())]
        };
        let slowdown = members
            .iter()
            .filter_map(|(m, _)| Some(self.machines.get(m)?.slowdown))
            .fold(1.0, f64::max);
        let slowdown = if is_gang {
            slowdown
        } else {
            self.machines.get(id).map_or(1.0, |m| m.slowdown)
        };
        let remaining = Micros((remaining.0 as f64 * slowdown) as u64);
        let (machine, task_key) = (id.clone(), key.clone());
        self.schedule_cancel_at_end(&key.0, remaining);
        self.schedule_on_machine(id, remaining, move |sim| {
            sim.complete_task(&machine, epoch, &task_key)
        });
    }

    /// Completes a task that has run to its end. The tasks of a gang complete together.
    fn complete_task(&mut self, id: &MachineId, epoch: u64, key: &(TaskId, Attempt)) {
        if self
            .active_task(id, epoch, key)
            .is_none_or(|t| t.state != TaskState::Running)
        {
            return;
        }
        let is_gang = self
            .jobs
            .get(&key.0.job)
            .is_some_and(|j| j.spec.kind == JobKind::Gang);
        let members = if is_gang {
            self.active_tasks(&key.0.job, key.1)
        } else {
            vec![(id.clone(), key.0.clone())]
        };
        // A gang makes no progress while a task is missing or one of its machines hangs.
        let is_complete = self
            .jobs
            .get(&key.0.job)
            .is_some_and(|j| members.len() == j.spec.tasks as usize);
        if is_gang && (!is_complete || members.iter().any(|(m, _)| self.paused_until(m).is_some()))
        {
            return;
        }
        for (m, task) in members {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.done[task.index as usize] = true;
                if job.done.iter().all(|d| *d) {
                    job.done_at.get_or_insert(self.now);
                }
            }
            self.end_task(&m, &(task, key.1), ExitReason::Done, false);
        }
        if self
            .jobs
            .get(&key.0.job)
            .is_some_and(|j| j.done_at.is_some())
        {
            self.cancel_at_job_end(&key.0.job);
        }
    }

    /// Stops a task. A running task with checkpoints saves one first if the grace period is long enough.
    fn stop_task(&mut self, id: &MachineId, task: &str, attempt: Attempt, grace_s: f64) {
        let Some(task) = TaskId::parse(task) else {
            return;
        };
        let key = (task, attempt);
        let epoch = self.agent_epoch(id);
        let Some(job) = self.jobs.get(&key.0.job) else {
            return;
        };
        let spec = job.spec.clone();
        let Some(t) = self.active_task(id, epoch, &key) else {
            return;
        };
        let saves_checkpoint = t.state == TaskState::Running
            && spec.checkpoint_interval_s > 0.0
            && grace_s >= spec.checkpoint_save_s;
        if t.state == TaskState::Saving && grace_s > 0.0 {
            return;
        }
        if !saves_checkpoint {
            return self.end_task(id, &key, ExitReason::Stopped, false);
        }
        t.state = TaskState::Saving;
        let progress = self.now - self.machines[id].tasks[&key].started_at;
        let machine = id.clone();
        self.schedule_heartbeat(id);
        self.schedule_on_machine(
            id,
            Micros::from_secs_f64(spec.checkpoint_save_s),
            move |sim| {
                if sim
                    .active_task(&machine, epoch, &key)
                    .is_none_or(|t| t.state != TaskState::Saving)
                {
                    return;
                }
                // A checkpoint is usable only if no task of the job is missing.
                let is_complete = sim.active_tasks(&key.0.job, key.1).len() as u32 == spec.tasks;
                if is_complete && let Some(job) = sim.jobs.get_mut(&key.0.job) {
                    job.checkpointed_progress =
                        (job.checkpointed_progress + progress).min(job.run_time);
                }
                sim.end_task(&machine, &key, ExitReason::Stopped, is_complete);
            },
        );
    }

    /// Ends a task. Unless it completed, the rest of its gang ends as well.
    pub(super) fn end_task(
        &mut self,
        id: &MachineId,
        key: &(TaskId, Attempt),
        exit_reason: ExitReason,
        checkpoint_saved: bool,
    ) {
        if let Some(t) = self.machines.get_mut(id).and_then(|m| m.tasks.get_mut(key)) {
            t.state = TaskState::Ended;
            t.exit_reason = Some(exit_reason);
            t.checkpoint_saved = checkpoint_saved;
        }
        self.log(|| format!("{id} {} exits: {exit_reason:?}", key.0));
        self.schedule_heartbeat(id);
        if exit_reason != ExitReason::Done {
            self.end_gang_on_member_loss(&key.0.job, key.1);
        }
    }
}
