//! Admission control of this node: binds [`hopyoke_admission::AdmissionController`] to the node's clock and to the names
//! of its teams.

use crate::node::Node;
use crate::peers::client::proto::QueuePosition;
use hopyoke_admission::{
    AdmissionController as Controller, AdmissionStats, QueueGossip, RetryAfter, SharedLimit,
    TenantCounts,
};
use hopyoke_event_loop as runtime;
use hopyoke_protocol::user::JobSpec;
use hopyoke_types::{JobId, Micros};
use std::cell::RefCell;

/// Decides which submissions this node admits, and shares queue positions and write rate with its peers.
pub(crate) struct AdmissionController {
    controller: RefCell<Controller>,
    /// Names of the configured teams; a team's index in the controller is its place here.
    teams: Vec<String>,
}

impl AdmissionController {
    /// Creates the controller. `changes` is the rate of changes per second that the key-value store accepts from all nodes
    /// together, with the number of nodes.
    pub(crate) fn new(
        changes: SharedLimit,
        teams: &[hopyoke_scheduler::Team],
    ) -> AdmissionController {
        let guaranteed: Vec<bool> = teams.iter().map(|t| t.cpus > 0.0 || t.gpus > 0.0).collect();
        let controller = Controller::new(changes, &guaranteed, runtime::now());
        AdmissionController {
            controller: RefCell::new(controller),
            teams: teams.iter().map(|t| t.name.clone()).collect(),
        }
    }

    /// Returns the index of a team. All teams that the settings do not name share the index past the last.
    fn team_index(&self, name: &str) -> usize {
        self.teams
            .iter()
            .position(|t| t == name)
            .unwrap_or(self.teams.len())
    }

    /// Admits a job if there is capacity for it.
    ///
    /// # Errors
    /// Returns after how long the client may retry if there is no capacity.
    pub(crate) fn admit(&self, node: &Node, spec: &JobSpec) -> Result<(), RetryAfter> {
        let (team, is_leader) = (self.team_index(&spec.team), node.leadership().is_some());
        self.controller
            .borrow_mut()
            .admit(&spec.id, team, is_leader, runtime::now())
    }

    /// Rejects a job that was admitted but then refused by the key-value store. Returns after how long the client may retry.
    pub(crate) fn reject(&self, node: &Node, id: &JobId, team: &str) -> RetryAfter {
        let (team, is_leader) = (self.team_index(team), node.leadership().is_some());
        self.controller
            .borrow_mut()
            .reject(id, team, is_leader, runtime::now())
    }

    /// Records the write rate that the leader needs for its records, in changes per second, as announced in the answer to a
    /// greeting sent at `sent_at`.
    pub(crate) fn write_demand_received(&self, write_demand: f64, sent_at: Micros) {
        self.controller
            .borrow_mut()
            .write_demand_received(write_demand, sent_at);
    }

    /// Returns the loan of write rate to request from a peer, in changes per second.
    pub(crate) fn requested_loan(&self) -> f64 {
        self.controller.borrow_mut().requested_loan(runtime::now())
    }

    /// Grants a loan of write rate to a peer that requests `requested` changes per second. Returns the rate granted.
    pub(crate) fn grant_loan(&self, peer: usize, requested: f64) -> f64 {
        self.controller
            .borrow_mut()
            .grant_loan(peer, requested, runtime::now())
    }

    /// Records a loan of `rate` changes per second that a peer granted in answer to a greeting sent at `sent_at`.
    pub(crate) fn loan_received(&self, peer: usize, rate: f64, sent_at: Micros) {
        self.controller
            .borrow_mut()
            .loan_received(peer, rate, sent_at);
    }

    /// Takes the changed queue positions to announce to a peer.
    pub(crate) fn take_gossip(&self, peer: usize) -> Vec<QueuePosition> {
        let gossip = self
            .controller
            .borrow_mut()
            .take_gossip(peer, runtime::now());
        let position = |g: QueueGossip| QueuePosition {
            job: g.job.to_string(),
            team: g.tenant as u32,
            due_us: g.due_in.map_or(0, |span| span.0.max(1)),
        };
        gossip.into_iter().map(position).collect()
    }

    /// Applies changes of queue positions that a peer announced. Those with a malformed job id are ignored.
    pub(crate) fn gossip_received(&self, peer: usize, positions: &[QueuePosition]) {
        let gossip = |p: &QueuePosition| {
            let due_in = (p.due_us > 0).then_some(Micros(p.due_us));
            Some(QueueGossip {
                job: JobId::parse(&p.job)?,
                tenant: p.team as usize,
                due_in,
            })
        };
        let gossip: Vec<QueueGossip> = positions.iter().filter_map(gossip).collect();
        self.controller
            .borrow_mut()
            .gossip_received(peer, &gossip, runtime::now());
    }

    /// Returns whether some jobs were rejected here and have not been retried since.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.controller.borrow_mut().is_overloaded(runtime::now())
    }

    /// Records that this node, as the leader, has written `changes` changes.
    pub(crate) fn changes_written(&self, changes: usize) {
        self.controller
            .borrow_mut()
            .changes_written(changes, runtime::now());
    }

    /// Records that this node, as the leader, has more to write than the rate allows.
    pub(crate) fn writes_deferred(&self) {
        self.controller.borrow_mut().writes_deferred(runtime::now());
    }

    /// Returns the write rate that this node's records need while it leads, in changes per second.
    pub(crate) fn write_demand(&self) -> f64 {
        self.controller.borrow_mut().write_demand(runtime::now())
    }

    /// Returns the counters, the estimated wait and the rate, for the status page.
    pub(crate) fn stats(&self) -> AdmissionStats {
        self.controller.borrow_mut().stats(runtime::now())
    }

    /// Returns the counters of each team, for the status page. The last entry counts all teams that the settings do not
    /// name.
    pub(crate) fn team_counts(&self) -> Vec<(String, TenantCounts)> {
        let names = self.teams.iter().cloned().chain(["others".to_owned()]);
        names.zip(self.controller.borrow().team_counts()).collect()
    }
}
