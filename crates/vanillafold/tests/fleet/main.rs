//! Daemons of a fleet in one process, over loopback, with a platform in memory.

mod fixture;
mod ownership;
mod platform;
