//! Failover: a new leader rebuilds the scheduler from the records of previous leaders.

use super::backoff::retry;
use crate::node::Node;
use crate::operations::{settings, staffed_hours};
use crate::store::keys::{JOB_PREFIX, REGISTRY_PREFIX};
use crate::store::watch::decode_job;
use futures_util::future::join;
use hopyoke_event_loop as runtime;
use hopyoke_policy::Metrics;
use hopyoke_protocol::state::KeyValue;
use hopyoke_scheduler::{JobRecord, RegistryPage, Scheduler};
use hopyoke_types::{FencingToken, Micros, ModRevision};
use std::rc::Rc;
use tracing::warn;

/// Maximum time after the lease's grant for which a new leader accepts no connections while it reads the records.
pub(super) const MAX_ACCEPT_PAUSE: Micros = Micros::from_secs(6);

/// Builds the scheduler from the records of machines and jobs. Returns `None` if the records could not be read.
///
/// `granted_at` is the time of the lease's grant. Previous leaders had stopped by then, so all their commands are
/// older.
pub(super) async fn build_scheduler(
    node: &Rc<Node>,
    token: FencingToken,
    granted_at: Micros,
) -> Option<Scheduler> {
    // Both lists are read concurrently because the store may be slow. Their order does not matter: from the grant on
    // only this node writes registry pages.
    let (pages, jobs) = join(
        retry(|| node.store.critical().list::<RegistryPage>(REGISTRY_PREFIX)),
        retry(|| node.store.critical().list::<JobRecord>(JOB_PREFIX)),
    )
    .await;
    let (pages, jobs) = (pages?, jobs?);
    let revision = ModRevision(jobs.revision);
    let registry = pages
        .pairs
        .into_iter()
        .filter_map(decode_registry_page)
        .collect();
    let jobs = jobs.pairs.into_iter().filter_map(decode_job).collect();
    let mut scheduler = Scheduler::new(node.config.clone(), token, jobs, registry, granted_at);
    scheduler.records_applied_to(revision, granted_at);
    scheduler.set_tuning(settings::scheduler_tuning(
        &node.policy.evaluate(&Metrics::default()),
    ));
    scheduler.record_grant_time(runtime::now(), runtime::unix_time());
    scheduler.set_staffed_hours(staffed_hours::initial(node));
    scheduler.set_catalog(node.catalog.borrow().clone());
    Some(scheduler)
}

/// Decodes a registry page; its key is returned without the prefix. A page that cannot be decoded is kept as `None`, so
/// that the machines on it remain known to exist.
fn decode_registry_page(
    pair: KeyValue<RegistryPage>,
) -> Option<(String, ModRevision, Option<RegistryPage>)> {
    let key = pair.key.strip_prefix(REGISTRY_PREFIX)?.to_owned();
    let page = pair.value.decoded();
    if page.is_none() {
        warn!(page = %key, "cannot decode registry page");
    }
    Some((key, pair.mod_revision, page))
}

/// Removes jobs whose cancellation this node acknowledged to users while the records were being read: the records read
/// may not include them. Guards the invariant `ran_cancelled`.
pub(super) fn apply_local_cancellations(node: &Node, scheduler: &mut Scheduler, now: Micros) {
    let mut cancellation_log = node.lease_support.cancellation_log.borrow_mut();
    for id in cancellation_log.entries_after(scheduler.applied_revision()) {
        scheduler.job_removed(&id, now);
    }
    // A process that has just started may not have read a revision of the store yet; this revision serves as well.
    cancellation_log.set_start_revision(scheduler.applied_revision());
}
