//! Failover: a new leader reads the records of earlier leaders and builds its scheduler from them.

use super::backoff::retry;
use crate::node::Node;
use crate::operations::{settings, staffed_hours};
use crate::store::keys::{JOBS, REGISTRY};
use crate::store::watch::job_of;
use futures_util::future::join;
use hopyoke_event_loop as runtime;
use hopyoke_policy::Figures;
use hopyoke_protocol::state::KeyValue;
use hopyoke_scheduler::{JobRecord, RegistryPage, Scheduler};
use hopyoke_types::{FencingToken, Micros, ModRevision};
use std::rc::Rc;
use tracing::warn;

/// For how long after its grant a new leader accepts no new connections while it reads the records.
pub(super) const MAX_DURATION: Micros = Micros::from_secs(6);

/// Builds the scheduler from the records of machines and jobs; `None` if they could not be read.
///
/// `granted_at` is when the lease was granted: by then former leaders had stopped, so commands of theirs are older.
pub(super) async fn build_scheduler(
    node: &Rc<Node>,
    token: FencingToken,
    granted_at: Micros,
) -> Option<Scheduler> {
    // Side by side, for the store may be slow: only this node writes pages from the grant on, so their order is of no
    // account.
    let (pages, jobs) = join(
        retry(|| node.store.critical().list::<RegistryPage>(REGISTRY)),
        retry(|| node.store.critical().list::<JobRecord>(JOBS)),
    )
    .await;
    let (pages, jobs) = (pages?, jobs?);
    let revision = ModRevision(jobs.revision);
    let registry = pages
        .pairs
        .into_iter()
        .filter_map(registry_page_of)
        .collect();
    let jobs = jobs.pairs.into_iter().filter_map(job_of).collect();
    let mut scheduler = Scheduler::new(node.config.clone(), token, jobs, registry, granted_at);
    scheduler.records_applied_to(revision, granted_at);
    scheduler.set_tuning(settings::scheduler_tuning(
        &node.policy.evaluate(&Figures::default()),
    ));
    scheduler.set_time_of_day(runtime::now(), runtime::time_of_day());
    scheduler.set_hours(staffed_hours::initial(node));
    scheduler.set_catalog(node.catalog.borrow().clone());
    Some(scheduler)
}

/// A page with its key below `fleet/`. An unreadable one keeps its place, so that its machines stay known.
fn registry_page_of(
    pair: KeyValue<RegistryPage>,
) -> Option<(String, ModRevision, Option<RegistryPage>)> {
    let key = pair.key.strip_prefix(REGISTRY)?.to_owned();
    let page = pair.value.readable();
    if page.is_none() {
        warn!(page = %key, "registry page unreadable");
    }
    Some((key, pair.mod_revision, page))
}

/// Makes up for cancellations that the records may lack: this node acknowledged them to users while the records
/// were read. (Guards `ran_cancelled`.)
pub(super) fn apply_own_cancellations(node: &Node, scheduler: &mut Scheduler, now: Micros) {
    let mut cancellation_log = node.lease_support.cancellation_log.borrow_mut();
    for id in cancellation_log.entries_after(scheduler.applied_revision()) {
        scheduler.job_removed(&id, now);
    }
    // A process that has just started may not have read a revision yet; this one serves as well.
    cancellation_log.started_before(scheduler.applied_revision());
}
