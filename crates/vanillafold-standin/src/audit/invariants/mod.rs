//! One module for each point that must always hold.

mod at_most_once;
mod availability;
mod config_in_force;
mod config_monotonic;
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

/// Judges every point, in the order of the report.
pub(crate) fn judge(recording: &Recording, settle: SettleTime) -> Vec<Finding> {
    vec![
        availability::judge(recording, settle),
        one_pool::judge(recording),
        team_key::judge(recording, settle),
        team_limit::judge(recording, settle),
        whole_answer::judge(recording),
        not_run_true::judge(recording),
        at_most_once::judge(recording),
        leaving::judge(recording, settle),
        graceful_stop::judge(recording),
        config_monotonic::judge(recording),
        config_in_force::judge(recording, settle),
    ]
}
