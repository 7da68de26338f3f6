//! What all agents of a cluster share and observe.

use crate::kv_store::KvStore;
use hopyoke_protocol::user::JobSpec;
use hopyoke_types::{Attempt, JobId, MachineId, Micros, TaskId};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// What all agents of a cluster share, and what they observed.
pub struct Fleet {
    pub(crate) store: Rc<KvStore>,
    /// Controllers by name, with their addresses for agents, in the order in which agents try them.
    pub(crate) controllers: RefCell<Vec<(String, SocketAddr)>>,
    pub(crate) heartbeat_interval: Micros,
    /// An agent without an acknowledged heartbeat for so long kills its tasks and begins a new epoch.
    pub(crate) lease: Micros,
    /// A task runs for its job's estimate times this.
    pub(crate) run_time_factor: f64,
    /// Tasks of this class fail on every machine; empty: none.
    pub failing_class: RefCell<String>,
    /// What has started, in its order.
    pub task_starts: RefCell<Vec<TaskStart>>,
    /// Tasks that have succeeded: results outlive attempts and machines.
    pub(crate) succeeded: RefCell<BTreeSet<TaskId>>,
    /// Tasks on machines now; one that starts while it is here violates `ran_twice`.
    pub(crate) live_tasks: RefCell<BTreeMap<TaskId, MachineId>>,
    /// Violated invariants, each with its name first.
    pub violations: RefCell<Vec<String>>,
    /// How many gang members have fetched their image and wait for the others, by job and attempt.
    pub(crate) waiting_gang_members: RefCell<BTreeMap<(String, Attempt), u32>>,
}

/// A task's start.
#[derive(Debug, Clone)]
pub struct TaskStart {
    /// When, by the event loop's monotonic clock.
    pub at: Micros,
    /// What started.
    pub task: TaskId,
    /// On which machine.
    pub machine: MachineId,
    /// The machine's zone.
    pub zone: String,
    /// The job's class.
    pub class: String,
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
            succeeded: RefCell::default(),
            live_tasks: RefCell::default(),
            violations: RefCell::default(),
            waiting_gang_members: RefCell::default(),
        }
    }

    /// Whether a task of the job is on a machine.
    pub fn has_task_of(&self, job: &JobId) -> bool {
        self.live_tasks.borrow().keys().any(|t| t.job == *job)
    }

    /// A job's description. Real agents get it from where users upload it; here it is in the job's record.
    pub(crate) fn spec(&self, task: &TaskId) -> Option<JobSpec> {
        let record = self.store.get(&format!("job/{}", task.job))?;
        serde_json::from_value(record.get("spec")?.clone()).ok()
    }
}
