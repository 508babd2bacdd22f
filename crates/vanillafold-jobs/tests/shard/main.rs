//! The state machine of a shard, event by event.

mod fixture;
mod storing;
mod takeover;
mod vms;
mod workers;
