//! Simulated key-value store with transactions, leases and their faults.

use super::Simulation;
use super::digest::Channel;
use super::size_limits::exceeded_limit;
use hopyoke_protocol::worker::Heartbeat;
use hopyoke_scheduler::{EndRecord, JobRecord, RegistryPage};
use hopyoke_types::{FencingToken, Micros};
use std::collections::BTreeMap;

/// A stored value.
#[derive(Debug, Clone)]
pub(crate) enum Value {
    JobRecord(JobRecord),
    EndRecord(EndRecord),
    RegistryPage(RegistryPage),
    RunTimesPage(hopyoke_run_times::Page),
    Term(FencingToken),
    LeaseHolder(usize),
}

/// A value with its revision and the lease that it is attached to.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) value: Value,
    pub(crate) mod_revision: u64,
    pub(crate) lease: Option<u64>,
}

/// Contents and faults of the key-value store.
#[derive(Default)]
pub(crate) struct KvStore {
    /// Entries by key.
    pub(crate) entries: BTreeMap<String, Entry>,
    /// Revision of the last transaction.
    pub(crate) revision: u64,
    /// Changes as (revision, key, whether the key was deleted), oldest first.
    pub(crate) log: Vec<(u64, String, bool)>,
    /// Expiry times by lease.
    pub(crate) leases: BTreeMap<u64, Micros>,
    last_lease: u64,
    /// End of the outage during which all requests are rejected.
    pub(crate) outage_until: Micros,
    /// Nodes whose requests are rejected, and until when.
    pub(crate) rejected_nodes: BTreeMap<usize, Micros>,
    /// Additional delay of messages to the store, and until when.
    pub(crate) request_delay: (Micros, Micros),
    /// Share of the transactions that are applied but whose responses are lost.
    pub(crate) lost_responses: FaultWindow,
    /// Share of the lease renewals that are applied but whose responses are lost.
    pub(crate) lost_renewals: FaultWindow,
    /// Share of the transactions that get no response and are applied after a delay.
    pub(crate) delayed_writes: FaultWindow,
    /// Prefixes of keys whose puts the store rejects as invalid, and until when.
    pub(crate) invalid_prefixes: BTreeMap<String, Micros>,
}

/// Why a transaction was not applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TransactionError {
    /// 409: the comparisons of these keys failed.
    CompareFailed(Vec<String>),
    /// 400: a put uses an expired lease.
    LeaseExpired,
    /// 400: the transaction is invalid, whatever the store contains.
    Invalid,
}

/// A write within a transaction. A put may attach the key to a lease.
pub(crate) enum Mutation {
    Put(String, Value, Option<u64>),
    Delete(String),
}

impl KvStore {
    /// Applies the mutations if each key has the expected revision (0: no such key), and returns the new revision.
    ///
    /// # Errors
    ///
    /// Returns why nothing was applied.
    fn txn(
        &mut self,
        compares: &[(String, u64)],
        mutations: Vec<Mutation>,
    ) -> Result<u64, TransactionError> {
        let mod_revision = |key: &String| self.entries.get(key).map_or(0, |e| e.mod_revision);
        let failed_keys: Vec<String> = compares
            .iter()
            .filter(|(k, m)| mod_revision(k) != *m)
            .map(|(k, _)| k.clone())
            .collect();
        if !failed_keys.is_empty() {
            return Err(TransactionError::CompareFailed(failed_keys));
        }

        let on_expired_lease = |m: &Mutation| matches!(m, Mutation::Put(_, _, Some(l)) if !self.leases.contains_key(l));
        if mutations.iter().any(on_expired_lease) {
            return Err(TransactionError::LeaseExpired);
        }
        self.revision += 1;
        let mod_revision = self.revision;
        for mutation in mutations {
            match mutation {
                Mutation::Put(key, value, lease) => {
                    self.log.push((mod_revision, key.clone(), false));
                    self.entries.insert(
                        key,
                        Entry {
                            value,
                            mod_revision,
                            lease,
                        },
                    );
                }
                Mutation::Delete(key) => {
                    if self.entries.remove(&key).is_some() {
                        self.log.push((mod_revision, key, true));
                    }
                }
            }
        }
        Ok(mod_revision)
    }

    /// Returns the changes after a revision.
    pub(crate) fn since(&self, revision: u64) -> &[(u64, String, bool)] {
        &self.log[self.log.partition_point(|(r, ..)| *r <= revision)..]
    }

    /// Grants a lease that expires at `until`.
    pub(crate) fn grant_lease(&mut self, until: Micros) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, until);
        self.last_lease
    }

    /// Revokes a lease and deletes the keys that are attached to it.
    pub(crate) fn revoke_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, e)| e.lease == Some(lease))
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            let _ = self.txn(&[], keys.into_iter().map(Mutation::Delete).collect());
        }
    }
}

/// Outcome of a transaction that the store does not reject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TransactionOutcome {
    /// Evaluated immediately, and its result is returned.
    Applied,
    /// Evaluated immediately, but the response is lost.
    ResponseLost,
    /// Evaluated after this delay, possibly after newer transactions, without a response.
    Delayed(Micros),
}

