//! Tests of the state machine of a shard, driven by single events.

mod fixture;
mod storing;
mod takeover;
mod vms;
mod workers;
