//! The checks of the invariants, one module for each.

mod at_most_once;
mod availability;
mod config_in_force;
mod config_monotonic;
mod evacuated_zone;
mod graceful_stop;
mod leaving;
mod not_run_true;
mod one_pool;
mod team_key;
mod team_limit;
mod whole_answer;

use super::recording::Recording;
use super::{Finding, SettleTime};

pub(crate) use team_limit::team_peaks;

/// Checks all invariants, in the order of the report.
pub(crate) fn check_all(recording: &Recording, settle: SettleTime) -> Vec<Finding> {
    vec![
        availability::check(recording, settle),
        one_pool::check(recording),
        team_key::check(recording, settle),
        team_limit::check(recording, settle),
        whole_answer::check(recording),
        not_run_true::check(recording),
        at_most_once::check(recording),
        leaving::check(recording, settle),
        evacuated_zone::check(recording, settle),
        graceful_stop::check(recording),
        config_monotonic::check(recording),
        config_in_force::check(recording, settle),
    ]
}
