//! Keeps the leader's core up to the jobs' records: by a watch, by questions for reads that wait, and
//! by other nodes' hints.

use crate::node::{Leadership, Node};
use crate::store::client::{JOBS, StateError};
use hopyoke_event_loop as runtime;
use hopyoke_protocol::state::{KeyValue, Stored, WatchResponse};
use hopyoke_scheduler::JobRecord;
use hopyoke_types::{JobId, Micros, ModRevision};
use std::collections::BTreeSet;
use std::rc::Rc;
use tracing::{debug, warn};

/// Longest wait of the leader's watch: how long news of a cancellation can take if an answer is
/// lost.
pub const WATCH: Micros = hopyoke_settings::JOB_WATCH_WAIT;

/// The least time between two watches.
const GATHER: Micros = Micros::from_millis(80);

/// Learns of jobs that other nodes accept or cancel.
pub async fn watch(node: Rc<Node>, leadership: Rc<Leadership>) {
    loop {
        let sent = runtime::now();
        let since = leadership.scheduler.borrow().applied_revision().0;
        let result: Result<WatchResponse<JobRecord>, _> =
            node.state.records().watch(JOBS, since, WATCH).await;
        match result {
            Ok(events) => {
                apply(&leadership, events, sent);
                // While much changes each answer comes at once: several changes share a request.
                runtime::sleep_until(sent + GATHER).await;
            }
            Err(StateError::Gone) => match node.state.records().list::<JobRecord>(JOBS).await {
                Ok((pairs, revision)) => {
                    let now = runtime::now();
                    let mut scheduler = leadership.scheduler.borrow_mut();
                    let listed: BTreeSet<JobId> =
                        pairs.iter().filter_map(|p| job_id_of(&p.key)).collect();
                    // A job that is newer than the list has come by a notification or a question meanwhile.
                    // (Guards `forgotten`: it would be taken for over.)
                    let old = |id: &JobId| {
                        scheduler
                            .jobs
                            .get(id)
                            .is_some_and(|j| j.mod_revision.0 <= revision)
                    };
                    let gone: Vec<JobId> = scheduler
                        .job_ids()
                        .into_iter()
                        .filter(|id| !listed.contains(id) && old(id))
                        .collect();
                    for id in gone {
                        scheduler.job_removed(&id, now);
                    }
                    for (id, record, mod_revision) in pairs.into_iter().filter_map(job_of) {
                        scheduler.job_record_changed(id, record, mod_revision, now);
                    }
                    scheduler.records_applied_to(ModRevision(revision), sent);
                    leadership.leader_lease.borrow_mut().heard(sent);
                    leadership.wakeup.notify();
                }
                Err(_) => runtime::sleep(Micros::from_millis(300)).await,
            },
            Err(e) => {
                debug!(error = %e, "watch failed");
                runtime::sleep(Micros::from_millis(200)).await;
            }
        }
    }
}

/// Asks, whenever reads wait.
pub async fn ask(node: Rc<Node>, leadership: Rc<Leadership>) {
    let replica = &leadership.replica;
    loop {
        let due = replica.reads.borrow().due();
        let Some(due) = due else {
            replica.wakeup.wait().await;
            continue;
        };
        runtime::sleep_until(due).await;
        let question = replica.reads.borrow_mut().ask(runtime::now());
        let Some(question) = question else {
            replica.wake();
            continue;
        };
        let sent = runtime::now();
        let since = leadership.scheduler.borrow().applied_revision().0;
        let result: Result<WatchResponse<JobRecord>, StateError> = node
            .state
            .records()
            .watch(JOBS, since.max(1), Micros::ZERO)
            .await;
        match result {
            Ok(events) => {
                apply(&leadership, events, sent);
                replica
                    .reads
                    .borrow_mut()
                    .answered(question, runtime::now());
            }
            // If the revision is too old, the watch reads all records again.
            Err(e) => {
                debug!(error = %e, "no answer for reads that wait");
                replica
                    .reads
                    .borrow_mut()
                    .failed(question, rand::random(), runtime::now());
            }
        }
        replica.wake();
    }
}

/// Brings the core up to what the state service said. Events may come twice, by the watch and by a
/// question: those of a mark that is known change nothing, and a job that is over stays over.
pub fn apply(leadership: &Leadership, events: WatchResponse<JobRecord>, sent: Micros) {
    let now = runtime::now();
    leadership.leader_lease.borrow_mut().heard(sent);
    let any = !events.events.is_empty();
    let mut scheduler = leadership.scheduler.borrow_mut();
    for e in events.events {
        if let Some(id) = e.deleted.as_deref().and_then(job_id_of) {
            scheduler.job_removed(&id, now);
        } else if let (Some(key), Some(value)) = (e.put, e.value)
            && let Some((id, record, mod_revision)) = job_of(KeyValue {
                key,
                value,
                mod_revision: e.mod_revision,
            })
        {
            scheduler.job_record_changed(id, record, mod_revision, now);
        }
    }
    scheduler.records_applied_to(ModRevision(events.revision), sent);
    drop(scheduler);
    if any {
        leadership.wakeup.notify();
    }
}

pub(crate) fn job_of(pair: KeyValue<JobRecord>) -> Option<(JobId, JobRecord, ModRevision)> {
    let id = JobId::parse(pair.key.strip_prefix(JOBS)?)?;
    match pair.value {
        Stored::Value(record) => Some((id, record, pair.mod_revision)),
        Stored::Unreadable(_) => {
            // Never fatal, and the job still exists for its user.
            warn!(job = %id, "unreadable record");
            None
        }
    }
}

/// The job whose unfinished record a key is.
pub(crate) fn job_id_of(key: &str) -> Option<JobId> {
    JobId::parse(key.strip_prefix(JOBS)?)
}
