//! The cloud's interface.

use hopyoke_types::MachineId;
use serde::{Deserialize, Serialize};

#[derive(Debug, Deserialize)]
pub struct Catalog {
    #[serde(rename = "rigs")]
    pub types: Vec<MachineType>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    #[serde(rename = "label")]
    pub name: String,
    pub cpus: f64,
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    #[serde(default)]
    pub cache_gb: f64,
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    pub price: f64,
    #[serde(default)]
    pub spot_price: f64,
    #[serde(default)]
    pub boot_s: f64,
    #[serde(rename = "basins", default)]
    pub zones: Vec<String>,
}

#[derive(Debug, Serialize)]
pub struct ScaleOutRequest<'a> {
    #[serde(rename = "charter")]
    pub request: &'a str,
    #[serde(rename = "rig")]
    pub machine_type: &'a str,
    #[serde(rename = "basin")]
    pub zone: &'a str,
    #[serde(rename = "driftboats")]
    pub spot: bool,
    #[serde(rename = "number")]
    pub count: u32,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct MachineNames {
    #[serde(rename = "vessels")]
    pub machines: Vec<MachineId>,
}

#[derive(Debug, Deserialize)]
pub struct MachineList {
    #[serde(rename = "vessels")]
    pub machines: Vec<ListedMachine>,
    #[serde(default)]
    pub more: bool,
}

#[derive(Debug, Clone, Deserialize)]
pub struct ListedMachine {
    pub id: MachineId,
    #[serde(default)]
    pub address: Option<String>,
    #[serde(rename = "rig")]
    pub machine_type: String,
    #[serde(rename = "basin")]
    pub zone: String,
    #[serde(rename = "driftboats", default)]
    pub spot: bool,
    #[serde(rename = "bearing")]
    pub state: ListedMachineState,
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub enum ListedMachineState {
    #[serde(rename = "booting")]
    Booting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "failed")]
    Failed,
    #[serde(other)]
    Other,
}
