//! Observations that users make of a job, and the check that they are consistent.

use std::fmt;

/// Kind of request that a user sends to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Request {
    Submit,
    Poll,
    Cancel,
}

/// State of the job according to a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Answer {
    /// 404.
    Unknown,
    /// 400 or 422.
    Refused,
    /// Pending or running.
    Accepted,
    Done,
    Cancelled,
    /// 503, another status, or no response.
    NoInformation,
}

impl Answer {
    /// Returns the stage of the job, which never decreases, or `None` if the response tells nothing about the job.
    pub(crate) fn stage(self) -> Option<u8> {
        match self {
            Answer::NoInformation => None,
            Answer::Unknown | Answer::Refused => Some(0),
            Answer::Accepted => Some(1),
            Answer::Done | Answer::Cancelled => Some(2),
        }
    }

    pub(crate) fn is_final(self) -> bool {
        self.stage() == Some(2)
    }
}

/// A request and its answer. Times are unique logical timestamps: a response received at 4 precedes a request sent at 5.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Observation {
    pub(crate) node: usize,
    pub(crate) request: Request,
    pub(crate) sent_at: u64,
    pub(crate) received_at: u64,
    pub(crate) answer: Answer,
}

impl fmt::Display for Observation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} at node {}, sent at {}, received at {}: {:?}",
            self.request, self.node, self.sent_at, self.received_at, self.answer
        )
    }
}

/// Returns the violations in one job's history: an answer of an earlier stage than one received before its request was
/// sent, conflicting final states, a cancellation that was not requested, or a job known before it was submitted.
pub(crate) fn find_violations(observations: &[Observation]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut by_send_time: Vec<&Observation> = observations
        .iter()
        .filter(|o| o.answer.stage().is_some())
        .collect();
    let mut by_receive_time = by_send_time.clone();
    by_send_time.sort_by_key(|o| o.sent_at);
    by_receive_time.sort_by_key(|o| o.received_at);
    let mut receipts = by_receive_time.iter().peekable();
    let mut latest: Option<&Observation> = None;
    for observation in &by_send_time {
        while let Some(before) = receipts.next_if(|r| r.received_at < observation.sent_at) {
            if latest.is_none_or(|n| n.answer.stage() < before.answer.stage()) {
                latest = Some(before);
            }
        }
        if let Some(known) = latest
            && observation.answer.stage() < known.answer.stage()
        {
            violations.push(format!("stale: {observation}; already known: {known}"));
        }
    }
    let first_end = by_receive_time.iter().find(|o| o.answer.is_final());
    let other_end =
        |o: &&&Observation| o.answer.is_final() && first_end.is_some_and(|f| f.answer != o.answer);
    if let (Some(first), Some(other)) = (first_end, by_receive_time.iter().find(other_end)) {
        violations.push(format!("conflicting ends: {first}; {other}"));
    }
    let first_sent_at = |request| {
        observations
            .iter()
            .filter(|o| o.request == request)
            .map(|o| o.sent_at)
            .min()
    };
    let before = |o: &Observation, request| {
        first_sent_at(request).is_none_or(|sent_at| o.received_at < sent_at)
    };
    for o in &by_receive_time {
        if o.answer == Answer::Cancelled && before(o, Request::Cancel) {
            violations.push(format!("unrequested cancellation: {o}"));
        }
        if o.answer.stage() > Some(0) && before(o, Request::Submit) {
            violations.push(format!("invented: {o}"));
        }
    }
    violations
}

#[cfg(test)]
mod cases {
    use super::*;

    fn observation(
        request: Request,
        (sent_at, received_at): (u64, u64),
        answer: Answer,
    ) -> Observation {
        Observation {
            node: sent_at as usize % 3,
            request,
            sent_at,
            received_at,
            answer,
        }
    }

