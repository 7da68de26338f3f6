//! Lifecycle of an agent's tasks.

use crate::agent::Agent;
use crate::fleet::TaskStart;
use hopyoke_event_loop::{self as runtime, CancellationToken};
use hopyoke_protocol::user::{JobKind, JobSpec};
use hopyoke_protocol::worker::{ExitReason, TaskState};
use hopyoke_types::{Attempt, Micros, TaskId};
use std::rc::Rc;

/// A task on a machine, kept until the leader acknowledges its end.
pub(crate) struct Task {
    pub(crate) state: TaskState,
    /// Set once it has ended.
    pub(crate) exit_reason: Option<ExitReason>,
    spec: Option<JobSpec>,
    cancel: CancellationToken,
}

/// Tolerance for rounding errors in sums of resources.
const RESOURCE_EPSILON: f64 = 1e-9;

impl Agent {
    /// Kills and removes all tasks.
    pub(crate) fn kill_all(&self) {
        let tasks = std::mem::take(&mut self.state.borrow_mut().tasks);
        for ((id, _), task) in tasks {
            task.cancel.cancel();
            self.remove_live(&id);
        }
    }

    fn remove_live(&self, task: &TaskId) {
        let mut live = self.fleet.live_tasks.borrow_mut();
        if live.get(task) == Some(&self.machine.id) {
            live.remove(task);
        }
    }

    /// Starts a task, or records why it cannot start. The command is idempotent.
    pub(crate) fn start_task(self: &Rc<Agent>, task: TaskId, attempt: Attempt) {
        let key = (task.clone(), attempt);
        if self.state.borrow().tasks.contains_key(&key) {
            return;
        }
        let spec = self.fleet.spec(&task);
        let rejection = self.rejection(&task, spec.as_ref());
        let state = if rejection.is_some() {
            TaskState::Ended
        } else {
            TaskState::Fetching
        };
        let cancel = CancellationToken::new();
        let entry = Task {
            state,
            exit_reason: rejection,
            spec: spec.clone(),
            cancel: cancel.clone(),
        };
        self.state.borrow_mut().tasks.insert(key, entry);
        self.changed.notify();
        if let Some(spec) = spec.filter(|_| rejection.is_none()) {
            let agent = self.clone();
            runtime::spawn_until(cancel, async move {
                agent.run_task(task, attempt, spec).await;
            });
        }
    }

    /// Returns the reason why a task cannot start on this machine, or `None` if it can.
    fn rejection(&self, task: &TaskId, spec: Option<&JobSpec>) -> Option<ExitReason> {
        let Some(spec) = spec.filter(|s| task.index < s.tasks) else {
            return Some(ExitReason::UnknownTask);
        };
        let state = self.state.borrow();
        let live = || {
            state
                .tasks
                .iter()
                .filter(|(_, t)| t.state != TaskState::Ended)
        };
        if live().any(|((id, _), _)| id == task) {
            return Some(ExitReason::Busy);
        }
        let (mut cpus, mut gpus, mut memory_gb) = (spec.cpus, spec.gpus, spec.memory_gb);
        for other in live().filter_map(|(_, t)| t.spec.as_ref()) {
            cpus += other.cpus;
            gpus += other.gpus;
            memory_gb += other.memory_gb;
        }
        let capacity = &self.machine.machine_type;
        let exceeds = cpus > capacity.cpus + RESOURCE_EPSILON
            || gpus > capacity.gpus + RESOURCE_EPSILON
            || memory_gb > capacity.memory_gb + RESOURCE_EPSILON;
        exceeds.then_some(ExitReason::InsufficientResources)
    }

    /// Fetches the image, waits for the gang if there is one, runs the task and ends it.
    async fn run_task(self: Rc<Agent>, task: TaskId, attempt: Attempt, spec: JobSpec) {
        self.fetch_image(&spec).await;
        self.check_runs_once(&task);
        if spec.kind == JobKind::Gang {
            self.set_state(&task, attempt, TaskState::Waiting);
            self.wait_for_gang(&task, attempt, spec.tasks).await;
        }
        self.set_state(&task, attempt, TaskState::Running);
        self.fleet.task_starts.borrow_mut().push(TaskStart {
            at: runtime::now(),
            task: task.clone(),
            machine: self.machine.id.clone(),
            zone: self.machine.zone.clone(),
            class: spec.class.clone(),
        });
        if *self.fleet.failing_class.borrow() == spec.class {
            runtime::sleep(Micros::from_millis(50)).await;
            return self.end_task(&task, attempt, ExitReason::Error);
        }
        if !self.fleet.succeeded.borrow().contains(&task) {
            match spec.kind {
                JobKind::Service => std::future::pending().await,
                _ => {
                    let run_time_s = spec.estimate_s * self.fleet.run_time_factor;
                    runtime::sleep(Micros::from_secs_f64(run_time_s)).await;
                }
            }
        }
        self.fleet.succeeded.borrow_mut().insert(task.clone());
        self.end_task(&task, attempt, ExitReason::Done);
    }

    async fn fetch_image(&self, spec: &JobSpec) {
        if !self.state.borrow().images.contains(&spec.image) {
            let rate = self.machine.machine_type.fetch_gb_per_s.max(0.001);
            runtime::sleep(Micros::from_secs_f64(spec.image_gb / rate)).await;
            self.state.borrow_mut().images.insert(spec.image.clone());
        }
    }

    /// Records a violation of the invariant `ran_twice` if the task is live on another machine.
    fn check_runs_once(&self, task: &TaskId) {
        let here = &self.machine.id;
        let other = self
            .fleet
            .live_tasks
            .borrow_mut()
            .insert(task.clone(), here.clone());
        if let Some(other) = other.filter(|other| other != here) {
            let violation = format!("ran_twice: {task} starts on {here} while on {other}");
            self.fleet.violations.borrow_mut().push(violation);
        }
    }

    async fn wait_for_gang(&self, task: &TaskId, attempt: Attempt, size: u32) {
        let key = (task.job.to_string(), attempt);
        let waiting = &self.fleet.waiting_gang_members;
        *waiting.borrow_mut().entry(key.clone()).or_default() += 1;
        while waiting.borrow().get(&key).is_none_or(|n| *n < size) {
            runtime::sleep(Micros::from_millis(10)).await;
        }
    }

    fn set_state(&self, task: &TaskId, attempt: Attempt, new: TaskState) {
        let key = (task.clone(), attempt);
        if let Some(t) = self.state.borrow_mut().tasks.get_mut(&key) {
            t.state = new;
        }
        self.changed.notify();
    }

    /// Ends a task; has no effect if it has ended.
    pub(crate) fn end_task(&self, task: &TaskId, attempt: Attempt, reason: ExitReason) {
        let mut state = self.state.borrow_mut();
        let Some(t) = state.tasks.get_mut(&(task.clone(), attempt)) else {
            return;
        };
        if t.state == TaskState::Ended {
            return;
        }
        t.state = TaskState::Ended;
        t.exit_reason = Some(reason);
        let cancel = t.cancel.clone();
        drop(state);
        cancel.cancel();
        self.remove_live(task);
        self.changed.notify();
    }
}
