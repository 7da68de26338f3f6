//! Batches the heartbeats that a follower relays to the leader.

use hopyoke_types::Micros;
use std::collections::VecDeque;

/// Identifies a heartbeat to be relayed; unique within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HeartbeatId(u64);

/// Encoded heartbeats of one call, with their IDs.
pub type Batch = Vec<(HeartbeatId, Vec<u8>)>;

/// Time that a heartbeat waits for others to join its batch, unless [`MAX_BATCH`] are queued.
const BATCH_DELAY: Micros = Micros::from_millis(20);
/// Maximum number of heartbeats per call.
const MAX_BATCH: usize = 64;
/// Maximum number of concurrent calls.
const MAX_CALLS: usize = 4;
/// Maximum number of queued heartbeats; further ones are rejected immediately.
const MAX_QUEUED: usize = 512;
/// Maximum time in the queue; an older heartbeat is dropped, as its agent would discard the late response.
const MAX_QUEUE_TIME: Micros = Micros::from_millis(2_500);

#[derive(Debug)]
struct QueuedHeartbeat {
    id: HeartbeatId,
    arrived_at: Micros,
    body: Vec<u8>,
}

/// Queues heartbeats and batches them into calls to the leader. The queue is bounded: when it is full, heartbeats are
/// rejected immediately and the agent tries the next node.
#[derive(Debug, Default)]
pub struct HeartbeatBatcher {
    queue: VecDeque<QueuedHeartbeat>,
    last_id: u64,
    calls_in_flight: usize,
    relayed: u64,
    refused: u64,
}

impl HeartbeatBatcher {
    /// Queues an encoded heartbeat. Returns `None` if the queue is full.
    pub fn enqueue(&mut self, heartbeat: Vec<u8>, now: Micros) -> Option<HeartbeatId> {
        if self.queue.len() >= MAX_QUEUED {
            self.refused += 1;
            return None;
        }
        self.last_id += 1;
        let id = HeartbeatId(self.last_id);
        self.queue.push_back(QueuedHeartbeat {
            id,
            arrived_at: now,
            body: heartbeat,
        });
        Some(id)
    }

    /// Returns when the next call is due, or `None` if the queue is empty or the maximum number of calls is in flight.
    #[must_use]
    pub fn next_call_at(&self) -> Option<Micros> {
        let oldest = self.queue.front()?;
        if self.calls_in_flight >= MAX_CALLS {
            return None;
        }
        Some(if self.queue.len() >= MAX_BATCH {
            Micros::ZERO
        } else {
            oldest.arrived_at + BATCH_DELAY
        })
    }

    /// Begins a call. Returns its batch, which is empty if no call is due, and the IDs of heartbeats dropped because
    /// they were queued for too long. If the batch isn't empty, [`Self::call_ended`] must follow.
    pub fn begin_call(&mut self, now: Micros) -> (Batch, Vec<HeartbeatId>) {
        let mut dropped = Vec::new();
        while let Some(oldest) = self.queue.front()
            && now > oldest.arrived_at + MAX_QUEUE_TIME
        {
            dropped.push(oldest.id);
            self.refused += 1;
            self.queue.pop_front();
        }
        if self.next_call_at().is_none_or(|due_at| now < due_at) {
            return (Batch::new(), dropped);
        }
        let count = self.queue.len().min(MAX_BATCH);
        let batch: Batch = self
            .queue
            .drain(..count)
            .map(|heartbeat| (heartbeat.id, heartbeat.body))
            .collect();
        self.calls_in_flight += 1;
        self.relayed += batch.len() as u64;
        (batch, dropped)
    }

    /// Records that a call ended, successfully or not.
    pub fn call_ended(&mut self) {
        self.calls_in_flight = self.calls_in_flight.saturating_sub(1);
    }

    /// Returns the number of heartbeats relayed and refused since process start.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        (self.relayed, self.refused)
    }
}
