//! The state of one daemon, shared by all its tasks, which run on one thread.

mod configuration;
mod connection_store;
mod evacuations;
mod in_flight;
mod pool;
mod queue;
mod routes;
mod shared;
mod team;
#[cfg(test)]
mod tests;

pub(crate) use connection_store::{Incoming, TargetConnection};
pub(crate) use pool::{ConnectError, PoolRuntime, Slot};
pub(crate) use queue::QueueRuntime;
pub(crate) use shared::Node;
pub(crate) use team::{TeamRuntime, TeamUnit};
