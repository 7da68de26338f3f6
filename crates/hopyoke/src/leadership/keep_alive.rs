//! Renewal of the leader lease for as long as a term lasts.

use crate::node::Node;
use crate::store::error::StateError;
use hopyoke_admission::RequestPriority;
use hopyoke_consistency::latency::RequestKind;
use hopyoke_consistency::leader_lease::{LeaderLease, renewal_interval, renewal_repeat_interval};
use hopyoke_event_loop::{self as runtime, CancellationToken, Notify};
use hopyoke_types::Micros;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tracing::{debug, trace, warn};

/// Pause after a renewal that was refused.
const RETRY_INTERVAL: Micros = Micros::from_millis(250);

/// The lease to renew, and whom to inform.
pub(super) struct KeepAlive {
    pub(super) node: Rc<Node>,
    /// The lease's id in the key-value store.
    pub(super) lease: u64,
    pub(super) leader_lease: Rc<RefCell<LeaderLease>>,
    /// Notified when the lease was renewed or lost.
    pub(super) lease_changed: Notify,
    /// Cancelled when the lease is lost.
    pub(super) cancel: CancellationToken,
}

/// How a renewal ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RenewalOutcome {
    Renewed,
    Failed,
}

/// A renewal under way.
#[derive(Default)]
struct Renewal {
    outcome: Cell<Option<RenewalOutcome>>,
    ended: Notify,
}

impl KeepAlive {
    /// Renews the lease several times per time to live, until the store says that it is gone. A renewal without an answer
    /// is repeated beside the first one, whose answer may still come: each renewal that is executed without being waited
    /// for would prolong the lease of a leader that must not act, while nobody else can lead. (Tests
    /// a_slow_state_service_keeps_its_leader, a_slow_store_leaves_no_gap_in_the_entitlement.)
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

    /// Renews the lease once, and waits for the answer until it would be worth nothing.
    async fn renew(self: Rc<KeepAlive>, renewal: Rc<Renewal>) {
        let store = &self.node.store;
        let sent_at = runtime::now();
        let timeout = store
            .timeouts
            .timeout(RequestKind::Lease, RequestPriority::Critical);
        let ttl = self.node.settings.leader_lease_ttl();
        let mut answer = std::pin::pin!(store.critical().renew_within(self.lease, ttl));
        let result = match runtime::timeout(timeout, answer.as_mut()).await {
            Ok(result) => result,
            Err(_) => {
                store.answer_is_overdue(RequestKind::Lease, RequestPriority::Critical, sent_at);
                answer.await
            }
        };
        renewal
            .outcome
            .set(Some(self.renewal_ended(sent_at, result)));
        renewal.ended.notify();
    }

    fn renewal_ended(&self, sent_at: Micros, result: Result<(), StateError>) -> RenewalOutcome {
        match result {
            Ok(()) => {
                trace!(lease = self.lease, "leader lease renewed");
                self.leader_lease.borrow_mut().lease_renewed(sent_at);
                self.lease_changed.notify();
                RenewalOutcome::Renewed
            }
            Err(StateError::Gone) => {
                warn!(lease = self.lease, "leader lease gone");
                self.cancel.cancel();
                self.lease_changed.notify();
                RenewalOutcome::Failed
            }
            // The lease may outlive an outage of the store: only its answer that the lease is gone ends the term.
            Err(e) => {
                debug!(error = %e, "lease not renewed");
                RenewalOutcome::Failed
            }
        }
    }
}
