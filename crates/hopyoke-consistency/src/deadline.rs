//! Time limits of users' requests, and how a poll's time is divided between the leader and the node's own read.

use hopyoke_types::Micros;

/// Time limit of a poll, `GET /api/jobs/{id}`, as set by the protocol.
pub const USER_POLL_TIMEOUT: Micros = Micros::from_secs(2);
/// Time limit of a submission or cancellation, `POST` below `/api/jobs`, as set by the protocol.
pub const USER_WRITE_TIMEOUT: Micros = Micros::from_secs(5);
/// Part of the time limit reserved for the transfer of the request and its response.
pub const TRANSFER_MARGIN: Micros = Micros::from_millis(100);
/// Timeout of a poll forwarded to the leader while the store is fast. It leaves most of the time limit to the node's
/// own read.
pub const FORWARD_TO_LEADER_TIMEOUT: Micros = Micros::from_millis(500);
/// Time that a poll spends at the leader in addition to the store's latency: it waits for the next batched query.
const LEADER_QUERY_DELAY: Micros = Micros::from_millis(150);

/// Returns the timeout of a poll that is forwarded to the leader. It leaves time for the node's own read from the
/// store, which follows if the leader does not respond. If the store's latency leaves no time for both, the leader
/// gets all of the remaining time as long as it reaches the store, because one read of the leader serves many polls.
///
/// Returns `None` if the poll is not to be forwarded.
#[must_use]
pub fn leader_forward_timeout(
    latency: Micros,
    remaining: Micros,
    leader_reaches_store: bool,
) -> Option<Micros> {
    let leader_needs = latency + LEADER_QUERY_DELAY;
    if leader_needs <= FORWARD_TO_LEADER_TIMEOUT && FORWARD_TO_LEADER_TIMEOUT + latency <= remaining
    {
        return Some(FORWARD_TO_LEADER_TIMEOUT);
    }
    if leader_needs + latency <= remaining {
        return Some(remaining - latency);
    }
    leader_reaches_store.then_some(remaining)
}

/// Returns whether the latency leaves no time for two reads in sequence. An unknown latency counts as short.
#[must_use]
pub fn must_read_concurrently(latency: Option<Micros>, remaining: Micros) -> bool {
    latency.is_some_and(|l| l.times(2) > remaining)
}
