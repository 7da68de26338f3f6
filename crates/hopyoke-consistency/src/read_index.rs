//! Linearizable reads from a replica: many reads served by one query to the key-value store.
//!
//! A node that keeps a replica of some records may answer a read from it once the replica is known to include all
//! that was written before the read arrived. One query to the store (which changes are there?), sent after the read
//! arrived, brings the replica so far; it serves all reads that wait at that moment. A read that arrives while a query
//! is in flight waits for the next one: the answer may be older than what another node has told that user meanwhile. If
//! the store is slow, that next one need not wait for the first one's answer: up to [`Limits::max_in_flight`] queries are
//! under way at once, each for the reads that arrived before it.
//!
//! Without I/O: [`ReadIndex`] says when to query and which reads an answer serves.

use hopyoke_types::Micros;
use std::collections::VecDeque;

/// A waiting read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// A query in flight.
#[derive(Debug, PartialEq, Eq)]
pub struct ReadQuery {
    /// The last read that had arrived when it was sent.
    last_ticket: u64,
}

/// How a read ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The replica includes all that was written before the read arrived.
    Current,
    /// No query was answered in time: the reader is to try again.
    TimedOut,
}

/// How long a query waits for more reads, unless told otherwise.
pub const READ_BATCH_DELAY: Micros = Micros::from_millis(40);

/// Bounds of waiting and of queries.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Reads that wait at once; further ones are refused.
    pub max_waiting: usize,
    /// How long a query waits for more reads.
    pub batch_delay: Micros,
    /// How long a read waits.
    pub read_timeout: Micros,
    /// Queries under way at once.
    pub max_in_flight: usize,
    /// The shortest interval between two queries of which the first has not been answered.
    pub overlap_interval: Micros,
    /// The pause after the first failed query; doubled by each further one up to `max_backoff`.
    pub min_backoff: Micros,
    /// The longest pause after a failed query.
    pub max_backoff: Micros,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_waiting: 1000,
            batch_delay: READ_BATCH_DELAY,
            read_timeout: Micros::from_millis(1_200),
            max_in_flight: 1,
            overlap_interval: Micros::from_millis(100),
            min_backoff: Micros::from_millis(60),
            max_backoff: Micros::from_millis(500),
        }
    }
}

/// A read and when it arrived.
#[derive(Debug, Clone, Copy)]
struct WaitingRead {
    ticket: u64,
    arrived_at: Micros,
}

/// Waiting reads, and the queries that serve them.
#[derive(Debug)]
pub struct ReadIndex {
    limits: Limits,
    next_ticket: u64,
    /// Reads up to this ticket are served.
    served_up_to: u64,
    /// Oldest first.
    waiting: VecDeque<WaitingRead>,
    /// Reads up to this ticket have timed out, unless they were served.
    timed_out_up_to: u64,
    /// The last tickets of the queries in flight.
    in_flight: Vec<u64>,
    last_query_at: Micros,
    query_not_before: Micros,
    consecutive_failures: u32,
    queries_sent: u64,
    /// Reads served in time.
    reads_served: u64,
}

impl ReadIndex {
    /// An index without reads.
    pub fn new(limits: Limits) -> ReadIndex {
        ReadIndex {
            limits,
            next_ticket: 1,
            served_up_to: 0,
            waiting: VecDeque::new(),
            timed_out_up_to: 0,
            in_flight: Vec::new(),
            last_query_at: Micros::ZERO,
            query_not_before: Micros::ZERO,
            consecutive_failures: 0,
            queries_sent: 0,
            reads_served: 0,
        }
    }

    /// A read arrives. `None`: too many wait; it is to be refused at once.
    pub fn enqueue(&mut self, now: Micros) -> Option<Ticket> {
        self.time_out_reads(now);
        if self.waiting.len() >= self.limits.max_waiting {
            return None;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting.push_back(WaitingRead {
            ticket,
            arrived_at: now,
        });
        Some(Ticket(ticket))
    }

    /// When a query is due; `None` if no read waits for a query to be sent, or no more may be in flight.
    pub fn due_at(&self) -> Option<Micros> {
        let queried_up_to = self.in_flight.iter().copied().max().unwrap_or_default();
        let queried = self.waiting.partition_point(|r| r.ticket <= queried_up_to);
        let oldest = self.waiting.get(queried)?;
        if self.in_flight.len() >= self.limits.max_in_flight {
            return None;
        }
        let due_at = (oldest.arrived_at + self.limits.batch_delay).max(self.query_not_before);
        if self.in_flight.is_empty() {
            return Some(due_at);
        }
        Some(due_at.max(self.last_query_at + self.limits.overlap_interval))
    }

    /// Begins a query, if one is due. It must be sent now, not later.
    pub fn begin_query(&mut self, now: Micros) -> Option<ReadQuery> {
        self.time_out_reads(now);
        if self.due_at().is_none_or(|due_at| now < due_at) {
            return None;
        }
        let last_ticket = self.next_ticket - 1;
        self.in_flight.push(last_ticket);
        self.last_query_at = now;
        self.queries_sent += 1;
        Some(ReadQuery { last_ticket })
    }

    fn query_ended(&mut self, query: &ReadQuery) {
        if let Some(index) = self.in_flight.iter().position(|t| *t == query.last_ticket) {
            self.in_flight.swap_remove(index);
        }
    }

    /// A query was answered, and its answer applied to the replica.
    pub fn query_answered(&mut self, query: ReadQuery, now: Micros) {
        self.query_ended(&query);
        self.consecutive_failures = 0;
        while let Some(read) = self.waiting.front().copied()
            && read.ticket <= query.last_ticket
        {
            self.waiting.pop_front();
            self.reads_served += u64::from(now <= read.arrived_at + self.limits.read_timeout);
        }
        self.served_up_to = self.served_up_to.max(query.last_ticket);
    }

    /// A query was refused or not answered. `jitter`: a draw from 0 to 1.
    pub fn query_failed(&mut self, query: ReadQuery, jitter: f64, now: Micros) {
        self.query_ended(&query);
        let backoff = self
            .limits
            .min_backoff
            .times(1 << self.consecutive_failures.min(8))
            .min(self.limits.max_backoff);
        self.consecutive_failures += 1;
        self.query_not_before =
            now + Micros((backoff.0 as f64 * (0.5 + 0.5 * jitter.clamp(0.0, 1.0))) as u64);
        self.time_out_reads(now);
    }

    /// How a read ended; `None` while it waits.
    pub fn outcome(&self, ticket: Ticket) -> Option<ReadOutcome> {
        if ticket.0 <= self.served_up_to {
            Some(ReadOutcome::Current)
        } else if ticket.0 <= self.timed_out_up_to {
            Some(ReadOutcome::TimedOut)
        } else {
            None
        }
    }

    fn time_out_reads(&mut self, now: Micros) {
        while let Some(read) = self.waiting.front().copied()
            && now > read.arrived_at + self.limits.read_timeout
        {
            self.waiting.pop_front();
            self.timed_out_up_to = self.timed_out_up_to.max(read.ticket);
        }
    }

    /// Queries sent, and reads served in time.
    pub fn counts(&self) -> (u64, u64) {
        (self.queries_sent, self.reads_served)
    }

    /// The number of reads that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
