//! Messages of the cloud provider's API: instance catalog, scale-out, deletion and list of machines.

use hopyoke_types::MachineId;
use serde::{Deserialize, Serialize};

/// Catalog of the instance types on offer, with current prices.
#[derive(Debug, Deserialize)]
pub struct Catalog {
    /// Instance types on offer.
    #[serde(rename = "rigs")]
    pub types: Vec<MachineType>,
}

/// An instance type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Unique name.
    #[serde(rename = "label")]
    pub name: String,
    /// CPUs of one machine.
    pub cpus: f64,
    /// GPUs of one machine; 0 for none.
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    /// Memory of one machine, in gigabytes.
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    /// Size of the image cache, in gigabytes.
    #[serde(default)]
    pub cache_gb: f64,
    /// Nominal bandwidth of image pulls, in gigabytes per second, shared by concurrent pulls.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// On-demand price per hour.
    pub price: f64,
    /// Current spot price per hour; 0 if the provider quotes none.
    #[serde(default)]
    pub spot_price: f64,
    /// Nominal provisioning time, in seconds.
    #[serde(default)]
    pub boot_s: f64,
    /// Zones in which the type is offered.
    #[serde(rename = "basins", default)]
    pub zones: Vec<String>,
}

/// Request for new machines. Idempotent: repeating a granted request returns the same response.
#[derive(Debug, Serialize)]
pub struct ScaleOutRequest<'a> {
    /// Idempotency key, never reused by any node.
    #[serde(rename = "charter")]
    pub request: &'a str,
    /// Name of the instance type.
    #[serde(rename = "rig")]
    pub machine_type: &'a str,
    /// Zone in which to create the machines.
    #[serde(rename = "basin")]
    pub zone: &'a str,
    /// Whether to request spot machines instead of on-demand ones.
    #[serde(rename = "driftboats")]
    pub spot: bool,
    /// Number of machines wanted, 1 to 50. The provider may grant fewer.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Machines that a scale-out granted, or machines to delete (at most 100).
#[derive(Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines.
    #[serde(rename = "vessels")]
    pub machines: Vec<MachineId>,
}

/// One page of the list of machines, in order of creation. The list is eventually consistent.
#[derive(Debug, Deserialize)]
pub struct MachineList {
    /// Machines of this page.
    #[serde(rename = "vessels")]
    pub machines: Vec<ListedMachine>,
    /// Whether further pages follow.
    #[serde(default)]
    pub more: bool,
}

/// Entry for one machine in the list of machines.
#[derive(Debug, Clone, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine, assigned by the provider.
    pub id: MachineId,
    /// Address of the agent, as `host:port`. `None` until it is known.
    #[serde(default)]
    pub address: Option<String>,
    /// Name of the instance type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "basin")]
    pub zone: String,
    /// Whether this is a spot machine.
    #[serde(rename = "driftboats", default)]
    pub spot: bool,
    /// Lifecycle state of the machine.
    #[serde(rename = "bearing")]
    pub state: ListedMachineState,
    /// Seconds since the scale-out request, as of the time of the list's snapshot.
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

/// Lifecycle state of a listed machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub enum ListedMachineState {
    /// Being provisioned. Charged.
    #[serde(rename = "booting")]
    Booting,
    /// Running, as reported by the provider.
    #[serde(rename = "running")]
    Running,
    /// Failed or shut down by itself. No longer charged, but listed until it is deleted.
    #[serde(rename = "failed")]
    Failed,
    /// Any state that this version does not recognize.
    #[serde(other)]
    Other,
}
