//! Admission control of this node: [`hopyoke_admission::AdmissionController`] with the node's clock and the names of
//! its teams.

use crate::node::Node;
use crate::peers::client::proto::QueuePosition;
use hopyoke_admission::{
    AdmissionController as Decisions, AdmissionStats, QueueGossip, RetryAfter, SharedLimit,
    TenantCounts,
};
use hopyoke_event_loop as runtime;
use hopyoke_protocol::user::JobSpec;
use hopyoke_types::{JobId, Micros};
use std::cell::RefCell;

/// Decides which submissions this node admits, and shares its queue and its rate with its peers.
pub(crate) struct AdmissionController {
    decisions: RefCell<Decisions>,
    teams: Vec<String>,
}

impl AdmissionController {
    /// `changes`: the changes a second that the key-value store accepts from all nodes, and the number of nodes.
    pub(crate) fn new(
        changes: SharedLimit,
        teams: &[hopyoke_scheduler::Team],
    ) -> AdmissionController {
        let guaranteed: Vec<bool> = teams.iter().map(|t| t.cpus > 0.0 || t.gpus > 0.0).collect();
        let decisions = Decisions::new(changes, &guaranteed, runtime::now());
        AdmissionController {
            decisions: RefCell::new(decisions),
            teams: teams.iter().map(|t| t.name.clone()).collect(),
        }
    }

    /// Teams that the settings do not name share the index past the last.
    fn team_index(&self, name: &str) -> usize {
        self.teams
            .iter()
            .position(|t| t == name)
            .unwrap_or(self.teams.len())
    }

    /// Admits a job, if there is room.
    ///
    /// # Errors
    /// There is no room: after how long the client may retry.
    pub(crate) fn admit(&self, node: &Node, spec: &JobSpec) -> Result<(), RetryAfter> {
        let (team, leads) = (self.team_index(&spec.team), node.leadership().is_some());
        self.decisions
            .borrow_mut()
            .admit(&spec.id, team, leads, runtime::now())
    }

    /// Rejects a job that was admitted and then found no room at the key-value store.
    pub(crate) fn reject(&self, node: &Node, id: &JobId, team: &str) -> RetryAfter {
        let (team, leads) = (self.team_index(team), node.leadership().is_some());
        self.decisions
            .borrow_mut()
            .reject(id, team, leads, runtime::now())
    }

    /// The leader announced the changes a second that its records need, in answer to a greeting sent at `sent_at`.
    pub(crate) fn write_demand_received(&self, write_demand: f64, sent_at: Micros) {
        self.decisions
            .borrow_mut()
            .write_demand_received(write_demand, sent_at);
    }

    /// The loan to ask a peer for, in changes a second.
    pub(crate) fn requested_loan(&self) -> f64 {
        self.decisions.borrow_mut().requested_loan(runtime::now())
    }

    /// Grants a peer that asks for `requested` changes a second a loan, and returns its rate.
    pub(crate) fn grant_loan(&self, peer: usize, requested: f64) -> f64 {
        self.decisions
            .borrow_mut()
            .grant_loan(peer, requested, runtime::now())
    }

    /// A peer granted a loan of `rate` changes a second, in answer to a greeting sent at `sent_at`.
    pub(crate) fn loan_received(&self, peer: usize, rate: f64, sent_at: Micros) {
        self.decisions
            .borrow_mut()
            .loan_received(peer, rate, sent_at);
    }

    /// Takes the queue positions to announce to a peer now.
    pub(crate) fn take_gossip(&self, peer: usize) -> Vec<QueuePosition> {
        let gossip = self
            .decisions
            .borrow_mut()
            .take_gossip(peer, runtime::now());
        let position = |g: QueueGossip| QueuePosition {
            job: g.job.to_string(),
            team: g.tenant as u32,
            due_us: g.due_in.map_or(0, |span| span.0.max(1)),
        };
        gossip.into_iter().map(position).collect()
    }

    /// A peer announced changes of its queue positions. Those whose job id is malformed are ignored.
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
        self.decisions
            .borrow_mut()
            .gossip_received(peer, &gossip, runtime::now());
    }

    /// Some jobs were rejected here and have not been retried.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.decisions.borrow_mut().is_overloaded(runtime::now())
    }

    /// This node, the leader, wrote so many changes.
    pub(crate) fn changes_written(&self, changes: usize) {
        self.decisions
            .borrow_mut()
            .changes_written(changes, runtime::now());
    }

    /// This node, the leader, has more to write than the rate allows.
    pub(crate) fn writes_deferred(&self) {
        self.decisions.borrow_mut().writes_deferred(runtime::now());
    }

    /// The changes a second that this node's records need while it leads.
    pub(crate) fn write_demand(&self) -> f64 {
        self.decisions.borrow_mut().write_demand(runtime::now())
    }

    /// Counters, queue and rate, for operators.
    pub(crate) fn stats(&self) -> AdmissionStats {
        self.decisions.borrow_mut().stats(runtime::now())
    }

    /// Counters by team's name, for operators; the last are those of all teams that the settings do not name.
    pub(crate) fn team_counts(&self) -> Vec<(String, TenantCounts)> {
        let names = self.teams.iter().cloned().chain(["others".to_owned()]);
        names.zip(self.decisions.borrow().team_counts()).collect()
    }
}
