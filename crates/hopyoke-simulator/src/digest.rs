//! A digest of a whole run: each message that is delivered, in its protocol's form, with its virtual time,
//! and each random draw. Two builds that decide alike have equal digests for a scenario and seed.

use super::Simulation;
use super::kv_store::{Mutation, Value};
use hopyoke_protocol::state::Compare;
use hopyoke_protocol::worker::{Command, HeartbeatResponse, PushedCommands};
use hopyoke_types::FencingToken;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

/// Which way a message goes.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Channel {
    /// An agent's heartbeat as a node receives it.
    Heartbeat = 1,
    /// The answer to a heartbeat as the agent receives it.
    HeartbeatResponse = 2,
    /// Commands pushed to an agent.
    PushedCommands = 3,
    /// A transaction that reaches the key-value store.
    Transaction = 4,
    /// The store's answer to a transaction.
    TransactionResult = 5,
    /// A request for machines.
    ScaleOut = 6,
    /// A deletion of machines.
    ScaleIn = 7,
    /// An answer that a user receives.
    UserAnswer = 8,
    /// A value drawn from the random number generator.
    Draw = 9,
    /// A step of the event queue.
    Step = 10,
}

/// The digest of what has happened so far.
#[derive(Default)]
pub(crate) struct Digest(Xxh3);

impl Digest {
    /// Adds bytes that were seen on a channel at a time in microseconds.
    pub(crate) fn add(&mut self, channel: Channel, at_us: u64, bytes: &[u8]) {
        self.0.update(&[channel as u8]);
        self.0.update(&at_us.to_le_bytes());
        self.0.update(&(bytes.len() as u64).to_le_bytes());
        self.0.update(bytes);
    }

    /// The digest's value.
    pub(crate) fn value(&self) -> u64 {
        self.0.digest()
    }
}

/// A value in the form in which it is stored.
fn encode_stored_value(value: &Value) -> Vec<u8> {
    match value {
        Value::JobRecord(record) => hopyoke_protocol::encode(record),
        Value::EndRecord(end) => hopyoke_protocol::encode(end),
        Value::RegistryPage(page) => hopyoke_protocol::encode(page),
        Value::RunTimesPage(page) => hopyoke_protocol::encode(page),
        Value::LeaseHolder(node) => hopyoke_protocol::encode(&(*node as u64)),
    }
}

impl Simulation {
    /// Adds a message in its protocol's form to the run's digest.
    pub(crate) fn digest_message(&mut self, channel: Channel, message: &impl Serialize) {
        let bytes = hopyoke_protocol::encode(message);
        self.digest_bytes(channel, &bytes);
    }

    /// Adds bytes to the run's digest.
    pub(crate) fn digest_bytes(&mut self, channel: Channel, bytes: &[u8]) {
        self.digest.add(channel, self.now.0, bytes);
    }

    /// Adds the answer to a heartbeat.
    pub(crate) fn digest_heartbeat_response(&mut self, token: FencingToken, commands: &[Command]) {
        let response = HeartbeatResponse {
            token,
            commands: commands.to_vec(),
        };
        self.digest_message(Channel::HeartbeatResponse, &response);
    }

    /// Adds commands that are pushed to an agent.
    pub(crate) fn digest_pushed_commands(
        &mut self,
        token: FencingToken,
        epoch: u64,
        commands: &[Command],
    ) {
        let pushed = PushedCommands {
            token,
            epoch,
            commands: commands.to_vec(),
        };
        self.digest_message(Channel::PushedCommands, &pushed);
    }

    /// Adds a transaction as the store receives it.
    pub(crate) fn digest_transaction(
        &mut self,
        compares: &[(String, u64)],
        mutations: &[Mutation],
    ) {
        for (key, mod_revision) in compares {
            let compare = Compare {
                key: key.clone(),
                mod_revision: hopyoke_types::ModRevision(*mod_revision),
            };
            self.digest_message(Channel::Transaction, &compare);
        }
        for mutation in mutations {
            match mutation {
                Mutation::Put(key, value, lease) => {
                    self.digest_bytes(Channel::Transaction, key.as_bytes());
                    self.digest_bytes(Channel::Transaction, &encode_stored_value(value));
                    self.digest_message(Channel::Transaction, lease);
                }
                Mutation::Delete(key) => self.digest_bytes(Channel::Transaction, key.as_bytes()),
            }
        }
    }
}
