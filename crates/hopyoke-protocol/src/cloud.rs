//! The cloud provider's API: instance catalog, scale-out, deletion and the list of machines.

use hopyoke_types::MachineId;
use serde::{Deserialize, Serialize};

/// Instance types on offer, with current prices.
#[derive(Debug, Deserialize)]
pub struct Catalog {
    /// All instance types.
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
    /// Nominal rate of image pulls, in gigabytes per second, shared by concurrent pulls.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// On-demand price per hour.
    pub price: f64,
    /// Current spot price per hour; 0 if the provider names none.
    #[serde(default)]
    pub spot_price: f64,
    /// Nominal provisioning time, in seconds.
    #[serde(default)]
    pub boot_s: f64,
    /// Zones in which the type is offered.
    #[serde(rename = "basins", default)]
    pub zones: Vec<String>,
}

/// A request for new machines. Idempotent: one that was granted is answered alike when repeated.
#[derive(Debug, Serialize)]
pub struct ScaleOutRequest<'a> {
    /// Idempotency key, unique over all nodes and all time.
    #[serde(rename = "charter")]
    pub request: &'a str,
    /// Name of the instance type.
    #[serde(rename = "rig")]
    pub machine_type: &'a str,
    /// Zone of the machines.
    #[serde(rename = "basin")]
    pub zone: &'a str,
    /// Spot instead of on-demand.
    #[serde(rename = "driftboats")]
    pub spot: bool,
    /// Machines wanted, 1 to 50; fewer may be granted.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Names of machines: those that a scale-out granted, or those to delete (at most 100).
#[derive(Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// The machines.
    #[serde(rename = "vessels")]
    pub machines: Vec<MachineId>,
}

/// One page of the list of machines, in order of creation. The list lags behind the truth.
#[derive(Debug, Deserialize)]
pub struct MachineList {
    /// The machines of this page.
    #[serde(rename = "vessels")]
    pub machines: Vec<ListedMachine>,
    /// Whether further pages follow.
    #[serde(default)]
    pub more: bool,
}

/// A machine as the provider lists it.
#[derive(Debug, Clone, Deserialize)]
pub struct ListedMachine {
    /// Its name, given by the provider.
    pub id: MachineId,
    /// Address of its agent, as `host:port`, once it is known.
    #[serde(default)]
    pub address: Option<String>,
    /// Name of its instance type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "basin")]
    pub zone: String,
    /// Spot instead of on-demand.
    #[serde(rename = "driftboats", default)]
    pub spot: bool,
    /// Where it stands in its lifecycle.
    #[serde(rename = "bearing")]
    pub state: ListedMachineState,
    /// Seconds since its scale-out request, as of the moment that the list describes.
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

/// Lifecycle of a listed machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub enum ListedMachineState {
    /// Being provisioned; charged.
    #[serde(rename = "booting")]
    Booting,
    /// Up, as far as the provider knows.
    #[serde(rename = "running")]
    Running,
    /// Stopped by itself; no longer charged, listed until it is deleted.
    #[serde(rename = "failed")]
    Failed,
    /// A state that this version does not know.
    #[serde(other)]
    Other,
}
