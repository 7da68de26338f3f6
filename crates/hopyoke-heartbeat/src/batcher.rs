//! Which heartbeats are relayed to the leader in one call.

use hopyoke_types::Micros;
use std::collections::VecDeque;

/// Identifies a heartbeat that is to be relayed, within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HeartbeatId(u64);

/// The encoded heartbeats of one call.
pub type Batch = Vec<(HeartbeatId, Vec<u8>)>;

/// A heartbeat is delayed for this long to be joined by others, unless [`MAX_BATCH`] are queued.
const BATCH_DELAY: Micros = Micros::from_millis(20);
/// Heartbeats in one call.
const MAX_BATCH: usize = 64;
/// Calls in flight at once.
const MAX_CALLS: usize = 4;
/// Heartbeats in the queue; more are refused at once.
const MAX_QUEUED: usize = 512;
/// A heartbeat that has been queued for longer is not relayed: its response would come too late.
const MAX_QUEUE_TIME: Micros = Micros::from_millis(2_500);

#[derive(Debug)]
struct QueuedHeartbeat {
    id: HeartbeatId,
    arrived_at: Micros,
    body: Vec<u8>,
}

/// Gathers heartbeats for calls to the leader. Bounded: what finds no room is refused at once, and the agent tries the
/// next node.
#[derive(Debug, Default)]
pub struct HeartbeatBatcher {
    queue: VecDeque<QueuedHeartbeat>,
    last_id: u64,
    calls_in_flight: usize,
    relayed: u64,
    refused: u64,
}

impl HeartbeatBatcher {
    /// Queues an encoded heartbeat. `None`: the queue is full.
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

    /// When the next call is due; `None`: the queue is empty, or as many calls as allowed are in flight.
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

    /// Begins a call: the heartbeats for it, none if no call is due, and those that were dropped because they had been
    /// queued for too long. A call that has heartbeats ends with [`Self::call_ended`].
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

    /// A call has ended, successfully or not.
    pub fn call_ended(&mut self) {
        self.calls_in_flight = self.calls_in_flight.saturating_sub(1);
    }

    /// Heartbeats relayed and refused since the start of the process, for operators.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        (self.relayed, self.refused)
    }
}
