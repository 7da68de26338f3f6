//! The key-value store: its client, keys, jobs' records, the watch, and what is known without asking it.

pub mod client;
pub mod read_index;
pub mod records;
pub mod terminal_states;
pub mod watch;
