//! Commits of the scheduler's batches of writes.

use crate::kv_store::{Mutation, TransactionError, Value};
use crate::{Host, Simulation};
use hopyoke_consistency::latency::{Purpose, RequestKind};
use hopyoke_protocol::user::JobState;
use hopyoke_scheduler::{Batch, BatchError, Write};
use hopyoke_types::{FencingToken, JobId, ModRevision};
use std::cell::Cell;
use std::rc::Rc;

/// A compare-and-swap transaction: the revisions that keys must have, and the mutations applied if they do.
struct Transaction {
    compares: Vec<(String, u64)>,
    mutations: Vec<Mutation>,
}

impl Transaction {
    /// Builds the transaction of a leader's batch, fenced by its token.
    fn of_batch(token: FencingToken, batch: &Batch) -> Transaction {
        let mut transaction = Transaction {
            compares: vec![("leader".to_owned(), token.0)],
            mutations: Vec::new(),
        };
        for write in &batch.writes {
            transaction.add(write);
        }
        transaction
    }

    fn add(&mut self, write: &Write) {
        let (compares, mutations) = (&mut self.compares, &mut self.mutations);
        match write {
            Write::Update {
                job,
                mod_revision,
                record,
            } => {
                compares.push((format!("job/{job}"), mod_revision.0));
                mutations.push(Mutation::Put(
                    format!("job/{job}"),
                    Value::JobRecord(record.clone()),
                    None,
                ));
            }
            Write::End {
                job,
                mod_revision,
                end,
            } => {
                compares.push((format!("job/{job}"), mod_revision.0));
                mutations.push(Mutation::Delete(format!("job/{job}")));
                mutations.push(Mutation::Put(
                    format!("end/{job}"),
                    Value::EndRecord(*end),
                    None,
                ));
            }
            Write::Page {
                key,
                mod_revision,
                page,
            } => {
                compares.push((format!("fleet/{key}"), mod_revision.0));
                mutations.push(match page {
                    Some(p) => {
                        Mutation::Put(format!("fleet/{key}"), Value::RegistryPage(p.clone()), None)
                    }
                    None => Mutation::Delete(format!("fleet/{key}")),
                });
            }
            Write::Term { token } => {
                mutations.push(Mutation::Put("term".into(), Value::Term(*token), None));
            }
            Write::LearnedRunTimes { key, page } => mutations.push(Mutation::Put(
                format!("learn/{key}"),
                Value::RunTimesPage(page.clone()),
                None,
            )),
            Write::DeletePage { key } => mutations.push(Mutation::Delete(format!("fleet/{key}"))),
        }
    }
}

/// Returns the error of a batch whose transaction failed.
fn batch_error(error: &TransactionError) -> BatchError {
    match error {
        TransactionError::CompareFailed(keys) => conflict(keys),
        TransactionError::LeaseExpired => BatchError::NotApplied,
        TransactionError::Invalid => BatchError::Invalid,
    }
}

/// Returns why a batch failed, given the keys whose compares did not hold.
fn conflict(keys: &[String]) -> BatchError {
    if keys.iter().any(|k| k == "leader") {
        return BatchError::LeadershipLost;
    }
    let jobs = keys
        .iter()
        .filter_map(|k| k.strip_prefix("job/"))
        .map(JobId::new)
        .collect();
    let pages = keys
        .iter()
        .filter_map(|k| k.strip_prefix("fleet/"))
        .map(str::to_owned)
        .collect();
    BatchError::Conflict { jobs, pages }
}

impl Simulation {
    /// Sends a batch to the store. Without a response in time its outcome is unknown.
    pub(super) fn commit_batch(
        &mut self,
        node: usize,
        process: u64,
        token: FencingToken,
        batch: Batch,
    ) {
        let transaction = Transaction::of_batch(token, &batch);
        let (sent, changes) = (self.now, batch.changes());
        let timeout = self.store_timeout(node, RequestKind::Write, Purpose::Term);
        if let Some(limits) = &mut self.nodes[node].limits {
            limits.admission.changes_written(changes, sent);
        }
        let is_open = Rc::new(Cell::new(true));
        let (answered, timed_out) = (is_open.clone(), is_open);
        let (batch, batch_on_timeout) = (batch.clone(), batch);
        self.send(Host::Node(node), Host::KvStore, move |sim| {
            let is_rejected = sim.store_rejects(node) || !sim.store_accepts(changes);
            let result = if is_rejected {
                Err(BatchError::NotApplied)
            } else {
                let Some(result) = sim.transact(&transaction.compares, transaction.mutations)
                else {
                    return;
                };
                result.map(ModRevision).map_err(|e| batch_error(&e))
            };
            sim.send(Host::KvStore, Host::Node(node), move |sim| {
                // After the timeout the response is ignored, even if the timer itself fires late.
                if sim.now < sent + timeout && answered.replace(false) {
                    if sim.alive(node, process) {
                        sim.store_answered(node, RequestKind::Write, sent);
                    }
                    sim.batch_completed(node, process, batch, result);
                }
            });
        });
        self.timer(node, timeout, move |sim| {
            if timed_out.replace(false) {
                if sim.alive(node, process) {
                    sim.store_timed_out(node, RequestKind::Write, sent);
                }
                sim.batch_completed(
                    node,
                    process,
                    batch_on_timeout,
                    Err(BatchError::OutcomeUnknown),
                );
            }
        });
    }

    /// Passes a batch's outcome to the scheduler. A deposed leader campaigns again.
    fn batch_completed(
        &mut self,
        node: usize,
        process: u64,
        batch: Batch,
        result: Result<ModRevision, BatchError>,
    ) {
        let now = self.now;
        let Some(l) = self.leadership(node, process) else {
            return;
        };
        if result == Err(BatchError::LeadershipLost) {
            self.nodes[node].leadership = None;
            return self.campaign(node, process, false);
        }
        l.batch_in_flight = false;
        let ends = batch
            .writes
            .iter()
            .filter(|_| result.is_ok())
            .filter_map(|write| match write {
                Write::End { job, end, .. } => Some((job.clone(), end.state)),
                _ => None,
            });
        let ends: Vec<(JobId, JobState)> = ends.collect();
        l.scheduler.batch_completed(batch, result, now);
        self.nodes[node].terminal_states.extend(ends);
        self.run_scheduler(node, process);
    }
}
