//! What nodes tell each other of their lines, so that a place is good at whichever node its holder comes back to.

use hopyoke_types::{JobId, Micros};
use std::collections::VecDeque;

/// Words that wait for one peer; the oldest are dropped, for they are only hints.
const WAITING: usize = 1024;
/// Words in one message.
const AT_ONCE: usize = 256;
/// A peer that was heard of within this time shares the line.
const FRESH: Micros = Micros::from_secs(3);

/// One place, as a node tells it to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueGossip {
    /// Whose place it is.
    pub job: JobId,
    /// The place of its team in the settings.
    pub tenant: usize,
    /// In how long it is to come back; `None`: it was let in.
    pub due_in: Option<Micros>,
}

#[derive(Debug, Clone, Default)]
struct Peer {
    waiting: VecDeque<(JobId, usize, Option<Micros>)>,
    heard: Option<Micros>,
}

/// What is to be told to each peer, and which of them are there.
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

    /// A job is to come back at `due`; `None`: it was let in.
    pub(crate) fn note(&mut self, job: &JobId, tenant: usize, due: Option<Micros>) {
        for peer in &mut self.peers {
            if peer.waiting.len() >= WAITING {
                peer.waiting.pop_front();
            }
            peer.waiting.push_back((job.clone(), tenant, due));
        }
    }

    /// What to tell this peer now. It is told once: a word that is lost costs somebody its place, no more.
    pub(crate) fn take(&mut self, peer: usize, now: Micros) -> Vec<QueueGossip> {
        let Some(peer) = self.peers.get_mut(peer) else {
            return Vec::new();
        };
        let n = peer.waiting.len().min(AT_ONCE);
        let words = peer.waiting.drain(..n);
        words
            .map(|(job, tenant, due)| QueueGossip {
                job,
                tenant,
                due_in: due.map(|due| due - now),
            })
            .collect()
    }

    pub(crate) fn heard(&mut self, peer: usize, now: Micros) {
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.heard = Some(now);
        }
    }

    /// How many nodes share the line, this one included.
    pub(crate) fn sharing(&self, now: Micros) -> usize {
        1 + self
            .peers
            .iter()
            .filter(|p| p.heard.is_some_and(|at| now < at + FRESH))
            .count()
    }
}
