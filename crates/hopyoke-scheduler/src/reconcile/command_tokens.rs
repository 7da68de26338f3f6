//! Fencing tokens of commands, which make repetitions of pushed starts harmless.
//!
//! An agent executes a pushed command as long as the command's token is not lower than the highest one that it has
//! seen, however late the command arrives or how often it is repeated. A start has no effect while the agent knows the
//! attempt, but once the attempt is acknowledged the agent forgets it. So an attempt is acknowledged only in a message
//! with a higher token than that of every start pushed to the agent before: from then on the agent refuses those
//! pushes. Guards the invariants `ran_twice` and `ran_cancelled`.
//!
//! A term therefore has several tokens: the revision of its grant, and the revisions of its writes. Each write is
//! conditional on the leader key, so it was applied before any later leader's grant. Thus every token of a term is lower
//! than those of all later terms, and higher than those of all earlier ones.

use hopyoke_types::{FencingToken, Micros};

/// Time that a missing token is awaited from other writes before one is made for it.
const WRITE_DELAY: Micros = Micros::from_secs(1);

/// The tokens that this term may use.
#[derive(Debug)]
pub(crate) struct CommandTokens {
    /// Revision of this term's latest write, at first that of its grant.
    latest: FencingToken,
    /// Since when acknowledgements wait for a newer token. `None` if none do.
    awaited_since: Option<Micros>,
}

impl CommandTokens {
    /// Creates the tokens of a term that was granted at this revision.
    pub(crate) fn new(granted: FencingToken) -> CommandTokens {
        CommandTokens {
            latest: granted,
            awaited_since: None,
        }
    }

    /// Records the revision of a write that was conditional on this term.
    pub(crate) fn write_applied(&mut self, revision: FencingToken) {
        if revision > self.latest {
            self.latest = revision;
            self.awaited_since = None;
        }
    }

    /// Returns whether a token is higher than all of this term, so that it belongs to a later leader.
    pub(crate) fn is_superseded_by(&self, token: FencingToken) -> bool {
        token > self.latest
    }

    /// Returns whether a write is to be made only for its revision.
    pub(crate) fn is_write_due(&self, now: Micros) -> bool {
        self.awaited_since
            .is_some_and(|since| now >= since + WRITE_DELAY)
    }
}

/// The token of commands to one agent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AgentToken {
    /// Token of the next message to the agent. Never decreases, as the agent ignores lower ones.
    current: FencingToken,
    /// A start may have been pushed under `current`.
    start_pushed: bool,
}

impl AgentToken {
    /// Creates the token of an agent to which this term has sent nothing.
    pub(crate) fn new(granted: FencingToken) -> AgentToken {
        AgentToken {
            current: granted,
            start_pushed: false,
        }
    }

    /// Returns the token of the next message to the agent.
    pub(crate) fn current(&self) -> FencingToken {
        self.current
    }

    /// Returns the highest token under which a start may have been pushed to the agent, by this or an earlier leader.
    pub(crate) fn latest_start(&self) -> FencingToken {
        if self.start_pushed {
            self.current
        } else {
            FencingToken(self.current.0.saturating_sub(1))
        }
    }

    /// Records that a start is being pushed.
    pub(crate) fn start_pushed(&mut self) {
        self.start_pushed = true;
    }

    /// Returns whether attempts may be acknowledged under the current token.
    pub(crate) fn may_acknowledge(&self) -> bool {
        !self.start_pushed
    }

    /// Raises the token to the term's latest, so that attempts may be acknowledged. If the latest is not higher, a newer
    /// one is requested. Returns whether the token was raised.
    pub(crate) fn raise(&mut self, tokens: &mut CommandTokens, now: Micros) -> bool {
        if tokens.latest <= self.current {
            tokens.awaited_since.get_or_insert(now);
            return false;
        }
        self.current = tokens.latest;
        self.start_pushed = false;
        true
    }
}
