//! Agents (the workers of the protocol): their heartbeats, and commands pushed to them.

pub(crate) mod heartbeats;
pub(crate) mod pushed_commands;
