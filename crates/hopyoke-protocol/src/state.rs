//! The key-value store's API: reads, compare-and-swap transactions, leases and watches. Values are opaque here.

use hopyoke_types::ModRevision;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// A value as it stands in the store. One that cannot be read as `T` is kept as [`Stored::Unreadable`]:
/// it is logged, never fatal and never taken for a missing key.
#[derive(Debug, Clone, Deserialize)]
#[serde(untagged, bound = "T: DeserializeOwned")]
pub enum Stored<T> {
    /// The value, decoded.
    Value(T),
    /// Bytes that are no `T`.
    Unreadable(serde::de::IgnoredAny),
}

impl<T> Stored<T> {
    /// The value, or `None` if it could not be read.
    pub fn decoded(self) -> Option<T> {
        match self {
            Stored::Value(v) => Some(v),
            Stored::Unreadable(_) => None,
        }
    }
}

/// A key with its value.
#[derive(Debug, Deserialize)]
#[serde(bound = "T: DeserializeOwned")]
pub struct KeyValue<T> {
    /// The key; empty if the store left it out because the request named it.
    #[serde(default)]
    pub key: String,
    /// Its value.
    #[serde(rename = "v")]
    pub value: Stored<T>,
    /// Revision of the key's last change.
    #[serde(rename = "mark")]
    pub mod_revision: ModRevision,
}

/// One page of a range read, in key order.
#[derive(Debug, Deserialize)]
#[serde(bound = "T: DeserializeOwned")]
pub struct KeyValuePage<T> {
    /// The page's keys.
    pub pairs: Vec<KeyValue<T>>,
    /// Whether further pages follow.
    #[serde(default)]
    pub more: bool,
    /// Revision of the store at which the page was read.
    #[serde(rename = "tide")]
    pub revision: u64,
}

/// A transaction's condition: the key's modification revision is still this one.
#[derive(Debug, Clone, Serialize)]
pub struct Compare {
    /// The key to compare.
    pub key: String,
    /// Revision that the key must have; 0: the key must not exist.
    #[serde(rename = "mark")]
    pub mod_revision: ModRevision,
}

/// A transaction's change of one key.
#[derive(Debug, Clone, Serialize)]
#[serde(untagged, bound = "V: Serialize")]
pub enum Mutation<V> {
    /// Writes a key.
    Put {
        /// The key to write.
        #[serde(rename = "write")]
        key: String,
        /// Its new value.
        #[serde(rename = "v")]
        value: V,
        /// Lease with which the key expires; `None` detaches it from any lease.
        #[serde(rename = "tether", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key to delete.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// A compare-and-swap transaction: all mutations are applied if all compares hold, else none.
#[derive(Debug, Serialize)]
#[serde(bound = "V: Serialize")]
pub struct Transaction<V> {
    /// Conditions.
    #[serde(rename = "when")]
    pub compares: Vec<Compare>,
    /// Changes; empty for a transaction that only compares.
    #[serde(rename = "apply")]
    pub mutations: Vec<Mutation<V>>,
}

/// Answer to a transaction that was applied.
#[derive(Debug, Deserialize)]
pub struct TransactionResponse {
    /// Revision of the store after the transaction; every key that it wrote has it.
    #[serde(rename = "tide")]
    pub revision: u64,
}

/// Answer to a transaction whose compares did not all hold.
#[derive(Debug, Deserialize)]
pub struct CompareFailed {
    /// Keys whose compares failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A request for a lease.
#[derive(Debug, Serialize)]
pub struct LeaseGrantRequest {
    /// Time to live without renewal, in milliseconds, 100 to 600,000.
    pub ttl_ms: u64,
}

/// A granted lease.
#[derive(Debug, Deserialize)]
pub struct LeaseGrantResponse {
    /// Its number, by which keys are attached and the lease is renewed.
    #[serde(rename = "tether")]
    pub lease: u64,
}

/// Answer to a watch: all changes under a prefix after a revision, in the order of revisions.
#[derive(Debug, Deserialize)]
#[serde(bound = "T: DeserializeOwned")]
pub struct WatchResponse<T> {
    /// Revision up to which the answer is complete; the next watch continues from it.
    #[serde(rename = "tide")]
    pub revision: u64,
    /// The changes; empty if the wait ran out.
    #[serde(default)]
    pub events: Vec<WatchEvent<T>>,
}

/// One change: exactly one of `put` and `deleted` is set.
#[derive(Debug, Deserialize)]
#[serde(bound = "T: DeserializeOwned")]
pub struct WatchEvent<T> {
    /// The key that was written.
    #[serde(rename = "write", default)]
    pub put: Option<String>,
    /// The key that was deleted.
    #[serde(rename = "drop", default)]
    pub deleted: Option<String>,
    /// The value written.
    #[serde(rename = "v", default = "none")]
    pub value: Option<Stored<T>>,
    /// Revision of the change.
    #[serde(rename = "mark")]
    pub mod_revision: ModRevision,
}

// `serde(default)` alone would ask for `T: Default`.
fn none<T>() -> Option<T> {
    None
}
