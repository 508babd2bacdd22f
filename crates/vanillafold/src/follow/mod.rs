//! Follows the streams of the log, the VM list and the health of targets.

mod fold;
mod health;
mod inventory;
mod log;
mod vms;

pub(crate) use fold::fold;
pub(crate) use health::check_health;
pub(crate) use inventory::{Inventory, TouchedPools};
pub(crate) use log::follow_log;
pub(crate) use vms::follow_vms;
