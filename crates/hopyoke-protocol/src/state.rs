//! The state service's interface. Values are opaque here.

use hopyoke_types::ModRevision;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// A value as it stands in the store. One that cannot be read as `T` is kept as [`Stored::Unreadable`]:
/// it is logged, never fatal and never taken for a missing key.
#[derive(Debug, Clone, Deserialize)]
#[serde(untagged, bound = "T: DeserializeOwned")]
pub enum Stored<T> {
    Value(T),
    Unreadable(serde::de::IgnoredAny),
}

impl<T> Stored<T> {
    pub fn readable(self) -> Option<T> {
        match self {
            Stored::Value(v) => Some(v),
            Stored::Unreadable(_) => None,
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(bound = "T: DeserializeOwned")]
pub struct KeyValue<T> {
    #[serde(default)]
    pub key: String,
    #[serde(rename = "v")]
    pub value: Stored<T>,
    #[serde(rename = "mark")]
    pub mod_revision: ModRevision,
}

#[derive(Debug, Deserialize)]
#[serde(bound = "T: DeserializeOwned")]
pub struct KeyValuePage<T> {
    pub pairs: Vec<KeyValue<T>>,
    #[serde(default)]
    pub more: bool,
    #[serde(rename = "tide")]
    pub revision: u64,
}

#[derive(Debug, Clone, Serialize)]
pub struct Compare {
    pub key: String,
    #[serde(rename = "mark")]
    pub mod_revision: ModRevision,
}

#[derive(Debug, Clone, Serialize)]
#[serde(untagged, bound = "V: Serialize")]
pub enum Mutation<V> {
    Put {
        #[serde(rename = "write")]
        key: String,
        #[serde(rename = "v")]
        value: V,
        #[serde(rename = "tether", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
    },
}

#[derive(Debug, Serialize)]
#[serde(bound = "V: Serialize")]
pub struct Transaction<V> {
    #[serde(rename = "when")]
    pub compares: Vec<Compare>,
    #[serde(rename = "apply")]
    pub mutations: Vec<Mutation<V>>,
}

#[derive(Debug, Deserialize)]
pub struct TransactionResponse {
    #[serde(rename = "tide")]
    pub revision: u64,
}

#[derive(Debug, Deserialize)]
pub struct CompareFailed {
    #[serde(default)]
    pub failed: Vec<String>,
}

#[derive(Debug, Serialize)]
pub struct LeaseGrantRequest {
    pub ttl_ms: u64,
}

#[derive(Debug, Deserialize)]
pub struct LeaseGrantResponse {
    #[serde(rename = "tether")]
    pub lease: u64,
}

#[derive(Debug, Deserialize)]
#[serde(bound = "T: DeserializeOwned")]
pub struct WatchResponse<T> {
    #[serde(rename = "tide")]
    pub revision: u64,
    #[serde(default)]
    pub events: Vec<WatchEvent<T>>,
}

#[derive(Debug, Deserialize)]
#[serde(bound = "T: DeserializeOwned")]
pub struct WatchEvent<T> {
    #[serde(rename = "write", default)]
    pub put: Option<String>,
    #[serde(rename = "drop", default)]
    pub deleted: Option<String>,
    #[serde(rename = "v", default = "none")]
    pub value: Option<Stored<T>>,
    #[serde(rename = "mark")]
    pub mod_revision: ModRevision,
}

fn none<T>() -> Option<T> {
    None
}
