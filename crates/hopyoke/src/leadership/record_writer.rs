//! Writes the scheduler's batches of records, each as one compare-and-swap transaction.
//!
//! Every transaction compares the leader key's revision with the fencing token, so that late writes of a previous
//! leader fail.

use crate::node::{Leadership, Node};
use crate::store::client::TransactionOutcome;
use crate::store::error::StoreError;
use crate::store::keys::{
    LEADER_KEY, REGISTRY_PREFIX, TERM_KEY, end_key, job_key, registry_page_key, run_times_key,
};
use crate::store::watch::job_id_from_key;
use hopyoke_event_loop as runtime;
use hopyoke_protocol::state::{Compare, Mutation};
use hopyoke_scheduler::{Batch, BatchError, EndRecord, JobRecord, RegistryPage, Write};
use hopyoke_types::{FencingToken, JobId, Micros, ModRevision};
use serde::Serialize;
use std::rc::Rc;
use tracing::{debug, warn};

/// Writes one batch at a time until the term ends or a write fails because another node leads.
pub(super) async fn run(node: Rc<Node>, leadership: Rc<Leadership>) {
    loop {
        let Some(batch) = next_batch(&node, &leadership) else {
            wait_for_writes(&node, &leadership).await;
            continue;
        };
        let token = leadership.scheduler.borrow().token;
        node.admission.changes_written(batch.changes());
        let result = commit(&node, token, &batch).await;
        if result == Err(BatchError::LeadershipLost) {
            // The comparison of the leader key failed: another node leads.
            warn!(
                token = token.0,
                "record write rejected: fencing token is stale"
            );
            leadership.cancel.cancel();
            return;
        }
        if result.is_ok() {
            cache_terminal_states(&node, &batch);
        }
        leadership
            .scheduler
            .borrow_mut()
            .batch_completed(batch, result, runtime::now());
        leadership.wakeup.notify();
    }
}

fn next_batch(node: &Node, leadership: &Leadership) -> Option<Batch> {
    let mut scheduler = leadership.scheduler.borrow_mut();
    scheduler.set_admission_saturated(node.admission.is_overloaded());
    leadership
        .lease_is_valid()
        .then(|| scheduler.next_batch(runtime::now()))
        .flatten()
}

/// Waits for new writes: at most 50 ms if there are writes that may not be sent yet, otherwise at most 1 s.
async fn wait_for_writes(node: &Node, leadership: &Leadership) {
    let has_writes = leadership.scheduler.borrow().has_writes();
    if leadership.scheduler.borrow().is_write_rate_limited() {
        node.admission.writes_deferred();
    }
    let timeout = if has_writes {
        Micros::from_millis(50)
    } else {
        Micros::from_secs(1)
    };
    leadership
        .write_wakeup
        .wait_until(runtime::now() + timeout)
        .await;
}

/// Caches the terminal states of a committed batch, so that status requests for these jobs need no read of the store.
fn cache_terminal_states(node: &Node, batch: &Batch) {
    for write in &batch.writes {
        if let Write::End { job, end, .. } = write {
            node.terminal_states.insert(job, *end);
        }
    }
}

/// Stored form of any kind of record.
#[derive(Serialize)]
#[serde(untagged)]
enum RecordValue<'a> {
    Job(&'a JobRecord),
    End(&'a EndRecord),
    Page(&'a RegistryPage),
    Term { token: FencingToken },
    RunTimes(&'a hopyoke_run_times::Page),
}

/// Batch of records as a transaction of the key-value store.
struct BatchTransaction<'a> {
    compares: Vec<Compare>,
    mutations: Vec<Mutation<RecordValue<'a>>>,
}

impl<'a> BatchTransaction<'a> {
    fn new(token: FencingToken, batch: &'a Batch) -> BatchTransaction<'a> {
        let mut transaction = BatchTransaction {
            compares: Vec::new(),
            mutations: Vec::new(),
        };
        transaction.compare(LEADER_KEY.to_owned(), ModRevision(token.0));
        for write in &batch.writes {
            transaction.add(write);
        }
        transaction
    }

    fn add(&mut self, write: &'a Write) {
        match write {
            Write::Update {
                job,
                mod_revision,
                record,
            } => {
                self.compare(job_key(job), *mod_revision);
                self.put(job_key(job), RecordValue::Job(record));
            }
            Write::End {
                job,
                mod_revision,
                end,
            } => {
                self.compare(job_key(job), *mod_revision);
                self.delete(job_key(job));
                self.put(end_key(job), RecordValue::End(end));
            }
            Write::Page {
                key,
                mod_revision,
                page,
            } => {
                self.compare(registry_page_key(key), *mod_revision);
                match page {
                    Some(page) => self.put(registry_page_key(key), RecordValue::Page(page)),
                    None => self.delete(registry_page_key(key)),
                }
            }
            Write::Term { token } => {
                self.put(TERM_KEY.to_owned(), RecordValue::Term { token: *token });
            }
            Write::LearnedRunTimes { key, page } => {
                self.put(run_times_key(*key), RecordValue::RunTimes(page));
            }
            Write::DeletePage { key } => self.delete(registry_page_key(key)),
        }
    }

    fn compare(&mut self, key: String, mod_revision: ModRevision) {
        self.compares.push(Compare { key, mod_revision });
    }

    fn put(&mut self, key: String, value: RecordValue<'a>) {
        self.mutations.push(Mutation::Put {
            key,
            value,
            lease: None,
        });
    }

    fn delete(&mut self, key: String) {
        self.mutations.push(Mutation::Delete { key });
    }
}

/// Commits a batch and returns the revision of its write.
///
/// # Errors
///
/// Returns [`BatchError::LeadershipLost`] if the leader key's revision is not `token`, [`BatchError::Conflict`] if records
/// have changed, [`BatchError::Invalid`] if the store rejects the transaction itself, [`BatchError::NotApplied`] if it was
/// certainly not executed for another reason, and [`BatchError::OutcomeUnknown`] otherwise.
async fn commit(
    node: &Node,
    token: FencingToken,
    batch: &Batch,
) -> Result<ModRevision, BatchError> {
    let transaction = BatchTransaction::new(token, batch);
    let outcome = node
        .store
        .records()
        .txn(transaction.compares, transaction.mutations)
        .await;
    match outcome {
        Ok(TransactionOutcome::Applied(mod_revision)) => Ok(mod_revision),
        Ok(TransactionOutcome::Failed(keys)) => Err(classify_conflict(&keys)),
        Err(e) => Err(classify_error(&e)),
    }
}

/// Maps the keys whose comparison failed to the error of the batch.
fn classify_conflict(keys: &[String]) -> BatchError {
    if keys.iter().any(|k| k == LEADER_KEY) {
        return BatchError::LeadershipLost;
    }
    let jobs: Vec<JobId> = keys.iter().filter_map(|k| job_id_from_key(k)).collect();
    let pages = keys
        .iter()
        .filter_map(|k| k.strip_prefix(REGISTRY_PREFIX))
        .map(str::to_owned)
        .collect();
    BatchError::Conflict { jobs, pages }
}

fn classify_error(error: &StoreError) -> BatchError {
    if matches!(error, StoreError::Invalid(_)) {
        BatchError::Invalid
    } else if error.is_refusal() {
        debug!(error = %error, "failed to write batch of records");
        BatchError::NotApplied
    } else {
        BatchError::OutcomeUnknown
    }
}
