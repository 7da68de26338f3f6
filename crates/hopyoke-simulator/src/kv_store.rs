//! The key-value store: transactions, leases and their faults.

use super::Simulation;
use super::digest::Channel;
use hopyoke_protocol::worker::Heartbeat;
use hopyoke_scheduler::{EndRecord, JobRecord, RegistryPage};
use hopyoke_types::Micros;
use std::collections::BTreeMap;

#[derive(Debug, Clone)]
pub(crate) enum Value {
    JobRecord(JobRecord),
    EndRecord(EndRecord),
    RegistryPage(RegistryPage),
    RunTimesPage(hopyoke_run_times::Page),
    LeaseHolder(usize),
}

#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) value: Value,
    pub(crate) mod_revision: u64,
    pub(crate) lease: Option<u64>,
}

#[derive(Default)]
pub(crate) struct KvStore {
    /// Entries by key.
    pub(crate) entries: BTreeMap<String, Entry>,
    /// Revision of the last transaction.
    pub(crate) revision: u64,
    /// (revision, key, dropped)
    pub(crate) log: Vec<(u64, String, bool)>,
    /// Leases and when they expire.
    pub(crate) leases: BTreeMap<u64, Micros>,
    next_lease: u64,
    /// Until then all requests are rejected.
    pub(crate) outage_until: Micros,
    /// Nodes that alone are refused, and until compares.
    pub(crate) rejected_nodes: BTreeMap<usize, Micros>,
    /// So much longer takes what reaches the service, and until compares.
    pub(crate) request_delay: (Micros, Micros),
    /// Share of the transactions that are applied, and whose responses are lost.
    pub(crate) lost_responses: FaultWindow,
    /// The same of renewals of leases.
    pub(crate) lost_renewals: FaultWindow,
    /// Share of the transactions that get no response and are applied late.
    pub(crate) delayed_writes: FaultWindow,
}

/// A change of a key.
pub(crate) enum Mutation {
    Put(String, Value, Option<u64>),
    Delete(String),
}

impl KvStore {
    /// Applies the changes if every condition holds; else says which did not.
    pub(crate) fn txn(
        &mut self,
        compares: &[(String, u64)],
        mutations: Vec<Mutation>,
    ) -> Result<u64, Vec<String>> {
        let mod_revision = |key: &String| self.entries.get(key).map_or(0, |e| e.mod_revision);
        let failed_keys: Vec<String> = compares
            .iter()
            .filter(|(k, m)| mod_revision(k) != *m)
            .map(|(k, _)| k.clone())
            .collect();
        if !failed_keys.is_empty() {
            return Err(failed_keys);
        }
        // A write on an expired lease is rejected.
        let on_expired_lease = |mutation: &Mutation| matches!(mutation, Mutation::Put(_, _, Some(l)) if !self.leases.contains_key(l));
        if mutations.iter().any(on_expired_lease) {
            return Err(Vec::new());
        }
        self.revision += 1;
        let mod_revision = self.revision;
        for mutation in mutations {
            match mutation {
                Mutation::Put(key, value, lease) => {
                    // What is written must fit: checked as the service would.
                    if let Value::JobRecord(record) = &value {
                        let size = serde_json::to_vec(record).map_or(0, |v| v.len());
                        assert!(size <= 8192, "a record of {size} bytes was written");
                    }
                    if let Value::RegistryPage(page) = &value {
                        let size = serde_json::to_vec(page).map_or(0, |v| v.len());
                        assert!(size <= 8192, "a page of {size} bytes was written");
                    }
                    if let Value::RunTimesPage(page) = &value {
                        let size = serde_json::to_vec(page).map_or(0, |v| v.len());
                        assert!(
                            size <= 8192,
                            "a page of learned run times of {size} bytes was written"
                        );
                    }
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

    /// What changed after a revision.
    pub(crate) fn since(&self, revision: u64) -> &[(u64, String, bool)] {
        &self.log[self.log.partition_point(|(r, ..)| *r <= revision)..]
    }

    /// Grants a lease.
    pub(crate) fn grant_lease(&mut self, until: Micros) -> u64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, until);
        self.next_lease
    }

    /// Revokes a lease, and deletes the keys on it.
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

/// What becomes of a transaction that the store does not reject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TransactionOutcome {
    Applied,
    /// It is applied, and its response is lost.
    ResponseLost,
    /// It gets no response and is applied so much later, after newer ones.
    Delayed(Micros),
}

/// A fault that strikes a share of messages or transactions for a while.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FaultWindow {
    /// The share, in percent.
    pub(crate) percent: u64,
    /// When the fault is over.
    pub(crate) until: Micros,
}

/// Heartbeats that are kept, and reach every node once a new leader begins.
#[derive(Debug, Default)]
pub(crate) struct HeartbeatsForNextLeader {
    /// Share of the heartbeats that arrive as usual and are kept as well.
    pub(crate) copied: FaultWindow,
    /// Share of the heartbeats that arrive then only: their agents have given them up.
    pub(crate) held: FaultWindow,
    /// How long after the beginning they arrive.
    pub(crate) after: Micros,
    /// The heartbeats.
    pub(crate) kept: Vec<Heartbeat>,
}

impl Simulation {
    /// Draws whether a fault strikes now.
    pub(crate) fn draws_fault(&mut self, window: FaultWindow) -> bool {
        self.now < window.until && self.random(0, 99) < window.percent
    }

    /// Draws what becomes of a transaction.
    fn draw_transaction_outcome(&mut self) -> TransactionOutcome {
        if self.draws_fault(self.kv_store.lost_responses) {
            TransactionOutcome::ResponseLost
        } else if self.draws_fault(self.kv_store.delayed_writes) {
            TransactionOutcome::Delayed(Micros(self.random(2_000_000, 12_000_000)))
        } else {
            TransactionOutcome::Applied
        }
    }

    /// A transaction that the store does not reject; `None`: it gets no response.
    pub(crate) fn transact(
        &mut self,
        compares: &[(String, u64)],
        mutations: Vec<Mutation>,
    ) -> Option<Result<u64, Vec<String>>> {
        self.digest_transaction(compares, &mutations);
        match self.draw_transaction_outcome() {
            TransactionOutcome::Applied => {
                let result = self.kv_store.txn(compares, mutations);
                self.digest_message(Channel::TransactionResult, &result);
                Some(result)
            }
            TransactionOutcome::ResponseLost => {
                let _ = self.kv_store.txn(compares, mutations);
                None
            }
            TransactionOutcome::Delayed(span) => {
                let compares = compares.to_vec();
                self.after(span, move |sim| {
                    drop(sim.kv_store.txn(&compares, mutations))
                });
                None
            }
        }
    }

    /// The store rejects this node now, or everybody.
    pub(crate) fn store_rejects(&self, node: usize) -> bool {
        self.store_is_down()
            || self
                .kv_store
                .rejected_nodes
                .get(&node)
                .is_some_and(|until| self.now < *until)
    }

    /// The store rejects everybody.
    pub(crate) fn store_is_down(&self) -> bool {
        self.now < self.kv_store.outage_until
    }

    /// Ends leases that were not renewed; runs all the time.
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

    /// After an outage every lease has its full time again.
    pub(crate) fn begin_outage(&mut self, span: Micros) {
        let end = self.now + span;
        self.kv_store.outage_until = end;
        self.at(end, |sim| {
            let until = sim.now + sim.lease_ttl;
            for t in sim.kv_store.leases.values_mut() {
                *t = until;
            }
        });
    }
}
