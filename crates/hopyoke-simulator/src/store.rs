//! The state service.

use super::World;
use super::digest::Channel;
use hopyoke_protocol::worker::Heartbeat;
use hopyoke_scheduler::{EndRecord, JobRecord, RegistryPage};
use hopyoke_types::Micros;
use std::collections::BTreeMap;

#[derive(Debug, Clone)]
pub enum Value {
    Job(JobRecord),
    End(EndRecord),
    Page(RegistryPage),
    Learned(hopyoke_run_times::Page),
    Holder(usize),
}

#[derive(Debug, Clone)]
pub struct Entry {
    pub value: Value,
    pub mod_revision: u64,
    pub lease: Option<u64>,
}

#[derive(Default)]
pub struct Store {
    pub keys: BTreeMap<String, Entry>,
    pub revision: u64,
    /// (revision, key, dropped)
    pub log: Vec<(u64, String, bool)>,
    pub leases: BTreeMap<u64, Micros>,
    next_lease: u64,
    pub outage_until: Micros,
    /// Nodes that alone are refused, and until when.
    pub refused: BTreeMap<usize, Micros>,
    /// So much longer takes what reaches the service, and until when.
    pub slow: (Micros, Micros),
    pub lost_answers: Spell,
    /// The same of renewals of leases.
    pub lost_renewals: Spell,
    pub late_writes: Spell,
}

pub enum Mutation {
    Put(String, Value, Option<u64>),
    Delete(String),
}

impl Store {
    /// Applies the changes if every condition holds; else says which did not.
    pub fn txn(
        &mut self,
        when: &[(String, u64)],
        apply: Vec<Mutation>,
    ) -> Result<u64, Vec<String>> {
        let mod_revision = |key: &String| self.keys.get(key).map_or(0, |e| e.mod_revision);
        let failed: Vec<String> = when
            .iter()
            .filter(|(k, m)| mod_revision(k) != *m)
            .map(|(k, _)| k.clone())
            .collect();
        if !failed.is_empty() {
            return Err(failed);
        }
        // A write on a lease that is over is refused.
        let lapsed = |c: &Mutation| matches!(c, Mutation::Put(_, _, Some(l)) if !self.leases.contains_key(l));
        if apply.iter().any(lapsed) {
            return Err(Vec::new());
        }
        self.revision += 1;
        let mod_revision = self.revision;
        for c in apply {
            match c {
                Mutation::Put(key, value, lease) => {
                    // What is written must fit: checked as the service would.
                    if let Value::Job(record) = &value {
                        let size = serde_json::to_vec(record).map_or(0, |v| v.len());
                        assert!(size <= 8192, "a record of {size} bytes was written");
                    }
                    if let Value::Page(page) = &value {
                        let size = serde_json::to_vec(page).map_or(0, |v| v.len());
                        assert!(size <= 8192, "a page of {size} bytes was written");
                    }
                    if let Value::Learned(page) = &value {
                        let size = serde_json::to_vec(page).map_or(0, |v| v.len());
                        assert!(
                            size <= 8192,
                            "a page of learned run times of {size} bytes was written"
                        );
                    }
                    self.log.push((mod_revision, key.clone(), false));
                    self.keys.insert(
                        key,
                        Entry {
                            value,
                            mod_revision,
                            lease,
                        },
                    );
                }
                Mutation::Delete(key) => {
                    if self.keys.remove(&key).is_some() {
                        self.log.push((mod_revision, key, true));
                    }
                }
            }
        }
        Ok(mod_revision)
    }

    /// What changed after a revision.
    pub fn since(&self, revision: u64) -> &[(u64, String, bool)] {
        &self.log[self.log.partition_point(|(r, ..)| *r <= revision)..]
    }

    pub fn grant(&mut self, until: Micros) -> u64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, until);
        self.next_lease
    }

    pub fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, e)| e.lease == Some(lease))
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            let _ = self.txn(&[], keys.into_iter().map(Mutation::Delete).collect());
        }
    }
}

/// What becomes of a transaction that the service does not refuse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Usual,
    /// It is carried out, and its answer is lost.
    AnswerLost,
    /// It gets no answer and is carried out so much later, after newer ones.
    Late(Micros),
}

/// For a while a share of the transactions, in percent, meets a fate.
#[derive(Debug, Clone, Copy, Default)]
pub struct Spell {
    pub percent: u64,
    pub until: Micros,
}

/// Reports that are kept, and reach every controller once a new leader begins.
#[derive(Debug, Default)]
pub struct ForNext {
    /// Copies of reports that arrive as usual.
    pub copied: Spell,
    /// Reports that arrive then only: their workers have given them up.
    pub held: Spell,
    /// How long after the beginning.
    pub after: Micros,
    pub kept: Vec<Heartbeat>,
}

impl World {
    /// Draws whether a spell is met.
    pub(crate) fn hits(&mut self, s: Spell) -> bool {
        self.now < s.until && self.random(0, 99) < s.percent
    }

    /// Draws what becomes of a transaction.
    fn fate(&mut self) -> Fate {
        if self.hits(self.store.lost_answers) {
            Fate::AnswerLost
        } else if self.hits(self.store.late_writes) {
            Fate::Late(Micros(self.random(2_000_000, 12_000_000)))
        } else {
            Fate::Usual
        }
    }

    /// A transaction that the service does not refuse; `None`: it has no answer.
    pub fn transact(
        &mut self,
        when: &[(String, u64)],
        apply: Vec<Mutation>,
    ) -> Option<Result<u64, Vec<String>>> {
        self.digest_transaction(when, &apply);
        match self.fate() {
            Fate::Usual => {
                let result = self.store.txn(when, apply);
                self.digest_message(Channel::TransactionResult, &result);
                Some(result)
            }
            Fate::AnswerLost => {
                let _ = self.store.txn(when, apply);
                None
            }
            Fate::Late(span) => {
                let when = when.to_vec();
                self.after(span, move |w| drop(w.store.txn(&when, apply)));
                None
            }
        }
    }

    /// The service refuses this node now, or everybody.
    pub fn state_refuses(&self, node: usize) -> bool {
        self.state_down()
            || self
                .store
                .refused
                .get(&node)
                .is_some_and(|until| self.now < *until)
    }

    pub fn state_down(&self) -> bool {
        self.now < self.store.outage_until
    }

    /// Ends leases that were not renewed; runs all the time.
    pub fn expire_leases(&mut self) {
        if !self.state_down() {
            let now = self.now;
            let over: Vec<u64> = self
                .store
                .leases
                .iter()
                .filter(|(_, t)| **t <= now)
                .map(|(id, _)| *id)
                .collect();
            for id in over {
                self.store.end_lease(id);
            }
        }
        self.after(Micros::from_millis(20), World::expire_leases);
    }

    /// After an outage every lease has its full time again.
    pub fn outage(&mut self, span: Micros) {
        let end = self.now + span;
        self.store.outage_until = end;
        self.at(end, |w| {
            let until = w.now + w.ttl;
            for t in w.store.leases.values_mut() {
                *t = until;
            }
        });
    }
}
