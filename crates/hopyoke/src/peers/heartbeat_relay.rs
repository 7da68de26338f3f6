//! Workers' reports that this node carries to the leader: their connections are here because the leader
//! has no room for them (see [`hopyoke_heartbeat`]).

use crate::node::Node;
use hopyoke_event_loop::{self as runtime, Notify};
use hopyoke_heartbeat::{HeartbeatBatcher, Load, Number};
use hopyoke_types::Micros;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Where an answer is left: `None` while there is none, empty if there won't be one.
type Place = Rc<RefCell<Option<Vec<u8>>>>;

#[derive(Default)]
pub struct HeartbeatRelay {
    carrier: RefCell<HeartbeatBatcher>,
    /// Rung when there may be something to carry.
    wakeup: Notify,
    waiting: RefCell<BTreeMap<Number, (Place, Notify)>>,
}

impl HeartbeatRelay {
    /// Carries a report to the leader. `None`: it has not been answered.
    pub async fn carry(&self, heartbeat: Vec<u8>) -> Option<Vec<u8>> {
        let number = self
            .carrier
            .borrow_mut()
            .arrive(heartbeat, runtime::now())?;
        let (place, wakeup) = (Place::default(), Notify::default());
        self.waiting
            .borrow_mut()
            .insert(number, (place.clone(), wakeup.clone()));
        self.wakeup.notify();
        wakeup.wait().await;
        let answer = place.borrow_mut().take();
        answer.filter(|a| !a.is_empty())
    }

    fn answered(&self, number: Number, answer: Vec<u8>) {
        if let Some((place, wakeup)) = self.waiting.borrow_mut().remove(&number) {
            *place.borrow_mut() = Some(answer);
            wakeup.notify();
        }
    }

    /// Reports carried and refused, for operators.
    pub fn counts(&self) -> (u64, u64) {
        self.carrier.borrow().counts()
    }
}

/// Carries what waits, for as long as the node runs.
pub async fn run(node: Rc<Node>) {
    let heartbeat_relay = &node.heartbeat_relay;
    loop {
        let due = heartbeat_relay.carrier.borrow().due();
        match due {
            Some(due) => runtime::sleep_until(due).await,
            None => {
                heartbeat_relay
                    .wakeup
                    .wait_until(runtime::now() + Micros::from_secs(5))
                    .await
            }
        }
        let (load, late) = heartbeat_relay.carrier.borrow_mut().load(runtime::now());
        for number in late {
            heartbeat_relay.answered(number, Vec::new());
        }
        if !load.is_empty() {
            let own = node.clone();
            runtime::spawn_until(node.cancel.clone(), async move { send(&own, load).await });
        }
    }
}

async fn send(node: &Node, load: Load) {
    let (numbers, heartbeats): (Vec<Number>, Vec<Vec<u8>>) = load.into_iter().unzip();
    let leader = node.leader.borrow().clone();
    let answers = match leader.as_deref().and_then(|l| node.peers.by_name(l)) {
        Some(link) => link.carry(&node.settings.node, heartbeats).await,
        None => None,
    };
    let heartbeat_relay = &node.heartbeat_relay;
    heartbeat_relay.carrier.borrow_mut().ended();
    let answers = answers.unwrap_or_else(|| vec![Vec::new(); numbers.len()]);
    for (number, answer) in numbers.into_iter().zip(answers) {
        heartbeat_relay.answered(number, answer);
    }
    heartbeat_relay.wakeup.notify();
}
