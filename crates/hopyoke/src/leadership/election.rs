//! Leader election through a leased key in the key-value store.
//!
//! The leader key names the leader and is attached to its lease. Every node watches the key. While the key is absent,
//! nodes campaign: each tries to write its name with a compare-and-swap on the key's revision. The revision of the
//! successful write is the leader's fencing token.

use super::backoff::jitter;
use super::candidacy::Candidacy;
use super::term::{self, HeldLease, TermEnd};
use crate::node::Node;
use crate::store::client::TransactionOutcome;
use crate::store::error::StoreError;
use crate::store::keys::{LEADER_KEY, shard_key};
use hopyoke_event_loop as runtime;
use hopyoke_protocol::state::{Compare, Mutation};
use hopyoke_types::{FencingToken, Micros, ModRevision};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use tracing::{debug, info, warn};

/// How long a leader that stepped down because of isolation waits before it campaigns again.
const STEP_DOWN_BACKOFF: Micros = Micros::from_secs(12);

/// Delay before a campaign is repeated that got no lease, or whose write was rejected.
const CAMPAIGN_RETRY_INTERVAL: Micros = Micros::from_millis(300);

/// Value of the leader key and of every shard key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LeaseHolder {
    node: String,
}

/// Leader key as last read.
struct ObservedLeader {
    /// `None` if the key is absent or its value cannot be decoded.
    holder: Option<LeaseHolder>,
    /// Zero if the key is absent.
    mod_revision: ModRevision,
}

impl ObservedLeader {
    fn is_absent(&self) -> bool {
        self.mod_revision == ModRevision(0)
    }
}

/// Outcome of an attempt to acquire the leader lease.
enum Acquisition {
    Acquired(HeldLease),
    /// The leader key had changed: another node acquired it first.
    LostRace,
    /// The lease was not granted, or the write was rejected.
    Failed(StoreError),
    /// No response was received: the write may still be executed until this lease has expired.
    OutcomeUnknown {
        lease: u64,
    },
}

/// Watches the leader key and campaigns whenever there is no leader. Runs until the node shuts down.
pub(crate) async fn run(node: Rc<Node>) {
    let mut candidate = Candidate {
        identity: LeaseHolder {
            node: node.settings.node.clone(),
        },
        campaign_not_before: Micros::ZERO,
        is_first_campaign: true,
        node,
    };
    loop {
        candidate.observe_and_campaign().await;
    }
}

/// Election state of this node.
struct Candidate {
    node: Rc<Node>,
    identity: LeaseHolder,
    /// Earliest time of the next campaign: a node that was isolated from the agents lets its peers campaign first.
    campaign_not_before: Micros,
    /// Set until this process has campaigned or seen a leader; its first campaign is not delayed by jitter.
    is_first_campaign: bool,
}

impl Candidate {
    async fn observe_and_campaign(&mut self) {
        let Some(observed) = self.observe_leader().await else {
            runtime::sleep(Micros::from_millis(300) + jitter(Micros::from_millis(300))).await;
            return;
        };
        // A lease held by a previous process of this node need not expire first: that process has ended, and its
        // requests that are still in flight carry an older fencing token, which the new one supersedes.
        let is_own_former_lease = observed.holder.as_ref() == Some(&self.identity);
        let may_campaign = observed.is_absent() || is_own_former_lease;
        if may_campaign && runtime::now() >= self.campaign_not_before {
            self.campaign(observed.mod_revision, is_own_former_lease)
                .await;
            return;
        }
        self.is_first_campaign = false;
        self.node.set_candidacy(match &observed.holder {
            Some(holder) => Candidacy::Following(holder.node.clone()),
            None => Candidacy::Deferring {
                until: self.campaign_not_before,
            },
        });
        self.wait_for_change(&observed).await;
    }

    /// Reads the leader key. Returns `None` if the read failed.
    async fn observe_leader(&self) -> Option<ObservedLeader> {
        let sent_at = runtime::now();
        let found = self
            .node
            .store
            .critical()
            .get::<LeaseHolder>(LEADER_KEY)
            .await
            .inspect_err(|e| {
                debug!(error = %e, "failed to read leader key");
                self.node.set_candidacy(Candidacy::LeaderUnknown(e.clone()));
            })
            .ok()?;
        let observed = match found {
            Some((value, mod_revision)) => ObservedLeader {
                holder: value.decoded(),
                mod_revision,
            },
            None => {
                // Without a leader, no part of the write rate has to be reserved for its records.
                self.node.admission.write_demand_received(0.0, sent_at);
                ObservedLeader {
                    holder: None,
                    mod_revision: ModRevision(0),
                }
            }
        };
        *self.node.leader.borrow_mut() = observed.holder.as_ref().map(|h| h.node.clone());
        Some(observed)
    }

