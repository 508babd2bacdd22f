//! Tests of fleet daemons that run in one process, connected over loopback, on an in-memory
//! platform.

mod fixture;
mod ownership;
mod platform;
mod refusals;
mod relay;
