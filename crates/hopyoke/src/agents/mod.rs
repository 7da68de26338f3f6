//! Communication with the agents on the machines: their heartbeats, and commands pushed to them.

pub(crate) mod heartbeats;
pub(crate) mod pushed_commands;
