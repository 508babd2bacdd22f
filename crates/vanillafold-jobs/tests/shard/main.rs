//! The state machine of a shard, event by event.

mod fixture;
mod machines;
mod storing;
mod takeover;
mod workers;
