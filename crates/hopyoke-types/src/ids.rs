//! Identifiers and counters with types of their own.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::rc::Rc;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Rc<str>);

        impl $name {
            pub fn new(s: &str) -> $name {
                $name(Rc::from(s))
            }
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
                String::deserialize(d).map(|s| $name(Rc::from(s)))
            }
        }
    };
}

text_id!(
    /// A job, named by its user.
    JobId
);
text_id!(
    /// A rented machine, named by the cloud.
    MachineId
);

impl JobId {
    /// Checks the form that every job id has: `req-` and up to 20 digits.
    pub fn parse(s: &str) -> Option<JobId> {
        let digits = s.strip_prefix("req-")?;
        let ok =
            !digits.is_empty() && digits.len() <= 20 && digits.bytes().all(|b| b.is_ascii_digit());
        ok.then(|| JobId::new(s))
    }
}

/// One task of a job.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct TaskId {
    pub job: JobId,
    pub index: u32,
}

impl TaskId {
    pub fn parse(s: &str) -> Option<TaskId> {
        let (job, index) = s.rsplit_once('/')?;
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
    /// Says who is entitled to command workers; a higher one outdates all lower ones.
    FencingToken
);
number!(
    /// One start of a task; for a gang, of all its tasks together.
    Attempt
);
number!(
    /// The revision of a key's last change in the state service.
    ModRevision
);