    fn check(observations: &[Observation], expected: &[&str]) {
        let violations = find_violations(observations);
        let kinds: Vec<&str> = violations
            .iter()
            .map(|f| f.split(':').next().unwrap_or(""))
            .collect();
        assert_eq!(kinds, expected, "{violations:#?}");
        // The result does not depend on the order in which observations are recorded.
        let reversed: Vec<Observation> = observations.iter().rev().copied().collect();
        assert_eq!(find_violations(&reversed).len(), violations.len());
    }

    #[test]
    fn overlapping_requests_may_differ() {
        use Request::*;
        check(
            &[
                observation(Submit, (1, 10), Answer::Accepted),
                observation(Poll, (2, 11), Answer::Unknown),
                observation(Cancel, (12, 20), Answer::Cancelled),
                observation(Poll, (19, 40), Answer::Accepted),
                observation(Poll, (21, 30), Answer::Cancelled),
                observation(Submit, (31, 41), Answer::Cancelled),
            ],
            &[],
        );
    }

    #[test]
    fn stale_answers_are_found() {
        use Request::*;
        let accepted = observation(Submit, (1, 2), Answer::Accepted);
        check(
            &[accepted, observation(Poll, (3, 4), Answer::Unknown)],
            &["stale"],
        );
        check(
            &[accepted, observation(Submit, (3, 4), Answer::Refused)],
            &["stale"],
        );
        let cancelled = observation(Cancel, (3, 4), Answer::Cancelled);
        check(
            &[
                accepted,
                cancelled,
                observation(Poll, (5, 9), Answer::Accepted),
            ],
            &["stale"],
        );
        check(
            &[
                accepted,
                cancelled,
                observation(Submit, (5, 9), Answer::Accepted),
            ],
            &["stale"],
        );
        check(
            &[
                accepted,
                cancelled,
                observation(Cancel, (5, 9), Answer::Unknown),
            ],
            &["stale"],
        );
        let done = observation(Poll, (3, 4), Answer::Done);
        check(
            &[
                accepted,
                done,
                observation(Poll, (5, 6), Answer::Accepted),
                observation(Poll, (7, 8), Answer::Unknown),
            ],
            &["stale"; 2],
        );
        // Responses count in the order of receipt, not in the order of their requests.
        let long = observation(Poll, (2, 30), Answer::Accepted);
        check(
            &[
                long,
                observation(Submit, (1, 20), Answer::Done),
                observation(Poll, (21, 22), Answer::Accepted),
            ],
            &["stale"],
        );
    }

    #[test]
    fn no_response_is_no_information() {
        use Request::*;
        let accepted = observation(Submit, (1, 2), Answer::Accepted);
        check(
            &[
                accepted,
                observation(Poll, (3, 4), Answer::NoInformation),
                observation(Poll, (5, 6), Answer::Accepted),
            ],
            &[],
        );
        check(
            &[
                observation(Submit, (1, 2), Answer::NoInformation),
                observation(Poll, (3, 4), Answer::Unknown),
            ],
            &[],
        );
    }

    #[test]
    fn conflicting_ends_and_unsubmitted_jobs_are_found() {
        use Request::*;
        let accepted = observation(Submit, (1, 9), Answer::Accepted);
        // The requests overlap, but a job has only one final state.
        check(
            &[
                accepted,
                observation(Cancel, (10, 20), Answer::Cancelled),
                observation(Poll, (11, 19), Answer::Done),
            ],
            &["conflicting ends"],
        );
        check(
            &[accepted, observation(Poll, (10, 20), Answer::Cancelled)],
            &["unrequested cancellation"],
        );
        check(
            &[
                accepted,
                observation(Poll, (10, 20), Answer::Cancelled),
                observation(Cancel, (21, 22), Answer::Cancelled),
            ],
            &["unrequested cancellation"],
        );
        check(
            &[
                observation(Poll, (1, 2), Answer::Accepted),
                observation(Submit, (3, 4), Answer::Accepted),
            ],
            &["invented"],
        );
        check(&[observation(Poll, (1, 2), Answer::Done)], &["invented"]);
    }
}
