//! What users were told of a job, by whom and when, and what of it was older than what they knew.

use std::fmt;

/// What a user asked a node for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Request {
    Submit,
    Poll,
    CancellationToken,
}

/// What an answer says of the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Said {
    /// 404.
    Unknown,
    /// 400 or 422.
    Refused,
    /// Pending or running.
    Accepted,
    Done,
    Cancelled,
    /// 503, another status, or no answer: nothing about the job.
    Nothing,
}

impl Said {
    /// A job is never at an earlier stage than it was.
    pub fn stage(self) -> Option<u8> {
        match self {
            Said::Nothing => None,
            Said::Unknown | Said::Refused => Some(0),
            Said::Accepted => Some(1),
            Said::Done | Said::Cancelled => Some(2),
        }
    }

    pub fn is_final(self) -> bool {
        self.stage() == Some(2)
    }
}

/// One request and its answer. The moments are numbers that no two share: what is received at 4 was
/// received before a request that is begun at 5.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Look {
    pub node: usize,
    pub request: Request,
    pub begun: u64,
    pub received: u64,
    pub said: Said,
}

impl fmt::Display for Look {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} at node {}, begun {}, received {}: {:?}",
            self.request, self.node, self.begun, self.received, self.said
        )
    }
}

/// What is wrong in one job's history: an answer that is older than one received before its request
/// began, two ends, an end as cancelled that nobody asked for, a job known before it was submitted.
pub fn faults(looks: &[Look]) -> Vec<String> {
    let mut found = Vec::new();
    let mut by_begin: Vec<&Look> = looks.iter().filter(|l| l.said.stage().is_some()).collect();
    let mut by_receipt = by_begin.clone();
    by_begin.sort_by_key(|l| l.begun);
    by_receipt.sort_by_key(|l| l.received);
    let mut receipts = by_receipt.iter().peekable();
    let mut newest: Option<&Look> = None;
    for look in &by_begin {
        while let Some(before) = receipts.next_if(|r| r.received < look.begun) {
            if newest.is_none_or(|n| n.said.stage() < before.said.stage()) {
                newest = Some(before);
            }
        }
        if let Some(known) = newest
            && look.said.stage() < known.said.stage()
        {
            found.push(format!("older: {look}; known by then: {known}"));
        }
    }
    let first_end = by_receipt.iter().find(|l| l.said.is_final());
    let other_end = |l: &&&Look| l.said.is_final() && first_end.is_some_and(|f| f.said != l.said);
    if let (Some(first), Some(other)) = (first_end, by_receipt.iter().find(other_end)) {
        found.push(format!("two ends: {first}; {other}"));
    }
    let first_begun = |request| {
        looks
            .iter()
            .filter(|l| l.request == request)
            .map(|l| l.begun)
            .min()
    };
    let before = |l: &Look, request| first_begun(request).is_none_or(|begun| l.received < begun);
    for l in &by_receipt {
        if l.said == Said::Cancelled && before(l, Request::CancellationToken) {
            found.push(format!("cancelled unasked: {l}"));
        }
        if l.said.stage() > Some(0) && before(l, Request::Submit) {
            found.push(format!("invented: {l}"));
        }
    }
    found
}

#[cfg(test)]
mod cases {
    use super::*;

    fn look(request: Request, (begun, received): (u64, u64), said: Said) -> Look {
        Look {
            node: begun as usize % 3,
            request,
            begun,
            received,
            said,
        }
    }

    fn check(looks: &[Look], expected: &[&str]) {
        let found = faults(looks);
        let kinds: Vec<&str> = found
            .iter()
            .map(|f| f.split(':').next().unwrap_or(""))
            .collect();
        assert_eq!(kinds, expected, "{found:#?}");
        // The order in which answers are noted doesn't matter.
        let turned: Vec<Look> = looks.iter().rev().copied().collect();
        assert_eq!(faults(&turned).len(), found.len());
    }

    #[test]
    fn what_overlaps_may_differ() {
        use Request::*;
        check(
            &[
                look(Submit, (1, 10), Said::Accepted),
                look(Poll, (2, 11), Said::Unknown),
                look(CancellationToken, (12, 20), Said::Cancelled),
                look(Poll, (19, 40), Said::Accepted),
                look(Poll, (21, 30), Said::Cancelled),
                look(Submit, (31, 41), Said::Cancelled),
            ],
            &[],
        );
    }

    #[test]
    fn older_answers_are_found() {
        use Request::*;
        let accepted = look(Submit, (1, 2), Said::Accepted);
        check(&[accepted, look(Poll, (3, 4), Said::Unknown)], &["older"]);
        check(&[accepted, look(Submit, (3, 4), Said::Refused)], &["older"]);
        let cancelled = look(CancellationToken, (3, 4), Said::Cancelled);
        check(
            &[accepted, cancelled, look(Poll, (5, 9), Said::Accepted)],
            &["older"],
        );
        check(
            &[accepted, cancelled, look(Submit, (5, 9), Said::Accepted)],
            &["older"],
        );
        check(
            &[
                accepted,
                cancelled,
                look(CancellationToken, (5, 9), Said::Unknown),
            ],
            &["older"],
        );
        let done = look(Poll, (3, 4), Said::Done);
        check(
            &[
                accepted,
                done,
                look(Poll, (5, 6), Said::Accepted),
                look(Poll, (7, 8), Said::Unknown),
            ],
            &["older"; 2],
        );
        // One that was received first counts, also if it was asked for last.
        let long = look(Poll, (2, 30), Said::Accepted);
        check(
            &[
                long,
                look(Submit, (1, 20), Said::Done),
                look(Poll, (21, 22), Said::Accepted),
            ],
            &["older"],
        );
    }

    #[test]
    fn no_answer_says_nothing() {
        use Request::*;
        let accepted = look(Submit, (1, 2), Said::Accepted);
        check(
            &[
                accepted,
                look(Poll, (3, 4), Said::Nothing),
                look(Poll, (5, 6), Said::Accepted),
            ],
            &[],
        );
        check(
            &[
                look(Submit, (1, 2), Said::Nothing),
                look(Poll, (3, 4), Said::Unknown),
            ],
            &[],
        );
    }

    #[test]
    fn ends_and_beginnings() {
        use Request::*;
        let accepted = look(Submit, (1, 9), Said::Accepted);
        // At the same time, but there is only one end.
        check(
            &[
                accepted,
                look(CancellationToken, (10, 20), Said::Cancelled),
                look(Poll, (11, 19), Said::Done),
            ],
            &["two ends"],
        );
        check(
            &[accepted, look(Poll, (10, 20), Said::Cancelled)],
            &["cancelled unasked"],
        );
        check(
            &[
                accepted,
                look(Poll, (10, 20), Said::Cancelled),
                look(CancellationToken, (21, 22), Said::Cancelled),
            ],
            &["cancelled unasked"],
        );
        check(
            &[
                look(Poll, (1, 2), Said::Accepted),
                look(Submit, (3, 4), Said::Accepted),
            ],
            &["invented"],
        );
        check(&[look(Poll, (1, 2), Said::Done)], &["invented"]);
    }
}
