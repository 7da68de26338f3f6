//! One term of leadership, from acquiring the leader lease until it is lost or the leader steps down.

use super::keep_alive::KeepAlive;
use super::{actions, failover, record_writer, refresh};
use crate::node::{Leadership, Node};
use crate::operations::staffed_hours;
use crate::peers::server;
use crate::store::watch::{self, MAX_WATCH_WAIT};
use hopyoke_consistency::leader_lease::LeaderLease;
use hopyoke_event_loop::{self as runtime, CancellationToken, Notify};
use hopyoke_scheduler::Scheduler;
use hopyoke_types::{FencingToken, Micros};
use std::cell::RefCell;
use std::rc::Rc;
use tracing::{info, warn};

/// Maximum interval between two checks for isolation from the agents.
const ISOLATION_CHECK_INTERVAL: Micros = Micros::from_millis(200);

/// Leader lease as acquired.
pub(super) struct HeldLease {
    /// ID of the lease in the key-value store.
    pub(super) lease: u64,
    /// Fencing token of this term's commands and writes.
    pub(super) token: FencingToken,
    /// Expiry without a renewal, by this node's monotonic clock.
    pub(super) valid_until: Micros,
}

/// Reason for the end of a term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TermEnd {
    /// The lease no longer exists, another node leads, or the records could not be read.
    LeaseLost,
    /// This node released the lease because it is isolated from the agents.
    SteppedDown,
}

/// Leads until the lease is lost or this node steps down.
pub(super) async fn lead(node: &Rc<Node>, held: HeldLease) -> TermEnd {
    *node.leader.borrow_mut() = Some(node.settings.node.clone());
    let term = Term::begin(node, held);
    let Some(scheduler) = term.fail_over().await else {
        term.cancel.cancel();
        return TermEnd::LeaseLost;
    };
    let leadership = term.establish(scheduler);
    spawn_control_loops(node, &leadership);
    let end = term.wait_for_end(&leadership).await;
    term.close(end).await;
    end
}

struct Term<'a> {
    node: &'a Rc<Node>,
    held: HeldLease,
    /// Time of the lease's grant, by which previous leaders had stopped.
    granted_at: Micros,
    leader_lease: Rc<RefCell<LeaderLease>>,
    /// Notified when the lease is renewed or lost.
    lease_changed: Notify,
    /// Cancels all control loops of this term.
    cancel: CancellationToken,
}

impl<'a> Term<'a> {
    /// Creates a term and starts the renewal of its lease.
    fn begin(node: &'a Rc<Node>, held: HeldLease) -> Term<'a> {
        let granted_at = runtime::now();
        let leader_lease = Rc::new(RefCell::new(LeaderLease::new(
            held.valid_until,
            node.settings.leader_lease_ttl(),
            MAX_WATCH_WAIT,
            node.peers.all().len(),
        )));
        let term = Term {
            node,
            held,
            granted_at,
            leader_lease,
            lease_changed: Notify::default(),
            cancel: CancellationToken::new(),
        };
        let keep_alive = KeepAlive {
            node: node.clone(),
            lease: term.held.lease,
            leader_lease: term.leader_lease.clone(),
            lease_changed: term.lease_changed.clone(),
            cancel: term.cancel.clone(),
        };
        runtime::spawn_until(term.cancel.clone(), keep_alive.run());
        term
    }

    /// Rebuilds the scheduler from the records. Accepts no new connections meanwhile: no request can be served yet, and
    /// every agent reconnects once a second. Returns `None` if the records could not be read or the lease was lost.
    async fn fail_over(&self) -> Option<Scheduler> {
        let open_connections = &self.node.open_connections;
        open_connections.pause_accept_until(self.granted_at + failover::MAX_ACCEPT_PAUSE);
        let built = self
            .cancel
            .run(failover::build_scheduler(
                self.node,
                self.held.token,
                self.granted_at,
            ))
            .await;
        open_connections.pause_accept_until(Micros::ZERO);
        built.flatten()
    }

    /// Installs the scheduler in the node, which acts as leader from here on.
    fn establish(&self, mut scheduler: Scheduler) -> Rc<Leadership> {
        let now = runtime::now();
        info!(
            token = self.held.token.0,
            jobs = scheduler.jobs.len(),
            machines = scheduler.machines.len(),
            "scheduler state restored from records"
        );
        failover::apply_local_cancellations(self.node, &mut scheduler, now);
        // The records include all cancellations that were committed before the grant.
        self.leader_lease
            .borrow_mut()
            .changes_received(self.granted_at);
        let leadership = Rc::new(Leadership::new(
            self.node,
            scheduler,
            self.leader_lease.clone(),
            self.cancel.clone(),
            now,
        ));
        *self.node.leadership.borrow_mut() = Some(leadership.clone());
        leadership
    }

    /// Waits until the lease is lost or this node is isolated.
    async fn wait_for_end(&self, leadership: &Leadership) -> TermEnd {
        while !self.cancel.is_cancelled() {
            self.lease_changed
                .wait_until(runtime::now() + ISOLATION_CHECK_INTERVAL)
                .await;
            if is_isolated(leadership) {
                return TermEnd::SteppedDown;
            }
        }
        TermEnd::LeaseLost
    }

    /// Cancels the term's control loops, and releases the lease if this node steps down.
    async fn close(&self, end: TermEnd) {
        *self.node.leadership.borrow_mut() = None;
        self.cancel.cancel();
        let token = self.held.token.0;
        match end {
            TermEnd::LeaseLost => warn!(token, "leadership lost"),
            TermEnd::SteppedDown => {
                warn!(
                    token,
                    "stepping down: no heartbeats from agents reach this node"
                );
                let _ = self.node.store.critical().release(self.held.lease).await;
                *self.node.leader.borrow_mut() = None;
            }
        }
    }
}

/// Spawns the leader's control loops, which are first polled in this order.
fn spawn_control_loops(node: &Rc<Node>, leadership: &Rc<Leadership>) {
    spawn(node, leadership, watch::follow_job_records);
    spawn(node, leadership, watch::run_read_queries);
    spawn(node, leadership, server::confirm_reads);
    spawn(node, leadership, record_writer::run);
    spawn(node, leadership, refresh::poll_machine_list);
    spawn(node, leadership, staffed_hours::sync_override);
    spawn(node, leadership, actions::run);
    spawn(node, leadership, refresh::load_run_times);
    if node.policy.may_depend_on_metrics() {
        spawn(node, leadership, refresh::follow_live_settings);
    }
}

/// Spawns a control loop that is cancelled at the end of the term.
fn spawn<F>(
    node: &Rc<Node>,
    leadership: &Rc<Leadership>,
    control_loop: impl FnOnce(Rc<Node>, Rc<Leadership>) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    runtime::spawn_until(
        leadership.cancel.clone(),
        control_loop(node.clone(), leadership.clone()),
    );
}

/// Returns whether this node is isolated from the agents: machines are registered, but no heartbeats arrive. Another
/// node may still reach them.
fn is_isolated(leadership: &Leadership) -> bool {
    let scheduler = leadership.scheduler.borrow();
    let registered = scheduler
        .machines
        .values()
        .filter(|m| m.is_registered && !m.deleting)
        .count();
    leadership.heartbeat_monitor.borrow_mut().is_isolated(
        registered,
        leadership.lease_is_valid(),
        runtime::now(),
    )
}