/// Fault that affects a share of messages or transactions until a given time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FaultWindow {
    /// Share in percent.
    pub(crate) percent: u64,
    /// End of the fault.
    pub(crate) until: Micros,
}

/// Heartbeats that are held back and delivered to every node once a new leader has started.
#[derive(Debug, Default)]
pub(crate) struct HeartbeatsForNextLeader {
    /// Share of the heartbeats that are delivered normally and once more to the new leader.
    pub(crate) copied: FaultWindow,
    /// Share of the heartbeats that are delivered only then, after they have timed out at their agents.
    pub(crate) held: FaultWindow,
    /// Delay of the delivery after the leader's start.
    pub(crate) after: Micros,
    /// Heartbeats held back so far.
    pub(crate) kept: Vec<Heartbeat>,
}

impl Simulation {
    /// Draws whether a fault occurs now.
    pub(crate) fn draws_fault(&mut self, window: FaultWindow) -> bool {
        self.now < window.until && self.random(0, 99) < window.percent
    }

    /// Draws the outcome of a transaction.
    fn draw_transaction_outcome(&mut self) -> TransactionOutcome {
        if self.draws_fault(self.kv_store.lost_responses) {
            TransactionOutcome::ResponseLost
        } else if self.draws_fault(self.kv_store.delayed_writes) {
            TransactionOutcome::Delayed(Micros(self.random(2_000_000, 12_000_000)))
        } else {
            TransactionOutcome::Applied
        }
    }

    /// Executes a transaction that the store does not reject. Returns `None` if it gets no response.
    pub(crate) fn transact(
        &mut self,
        compares: &[(String, u64)],
        mutations: Vec<Mutation>,
    ) -> Option<Result<u64, TransactionError>> {
        self.digest_transaction(compares, &mutations);
        match self.draw_transaction_outcome() {
            TransactionOutcome::Applied => {
                let result = self.execute(compares, mutations);
                let failed_keys = |error: &TransactionError| match error {
                    TransactionError::CompareFailed(keys) => keys.clone(),
                    TransactionError::LeaseExpired | TransactionError::Invalid => Vec::new(),
                };
                let digested = result.as_ref().map_err(failed_keys);
                self.digest_message(Channel::TransactionResult, &digested);
                Some(result)
            }
            TransactionOutcome::ResponseLost => {
                let _ = self.execute(compares, mutations);
                None
            }
            TransactionOutcome::Delayed(delay) => {
                let compares = compares.to_vec();
                self.after(delay, move |sim| drop(sim.execute(&compares, mutations)));
                None
            }
        }
    }

    /// Executes a transaction, unless it is invalid. A transaction that exceeds a size limit violates an invariant: no
    /// node may send one.
    fn execute(
        &mut self,
        compares: &[(String, u64)],
        mutations: Vec<Mutation>,
    ) -> Result<u64, TransactionError> {
        if let Some(limit) = exceeded_limit(compares, &mutations) {
            self.record_violation("store_limits", limit);
            return Err(TransactionError::Invalid);
        }
        let now = self.now;
        let mut invalid_prefixes = self
            .kv_store
            .invalid_prefixes
            .iter()
            .filter(|(_, until)| now < **until);
        let is_put_under = |prefix: &str| {
            mutations
                .iter()
                .any(|m| matches!(m, Mutation::Put(key, ..) if key.starts_with(prefix)))
        };
        if invalid_prefixes.any(|(prefix, _)| is_put_under(prefix)) {
            return Err(TransactionError::Invalid);
        }
        self.kv_store.txn(compares, mutations)
    }

    /// Returns whether the store now rejects requests of this node.
    pub(crate) fn store_rejects(&self, node: usize) -> bool {
        self.store_is_down()
            || self
                .kv_store
                .rejected_nodes
                .get(&node)
                .is_some_and(|until| self.now < *until)
    }

    /// Returns whether the store now rejects all requests.
    pub(crate) fn store_is_down(&self) -> bool {
        self.now < self.kv_store.outage_until
    }

    /// Revokes expired leases and reschedules itself. During an outage no lease expires.
    pub fn expire_leases(&mut self) {
        if !self.store_is_down() {
            let now = self.now;
            let expired: Vec<u64> = self
                .kv_store
                .leases
                .iter()
                .filter(|(_, t)| **t <= now)
                .map(|(id, _)| *id)
                .collect();
            for id in expired {
                self.kv_store.revoke_lease(id);
            }
        }
        self.after(Micros::from_millis(20), Simulation::expire_leases);
    }

    /// Starts an outage. When it ends, every lease is extended to its full term.
    pub(crate) fn begin_outage(&mut self, duration: Micros) {
        let end = self.now + duration;
        self.kv_store.outage_until = end;
        self.at(end, |sim| {
            let until = sim.now + sim.lease_ttl;
            for t in sim.kv_store.leases.values_mut() {
                *t = until;
            }
        });
    }
}
