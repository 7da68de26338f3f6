//! Linearizability checks of the user API: a request that begins after a response was received must not return an older
//! state, whichever nodes gave the responses.

use super::Simulation;
use super::api::{Request, Response};
use super::digest::Channel;
use hopyoke_protocol::user::JobState;
use hopyoke_types::{JobId, Micros};

/// State of a job as its user has observed it, captured when a request begins.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ObservedState {
    accepted: bool,
    end: Option<JobState>,
}

impl Simulation {
    /// Returns the state of a job as its user has observed it so far.
    pub(crate) fn observed_state(&self, id: &JobId) -> ObservedState {
        let job = self.jobs.get(id);
        ObservedState {
            accepted: job.is_some_and(|j| j.accepted_at.is_some()),
            end: job.and_then(|j| j.observed_end),
        }
    }

    /// Handles a response to a user: checks it against `observed_state`, the state observed when the request began, and
    /// updates what the user has observed.
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
        self.digest_bytes(Channel::UserResponse, &[code]);
        self.digest_bytes(Channel::UserResponse, id.as_str().as_bytes());
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
        let is_first = job
            .accepted_at
            .replace(job.accepted_at.unwrap_or(now))
            .is_none();
        if end.is_some() {
            job.observed_end = end;
        }
        if end == Some(JobState::Cancelled) {
            job.cancelled_at.get_or_insert(now);
        }
        if is_first && self.limits.is_none() {
            let id = id.clone();
            self.after(Micros::from_secs(1), move |sim| sim.poll(id));
        }
        if changed {
            self.job_progress_observed(id, end);
        }
    }

    /// Returns the invariant that a response violates, and the reason. Returns `None` if it violates none.
    fn response_violation(
        &self,
        id: &JobId,
        request: Request,
        observed_state: ObservedState,
        response: Response,
    ) -> Option<(&'static str, String)> {
        let Some(job) = self.jobs.get(id) else {
            let is_known = matches!(response, Response::Unfinished | Response::Finished(_));
            return is_known.then(|| {
                (
                    "invented",
                    format!(
                        "response {response:?} to {request:?} for a job that was never submitted"
                    ),
                )
            });
        };
        match response {
            Response::Missing | Response::Malformed | Response::Unschedulable
                if observed_state.accepted =>
            {
                Some((
                    "forgotten",
                    format!("response {response:?} to {request:?} for an accepted job"),
                ))
            }
            Response::Unfinished | Response::Finished(_) if job.malformed_body.is_some() => Some((
                "accepted_odd",
                format!("response {response:?} to {request:?} for a malformed submission"),
            )),
            Response::Unfinished => {
                let end = observed_state.end?;
                Some((
                    "went_back",
                    format!(
                        "response {response:?} to {request:?} after the final state {end:?} was observed"
                    ),
                ))
            }
            // Compared with the latest observation: two different final states are a violation even if the requests
            // overlapped.
            Response::Finished(end) if job.observed_end.is_some_and(|t| t != end) => Some((
                "went_back",
                format!(
                    "observed the final state {:?}, then {request:?} returned {end:?}",
                    job.observed_end
                ),
            )),
            Response::Finished(JobState::Cancelled)
                if !job.cancel_requested && !job.is_workflow_step =>
            {
                Some((
                    "went_back",
                    "reported as cancelled although its user did not cancel it".to_owned(),
                ))
            }
            Response::Finished(JobState::Done) if !job.done.iter().all(|d| *d) => Some((
                "not_done",
                format!("response {response:?} to {request:?} before all tasks completed"),
            )),
            _ => None,
        }
    }
}
