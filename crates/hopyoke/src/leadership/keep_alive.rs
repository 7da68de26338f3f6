//! Renewal of the leader lease for as long as a term lasts.

use crate::node::Node;
use crate::store::error::StateError;
use hopyoke_consistency::leader_lease::LeaderLease;
use hopyoke_event_loop::{self as runtime, CancellationToken, Notify};
use hopyoke_types::Micros;
use std::cell::RefCell;
use std::rc::Rc;
use tracing::{debug, trace, warn};

/// The shortest timeout of a renewal. A lost one is repeated after that; where the store is slow, the timeout grows up to
/// half of the lease: each renewal that is executed without being waited for would prolong the lease of a leader
/// that must not act, while nobody else can lead. (Test a_slow_state_service_keeps_its_leader.)
const MIN_RENEW_TIMEOUT: Micros = Micros::from_secs(1);

/// Pause after a renewal that failed.
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

impl KeepAlive {
    /// Renews the lease four times per time to live, until the store says that it is gone.
    pub(super) async fn run(self) {
        let ttl = self.node.settings.leader_ttl();
        let max_timeout = Micros(ttl.0 / 2).max(MIN_RENEW_TIMEOUT);
        let mut timeout = MIN_RENEW_TIMEOUT;
        loop {
            let sent_at = runtime::now();
            match self.node.store.critical().renew(self.lease, timeout).await {
                Ok(()) => {
                    trace!(lease = self.lease, "leader lease renewed");
                    timeout = (runtime::now() - sent_at)
                        .times(2)
                        .clamp(MIN_RENEW_TIMEOUT, max_timeout);
                    self.leader_lease.borrow_mut().lease_renewed(sent_at);
                    self.lease_changed.notify();
                    runtime::sleep(Micros(ttl.0 / 4)).await;
                }
                Err(StateError::Gone) => {
                    warn!(lease = self.lease, "leader lease gone");
                    self.cancel.cancel();
                    self.lease_changed.notify();
                    return;
                }
                // The lease may outlive an outage of the store: only its answer that the lease is gone ends the term.
                Err(e) => {
                    debug!(error = %e, "lease not renewed");
                    if e == StateError::Unknown {
                        timeout = timeout.times(2).min(max_timeout);
                    }
                    runtime::sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }
}