    /// Waits until the leader key changes or the watch times out.
    async fn wait_for_change(&self, observed: &ObservedLeader) {
        let timeout = if observed.is_absent() {
            Micros::from_secs(1)
        } else {
            Micros::from_secs(10)
        };
        let watched = self
            .node
            .store
            .critical()
            .watch::<LeaseHolder>(LEADER_KEY, observed.mod_revision.0.max(1), timeout)
            .await;
        if watched.is_err() {
            runtime::sleep(Micros::from_millis(200) + jitter(Micros::from_millis(300))).await;
        }
    }

    /// Tries to acquire the leader lease, and leads while the lease is held.
    async fn campaign(&mut self, observed: ModRevision, is_own_former_lease: bool) {
        if !is_own_former_lease && !self.is_first_campaign {
            runtime::sleep(jitter(Micros::from_millis(150))).await;
        }
        let lease_support = &self.node.lease_support;
        // There must be no await between this check and `begin_campaign`, from which on no support is granted to
        // peers: otherwise support could be granted in between.
        let supports_peer_until = lease_support.campaign_not_before(is_own_former_lease);
        if runtime::now() < supports_peer_until {
            self.node.set_candidacy(Candidacy::Deferring {
                until: supports_peer_until,
            });
            runtime::sleep_until(supports_peer_until).await;
            return;
        }
        self.is_first_campaign = false;
        lease_support.begin_campaign();
        self.node.set_candidacy(Candidacy::Campaigning);
        match acquire(&self.node, &self.identity, observed).await {
            Acquisition::Acquired(held) => {
                self.node.set_candidacy(Candidacy::Leading);
                if term::lead(&self.node, held).await == TermEnd::SteppedDown {
                    self.campaign_not_before = runtime::now() + STEP_DOWN_BACKOFF;
                }
            }
            Acquisition::LostRace => self.node.set_candidacy(Candidacy::LostElection),
            Acquisition::Failed(e) => self.node.set_candidacy(Candidacy::CampaignFailed(e)),
            Acquisition::OutcomeUnknown { lease } => {
                // The write may still be executed, so no support may be granted until the lease is known to be
                // released.
                self.node.set_candidacy(Candidacy::OutcomeUnknown);
                while self.node.store.critical().release(lease).await.is_err() {
                    runtime::sleep(Micros::from_millis(500)).await;
                }
            }
        }
        self.node.lease_support.end_campaign();
    }
}

/// Tries to write this node's name to the leader key and to all shard keys under a new lease. The revision of that
/// write is the fencing token.
async fn acquire(node: &Rc<Node>, identity: &LeaseHolder, observed: ModRevision) -> Acquisition {
    let ttl = node.settings.leader_lease_ttl();
    let sent_at = runtime::now();
    let lease = match node.store.critical().grant(ttl).await {
        Ok(lease) => lease,
        Err(e) => {
            debug!(error = %e, "failed to obtain leader lease");
            runtime::sleep(CAMPAIGN_RETRY_INTERVAL).await;
            return Acquisition::Failed(e);
        }
    };
    let valid_until = sent_at + ttl.less_drift();
    let mutations = leader_mutations(node, identity, lease);
    let outcome = loop {
        let compares = vec![Compare {
            key: LEADER_KEY.to_owned(),
            mod_revision: observed,
        }];
        // A response after the lease's expiry would be useless.
        let client = node.store.critical().with_deadline(valid_until);
        match client.txn(compares, mutations.clone()).await {
            // The transaction was not executed: retry with the same lease while at least half of its TTL is left.
            Err(e) if e.may_pass() && runtime::now() < valid_until - Micros(ttl.0 / 2) => {
                debug!(error = %e, "failed to write leader key, retrying");
                runtime::sleep(Micros::from_millis(100) + jitter(Micros::from_millis(150))).await;
            }
            outcome => break outcome,
        }
    };
    match outcome {
        Ok(TransactionOutcome::Applied(revision)) => {
            info!(token = revision.0, zones = ?node.config.zones, "leadership acquired");
            Acquisition::Acquired(HeldLease {
                lease,
                token: FencingToken(revision.0),
                valid_until,
            })
        }
        Err(e) if !e.is_refusal() => {
            debug!(error = %e, "outcome of leader key write unknown");
            Acquisition::OutcomeUnknown { lease }
        }
        Ok(TransactionOutcome::Failed(_)) => {
            let _ = node.store.critical().release(lease).await;
            Acquisition::LostRace
        }
        Err(e) => {
            let _ = node.store.critical().release(lease).await;
            if matches!(e, StoreError::Invalid(_)) {
                // The lease has expired early, or the keys don't suit the store.
                warn!(error = %e, "key-value store rejects the write of the leader key");
                runtime::sleep(CAMPAIGN_RETRY_INTERVAL).await;
            }
            Acquisition::Failed(e)
        }
    }
}

fn leader_mutations(node: &Node, identity: &LeaseHolder, lease: u64) -> Vec<Mutation<LeaseHolder>> {
    let shard_keys = node.config.zones.iter().map(|zone| shard_key(zone));
    std::iter::once(LEADER_KEY.to_owned())
        .chain(shard_keys)
        .map(|key| Mutation::Put {
            key,
            value: identity.clone(),
            lease: Some(lease),
        })
        .collect()
}
