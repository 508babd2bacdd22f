//! The state machine of a shard, event by event.

mod fixture;
mod takeover;
mod machines;
mod workers;
