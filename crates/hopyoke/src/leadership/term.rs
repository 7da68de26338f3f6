//! One term of leadership: from the acquired leader lease until it is lost or the leader steps down.

use super::keep_alive::KeepAlive;
use super::{actions, failover, record_writer, refresh};
use crate::node::{Leadership, Node};
use crate::operations::staffed_hours;
use crate::peers::server;
use crate::store::watch::{self, WATCH_TIMEOUT};
use hopyoke_consistency::leader_lease::LeaderLease;
use hopyoke_event_loop::{self as runtime, CancellationToken, Notify};
use hopyoke_scheduler::Scheduler;
use hopyoke_types::{FencingToken, Micros};
use std::cell::RefCell;
use std::rc::Rc;
use tracing::{info, warn};

/// The longest interval between two checks whether this leader is isolated.
const ISOLATION_CHECK_INTERVAL: Micros = Micros::from_millis(200);

/// A leader lease as acquired.
pub(super) struct HeldLease {
    /// The lease's id in the key-value store.
    pub(super) lease: u64,
    /// Fences the commands and writes of this term.
    pub(super) token: FencingToken,
    /// Until when it is valid without a renewal, by this node's clock.
    pub(super) valid_until: Micros,
}

/// How a term ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TermEnd {
    /// The lease is gone, another node leads, or the records could not be read.
    LeaseLost,
    /// This node gave the lease up: it is isolated from the agents.
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
    spawn_routines(node, &leadership);
    let end = term.wait_for_end(&leadership).await;
    term.close(end).await;
    end
}

struct Term<'a> {
    node: &'a Rc<Node>,
    held: HeldLease,
    /// When the lease was granted: by then former leaders had stopped.
    granted_at: Micros,
    leader_lease: Rc<RefCell<LeaderLease>>,
    /// Notified when the lease was renewed or lost.
    lease_changed: Notify,
    /// Ends all routines of this term.
    cancel: CancellationToken,
}

impl<'a> Term<'a> {
    /// Starts the renewal of the lease.
    fn begin(node: &'a Rc<Node>, held: HeldLease) -> Term<'a> {
        let granted_at = runtime::now();
        let leader_lease = Rc::new(RefCell::new(LeaderLease::new(
            held.valid_until,
            node.settings.leader_ttl(),
            WATCH_TIMEOUT,
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

    /// Reads the records. Nobody is served before that, and every agent connects once a second: meanwhile no new
    /// connections are accepted.
    async fn fail_over(&self) -> Option<Scheduler> {
        let open_connections = &self.node.open_connections;
        open_connections.pause_accept_until(self.granted_at + failover::MAX_DURATION);
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

    /// Makes the scheduler the node's own: from here on it leads.
    fn establish(&self, mut scheduler: Scheduler) -> Rc<Leadership> {
        let now = runtime::now();
        info!(
            token = self.held.token.0,
            jobs = scheduler.jobs.len(),
            machines = scheduler.machines.len(),
            "records read"
        );
        failover::apply_own_cancellations(self.node, &mut scheduler, now);
        // The records include all cancellations before the grant.
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

    /// Ends this term's routines, and gives the lease up if this node steps down.
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

/// Starts what a leader does all the time. They take their first steps in this order.
fn spawn_routines(node: &Rc<Node>, leadership: &Rc<Leadership>) {
    spawn(node, leadership, watch::follow_changes);
    spawn(node, leadership, watch::query_for_reads);
    spawn(node, leadership, server::confirm_reads);
    spawn(node, leadership, record_writer::run);
    spawn(node, leadership, refresh::list_machines);
    spawn(node, leadership, staffed_hours::sync_override);
    spawn(node, leadership, actions::run);
    spawn(node, leadership, refresh::read_run_times);
    if node.policy.is_live() {
        spawn(node, leadership, refresh::follow_settings);
    }
}

/// Starts a routine that ends with the term.
fn spawn<F>(
    node: &Rc<Node>,
    leadership: &Rc<Leadership>,
    routine: impl FnOnce(Rc<Node>, Rc<Leadership>) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    runtime::spawn_until(
        leadership.cancel.clone(),
        routine(node.clone(), leadership.clone()),
    );
}

/// Machines are registered but no heartbeats arrive: this node is cut off from the agents, another may not be.
fn is_isolated(leadership: &Leadership) -> bool {
    let scheduler = leadership.scheduler.borrow();
    let registered = scheduler
        .machines
        .values()
        .filter(|m| m.is_registered && !m.deleting)
        .count();
    leadership.heartbeat_monitor.borrow_mut().is_cut_off(
        registered,
        leadership.lease_is_valid(),
        runtime::now(),
    )
}
