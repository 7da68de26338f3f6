//! Linearizability of the users' API: no request that begins after an answer was received may get an older one,
//! whatever node gave either.

use super::Simulation;
use super::api::{Answer, Request};
use super::digest::Channel;
use hopyoke_protocol::user::JobState;
use hopyoke_types::{JobId, Micros};

/// What a job's user knows when a request of its begins.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ObservedState {
    accepted: bool,
    over: Option<JobState>,
}

impl Simulation {
    /// What a job's user knows now.
    pub(crate) fn observed_state(&self, id: &JobId) -> ObservedState {
        let job = self.jobs.get(id);
        ObservedState {
            accepted: job.is_some_and(|j| j.accepted_at.is_some()),
            over: job.and_then(|j| j.observed_end),
        }
    }

    /// A user receives an answer to a request that began when so much was known.
    pub(crate) fn observe_answer(
        &mut self,
        id: &JobId,
        request: Request,
        observed_state: ObservedState,
        answer: Answer,
    ) {
        if matches!(answer, Answer::RetryAfter(_)) {
            return;
        }
        let code = match answer {
            Answer::Unfinished => 1,
            Answer::Finished(JobState::Done) => 2,
            Answer::Finished(JobState::Cancelled) => 3,
            Answer::Finished(_) => 4,
            Answer::Missing => 5,
            Answer::Malformed => 6,
            Answer::NeverRuns => 7,
            Answer::RetryAfter(_) => 8,
        };
        self.digest_bytes(Channel::UserAnswer, &[code]);
        self.digest_bytes(Channel::UserAnswer, id.as_str().as_bytes());
        let now = self.now;
        if let Some((rule, why)) = self.violation_in(id, request, observed_state, answer) {
            self.record_violation(rule, format!("{id}: {why}"));
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let end = match answer {
            Answer::Finished(end) => Some(end),
            Answer::Unfinished => None,
            _ => return,
        };
        job.last_answer_at = now;
        let is_change = job.accepted_at.is_none() || (end.is_some() && job.observed_end.is_none());
        let first = job
            .accepted_at
            .replace(job.accepted_at.unwrap_or(now))
            .is_none();
        if end.is_some() {
            job.observed_end = end;
        }
        if end == Some(JobState::Cancelled) {
            job.cancelled_at.get_or_insert(now);
        }
        if first && self.limits.is_none() {
            let id = id.clone();
            self.after(Micros::from_secs(1), move |w| w.poll(id));
        }
        if is_change {
            self.news_observed(id, end);
        }
    }

    /// The rule that an answer breaks, and why.
    fn violation_in(
        &self,
        id: &JobId,
        request: Request,
        observed_state: ObservedState,
        answer: Answer,
    ) -> Option<(&'static str, String)> {
        let Some(job) = self.jobs.get(id) else {
            let ok = matches!(answer, Answer::Unfinished | Answer::Finished(_));
            return ok.then(|| {
                (
                    "invented",
                    format!("nobody submitted it, and a {request:?} gets {answer:?}"),
                )
            });
        };
        match answer {
            Answer::Missing | Answer::Malformed | Answer::NeverRuns if observed_state.accepted => {
                Some((
                    "forgotten",
                    format!("accepted, and a {request:?} gets {answer:?}"),
                ))
            }
            Answer::Unfinished | Answer::Finished(_) if job.malformed_body.is_some() => {
                Some(("accepted_odd", format!("a {request:?} gets {answer:?}")))
            }
            Answer::Unfinished => {
                let over = observed_state.over?;
                Some((
                    "went_back",
                    format!("was called {over:?}, and a {request:?} gets {answer:?}"),
                ))
            }
            // Final states exclude each other in whatever order their answers come.
            Answer::Finished(end) if job.observed_end.is_some_and(|t| t != end) => Some((
                "went_back",
                format!(
                    "was called {:?}, and a {request:?} gets {end:?}",
                    job.observed_end
                ),
            )),
            Answer::Finished(JobState::Cancelled)
                if !job.cancel_requested && !job.is_workflow_step =>
            {
                Some((
                    "went_back",
                    "its user did not cancel it, and it is called cancelled".to_owned(),
                ))
            }
            Answer::Finished(JobState::Done) if !job.done.iter().all(|d| *d) => {
                Some(("not_done", format!("a {request:?} gets {answer:?}")))
            }
            _ => None,
        }
    }
}
