//! Runs the workflow engine: dispatches its actions and keeps alive the lease of this node's claims on runs.

use super::actions::execute;
use super::watches::{watch_job_ends, watch_runs};
use crate::node::{Node, WorkflowExecution};
use crate::store::error::StoreError;
use hopyoke_event_loop as runtime;
use hopyoke_types::Micros;
use std::rc::Rc;
use tracing::{debug, warn};

/// Maximum number of actions in flight, since all requests to the key-value store share a bounded connection pool.
const MAX_RUNNING_ACTIONS: usize = 8;
/// Time to live of the lease of a node's claims: how long they outlive a crashed node.
const LEASE_TTL: Micros = Micros::from_secs(8);

/// Starts the engine and its watches if this node executes workflows.
pub(crate) fn start(node: &Rc<Node>) {
    if node.workflows.is_some() {
        runtime::spawn_until(node.cancel.clone(), keep_lease_alive(node.clone()));
        runtime::spawn_until(node.cancel.clone(), watch_runs(node.clone()));
        runtime::spawn_until(node.cancel.clone(), watch_job_ends(node.clone()));
        runtime::spawn_until(node.cancel.clone(), run_engine(node.clone()));
    }
}

/// Returns the node's state of workflow execution.
///
/// # Panics
/// If this node does not execute workflows: then no routine that calls this is started.
pub(super) fn workflow_state(node: &Node) -> &WorkflowExecution {
    node.workflows
        .as_ref()
        .expect("only called on nodes that execute workflows")
}

/// Ticks the engine when it is due or notified, and executes its actions concurrently.
async fn run_engine(node: Rc<Node>) {
    let workflows = workflow_state(&node);
    loop {
        let now = runtime::now();
        workflows.engine.borrow_mut().tick(now);
        while workflows.running_actions.get() < MAX_RUNNING_ACTIONS {
            let Some(action) = workflows.engine.borrow_mut().next_action() else {
                break;
            };
            workflows
                .running_actions
                .set(workflows.running_actions.get() + 1);
            let node = node.clone();
            runtime::spawn_until(node.cancel.clone(), async move {
                execute(&node, action).await;
                let workflows = workflow_state(&node);
                workflows
                    .running_actions
                    .set(workflows.running_actions.get() - 1);
                workflows.wakeup.notify();
            });
        }
        let due_at = workflows
            .engine
            .borrow()
            .next_due(now)
            .max(now + Micros::from_millis(1));
        workflows.wakeup.wait_until(due_at).await;
    }
}

/// Obtains and renews the lease that this node's claims on runs are attached to.
async fn keep_lease_alive(node: Rc<Node>) {
    let workflows = workflow_state(&node);
    loop {
        match workflows.lease.get() {
            None => match node.store.critical().grant(LEASE_TTL).await {
                Ok(lease) => workflows.lease.set(Some(lease)),
                Err(e) => {
                    debug!(error = %e, "failed to obtain a lease for claims on workflow runs")
                }
            },
            Some(lease) => match node.store.critical().renew(lease).await {
                Ok(()) => {}
                Err(StoreError::Gone) => {
                    warn!("the lease of this node's claims on workflow runs has expired");
                    workflows.lease.set(None);
                    workflows.engine.borrow_mut().lease_lost(runtime::now());
                    workflows.wakeup.notify();
                    continue;
                }
                Err(e) => {
                    debug!(error = %e, "failed to renew the lease of claims on workflow runs")
                }
            },
        }
        runtime::sleep(Micros(LEASE_TTL.0 / 4)).await;
    }
}
