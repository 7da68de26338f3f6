//! Executes the workflow engine's actions as requests to the key-value store: claims, reads, submissions, cancellations and
//! writes.

use super::records::{WorkflowRecord, read_run_records};
use super::runner::workflow_state;
use super::watches::to_job_end;
use crate::node::Node;
use crate::store::client::TransactionOutcome;
use crate::store::error::StoreError;
use crate::store::keys::{
    workflow_claim_key, workflow_end_key, workflow_head_key, workflow_page_key,
};
use crate::store::records::{self, Lookup, lookup};
use hopyoke_event_loop as runtime;
use hopyoke_protocol::state::{Compare, Mutation, Stored};
use hopyoke_protocol::user::JobSpec;
use hopyoke_scheduler::{JobRecord, unschedulable_reason};
use hopyoke_types::{Micros, ModRevision};
use hopyoke_workflow::{Action, Head, JobOutcome, RunClaim, RunId, StepPage, WriteOutcome};
use std::rc::Rc;
use tracing::{debug, warn};

/// Executes one action and reports its outcome to the engine.
#[expect(
    clippy::too_many_lines,
    reason = "to be split with the rest of this module, see docs/ROADMAP.md"
)]
pub(super) async fn execute(node: &Rc<Node>, action: Action) {
    let workflows = workflow_state(node);
    match &action {
        Action::Claim { run } => {
            let result = claim(node, *run).await;
            workflows
                .engine
                .borrow_mut()
                .claim_finished(*run, result, runtime::now());
        }
        Action::Read {
            run,
            epoch,
            with_plan,
        } => {
            let records_read = match read_run_records(node, *run, *with_plan).await {
                Ok(records) => records,
                Err(e) => {
                    debug!(%run, error = %e, "failed to read a workflow run");
                    None
                }
            };
            workflows
                .engine
                .borrow_mut()
                .read_finished(*run, *epoch, records_read, runtime::now());
        }
        Action::Submit {
            run,
            epoch,
            step,
            spec,
            claim_revision,
            head_revision,
        } => {
            let outcome = submit(node, *run, spec, *claim_revision, *head_revision)
                .await
                .unwrap_or_else(|e| outcome_of_error(&e));
            workflows.engine.borrow_mut().submission_finished(
                *run,
                *epoch,
                *step,
                outcome,
                runtime::now(),
            );
        }
        Action::Cancel {
            run,
            epoch,
            step,
            job,
        } => {
            let outcome = match records::cancel(node, node.store.cancellations(), job).await {
                Ok(Some(Lookup::Finished(end))) if end.is_workflow_step => {
                    JobOutcome::Ended(to_job_end(end))
                }
                Ok(Some(Lookup::NotFound)) => JobOutcome::NotFound,
                Ok(Some(Lookup::Finished(_))) => JobOutcome::IdTaken,
                Ok(_) => JobOutcome::Unknown,
                Err(e) => outcome_of_error(&e),
            };
            workflows.engine.borrow_mut().cancellation_finished(
                *run,
                *epoch,
                *step,
                outcome,
                runtime::now(),
            );
        }
        Action::Write {
            run,
            epoch,
            claim_revision,
            pages,
            head,
            release,
        } => {
            let outcome = write(node, *run, *claim_revision, pages, head.as_ref(), *release).await;
            workflows.engine.borrow_mut().write_finished(
                *run,
                *epoch,
                &action,
                outcome,
                runtime::now(),
            );
        }
    }
}

/// Returns the outcome of a submission or cancellation that failed with an error of the key-value store.
fn outcome_of_error(e: &StoreError) -> JobOutcome {
    match e {
        StoreError::Refused(_) | StoreError::RateLimited => {
            JobOutcome::RetryAfter(Micros::from_millis(500))
        }
        _ => JobOutcome::Unknown,
    }
}

/// Claims a run for this node, by compare-and-swap against an absent claim. Returns the revision of the claim.
///
/// # Errors
/// Returns the revision of the existing claim, or `None` if it is not known whether there is one.
async fn claim(node: &Node, run: RunId) -> Result<ModRevision, Option<ModRevision>> {
    let Some(lease) = workflow_state(node).lease.get() else {
        return Err(None);
    };
    let run_claim = RunClaim {
        node: node.settings.node.clone(),
        lease,
    };
    let key = workflow_claim_key(run);
    // A finished run must not be claimed. Its head is moved away when it ends, so the claim is conditional on the head.
    let head_revision = match node
        .store
        .background()
        .get::<WorkflowRecord>(&workflow_head_key(run))
        .await
    {
        Ok(Some((_, mod_revision))) => mod_revision,
        _ => return Err(None),
    };
    let compares = vec![
        Compare {
            key: key.clone(),
            mod_revision: ModRevision(0),
        },
        Compare {
            key: workflow_head_key(run),
            mod_revision: head_revision,
        },
    ];
    let mutations = vec![Mutation::Put {
        key: key.clone(),
        value: run_claim.clone(),
        lease: Some(lease),
    }];
    match node.store.background().txn(compares, mutations).await {
        Ok(TransactionOutcome::Applied(mod_revision)) => Ok(mod_revision),
        Ok(TransactionOutcome::Failed(_)) => {
            match node.store.background().get::<RunClaim>(&key).await {
                // An earlier attempt of this process was applied. The lease in the claim identifies the process.
                Ok(Some((Stored::Value(c), mod_revision))) if c == run_claim => Ok(mod_revision),
                Ok(Some((_, mod_revision))) => Err(Some(mod_revision)),
                _ => Err(None),
            }
        }
        Err(_) => Err(None),
    }
}

