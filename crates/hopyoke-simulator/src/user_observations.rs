//! Linearizability of the users' API: no request that begins after an answer was received may get an older one,
//! whatever node gave either.

use super::Simulation;
use super::api::{Request, Response};
use super::digest::Channel;
use hopyoke_protocol::user::JobState;
use hopyoke_types::{JobId, Micros};

/// What a job's user knows when a request of its begins.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ObservedState {
    accepted: bool,
    end: Option<JobState>,
}

impl Simulation {
    /// What a job's user knows now.
    pub(crate) fn observed_state(&self, id: &JobId) -> ObservedState {
        let job = self.jobs.get(id);
        ObservedState {
            accepted: job.is_some_and(|j| j.accepted_at.is_some()),
            end: job.and_then(|j| j.observed_end),
        }
    }

    /// A user receives an answer to a request that began when so much was known.
    pub(crate) fn observe_response(
        &mut self,
        id: &JobId,
        request: Request,
        observed_state: ObservedState,
        response: Response,
    ) {
        if matches!(response, Response::RetryAfter(_)) {
            return;
        }
        let code = match response {
            Response::Unfinished => 1,
            Response::Finished(JobState::Done) => 2,
            Response::Finished(JobState::Cancelled) => 3,
            Response::Finished(_) => 4,
            Response::Missing => 5,
            Response::Malformed => 6,
            Response::Unschedulable => 7,
            Response::RetryAfter(_) => 8,
        };
        self.digest_bytes(Channel::UserAnswer, &[code]);
        self.digest_bytes(Channel::UserAnswer, id.as_str().as_bytes());
        let now = self.now;
        if let Some((rule, reason)) = self.response_violation(id, request, observed_state, response)
        {
            self.record_violation(rule, format!("{id}: {reason}"));
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let end = match response {
            Response::Finished(end) => Some(end),
            Response::Unfinished => None,
            _ => return,
        };
        job.last_response_at = now;
        let changed = job.accepted_at.is_none() || (end.is_some() && job.observed_end.is_none());
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
            self.after(Micros::from_secs(1), move |sim| sim.poll(id));
        }
        if changed {
            self.job_progress_observed(id, end);
        }
    }

    /// The rule that an answer breaks, and why.
    fn response_violation(
        &self,
        id: &JobId,
        request: Request,
        observed_state: ObservedState,
        response: Response,
    ) -> Option<(&'static str, String)> {
        let Some(job) = self.jobs.get(id) else {
            let ok = matches!(response, Response::Unfinished | Response::Finished(_));
            return ok.then(|| {
                (
                    "invented",
                    format!("nobody submitted it, and a {request:?} gets {response:?}"),
                )
            });
        };
        match response {
            Response::Missing | Response::Malformed | Response::Unschedulable
                if observed_state.accepted =>
            {
                Some((
                    "forgotten",
                    format!("accepted, and a {request:?} gets {response:?}"),
                ))
            }
            Response::Unfinished | Response::Finished(_) if job.malformed_body.is_some() => {
                Some(("accepted_odd", format!("a {request:?} gets {response:?}")))
            }
            Response::Unfinished => {
                let end = observed_state.end?;
                Some((
                    "went_back",
                    format!("was called {end:?}, and a {request:?} gets {response:?}"),
                ))
            }
            // Final states exclude each other in whatever order their answers come.
            Response::Finished(end) if job.observed_end.is_some_and(|t| t != end) => Some((
                "went_back",
                format!(
                    "was called {:?}, and a {request:?} gets {end:?}",
                    job.observed_end
                ),
            )),
            Response::Finished(JobState::Cancelled)
                if !job.cancel_requested && !job.is_workflow_step =>
            {
                Some((
                    "went_back",
                    "its user did not cancel it, and it is called cancelled".to_owned(),
                ))
            }
            Response::Finished(JobState::Done) if !job.done.iter().all(|d| *d) => {
                Some(("not_done", format!("a {request:?} gets {response:?}")))
            }
            _ => None,
        }
    }
}
