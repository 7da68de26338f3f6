//! What users are told, against what they were told before: no request that begins after an answer was
//! received may get an older one, whatever node gave either.

use super::World;
use super::api::{Answer, Request};
use super::digest::Channel;
use hopyoke_protocol::user::JobState;
use hopyoke_types::{JobId, Micros};

/// What a job's user knows when a request of its begins.
#[derive(Debug, Clone, Copy, Default)]
pub struct Known {
    accepted: bool,
    over: Option<JobState>,
}

impl World {
    pub(crate) fn known(&self, id: &JobId) -> Known {
        let job = self.jobs.get(id);
        Known {
            accepted: job.is_some_and(|j| j.accepted.is_some()),
            over: job.and_then(|j| j.told),
        }
    }

    /// A user receives an answer to a request that began when so much was known.
    pub(crate) fn heard(&mut self, id: &JobId, what: Request, known: Known, answer: Answer) {
        if matches!(answer, Answer::Later(_)) {
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
            Answer::Later(_) => 8,
        };
        self.digest_bytes(Channel::UserAnswer, &[code]);
        self.digest_bytes(Channel::UserAnswer, id.as_str().as_bytes());
        let now = self.now;
        if let Some((rule, why)) = self.fault_in(id, what, known, answer) {
            self.broke(rule, format!("{id}: {why}"));
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let end = match answer {
            Answer::Finished(end) => Some(end),
            Answer::Unfinished => None,
            _ => return,
        };
        job.answered = now;
        let news = job.accepted.is_none() || (end.is_some() && job.told.is_none());
        let first = job.accepted.replace(job.accepted.unwrap_or(now)).is_none();
        if end.is_some() {
            job.told = end;
        }
        if end == Some(JobState::Cancelled) {
            job.cancelled.get_or_insert(now);
        }
        if first && self.limits.is_none() {
            let id = id.clone();
            self.after(Micros::from_secs(1), move |w| w.poll(id));
        }
        if news {
            self.told_news(id, end);
        }
    }

    /// The rule that an answer breaks, and why.
    fn fault_in(
        &self,
        id: &JobId,
        what: Request,
        known: Known,
        answer: Answer,
    ) -> Option<(&'static str, String)> {
        let Some(job) = self.jobs.get(id) else {
            let ok = matches!(answer, Answer::Unfinished | Answer::Finished(_));
            return ok.then(|| {
                (
                    "invented",
                    format!("nobody submitted it, and a {what:?} gets {answer:?}"),
                )
            });
        };
        match answer {
            Answer::Missing | Answer::Malformed | Answer::NeverRuns if known.accepted => Some((
                "forgotten",
                format!("accepted, and a {what:?} gets {answer:?}"),
            )),
            Answer::Unfinished | Answer::Finished(_) if job.body.is_some() => {
                Some(("accepted_odd", format!("a {what:?} gets {answer:?}")))
            }
            Answer::Unfinished => {
                let over = known.over?;
                Some((
                    "went_back",
                    format!("was called {over:?}, and a {what:?} gets {answer:?}"),
                ))
            }
            // Final states exclude each other in whatever order their answers come.
            Answer::Finished(end) if job.told.is_some_and(|t| t != end) => Some((
                "went_back",
                format!("was called {:?}, and a {what:?} gets {end:?}", job.told),
            )),
            Answer::Finished(JobState::Cancelled) if !job.asked_cancel && !job.flow => Some((
                "went_back",
                "its user did not cancel it, and it is called cancelled".to_owned(),
            )),
            Answer::Finished(JobState::Done) if !job.done.iter().all(|d| *d) => {
                Some(("not_done", format!("a {what:?} gets {answer:?}")))
            }
            _ => None,
        }
    }
}
