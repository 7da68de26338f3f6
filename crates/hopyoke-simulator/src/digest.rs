//! Digest of a simulation run: a hash of each delivered message in its encoded form, with its virtual time, and of each
//! random draw. Builds that make the same decisions have equal digests for the same scenario and seed.

use super::Simulation;
use super::kv_store::{Mutation, Value};
use hopyoke_protocol::state::Compare;
use hopyoke_protocol::worker::{Command, HeartbeatResponse, PushedCommands};
use hopyoke_types::FencingToken;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

/// Kind of an item in the digest. The numbers are part of the digest.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Channel {
    /// A heartbeat as received by a node.
    Heartbeat = 1,
    /// A response to a heartbeat as received by the agent.
    HeartbeatResponse = 2,
    /// Commands pushed to an agent.
    PushedCommands = 3,
    /// A transaction as received by the key-value store.
    Transaction = 4,
    /// The result of a transaction.
    TransactionResult = 5,
    /// A request to create machines.
    ScaleOut = 6,
    /// A request to delete machines.
    ScaleIn = 7,
    /// A response as received by a user.
    UserResponse = 8,
    /// A value drawn from the random number generator.
    Draw = 9,
    /// An event removed from the event queue.
    Step = 10,
}

/// Incremental hash of a run.
#[derive(Default)]
pub(crate) struct Digest(Xxh3);

impl Digest {
    /// Adds bytes observed on a channel at `at_us` microseconds of virtual time.
    pub(crate) fn add(&mut self, channel: Channel, at_us: u64, bytes: &[u8]) {
        self.0.update(&[channel as u8]);
        self.0.update(&at_us.to_le_bytes());
        self.0.update(&(bytes.len() as u64).to_le_bytes());
        self.0.update(bytes);
    }

    /// Returns the digest of everything added so far.
    pub(crate) fn value(&self) -> u64 {
        self.0.digest()
    }
}

/// Encodes a value as it is stored in the key-value store.
fn encode_stored_value(value: &Value) -> Vec<u8> {
    match value {
        Value::JobRecord(record) => hopyoke_protocol::encode(record),
        Value::EndRecord(end) => hopyoke_protocol::encode(end),
        Value::RegistryPage(page) => hopyoke_protocol::encode(page),
        Value::RunTimesPage(page) => hopyoke_protocol::encode(page),
        Value::Term(token) => hopyoke_protocol::encode(token),
        Value::LeaseHolder(node) => hopyoke_protocol::encode(&(*node as u64)),
    }
}

impl Simulation {
    /// Adds a message in its encoded form to the digest.
    pub(crate) fn digest_message(&mut self, channel: Channel, message: &impl Serialize) {
        let bytes = hopyoke_protocol::encode(message);
        self.digest_bytes(channel, &bytes);
    }

    /// Adds bytes to the digest, with the current virtual time.
    pub(crate) fn digest_bytes(&mut self, channel: Channel, bytes: &[u8]) {
        self.digest.add(channel, self.now.0, bytes);
    }

    /// Adds a response to a heartbeat.
    pub(crate) fn digest_heartbeat_response(&mut self, token: FencingToken, commands: &[Command]) {
        let response = HeartbeatResponse {
            token,
            commands: commands.to_vec(),
        };
        self.digest_message(Channel::HeartbeatResponse, &response);
    }

    /// Adds commands that were pushed to an agent.
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

    /// Adds a transaction as received by the key-value store.
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
