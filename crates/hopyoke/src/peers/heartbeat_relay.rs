//! Relays agents' heartbeats to the leader while it offloads agents' connections to its peers (see
//! [`hopyoke_heartbeat`]).

use crate::node::Node;
use hopyoke_event_loop::{self as runtime, Notify};
use hopyoke_heartbeat::{Batch, HeartbeatBatcher, HeartbeatId};
use hopyoke_types::Micros;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Relayed heartbeat whose agent waits for the response.
#[derive(Clone, Default)]
struct PendingHeartbeat {
    /// `None` until the call to the leader ends; empty if the heartbeat was not answered.
    response: Rc<RefCell<Option<Vec<u8>>>>,
    wakeup: Notify,
}

/// Heartbeats queued for the leader or awaiting its response.
#[derive(Default)]
pub(crate) struct HeartbeatRelay {
    batcher: RefCell<HeartbeatBatcher>,
    /// Notified when a call may have become due.
    wakeup: Notify,
    pending: RefCell<BTreeMap<HeartbeatId, PendingHeartbeat>>,
}

impl HeartbeatRelay {
    /// Relays an encoded heartbeat to the leader and waits for the response. Returns `None` if the heartbeat was
    /// rejected or not answered.
    pub(crate) async fn relay(&self, heartbeat: Vec<u8>) -> Option<Vec<u8>> {
        let id = self
            .batcher
            .borrow_mut()
            .enqueue(heartbeat, runtime::now())?;
        let pending = PendingHeartbeat::default();
        self.pending.borrow_mut().insert(id, pending.clone());
        self.wakeup.notify();
        pending.wakeup.wait().await;
        let response = pending.response.borrow_mut().take();
        response.filter(|r| !r.is_empty())
    }

    fn respond(&self, id: HeartbeatId, response: Vec<u8>) {
        if let Some(pending) = self.pending.borrow_mut().remove(&id) {
            *pending.response.borrow_mut() = Some(response);
            pending.wakeup.notify();
        }
    }

    /// Returns the numbers of heartbeats relayed and rejected since the start of the process.
    pub(crate) fn counts(&self) -> (u64, u64) {
        self.batcher.borrow().counts()
    }
}

/// Relays queued heartbeats for as long as the node runs.
pub(crate) async fn run(node: Rc<Node>) {
    let relay = &node.heartbeat_relay;
    loop {
        let next_call_at = relay.batcher.borrow().next_call_at();
        match next_call_at {
            Some(due_at) => runtime::sleep_until(due_at).await,
            None => {
                relay
                    .wakeup
                    .wait_until(runtime::now() + Micros::from_secs(5))
                    .await
            }
        }
        let (batch, dropped) = relay.batcher.borrow_mut().begin_call(runtime::now());
        for id in dropped {
            relay.respond(id, Vec::new());
        }
        if !batch.is_empty() {
            let own = node.clone();
            runtime::spawn_until(
                node.cancel.clone(),
                async move { send_batch(&own, batch).await },
            );
        }
    }
}

async fn send_batch(node: &Node, batch: Batch) {
    let (ids, heartbeats): (Vec<HeartbeatId>, Vec<Vec<u8>>) = batch.into_iter().unzip();
    let leader = node.leader.borrow().clone();
    let responses = match leader.as_deref().and_then(|l| node.peers.by_name(l)) {
        Some(client) => {
            client
                .relay_heartbeats(&node.settings.node, heartbeats)
                .await
        }
        None => None,
    };
    let relay = &node.heartbeat_relay;
    relay.batcher.borrow_mut().call_ended();
    let responses = responses.unwrap_or_else(|| vec![Vec::new(); ids.len()]);
    for (id, response) in ids.into_iter().zip(responses) {
        relay.respond(id, response);
    }
    relay.wakeup.notify();
}
