//! Execution of workflows' runs: hands out the engine's actions, and keeps the lease of this node's claims alive.

use super::actions::execute;
use super::watches::{watch_ends, watch_runs};
use crate::node::{Node, WorkflowExecution};
use crate::store::error::StoreError;
use hopyoke_event_loop as runtime;
use hopyoke_types::Micros;
use std::rc::Rc;
use tracing::{debug, warn};

/// Actions under way at once: requests to the key-value store share a bounded pool with all else.
const MAX_RUNNING_ACTIONS: usize = 8;
/// How long a node's claims on runs outlive it.
const LEASE_TTL: Micros = Micros::from_secs(8);

/// Starts the routines, if this node takes part.
pub(crate) fn start(node: &Rc<Node>) {
    if node.workflows.is_some() {
        runtime::spawn_until(node.cancel.clone(), keep_lease_alive(node.clone()));
        runtime::spawn_until(node.cancel.clone(), watch_runs(node.clone()));
        runtime::spawn_until(node.cancel.clone(), watch_ends(node.clone()));
        runtime::spawn_until(node.cancel.clone(), drive(node.clone()));
    }
}

/// Every routine of this module runs only where runs are carried.
pub(super) fn flows_of(node: &Node) -> &WorkflowExecution {
    node.workflows.as_ref().expect("started only with it")
}

/// Hands the engine's actions out.
async fn drive(node: Rc<Node>) {
    let flows = flows_of(&node);
    loop {
        let now = runtime::now();
        flows.engine.borrow_mut().tick(now);
        while flows.running_actions.get() < MAX_RUNNING_ACTIONS {
            let Some(action) = flows.engine.borrow_mut().next_action() else {
                break;
            };
            flows.running_actions.set(flows.running_actions.get() + 1);
            let node = node.clone();
            runtime::spawn_until(node.cancel.clone(), async move {
                execute(&node, action).await;
                let flows = flows_of(&node);
                flows.running_actions.set(flows.running_actions.get() - 1);
                flows.wakeup.notify();
            });
        }
        let due = flows
            .engine
            .borrow()
            .next_due(now)
            .max(now + Micros::from_millis(1));
        flows.wakeup.wait_until(due).await;
    }
}

/// Keeps the lease on which this node's grants are.
async fn keep_lease_alive(node: Rc<Node>) {
    let flows = flows_of(&node);
    loop {
        match flows.lease.get() {
            None => match node.store.critical().grant(LEASE_TTL).await {
                Ok(lease) => flows.lease.set(Some(lease)),
                Err(e) => debug!(error = %e, "no lease for runs"),
            },
            Some(lease) => match node.store.critical().renew(lease).await {
                Ok(()) => {}
                Err(StoreError::Gone) => {
                    warn!("the lease on which this node carries runs is gone");
                    flows.lease.set(None);
                    flows.engine.borrow_mut().lease_lost(runtime::now());
                    flows.wakeup.notify();
                    continue;
                }
                Err(e) => debug!(error = %e, "lease for runs not renewed"),
            },
        }
        runtime::sleep(Micros(LEASE_TTL.0 / 4)).await;
    }
}
