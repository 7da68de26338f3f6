//! Identifiers and counters, each a type of its own.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::rc::Rc;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Rc<str>);

        impl $name {
            /// An id of this text, which is not checked.
            pub fn new(text: &str) -> $name {
                $name(Rc::from(text))
            }

            /// The id as text.
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
    /// A job, named by its user.
    JobId
);
text_id!(
    /// A machine, named by the cloud.
    MachineId
);

impl JobId {
    /// The id if it has the form that every job's id has, `req-` and 1 to 20 digits; else `None`.
    pub fn parse(text: &str) -> Option<JobId> {
        let digits = text.strip_prefix("req-")?;
        let is_valid =
            (1..=20).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
        is_valid.then(|| JobId::new(text))
    }
}

/// One task of a job.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct TaskId {
    /// Its job.
    pub job: JobId,
    /// Its place in the job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Reads the form `JOB/INDEX`; `None` if the text does not have it.
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

macro_rules! number {
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

number!(
    /// A leader's fencing token: agents and the key-value store reject commands and writes of a stale leaseholder,
    /// whose token is lower.
    FencingToken
);
number!(
    /// One start of a task; for a gang, of all its tasks together.
    Attempt
);
number!(
    /// The revision of the key-value store at which a key was last changed; 0 if the key is absent.
    ModRevision
);
