//! Tests of fleet daemons that run in one process, connected over loopback, on an in-memory
//! platform.

mod epochs;
mod evacuation;
mod fixture;
mod followers;
mod frames;
mod log_lines;
mod orders;
mod ownership;
mod peers;
mod platform;
mod refusals;
mod relay;
mod vms;
