//! Gossips queue positions among nodes, as clients may retry at any node.

use hopyoke_types::{JobId, Micros};
use std::collections::VecDeque;

/// Maximum number of updates queued per peer. The oldest are dropped beyond that, as updates are only hints.
const MAX_QUEUED: usize = 1024;
/// Maximum number of updates per message.
const MAX_PER_MESSAGE: usize = 256;
/// Age of a peer's last message from which it no longer counts as sharing the queue.
const PEER_TIMEOUT: Micros = Micros::from_secs(3);

/// An update of a job's queue position, as sent to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueGossip {
    /// Job at this position.
    pub job: JobId,
    /// Index of the job's team in the settings.
    pub tenant: usize,
    /// Time until the job's retry is due; `None` if it was admitted.
    pub due_in: Option<Micros>,
}

/// An update of a queue position that is yet to be sent.
#[derive(Debug, Clone)]
struct PendingUpdate {
    job: JobId,
    tenant: usize,
    /// When the retry is due; `None` if the job was admitted.
    due_at: Option<Micros>,
}

#[derive(Debug, Clone, Default)]
struct Peer {
    queued: VecDeque<PendingUpdate>,
    last_message_at: Option<Micros>,
}

/// Updates queued for each peer, and which peers are reachable.
#[derive(Debug, Clone)]
pub(crate) struct GossipOutbox {
    peers: Vec<Peer>,
}

impl GossipOutbox {
    pub(crate) fn new(peers: usize) -> GossipOutbox {
        GossipOutbox {
            peers: vec![Peer::default(); peers],
        }
    }

    /// Queues a job's retry time for all peers; `None` if it was admitted.
    pub(crate) fn push(&mut self, job: &JobId, tenant: usize, due_at: Option<Micros>) {
        for peer in &mut self.peers {
            if peer.queued.len() >= MAX_QUEUED {
                peer.queued.pop_front();
            }
            peer.queued.push_back(PendingUpdate {
                job: job.clone(),
                tenant,
                due_at,
            });
        }
    }

    /// Takes the updates to send to this peer now. They are sent once: a lost update costs only that client's position.
    pub(crate) fn take(&mut self, peer: usize, now: Micros) -> Vec<QueueGossip> {
        let Some(peer) = self.peers.get_mut(peer) else {
            return Vec::new();
        };
        let count = peer.queued.len().min(MAX_PER_MESSAGE);
        let updates = peer.queued.drain(..count);
        updates
            .map(|update| QueueGossip {
                job: update.job,
                tenant: update.tenant,
                due_in: update.due_at.map(|due_at| due_at - now),
            })
            .collect()
    }

    /// Records that a message of a peer arrived.
    pub(crate) fn gossip_received(&mut self, peer: usize, now: Micros) {
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.last_message_at = Some(now);
        }
    }

    /// Returns how many nodes share the queue, including this one.
    pub(crate) fn sharing_nodes(&self, now: Micros) -> usize {
        1 + self
            .peers
            .iter()
            .filter(|p| p.last_message_at.is_some_and(|at| now < at + PEER_TIMEOUT))
            .count()
    }
}
