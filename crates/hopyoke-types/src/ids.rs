//! Newtypes for identifiers and counters.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::rc::Rc;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Rc<str>);

        impl $name {
            /// Creates an ID from `text` without validating it.
            pub fn new(text: &str) -> $name {
                $name(Rc::from(text))
            }

            /// Returns the ID as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
        impl Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.serialize_str(&self.0)
            }
        }
        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                String::deserialize(d).map(|text| $name(Rc::from(text)))
            }
        }
    };
}

text_id!(
    /// ID of a job, chosen by its user.
    JobId
);
text_id!(
    /// ID of a machine, assigned by the cloud provider.
    MachineId
);

impl JobId {
    /// Parses a job id: `req-` followed by 1 to 20 digits. Returns `None` if `text` does not have this form.
    pub fn parse(text: &str) -> Option<JobId> {
        let digits = text.strip_prefix("req-")?;
        let is_valid =
            (1..=20).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
        is_valid.then(|| JobId::new(text))
    }
}

/// ID of one task of a job.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Index of the task within the job, starting at 0.
    pub index: u32,
}

impl TaskId {
    /// Parses the form `JOB/INDEX`. Returns `None` if `text` does not have it.
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, index) = text.rsplit_once('/')?;
        Some(TaskId {
            job: JobId::parse(job)?,
            index: index.parse().ok()?,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

counter!(
    /// Fencing token of a leader. Agents reject commands, and the key-value store rejects writes, of a stale
    /// leaseholder, whose token is lower.
    FencingToken
);
counter!(
    /// Number of an attempt to run a task. All tasks of a gang start together and share an attempt.
    Attempt
);
counter!(
    /// Revision of the key-value store at which a key was last modified; 0 if the key does not exist.
    ModRevision
);