/// Submits a step's job like a user's job, on the condition that the run's claim and head are unchanged, so that neither a
/// former owner nor a cancelled run starts steps.
async fn submit(
    node: &Rc<Node>,
    run: RunId,
    spec: &JobSpec,
    claim_revision: ModRevision,
    head_revision: ModRevision,
) -> Result<JobOutcome, StoreError> {
    let unschedulable = {
        let types = node.catalog.borrow();
        if types.is_empty() {
            return Ok(JobOutcome::RetryAfter(Micros::from_secs(1)));
        }
        unschedulable_reason(spec, &types, &node.config.zones, &node.config.teams)
    };
    let record = JobRecord::for_workflow_step(spec.clone(), runtime::unix_time().0);
    let too_long = record.check_len(node.config.max_value_bytes).err();
    if let Some(reason) = unschedulable.or(too_long.map(|e| e.to_string())) {
        return refuse(node, spec, reason).await;
    }
    let preconditions = vec![
        Compare {
            key: workflow_claim_key(run),
            mod_revision: claim_revision,
        },
        Compare {
            key: workflow_head_key(run),
            mod_revision: head_revision,
        },
    ];
    match records::create(node, node.store.submissions(), record, preconditions).await {
        Ok(TransactionOutcome::Applied(_)) => Ok(JobOutcome::Accepted),
        // Either a precondition failed or the job exists already; only its record shows which.
        Ok(TransactionOutcome::Failed(_)) => Ok(
            match lookup(node, node.store.background(), &spec.id).await? {
                Lookup::NotFound => JobOutcome::Stale,
                found => outcome_of_lookup(&found),
            },
        ),
        // Repetition would not help: the step fails.
        Err(e @ StoreError::Invalid(_)) => {
            warn!(%run, job = %spec.id, error = %e, "key-value store rejects the record of a step's job");
            refuse(node, spec, "its job's record can't be stored".to_owned()).await
        }
        Err(e) => Err(e),
    }
}

/// Refuses a step's job, unless it was accepted earlier, under another catalog or other limits.
async fn refuse(node: &Node, spec: &JobSpec, reason: String) -> Result<JobOutcome, StoreError> {
    let found = lookup(node, node.store.background(), &spec.id).await?;
    Ok(match found {
        Lookup::NotFound => JobOutcome::Invalid(reason),
        found => outcome_of_lookup(&found),
    })
}

/// Returns the outcome of a submission whose job's record exists, by what was read of it.
fn outcome_of_lookup(found: &Lookup) -> JobOutcome {
    match found {
        Lookup::Finished(end) if end.is_workflow_step => JobOutcome::Ended(to_job_end(*end)),
        Lookup::Unfinished(Stored::Value(record), _) if record.is_workflow_step => {
            JobOutcome::AlreadyAccepted
        }
        Lookup::NotFound | Lookup::Unreadable | Lookup::Unfinished(Stored::Unreadable(_), _) => {
            JobOutcome::Unknown
        }
        _ => JobOutcome::IdTaken,
    }
}

/// Writes pages of progress and the head in one transaction, which is fenced by the revision of the claim. A final head moves
/// to the key of finished runs.
async fn write(
    node: &Node,
    run: RunId,
    claim_revision: ModRevision,
    pages: &[(u32, ModRevision, StepPage)],
    head: Option<&(ModRevision, Head)>,
    release: bool,
) -> WriteOutcome {
    let mut compares = vec![Compare {
        key: workflow_claim_key(run),
        mod_revision: claim_revision,
    }];
    let mut mutations = Vec::new();
    for (page, mod_revision, value) in pages {
        let key = workflow_page_key(run, *page);
        compares.push(Compare {
            key: key.clone(),
            mod_revision: *mod_revision,
        });
        mutations.push(Mutation::Put {
            key,
            value: WorkflowRecord::Page(value.clone()),
            lease: None,
        });
    }
    if let Some((mod_revision, head)) = head {
        compares.push(Compare {
            key: workflow_head_key(run),
            mod_revision: *mod_revision,
        });
        let mut head = head.clone();
        let key = if head.state.is_final() {
            head.ended_us = runtime::unix_time().0;
            mutations.push(Mutation::Delete {
                key: workflow_head_key(run),
            });
            workflow_end_key(run)
        } else {
            workflow_head_key(run)
        };
        mutations.push(Mutation::Put {
            key,
            value: WorkflowRecord::Head(Box::new(head)),
            lease: None,
        });
    }
    if release {
        mutations.push(Mutation::Delete {
            key: workflow_claim_key(run),
        });
    }
    match node.store.background().txn(compares, mutations).await {
        Ok(TransactionOutcome::Applied(mod_revision)) => WriteOutcome::Applied(mod_revision),
        Ok(TransactionOutcome::Failed(_)) => WriteOutcome::Conflict,
        Err(e) if e.is_refusal() => {
            if matches!(e, StoreError::Invalid(_)) {
                warn!(%run, error = %e, "key-value store rejects the progress of a workflow run");
            }
            WriteOutcome::Rejected
        }
        Err(_) => WriteOutcome::Unknown,
    }
}
