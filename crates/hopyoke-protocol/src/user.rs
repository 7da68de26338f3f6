//! What users send and get.

use hopyoke_types::JobId;
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    #[serde(rename = "array")]
    Array,
    #[serde(rename = "group")]
    Gang,
    #[serde(rename = "daemon")]
    Service,
}

/// Ordered from the most to the least important.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "prod")]
    Production,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "standard")]
    Normal,
    #[serde(rename = "best_effort")]
    Low,
}

/// A job as its user describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    pub id: JobId,
    #[serde(rename = "berth")]
    pub class: String,
    #[serde(rename = "crew")]
    pub team: String,
    #[serde(rename = "hull")]
    pub kind: JobKind,
    #[serde(rename = "rank")]
    pub priority: Priority,
    #[serde(rename = "oars")]
    pub tasks: u32,
    pub cpus: f64,
    #[serde(rename = "cards")]
    pub gpus: f64,
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    #[serde(rename = "cargo")]
    pub image: String,
    #[serde(rename = "pull_gb")]
    pub image_gb: f64,
    #[serde(rename = "rigs", default)]
    pub types: Option<Vec<String>>,
    #[serde(rename = "basin", default)]
    pub zone: Option<String>,
    #[serde(rename = "together")]
    pub one_zone: bool,
    #[serde(rename = "apart")]
    pub spread: bool,
    #[serde(rename = "driftboats")]
    pub spot: bool,
    #[serde(rename = "voyage_s")]
    pub estimate_s: f64,
    #[serde(rename = "logbook_s")]
    pub checkpoint_s: f64,
    #[serde(rename = "stow_s")]
    pub save_s: f64,
    #[serde(rename = "ashore_s", default)]
    pub deadline_s: Option<f64>,
}

/// The most tasks that a job may have.
pub const MAX_TASKS: u32 = 100_000;
const MAX_NAME: usize = 200;
const MAX_TYPES: usize = 64;
/// A spec and what is recorded beside it share one value; this is the spec's part of it.
const MAX_SPEC_BYTES: usize = 3 * 1024;

impl JobSpec {
    /// An array of one task that takes one CPU and 1 GB, runs anywhere but on spot machines, and has
    /// nothing special about it.
    pub fn plain(id: JobId, class: &str, team: &str, image: &str) -> JobSpec {
        JobSpec {
            id,
            class: class.to_owned(),
            team: team.to_owned(),
            kind: JobKind::Array,
            priority: Priority::Normal,
            tasks: 1,
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 1.0,
            image: image.to_owned(),
            image_gb: 1.0,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: false,
            estimate_s: 10.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
        }
    }

    /// Reads a submission. The message names the field at fault.
    pub fn parse(body: &[u8]) -> Result<JobSpec, String> {
        if !matches!(body.first(), Some(0x80..=0x8f | 0xde | 0xdf)) {
            return Err("the body must be a MessagePack map".into());
        }
        let spec: JobSpec = super::decode(body).map_err(|e| name_field(&e, body))?;
        spec.check().map(|()| spec)
    }

    /// Checks every field's range.
    ///
    /// # Errors
    /// The field at fault, and what it must be.
    pub fn check(&self) -> Result<(), String> {
        if JobId::parse(self.id.as_str()).is_none() {
            return Err("id: must be 'req-' followed by digits".into());
        }
        for (field, text) in [
            ("berth", &self.class),
            ("crew", &self.team),
            ("cargo", &self.image),
        ] {
            if text.is_empty() || text.len() > MAX_NAME {
                return Err(format!("{field}: must be 1 to {MAX_NAME} bytes long"));
            }
        }
        if self.zone.as_ref().is_some_and(|z| z.len() > MAX_NAME) {
            return Err(format!("basin: must be at most {MAX_NAME} bytes long"));
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(format!("oars: must be 1 to {MAX_TASKS}"));
        }
        let amounts = [
            ("cpus", self.cpus),
            ("cards", self.gpus),
            ("mem_gb", self.memory_gb),
            ("pull_gb", self.image_gb),
            ("voyage_s", self.estimate_s),
            ("logbook_s", self.checkpoint_s),
            ("stow_s", self.save_s),
            ("ashore_s", self.deadline_s.unwrap_or(0.0)),
        ];
        for (field, amount) in amounts {
            if !(0.0..=1e12).contains(&amount) {
                return Err(format!("{field}: must be a finite amount of at least 0"));
            }
        }
        if let Some(types) = &self.types
            && (types.len() > MAX_TYPES || types.iter().any(|t| t.len() > MAX_NAME))
        {
            return Err(format!(
                "rigs: at most {MAX_TYPES} names of at most {MAX_NAME} bytes"
            ));
        }
        if super::encode(self).len() > MAX_SPEC_BYTES {
            return Err("rigs: the job's description is too long to be kept".into());
        }
        Ok(())
    }
}

/// The decoder names a missing field but not one of the wrong type: find that one by decoding
/// the known fields one by one.
fn name_field(error: &str, body: &[u8]) -> String {
    use std::collections::BTreeMap;
    #[derive(Deserialize, Clone, Copy, PartialEq)]
    #[serde(untagged)]
    enum Shape {
        Bool(bool),
        Number(f64),
        Text(Discard),
        Other(serde::de::IgnoredAny),
    }
    #[derive(Clone, Copy, PartialEq)]
    struct Discard;
    impl<'de> Deserialize<'de> for Discard {
        fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
            String::deserialize(d).map(|_| Discard)
        }
    }
    let Ok(shapes) = super::decode::<BTreeMap<String, Shape>>(body) else {
        return error.to_owned();
    };
    let want = |field: &str| match field {
        "id" | "berth" | "crew" | "hull" | "rank" | "cargo" => Some("text"),
        "oars" | "cpus" | "cards" | "mem_gb" | "pull_gb" | "voyage_s" | "logbook_s" | "stow_s" => {
            Some("number")
        }
        "together" | "apart" | "driftboats" => Some("boolean"),
        _ => None,
    };
    for (field, shape) in &shapes {
        let is = match shape {
            Shape::Bool(_) => "boolean",
            Shape::Number(_) => "number",
            Shape::Text(_) => "text",
            Shape::Other(_) => "other",
        };
        if let Some(w) = want(field)
            && w != is
        {
            return format!("{field}: must be a {w}");
        }
    }
    if let Some(Shape::Number(n)) = shapes.get("oars")
        && (n.fract() != 0.0 || *n < 0.0 || *n > f64::from(MAX_TASKS))
    {
        return format!("oars: must be a whole number from 1 to {MAX_TASKS}");
    }
    for field in ["hull", "rank"] {
        if shapes.contains_key(field) && error.contains("unknown variant") {
            let of = if error.contains("group") {
                "hull"
            } else {
                "rank"
            };
            if of == field {
                return format!("{field}: {error}");
            }
        }
    }
    for field in ["rigs", "basin", "ashore_s"] {
        if shapes.contains_key(field) && !error.contains("missing field") {
            return format!("{error} (rigs, basin or ashore_s)");
        }
    }
    error.to_owned()
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    #[serde(rename = "pending")]
    Queued,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "aborted")]
    Cancelled,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct JobAnswer<'a> {
    pub id: &'a str,
    #[serde(rename = "bearing")]
    pub state: JobState,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}
