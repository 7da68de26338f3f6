//! The engine's actions as requests to the key-value store: claims, submissions, cancellations, writes.

use super::records::{Value, read_run};
use super::runner::flows_of;
use super::watches::job_end_of;
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
use tracing::debug;

#[expect(
    clippy::too_many_lines,
    reason = "to be split with the rest of this module, see docs/ROADMAP.md"
)]
pub(super) async fn execute(node: &Rc<Node>, action: Action) {
    let flows = flows_of(node);
    match &action {
        Action::Claim { run } => {
            let result = claim(node, *run).await;
            flows
                .engine
                .borrow_mut()
                .claim_finished(*run, result, runtime::now());
        }
        Action::Read {
            run,
            epoch,
            with_plan,
        } => {
            let fetched = match read_run(node, *run, *with_plan).await {
                Ok(f) => f,
                Err(e) => {
                    debug!(%run, error = %e, "records not read");
                    None
                }
            };
            flows
                .engine
                .borrow_mut()
                .read_finished(*run, *epoch, fetched, runtime::now());
        }
        Action::Submit {
            run,
            epoch,
            step,
            spec,
            claim_revision,
            head,
        } => {
            let outcome = submit(node, *run, spec, *claim_revision, *head)
                .await
                .unwrap_or_else(|e| outcome_of_error(&e));
            flows.engine.borrow_mut().submission_finished(
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
                    JobOutcome::Ended(job_end_of(end))
                }
                Ok(Some(Lookup::NotFound)) => JobOutcome::Missing,
                Ok(Some(Lookup::Finished(_))) => JobOutcome::Taken,
                Ok(_) => JobOutcome::Unknown,
                Err(e) => outcome_of_error(&e),
            };
            flows.engine.borrow_mut().cancellation_finished(
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
            let written = write(node, *run, *claim_revision, pages, head.as_ref(), *release).await;
            flows.engine.borrow_mut().write_finished(
                *run,
                *epoch,
                &action,
                written,
                runtime::now(),
            );
        }
    }
}

fn outcome_of_error(e: &StoreError) -> JobOutcome {
    match e {
        StoreError::Refused(_) | StoreError::RateLimited => {
            JobOutcome::Later(Micros::from_millis(500))
        }
        _ => JobOutcome::Unknown,
    }
}

async fn claim(node: &Node, run: RunId) -> Result<ModRevision, Option<ModRevision>> {
    let Some(lease) = flows_of(node).lease.get() else {
        return Err(None);
    };
    let hold = RunClaim {
        node: node.settings.node.clone(),
        lease,
    };
    let key = workflow_claim_key(run);
    // A run that is over is not claimed: its head must still be there.
    let head = match node
        .store
        .background()
        .get::<Value>(&workflow_head_key(run))
        .await
    {
        Ok(Some((_, mod_revision))) => mod_revision,
        _ => return Err(None),
    };
    let conditions = vec![
        Compare {
            key: key.clone(),
            mod_revision: ModRevision(0),
        },
        Compare {
            key: workflow_head_key(run),
            mod_revision: head,
        },
    ];
    let changes = vec![Mutation::Put {
        key: key.clone(),
        value: hold.clone(),
        lease: Some(lease),
    }];
    match node.store.background().txn(conditions, changes).await {
        Ok(TransactionOutcome::Applied(mod_revision)) => Ok(mod_revision),
        Ok(TransactionOutcome::Failed(_)) => {
            match node.store.background().get::<RunClaim>(&key).await {
                // An earlier try of this very process went through.
                Ok(Some((Stored::Value(h), mod_revision))) if h == hold => Ok(mod_revision),
                Ok(Some((_, mod_revision))) => Err(Some(mod_revision)),
                _ => Err(None),
            }
        }
        Err(_) => Err(None),
    }
}

/// Accepts a step's job as a user's is accepted, and on the condition that its run goes on.
async fn submit(
    node: &Rc<Node>,
    run: RunId,
    spec: &JobSpec,
    grant: ModRevision,
    head: ModRevision,
) -> Result<JobOutcome, StoreError> {
    let never = {
        let types = node.catalog.borrow();
        if types.is_empty() {
            return Ok(JobOutcome::Later(Micros::from_secs(1)));
        }
        unschedulable_reason(spec, &types, &node.config.zones, &node.config.teams)
    };
    if let Some(why) = never {
        // An accepted job stays accepted, whatever the catalog says now.
        return Ok(
            match lookup(node, node.store.background(), &spec.id).await? {
                Lookup::NotFound => JobOutcome::Never(why),
                found => outcome_of_lookup(&found),
            },
        );
    }
    let record = JobRecord::for_workflow_step(spec.clone(), runtime::time_of_day().0);
    let more = vec![
        Compare {
            key: workflow_claim_key(run),
            mod_revision: grant,
        },
        Compare {
            key: workflow_head_key(run),
            mod_revision: head,
        },
    ];
    Ok(
        match records::create(node, node.store.submissions(), record, more).await? {
            TransactionOutcome::Applied(_) => JobOutcome::Accepted,
            // The three-way check: what does the job's own record say?
            TransactionOutcome::Failed(_) => {
                match lookup(node, node.store.background(), &spec.id).await? {
                    Lookup::NotFound => JobOutcome::Stale,
                    found => outcome_of_lookup(&found),
                }
            }
        },
    )
}

fn outcome_of_lookup(found: &Lookup) -> JobOutcome {
    match found {
        Lookup::Finished(end) if end.is_workflow_step => JobOutcome::Ended(job_end_of(*end)),
        Lookup::Unfinished(Stored::Value(r), _) if r.is_workflow_step => JobOutcome::Known,
        Lookup::NotFound | Lookup::Unreadable | Lookup::Unfinished(Stored::Unreadable(_), _) => {
            JobOutcome::Unknown
        }
        _ => JobOutcome::Taken,
    }
}

async fn write(
    node: &Node,
    run: RunId,
    grant: ModRevision,
    pages: &[(u32, ModRevision, StepPage)],
    head: Option<&(ModRevision, Head)>,
    release: bool,
) -> WriteOutcome {
    let mut conditions = vec![Compare {
        key: workflow_claim_key(run),
        mod_revision: grant,
    }];
    let mut changes = Vec::new();
    for (page, mod_revision, value) in pages {
        let key = workflow_page_key(run, *page);
        conditions.push(Compare {
            key: key.clone(),
            mod_revision: *mod_revision,
        });
        changes.push(Mutation::Put {
            key,
            value: Value::Page(value.clone()),
            lease: None,
        });
    }
    if let Some((mod_revision, head)) = head {
        conditions.push(Compare {
            key: workflow_head_key(run),
            mod_revision: *mod_revision,
        });
        let mut head = head.clone();
        let key = if head.state.is_final() {
            head.ended_us = runtime::time_of_day().0;
            changes.push(Mutation::Delete {
                key: workflow_head_key(run),
            });
            workflow_end_key(run)
        } else {
            workflow_head_key(run)
        };
        changes.push(Mutation::Put {
            key,
            value: Value::Head(Box::new(head)),
            lease: None,
        });
    }
    if release {
        changes.push(Mutation::Delete {
            key: workflow_claim_key(run),
        });
    }
    match node.store.background().txn(conditions, changes).await {
        Ok(TransactionOutcome::Applied(mod_revision)) => WriteOutcome::Applied(mod_revision),
        Ok(TransactionOutcome::Failed(_)) => WriteOutcome::Conflict,
        Err(e) if e.is_refusal() => WriteOutcome::Refused,
        Err(_) => WriteOutcome::Unknown,
    }
}
