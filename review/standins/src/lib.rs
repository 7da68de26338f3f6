//! Stand-ins for the review's cases: state service, cloud, workers, users and proxies on loopback, around real
//! controllers. They follow PROTOCOL-hopyoke. Standard library only.

pub mod cloud;
pub mod nodes;
pub mod proxy;
pub mod record;
pub mod site;
pub mod start;
pub mod state;
pub mod users;
pub mod wire;
pub mod worker;
