//! Tests of the state machine of a shard, driven by single events.

mod admission;
mod advice;
mod configuration;
mod crashes;
mod evacuation;
mod extremes;
mod fixture;
mod moved_queues;
mod placement;
mod racks;
mod records;
mod removed_queues;
mod repeats;
mod storing;
mod takeover;
mod unlisted_ends;
mod unreadable;
mod vms;
mod workers;
mod zones;
