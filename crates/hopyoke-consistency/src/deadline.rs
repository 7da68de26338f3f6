//! How the time that a user waits for an answer is spent.

use hopyoke_types::Micros;

/// How long a user waits for the answer to a poll: PROTOCOL, "GET /api/jobs/{id}".
pub const USER_POLL_TIMEOUT: Micros = Micros::from_secs(2);
/// How long a user waits for the answer to a submission or cancellation: PROTOCOL, "POST /api/jobs".
pub const USER_WRITE_TIMEOUT: Micros = Micros::from_secs(5);
/// What is left of the user's time for the way of the request and of its answer.
pub const TRANSFER_MARGIN: Micros = Micros::from_millis(100);
/// For a poll forwarded to the leader, while the store is fast: most of the time in which the user waits is left for the
/// node's own attempt.
pub const FORWARD_TO_LEADER_TIMEOUT: Micros = Micros::from_millis(500);
/// What a poll takes at the leader besides the store's latency: it waits for the next query, which others share.
const LEADER_QUERY_DELAY: Micros = Micros::from_millis(150);

/// How long the leader's answer to a poll is waited for: so that the node's own attempt, which reads from the store, can
/// follow if the leader has none. Where the store's latency leaves no time for both, it is the leader that gets all of it
/// if the store answers it, for one read of its own serves many polls. `None`: the poll is not forwarded.
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

/// The latency leaves no time for two reads in turn.
#[must_use]
pub fn must_read_concurrently(latency: Option<Micros>, remaining: Micros) -> bool {
    latency.is_some_and(|l| l.times(2) > remaining)
}
