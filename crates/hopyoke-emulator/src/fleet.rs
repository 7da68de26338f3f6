//! State shared by all agents of a cluster, and their observations.

use crate::kv_store::KvStore;
use hopyoke_protocol::user::JobSpec;
use hopyoke_types::{Attempt, JobId, MachineId, Micros, TaskId};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// State shared by all agents of a cluster, and their observations.
pub struct Fleet {
    pub(crate) store: Rc<KvStore>,
    /// Names and agent API addresses of the controllers, in the order in which agents try them.
    pub(crate) controllers: RefCell<Vec<(String, SocketAddr)>>,
    pub(crate) heartbeat_interval: Micros,
    /// Time without an acknowledged heartbeat after which an agent kills its tasks and starts a new epoch.
    pub(crate) lease: Micros,
    /// Factor between a job's estimate and the run time of its tasks.
    pub(crate) run_time_factor: f64,
    /// Job class whose tasks fail on every machine, or empty.
    pub failing_class: RefCell<String>,
    /// Task starts in the order in which they happened.
    pub task_starts: RefCell<Vec<TaskStart>>,
    /// Pushed commands that agents have executed and that contain a start, in the order of their execution.
    pub executed_starts: RefCell<Vec<ExecutedPush>>,
    /// Tasks that have succeeded. Their results outlive attempts and machines, so a further attempt ends at once.
    pub(crate) succeeded: RefCell<BTreeSet<TaskId>>,
    /// Tasks that are on a machine. A task that starts on another machine meanwhile violates the invariant `ran_twice`.
    pub(crate) live_tasks: RefCell<BTreeMap<TaskId, MachineId>>,
    /// Violations, each beginning with the name of the invariant.
    pub violations: RefCell<Vec<String>>,
    /// Number of gang members that have fetched their image and wait for the others, by job and attempt.
    pub(crate) waiting_gang_members: RefCell<BTreeMap<(String, Attempt), u32>>,
}

/// Start of a task.
#[derive(Debug, Clone)]
pub struct TaskStart {
    /// Time by the event loop's monotonic clock.
    pub at: Micros,
    /// The task.
    pub task: TaskId,
    /// The machine on which it started.
    pub machine: MachineId,
    /// Zone of the machine.
    pub zone: String,
    /// Class of the job.
    pub class: String,
}

/// Request with pushed commands that an agent has executed.
#[derive(Debug, Clone)]
pub struct ExecutedPush {
    /// Address of the agent.
    pub agent: SocketAddr,
    /// Body of the request.
    pub body: Vec<u8>,
}

impl Fleet {
    pub(crate) fn new(
        store: Rc<KvStore>,
        heartbeat_interval: Micros,
        lease: Micros,
        run_time_factor: f64,
    ) -> Fleet {
        Fleet {
            store,
            controllers: RefCell::default(),
            heartbeat_interval,
            lease,
            run_time_factor,
            failing_class: RefCell::default(),
            task_starts: RefCell::default(),
            executed_starts: RefCell::default(),
            succeeded: RefCell::default(),
            live_tasks: RefCell::default(),
            violations: RefCell::default(),
            waiting_gang_members: RefCell::default(),
        }
    }

    /// Returns whether a task of the job is on a machine.
    pub fn has_task_of(&self, job: &JobId) -> bool {
        self.live_tasks.borrow().keys().any(|t| t.job == *job)
    }

    /// Returns the specification of a task's job from the job's record, or `None` if it is missing or unreadable.
    pub(crate) fn spec(&self, task: &TaskId) -> Option<JobSpec> {
        let record = self.store.get(&format!("job/{}", task.job))?;
        serde_json::from_value(record.get("spec")?.clone()).ok()
    }
}
