//! Reads from a replica that are as good as asking the state service: many for one question.
//!
//! A node that keeps a replica of some records may answer from it once the replica is known to
//! include all that was written before the read arrived. One question to the state service ("what
//! has changed since?"), sent after the read arrived, brings the replica so far; it serves all reads
//! that wait at that moment. A read that arrives while a question is under way waits for the next
//! one: the answer on its way may be older than what another node has told that user meanwhile.
//!
//! Without I/O: [`ReadIndex`] says when to ask and which reads an answer serves.

use hopyoke_types::Micros;
use std::collections::VecDeque;

/// A read that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// A question under way.
#[derive(Debug, PartialEq, Eq)]
pub struct ReadQuery {
    /// The last read that had arrived when it was sent.
    covers: u64,
}

/// What becomes of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The replica includes all that was written before the read arrived.
    Current,
    /// No question was answered in time: whoever reads is to come back.
    Late,
}

/// Bounds.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Reads that wait at once; the newest beyond are refused.
    pub waiting: usize,
    /// A question waits this long for more reads.
    pub gather: Micros,
    /// A read waits no longer than this.
    pub patience: Micros,
    /// The first pause after a question that failed; doubled up to `pause_most`.
    pub pause_least: Micros,
    pub pause_most: Micros,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            waiting: 1000,
            gather: Micros::from_millis(40),
            patience: Micros::from_millis(1_200),
            pause_least: Micros::from_millis(60),
            pause_most: Micros::from_millis(500),
        }
    }
}

/// Reads that wait, and the questions that serve them.
#[derive(Debug)]
pub struct ReadIndex {
    limits: Limits,
    next: u64,
    /// Reads up to this one are served.
    served: u64,
    /// Tickets and when they arrived, oldest first.
    waiting: VecDeque<(u64, Micros)>,
    /// Reads up to this one were given up, unless they were served.
    late: u64,
    asking: bool,
    /// No question before this.
    not_before: Micros,
    failures: u32,
    /// Questions sent, and reads served by them.
    questions: u64,
    reads: u64,
}

impl ReadIndex {
    pub fn new(limits: Limits) -> ReadIndex {
        ReadIndex {
            limits,
            next: 1,
            served: 0,
            waiting: VecDeque::new(),
            late: 0,
            asking: false,
            not_before: Micros::ZERO,
            failures: 0,
            questions: 0,
            reads: 0,
        }
    }

    /// A read arrives. `None`: too many wait; it is to be refused at once.
    pub fn arrive(&mut self, now: Micros) -> Option<Ticket> {
        self.give_up(now);
        if self.waiting.len() >= self.limits.waiting {
            return None;
        }
        let ticket = self.next;
        self.next += 1;
        self.waiting.push_back((ticket, now));
        Some(Ticket(ticket))
    }

    /// When a question is due; `None`: nothing waits, or one is under way.
    pub fn due(&self) -> Option<Micros> {
        let (_, arrived) = self.waiting.front()?;
        (!self.asking).then(|| (*arrived + self.limits.gather).max(self.not_before))
    }

    /// A question, if one is due. It must be sent now, not later.
    pub fn ask(&mut self, now: Micros) -> Option<ReadQuery> {
        self.give_up(now);
        if self.due().is_none_or(|t| now < t) {
            return None;
        }
        self.asking = true;
        self.questions += 1;
        Some(ReadQuery {
            covers: self.next - 1,
        })
    }

    /// A question was answered, and the replica brought up to the answer.
    pub fn answered(&mut self, question: ReadQuery, now: Micros) {
        self.asking = false;
        self.failures = 0;
        while let Some((ticket, arrived)) = self.waiting.front().copied()
            && ticket <= question.covers
        {
            self.waiting.pop_front();
            self.reads += u64::from(now <= arrived + self.limits.patience);
        }
        self.served = self.served.max(question.covers);
    }

    /// A question was refused or not answered. `jitter`: a draw from 0 to 1.
    pub fn failed(&mut self, _question: ReadQuery, jitter: f64, now: Micros) {
        self.asking = false;
        let full = self
            .limits
            .pause_least
            .times(1 << self.failures.min(8))
            .min(self.limits.pause_most);
        self.failures += 1;
        self.not_before =
            now + Micros((full.0 as f64 * (0.5 + 0.5 * jitter.clamp(0.0, 1.0))) as u64);
        self.give_up(now);
    }

    /// What becomes of a read; `None`: it waits.
    pub fn verdict(&self, ticket: Ticket) -> Option<ReadOutcome> {
        if ticket.0 <= self.served {
            Some(ReadOutcome::Current)
        } else if ticket.0 <= self.late {
            Some(ReadOutcome::Late)
        } else {
            None
        }
    }

    /// Reads that have waited too long are late.
    fn give_up(&mut self, now: Micros) {
        while let Some((ticket, arrived)) = self.waiting.front().copied()
            && now > arrived + self.limits.patience
        {
            self.waiting.pop_front();
            self.late = self.late.max(ticket);
        }
    }

    /// Questions sent and reads served so far.
    pub fn counts(&self) -> (u64, u64) {
        (self.questions, self.reads)
    }

    /// Reads that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
