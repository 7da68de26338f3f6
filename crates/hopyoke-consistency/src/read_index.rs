//! Linearizable reads from a replica, batched so that one query to the key-value store serves many of them.
//!
//! A node that holds a replica of some records may serve a read from it once the replica is known to include every
//! write that preceded the read. A query to the store for the latest changes, sent after the read arrived, brings the
//! replica up to that point and serves all reads that are pending when it is sent. A read that arrives while a query
//! is in flight needs a later one, because the response may be older than what another node has since reported to the
//! same user. If the store is slow, the later query need not wait for the response to the first: up to
//! [`Limits::max_in_flight`] queries are in flight at the same time, each for the reads that arrived before it.
//!
//! The module performs no I/O: [`ReadIndex`] decides when to query and which reads a response serves.

use hopyoke_types::Micros;
use std::collections::VecDeque;

/// Identifies a pending read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// Query in flight.
#[derive(Debug, PartialEq, Eq)]
pub struct ReadQuery {
    /// Ticket of the last read that had arrived when the query was sent.
    last_ticket: u64,
}

/// Outcome of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The replica includes all writes that preceded the read.
    Current,
    /// No query was answered in time; the reader should retry.
    TimedOut,
}

/// Default time that a query is delayed to batch further reads.
pub const READ_BATCH_DELAY: Micros = Micros::from_millis(40);

/// Limits of pending reads and of queries.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of pending reads. Further ones are rejected.
    pub max_waiting: usize,
    /// Time that a query is delayed to batch further reads.
    pub batch_delay: Micros,
    /// Timeout of a read.
    pub read_timeout: Micros,
    /// Maximum number of queries in flight.
    pub max_in_flight: usize,
    /// Minimum interval between two queries of which the first has not been answered.
    pub overlap_interval: Micros,
    /// Backoff after the first failed query; doubled by each further failure up to `max_backoff`.
    pub min_backoff: Micros,
    /// Maximum backoff after a failed query.
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

/// Pending read and its time of arrival.
#[derive(Debug, Clone, Copy)]
struct WaitingRead {
    ticket: u64,
    arrived_at: Micros,
}

/// Tracks pending reads and the queries that serve them.
#[derive(Debug)]
pub struct ReadIndex {
    limits: Limits,
    next_ticket: u64,
    /// Reads up to this ticket have been served.
    served_up_to: u64,
    /// Oldest first.
    waiting: VecDeque<WaitingRead>,
    /// Reads up to this ticket have timed out, unless they were served.
    timed_out_up_to: u64,
    /// Last ticket of each query in flight.
    in_flight: Vec<u64>,
    last_query_at: Micros,
    query_not_before: Micros,
    consecutive_failures: u32,
    queries_sent: u64,
    /// Number of reads served within their timeout.
    reads_served: u64,
}

impl ReadIndex {
    /// Creates an index without pending reads.
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

    /// Registers a read that arrives now. Returns `None` if too many reads are pending; the read must then be
    /// rejected immediately.
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

    /// Returns the time at which the next query is due, or `None` if no read needs a new query or the maximum number
    /// is in flight.
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

    /// Begins a query if one is due. The caller must send it immediately.
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

    /// Records that a query was answered and its response applied to the replica.
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

    /// Records that a query was rejected or not answered, and starts the backoff. `jitter` is a random number from 0
    /// to 1.
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

    /// Returns the outcome of a read, or `None` while it is pending.
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

    /// Returns the numbers of queries sent and of reads served within their timeout.
    pub fn counts(&self) -> (u64, u64) {
        (self.queries_sent, self.reads_served)
    }

    /// Returns the number of pending reads.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
