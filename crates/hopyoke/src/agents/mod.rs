//! Agents (the workers of the protocol): their heartbeats, and commands pushed to them.

pub mod heartbeats;
pub mod pushed_commands;
