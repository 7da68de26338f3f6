//! Leader election: campaigns at the store, and resignation.

use super::OpenCampaign;
use crate::kv_store::{Mutation, Value};
use crate::{Host, Simulation};
use hopyoke_admission::RequestPriority;
use hopyoke_consistency::latency::{Purpose, RequestKind};
use hopyoke_types::Micros;

/// A campaign for the leader's key.
#[derive(Debug, Clone, Copy)]
struct Campaign {
    node: usize,
    process: u64,
    /// Whether the process has not led yet, so that it may take over the key of the node's former process.
    is_first: bool,
    /// Whether it may succeed another node.
    may_take_over: bool,
    sent: Micros,
}

impl Simulation {
    /// Reads the leader's key and campaigns if it is free. Repeats until the node leads.
    pub(super) fn campaign(&mut self, node: usize, process: u64, is_first: bool) {
        if !self.alive(node, process) || self.nodes[node].leadership.is_some() {
            return;
        }
        let sent = self.now;
        let state = &mut self.nodes[node];
        let may_take_over = sent >= state.takeover_not_before;
        if sent < state.campaign_not_before {
            let wait = state.campaign_not_before - sent;
            return self.timer(node, wait, move |sim| sim.campaign(node, process, is_first));
        }
        if self.is_taking_over(node) || self.waits_for_campaign(node) {
            let pause = Micros(self.random(200_000, 500_000));
            return self.timer(node, pause, move |sim| {
                sim.campaign(node, process, is_first)
            });
        }
        if let Err(wait) = self.acquire_request(node, RequestPriority::Critical) {
            return self.timer(node, wait, move |sim| sim.campaign(node, process, is_first));
        }
        let timeout = self.store_timeout(node, RequestKind::Lease, Purpose::Lease);
        let state = &mut self.nodes[node];
        state.pending_campaigns += 1;
        state.open_campaign = Some(OpenCampaign {
            sent,
            until: sent + timeout,
        });
        let campaign = Campaign {
            node,
            process,
            is_first,
            may_take_over,
            sent,
        };
        self.send(Host::Node(node), Host::KvStore, move |sim| {
            sim.campaign_at_store(campaign)
        });
        let pause = Micros(self.random(200_000, 500_000));
        self.timer(node, pause, move |sim| {
            sim.campaign(node, process, is_first)
        });
    }

    /// Returns whether the node holds a valid lease under which it reads the records.
    pub(super) fn is_taking_over(&self, node: usize) -> bool {
        let lease = self.nodes[node].acquired_lease;
        lease.is_some_and(|l| self.now < l.until)
    }

    /// Returns whether an earlier campaign still waits for its response, and times it out when due.
    fn waits_for_campaign(&mut self, node: usize) -> bool {
        let Some(open) = self.nodes[node].open_campaign else {
            return false;
        };
        if self.now < open.until {
            return true;
        }
        self.nodes[node].open_campaign = None;
        self.store_timed_out(node, RequestKind::Lease, open.sent);
        false
    }

    /// Records the response to the node's campaign.
    pub(super) fn campaign_answered(&mut self, node: usize) {
        if let Some(open) = self.nodes[node].open_campaign.take() {
            self.store_answered(node, RequestKind::Lease, open.sent);
        }
    }

    /// Reads the leader's key, grants a lease, and writes the key with a shard for each zone.
    fn campaign_at_store(&mut self, campaign: Campaign) {
        let Campaign { node, process, .. } = campaign;
        let completed = move |sim: &mut Simulation| sim.campaign_completed(node, process);
        let changes = 1 + self.config.zones.len();
        if self.store_rejects(node)
            || !self.store_accepts(0)
            || !self.store_accepts(0)
            || !self.store_accepts(changes)
        {
            return self.send(Host::KvStore, Host::Node(node), completed);
        }
        let holder = match self.kv_store.entries.get("leader") {
            Some(e) => match e.value {
                Value::LeaseHolder(h) => Some((h, e.mod_revision)),
                _ => None,
            },
            None => None,
        };
        let mod_revision = match holder {
            None if !campaign.may_take_over => {
                return self.send(Host::KvStore, Host::Node(node), completed);
            }
            None => 0,
            // The holder is a former process of the same node, so its lease need not expire first.
            Some((h, mod_revision)) if h == node && campaign.is_first => mod_revision,
            Some((h, _)) => {
                return self.send(Host::KvStore, Host::Node(node), move |sim| {
                    completed(sim);
                    sim.nodes[node].observed_leader = Some(h);
                });
            }
        };
        let until = self.now + self.lease_ttl;
        let lease = self.kv_store.grant_lease(until);
        let put = Mutation::Put("leader".into(), Value::LeaseHolder(node), Some(lease));
        match self.transact(&[("leader".into(), mod_revision)], vec![put]) {
            // A won campaign stays pending for the life of the process, which thus never grants lease support.
            Some(Ok(token)) => self.send(Host::KvStore, Host::Node(node), move |sim| {
                if sim.alive(node, process) {
                    sim.campaign_answered(node);
                }
                sim.lease_granted(node, process, lease, token, campaign.sent)
            }),
            Some(Err(_)) => self.send(Host::KvStore, Host::Node(node), completed),
            // The outcome is unknown: the lease is revoked before the node grants lease support or campaigns again.
            None => self.timer(node, Micros::from_millis(2_500), move |sim| {
                sim.revoke_lease(node, process, lease)
            }),
        }
    }

    /// Ends a campaign of the process that can no longer succeed.
    fn campaign_completed(&mut self, node: usize, process: u64) {
        if self.alive(node, process) {
            self.campaign_answered(node);
            let state = &mut self.nodes[node];
            state.pending_campaigns = state.pending_campaigns.saturating_sub(1);
        }
    }

    /// Revokes the lease of a campaign whose outcome is unknown.
    fn revoke_lease(&mut self, node: usize, process: u64, lease: u64) {
        if !self.alive(node, process) {
            return;
        }
        self.send(Host::Node(node), Host::KvStore, move |sim| {
            if sim.store_rejects(node) {
                return sim.after(Micros::from_millis(500), move |sim| {
                    sim.revoke_lease(node, process, lease)
                });
            }
            sim.kv_store.revoke_lease(lease);
            sim.send(Host::KvStore, Host::Node(node), move |sim| {
                sim.campaign_completed(node, process)
            });
        });
    }

    /// Resigns, as an isolated leader that no agent reaches does, and lets other nodes campaign first.
    pub(crate) fn step_down(&mut self, node: usize) {
        let now = self.now;
        let state = &mut self.nodes[node];
        let Some(leadership) = state.leadership.take() else {
            return;
        };
        let process = state.process;
        state.campaign_not_before = state.campaign_not_before.max(now + Micros::from_secs(12));
        state.pending_campaigns += 1;
        self.revoke_lease(node, process, leadership.lease);
        self.campaign(node, process, false);
    }
}
