//! Decoding and validation of submissions. Errors refer to fields by their names on the wire, as users write them.

use super::JobSpec;
use crate::{decode, encode};
use hopyoke_types::JobId;
use serde::Deserialize;
use std::collections::BTreeMap;

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;
/// Maximum length of the name of a class, team, image, zone or instance type.
const MAX_NAME_BYTES: usize = 200;
/// Maximum number of instance types that a job may list.
const MAX_MACHINE_TYPES: usize = 64;
/// Maximum of each resource amount and duration.
const MAX_AMOUNT: f64 = 1e12;
/// Maximum size of an encoded spec. What its record takes of the key-value store is limited separately.
const MAX_SPEC_BYTES: usize = 3 * 1024;

/// Why a submission is rejected. The message is returned to the user.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SubmissionError {
    /// The body is not a MessagePack map.
    #[error("the body must be a MessagePack map")]
    NotAMap,
    /// The ID is not a well-formed job ID.
    #[error("id: must be 'req-' followed by digits")]
    InvalidId,
    /// A name is empty or too long.
    #[error("{field}: must be 1 to {} bytes long", MAX_NAME_BYTES)]
    NameLength {
        /// Name of the field on the wire.
        field: &'static str,
    },
    /// The name of the zone is too long.
    #[error("basin: must be at most {} bytes long", MAX_NAME_BYTES)]
    ZoneLength,
    /// The number of tasks is 0 or too large.
    #[error("oars: must be 1 to {}", MAX_TASKS)]
    TaskCount,
    /// The number of tasks is negative, too large or not an integer.
    #[error("oars: must be a whole number from 1 to {}", MAX_TASKS)]
    TaskCountNotWhole,
    /// A resource amount or duration is negative, too large or not a number.
    #[error("{field}: must be a finite amount of at least 0")]
    Amount {
        /// Name of the field on the wire.
        field: &'static str,
    },
    /// There are too many instance types, or the name of one is too long.
    #[error(
        "rigs: at most {} names of at most {} bytes",
        MAX_MACHINE_TYPES,
        MAX_NAME_BYTES
    )]
    MachineTypes,
    /// The encoded spec is too large to be stored.
    #[error(
        "rigs: the job's description must take at most {} bytes",
        MAX_SPEC_BYTES
    )]
    SpecTooLong,
    /// A field has a value of the wrong type.
    #[error("{field}: must be a {expected}")]
    WrongType {
        /// Name of the field on the wire.
        field: String,
        /// Type that the field must have.
        expected: &'static str,
    },
    /// The job kind or priority is unknown.
    #[error("{field}: {error}")]
    UnknownVariant {
        /// Name of the field on the wire.
        field: &'static str,
        /// Message of the decoder, which lists the variants.
        error: String,
    },
    /// An optional field has a value of the wrong type. The decoder does not name it.
    #[error("{0} (rigs, basin or ashore_s)")]
    OptionalField(String),
    /// Any other error, such as a missing field, with the message of the decoder.
    #[error("{0}")]
    Undecodable(String),
}

impl JobSpec {
    /// Decodes a submission and validates the range of every field.
    ///
    /// # Errors
    /// Returns the first invalid field and its requirement.
    pub fn parse(body: &[u8]) -> Result<JobSpec, SubmissionError> {
        if !matches!(body.first(), Some(0x80..=0x8f | 0xde | 0xdf)) {
            return Err(SubmissionError::NotAMap);
        }
        let spec: JobSpec = decode(body).map_err(|e| find_invalid_field(&e.to_string(), body))?;
        spec.check().map(|()| spec)
    }

