//! Renewal of the leader lease during a term.

use crate::node::Node;
use crate::store::error::StoreError;
use hopyoke_admission::RequestPriority;
use hopyoke_consistency::latency::RequestKind;
use hopyoke_consistency::leader_lease::{LeaderLease, renewal_interval, renewal_repeat_interval};
use hopyoke_event_loop::{self as runtime, CancellationToken, Notify};
use hopyoke_types::Micros;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tracing::{debug, trace, warn};

/// Delay after a failed renewal.
const RETRY_INTERVAL: Micros = Micros::from_millis(250);

/// Renews the leader lease of one term.
pub(super) struct KeepAlive {
    pub(super) node: Rc<Node>,
    /// ID of the lease in the key-value store.
    pub(super) lease: u64,
    pub(super) leader_lease: Rc<RefCell<LeaderLease>>,
    /// Notified when the lease is renewed or lost.
    pub(super) lease_changed: Notify,
    /// Cancelled when the lease is lost.
    pub(super) cancel: CancellationToken,
}

/// Outcome of a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RenewalOutcome {
    Renewed,
    Failed,
}

/// Renewal request in flight.
#[derive(Default)]
struct Renewal {
    outcome: Cell<Option<RenewalOutcome>>,
    ended: Notify,
}

impl KeepAlive {
    /// Renews the lease several times per TTL, until the store reports that the lease no longer exists.
    ///
    /// A renewal without a response is repeated, and the responses to both requests are awaited. If the first one were
    /// abandoned but executed by a slow store, it would extend the lease of a leader that does not know of the
    /// extension and must not act, while no other node can be elected.
    pub(super) async fn run(self) {
        let ttl = self.node.settings.leader_lease_ttl();
        let keep_alive = Rc::new(self);
        loop {
            let sent_at = runtime::now();
            let renewal = Rc::new(Renewal::default());
            runtime::spawn_until(
                keep_alive.cancel.clone(),
                keep_alive.clone().renew(renewal.clone()),
            );
            renewal
                .ended
                .wait_until(sent_at + renewal_repeat_interval(ttl))
                .await;
            match renewal.outcome.get() {
                Some(RenewalOutcome::Renewed) => {
                    runtime::sleep_until(sent_at + renewal_interval(ttl)).await;
                }
                Some(RenewalOutcome::Failed) => runtime::sleep(RETRY_INTERVAL).await,
                None => {}
            }
        }
    }

    /// Renews the lease once, and waits for the response for one TTL: a later one would extend nothing.
    async fn renew(self: Rc<KeepAlive>, renewal: Rc<Renewal>) {
        let store = &self.node.store;
        let sent_at = runtime::now();
        let timeout = store
            .timeouts
            .timeout(RequestKind::Lease, RequestPriority::Critical);
        let ttl = self.node.settings.leader_lease_ttl();
        let mut response = std::pin::pin!(store.critical().renew_within(self.lease, ttl));
        let result = match runtime::timeout(timeout, response.as_mut()).await {
            Ok(result) => result,
            Err(_) => {
                store.record_overdue_response(
                    RequestKind::Lease,
                    RequestPriority::Critical,
                    sent_at,
                );
                response.await
            }
        };
        renewal
            .outcome
            .set(Some(self.handle_renewal_result(sent_at, result)));
        renewal.ended.notify();
    }

    fn handle_renewal_result(
        &self,
        sent_at: Micros,
        result: Result<(), StoreError>,
    ) -> RenewalOutcome {
        match result {
            Ok(()) => {
                trace!(lease = self.lease, "leader lease renewed");
                self.leader_lease.borrow_mut().lease_renewed(sent_at);
                self.lease_changed.notify();
                RenewalOutcome::Renewed
            }
            Err(StoreError::Gone) => {
                warn!(lease = self.lease, "leader lease no longer exists");
                self.cancel.cancel();
                self.lease_changed.notify();
                RenewalOutcome::Failed
            }
            // The lease may outlive an outage of the store: the term ends only if the store reports it as gone.
            Err(e) => {
                debug!(error = %e, "failed to renew leader lease");
                RenewalOutcome::Failed
            }
        }
    }
}
