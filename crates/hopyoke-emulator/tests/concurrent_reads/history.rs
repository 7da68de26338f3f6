//! What users observe of a job, and which observations contradict each other.

use std::fmt;

/// What a user requested of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Request {
    Submit,
    Poll,
    Cancel,
}

/// What a response says of the job.
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
    /// A job is never at an earlier stage than it was.
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

/// One request and its answer. Times are unique numbers: what was received at 4 was received before a request that was
/// sent at 5.
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

/// Violations in one job's history: an answer of an earlier stage than one received before its request was sent, two
/// ends, a cancellation that was not requested, a job known before it was submitted.
pub(crate) fn find_violations(observations: &[Observation]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut by_send_time: Vec<&Observation> = observations
        .iter()
        .filter(|l| l.answer.stage().is_some())
        .collect();
    let mut by_receive_time = by_send_time.clone();
    by_send_time.sort_by_key(|l| l.sent_at);
    by_receive_time.sort_by_key(|l| l.received_at);
    let mut receipts = by_receive_time.iter().peekable();
    let mut newest: Option<&Observation> = None;
    for observation in &by_send_time {
        while let Some(before) = receipts.next_if(|r| r.received_at < observation.sent_at) {
            if newest.is_none_or(|n| n.answer.stage() < before.answer.stage()) {
                newest = Some(before);
            }
        }
        if let Some(known) = newest
            && observation.answer.stage() < known.answer.stage()
        {
            violations.push(format!("older: {observation}; known by then: {known}"));
        }
    }
    let first_end = by_receive_time.iter().find(|l| l.answer.is_final());
    let other_end =
        |l: &&&Observation| l.answer.is_final() && first_end.is_some_and(|f| f.answer != l.answer);
    if let (Some(first), Some(other)) = (first_end, by_receive_time.iter().find(other_end)) {
        violations.push(format!("two ends: {first}; {other}"));
    }
    let first_sent_at = |request| {
        observations
            .iter()
            .filter(|l| l.request == request)
            .map(|l| l.sent_at)
            .min()
    };
    let before = |l: &Observation, request| {
        first_sent_at(request).is_none_or(|sent_at| l.received_at < sent_at)
    };
    for l in &by_receive_time {
        if l.answer == Answer::Cancelled && before(l, Request::Cancel) {
            violations.push(format!("cancelled unasked: {l}"));
        }
        if l.answer.stage() > Some(0) && before(l, Request::Submit) {
            violations.push(format!("invented: {l}"));
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
        // The order in which answers are noted doesn't matter.
        let turned: Vec<Observation> = observations.iter().rev().copied().collect();
        assert_eq!(find_violations(&turned).len(), violations.len());
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
            &["older"],
        );
        check(
            &[accepted, observation(Submit, (3, 4), Answer::Refused)],
            &["older"],
        );
        let cancelled = observation(Cancel, (3, 4), Answer::Cancelled);
        check(
            &[
                accepted,
                cancelled,
                observation(Poll, (5, 9), Answer::Accepted),
            ],
            &["older"],
        );
        check(
            &[
                accepted,
                cancelled,
                observation(Submit, (5, 9), Answer::Accepted),
            ],
            &["older"],
        );
        check(
            &[
                accepted,
                cancelled,
                observation(Cancel, (5, 9), Answer::Unknown),
            ],
            &["older"],
        );
        let done = observation(Poll, (3, 4), Answer::Done);
        check(
            &[
                accepted,
                done,
                observation(Poll, (5, 6), Answer::Accepted),
                observation(Poll, (7, 8), Answer::Unknown),
            ],
            &["older"; 2],
        );
        // One that was received first counts, also if it was asked for last.
        let long = observation(Poll, (2, 30), Answer::Accepted);
        check(
            &[
                long,
                observation(Submit, (1, 20), Answer::Done),
                observation(Poll, (21, 22), Answer::Accepted),
            ],
            &["older"],
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
        // At the same time, but there is only one end.
        check(
            &[
                accepted,
                observation(Cancel, (10, 20), Answer::Cancelled),
                observation(Poll, (11, 19), Answer::Done),
            ],
            &["two ends"],
        );
        check(
            &[accepted, observation(Poll, (10, 20), Answer::Cancelled)],
            &["cancelled unasked"],
        );
        check(
            &[
                accepted,
                observation(Poll, (10, 20), Answer::Cancelled),
                observation(Cancel, (21, 22), Answer::Cancelled),
            ],
            &["cancelled unasked"],
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