    /// Validates the range of every field.
    ///
    /// # Errors
    /// Returns the first invalid field and its requirement.
    pub fn check(&self) -> Result<(), SubmissionError> {
        if JobId::parse(self.id.as_str()).is_none() {
            return Err(SubmissionError::InvalidId);
        }
        for (field, text) in [
            ("berth", &self.class),
            ("crew", &self.team),
            ("cargo", &self.image),
        ] {
            if text.is_empty() || text.len() > MAX_NAME_BYTES {
                return Err(SubmissionError::NameLength { field });
            }
        }
        if self.zone.as_ref().is_some_and(|z| z.len() > MAX_NAME_BYTES) {
            return Err(SubmissionError::ZoneLength);
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(SubmissionError::TaskCount);
        }
        let amounts = [
            ("cpus", self.cpus),
            ("cards", self.gpus),
            ("mem_gb", self.memory_gb),
            ("pull_gb", self.image_gb),
            ("voyage_s", self.estimate_s),
            ("logbook_s", self.checkpoint_interval_s),
            ("stow_s", self.checkpoint_save_s),
            ("ashore_s", self.deadline_s.unwrap_or(0.0)),
        ];
        for (field, amount) in amounts {
            if !(0.0..=MAX_AMOUNT).contains(&amount) {
                return Err(SubmissionError::Amount { field });
            }
        }
        if let Some(types) = &self.machine_types
            && (types.len() > MAX_MACHINE_TYPES || types.iter().any(|t| t.len() > MAX_NAME_BYTES))
        {
            return Err(SubmissionError::MachineTypes);
        }
        if encode(self).len() > MAX_SPEC_BYTES {
            return Err(SubmissionError::SpecTooLong);
        }
        Ok(())
    }
}

/// Type of a field's value.
#[derive(Deserialize, Clone, Copy, PartialEq)]
#[serde(untagged)]
enum ValueType {
    Bool(bool),
    Number(f64),
    Text(IgnoredText),
    Other(serde::de::IgnoredAny),
}

impl ValueType {
    fn name(self) -> &'static str {
        match self {
            ValueType::Bool(_) => "boolean",
            ValueType::Number(_) => "number",
            ValueType::Text(_) => "text",
            ValueType::Other(_) => "other",
        }
    }
}

/// Accepts any text and discards it.
#[derive(Clone, Copy, PartialEq)]
struct IgnoredText;

impl<'de> Deserialize<'de> for IgnoredText {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        String::deserialize(d).map(|_| IgnoredText)
    }
}

/// Returns the type that a required field must have, or `None` for any other field.
fn expected_type(field: &str) -> Option<&'static str> {
    match field {
        "id" | "berth" | "crew" | "hull" | "rank" | "cargo" => Some("text"),
        "oars" | "cpus" | "cards" | "mem_gb" | "pull_gb" | "voyage_s" | "logbook_s" | "stow_s" => {
            Some("number")
        }
        "together" | "apart" | "driftboats" => Some("boolean"),
        _ => None,
    }
}

/// Finds the field that made decoding fail. The decoder names a missing field but not one of the wrong type, so the
/// body is decoded again as a map of value types.
fn find_invalid_field(error: &str, body: &[u8]) -> SubmissionError {
    let undecodable = || SubmissionError::Undecodable(error.to_owned());
    let Ok(types) = decode::<BTreeMap<String, ValueType>>(body) else {
        return undecodable();
    };
    for (field, value_type) in &types {
        if let Some(expected) = expected_type(field)
            && expected != value_type.name()
        {
            return SubmissionError::WrongType {
                field: field.clone(),
                expected,
            };
        }
    }
    if let Some(ValueType::Number(n)) = types.get("oars")
        && (n.fract() != 0.0 || *n < 0.0 || *n > f64::from(MAX_TASKS))
    {
        return SubmissionError::TaskCountNotWhole;
    }
    if error.contains("unknown variant") {
        // The message lists the valid variants, and `group` is one of the job kinds only.
        let field = if error.contains("group") {
            "hull"
        } else {
            "rank"
        };
        if types.contains_key(field) {
            return SubmissionError::UnknownVariant {
                field,
                error: error.to_owned(),
            };
        }
    }
    let has_optional = ["rigs", "basin", "ashore_s"]
        .iter()
        .any(|field| types.contains_key(*field));
    if has_optional && !error.contains("missing field") {
        return SubmissionError::OptionalField(error.to_owned());
    }
    undecodable()
}
