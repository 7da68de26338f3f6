//! Messages of the key-value store's API: reads, compare-and-swap transactions, leases and watches. The types are
//! generic over the values.

use hopyoke_types::ModRevision;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Value read from the store. A value that does not decode as `T` becomes [`Stored::Unreadable`], so that it neither
/// fails the whole response nor passes for a missing key.
#[derive(Debug, Clone, Deserialize)]
#[serde(untagged, bound = "T: DeserializeOwned")]
pub enum Stored<T> {
    /// Decoded value.
    Value(T),
    /// Value that does not decode as `T`.
    Unreadable(serde::de::IgnoredAny),
}

impl<T> Stored<T> {
    /// Returns the decoded value, or `None` if it is unreadable.
    pub fn decoded(self) -> Option<T> {
        match self {
            Stored::Value(v) => Some(v),
            Stored::Unreadable(_) => None,
        }
    }
}

/// Key with its value.
#[derive(Debug, Deserialize)]
#[serde(bound = "T: DeserializeOwned")]
pub struct KeyValue<T> {
    /// Key. Empty if the store omits it, as it does when the request names a single key.
    #[serde(default)]
    pub key: String,
    /// Value of the key.
    #[serde(rename = "v")]
    pub value: Stored<T>,
    /// Revision at which the key was last modified.
    #[serde(rename = "mark")]
    pub mod_revision: ModRevision,
}

/// One page of a range read, in key order.
#[derive(Debug, Deserialize)]
#[serde(bound = "T: DeserializeOwned")]
pub struct KeyValuePage<T> {
    /// Keys of this page with their values.
    pub pairs: Vec<KeyValue<T>>,
    /// Whether further pages follow.
    #[serde(default)]
    pub more: bool,
    /// Store revision at which the page was read.
    #[serde(rename = "tide")]
    pub revision: u64,
}

/// Condition of a transaction: the key has this modification revision.
#[derive(Debug, Clone, Serialize)]
pub struct Compare {
    /// Key to compare.
    pub key: String,
    /// Modification revision that the key must have; 0 if the key must not exist.
    #[serde(rename = "mark")]
    pub mod_revision: ModRevision,
}

/// Change of one key in a transaction.
#[derive(Debug, Clone, Serialize)]
#[serde(untagged, bound = "V: Serialize")]
pub enum Mutation<V> {
    /// Writes a key.
    Put {
        /// Key to write.
        #[serde(rename = "write")]
        key: String,
        /// New value of the key.
        #[serde(rename = "v")]
        value: V,
        /// Lease that the key is attached to. `None` detaches the key from any lease.
        #[serde(rename = "tether", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// Key to delete.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// Compare-and-swap transaction: all mutations are applied if all compares succeed, else none is.
#[derive(Debug, Serialize)]
#[serde(bound = "V: Serialize")]
pub struct Transaction<V> {
    /// Conditions that must all hold.
    #[serde(rename = "when")]
    pub compares: Vec<Compare>,
    /// Changes to apply. Empty for a transaction that only compares.
    #[serde(rename = "apply")]
    pub mutations: Vec<Mutation<V>>,
}

/// Response to a transaction that was applied.
#[derive(Debug, Deserialize)]
pub struct TransactionResponse {
    /// Store revision after the transaction. It is the modification revision of every key that the transaction wrote.
    #[serde(rename = "tide")]
    pub revision: u64,
}

/// Response to a transaction of which at least one compare failed.
#[derive(Debug, Deserialize)]
pub struct CompareFailed {
    /// Keys whose compares failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Request for a lease.
#[derive(Debug, Serialize)]
pub struct LeaseGrantRequest {
    /// Time to live without renewal, in milliseconds: 100 to 600,000.
    pub ttl_ms: u64,
}

/// Response to a [`LeaseGrantRequest`].
#[derive(Debug, Deserialize)]
pub struct LeaseGrantResponse {
    /// ID of the lease, for attaching keys and renewing it.
    #[serde(rename = "tether")]
    pub lease: u64,
}

/// Response to a watch: all changes under a prefix after a revision, in order of revision.
#[derive(Debug, Deserialize)]
#[serde(bound = "T: DeserializeOwned")]
pub struct WatchResponse<T> {
    /// Revision up to which the response is complete. The next watch continues from it.
    #[serde(rename = "tide")]
    pub revision: u64,
    /// Changes. Empty if the watch timed out.
    #[serde(default)]
    pub events: Vec<WatchEvent<T>>,
}

/// Change of one key. Exactly one of `put` and `deleted` is set.
#[derive(Debug, Deserialize)]
#[serde(bound = "T: DeserializeOwned")]
pub struct WatchEvent<T> {
    /// Key that was written.
    #[serde(rename = "write", default)]
    pub put: Option<String>,
    /// Key that was deleted.
    #[serde(rename = "drop", default)]
    pub deleted: Option<String>,
    /// Value that was written. `None` for a deletion.
    #[serde(rename = "v", default = "none")]
    pub value: Option<Stored<T>>,
    /// Revision of the change.
    #[serde(rename = "mark")]
    pub mod_revision: ModRevision,
}

// `serde(default)` without a function requires `T: Default`.
fn none<T>() -> Option<T> {
    None
}
