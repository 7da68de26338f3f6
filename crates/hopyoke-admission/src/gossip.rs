//! Gossip of queue positions, so that a position counts at whichever node its client retries.

use hopyoke_types::{JobId, Micros};
use std::collections::VecDeque;

/// Entries that are queued for one peer; beyond that the oldest are dropped, for they are only hints.
const MAX_QUEUED: usize = 1024;
/// Entries in one message.
const MAX_PER_MESSAGE: usize = 256;
/// A peer whose last message is no older than this shares the queue.
const PEER_TIMEOUT: Micros = Micros::from_secs(3);

/// One queue position, as a node announces it to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueGossip {
    /// The job that holds the position.
    pub job: JobId,
    /// The index of its team in the settings.
    pub tenant: usize,
    /// Time until its retry is due; `None`: it was admitted.
    pub due_in: Option<Micros>,
}

/// One change of a queue position that is still to be sent.
#[derive(Debug, Clone)]
struct Update {
    job: JobId,
    tenant: usize,
    /// When the retry is due; `None`: the job was admitted.
    due_at: Option<Micros>,
}

#[derive(Debug, Clone, Default)]
struct Peer {
    queued: VecDeque<Update>,
    last_message_at: Option<Micros>,
}

/// Announcements that are queued for each peer, and which peers are reachable.
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

    /// Queues a job's retry time for all peers; `None`: it was admitted.
    pub(crate) fn push(&mut self, job: &JobId, tenant: usize, due_at: Option<Micros>) {
        for peer in &mut self.peers {
            if peer.queued.len() >= MAX_QUEUED {
                peer.queued.pop_front();
            }
            peer.queued.push_back(Update {
                job: job.clone(),
                tenant,
                due_at,
            });
        }
    }

    /// Takes what to send to this peer now. It is sent once: a lost entry costs one client its position, no more.
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

    /// A message of a peer arrived.
    pub(crate) fn gossip_received(&mut self, peer: usize, now: Micros) {
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.last_message_at = Some(now);
        }
    }

    /// How many nodes share the queue, this one included.
    pub(crate) fn sharing_nodes(&self, now: Micros) -> usize {
        1 + self
            .peers
            .iter()
            .filter(|p| p.last_message_at.is_some_and(|at| now < at + PEER_TIMEOUT))
            .count()
    }
}
