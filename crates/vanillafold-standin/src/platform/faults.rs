//! The faults that the platform simulates and the limits that it keeps.

use vanillafold_types::Millis;

use crate::process::{AssignmentError, parse_assignments};

/// The faults and limits in force, as `/control/faults` sets them.
#[derive(Debug, Clone, PartialEq)]
pub struct Faults {
    /// Answers every request for the log, the VM list and VM operations with 503.
    pub outage: bool,
    /// Reads requests, but neither answers them nor lets them take effect.
    pub hang: bool,
    /// How much later each answer is sent; the request takes effect without this delay.
    pub slow_ms: Millis,
    /// The probability, 0 to 1, that an append takes effect but its answer is lost.
    pub append_answer_loss_probability: f64,
    /// How far the VM list lags behind the VMs' true state.
    pub list_lag_ms: Millis,
    /// The highest rate of appends to all streams together, per second.
    pub appends_per_s: u32,
    /// How many of its latest records each stream keeps.
    pub retention_records: usize,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            outage: false,
            hang: false,
            slow_ms: Millis::ZERO,
            append_answer_loss_probability: 0.0,
            list_lag_ms: Millis::ZERO,
            appends_per_s: 500,
            retention_records: 100_000,
        }
    }
}

impl Faults {
    /// Returns these faults and limits with the changes that a control body asks for.
    pub(crate) fn with_changes(&self, body: &[u8]) -> Result<Self, AssignmentError> {
        let mut faults = self.clone();
        for line in parse_assignments(body)? {
            match line.name {
                "outage" => faults.outage = line.parse()?,
                "hang" => faults.hang = line.parse()?,
                "slow_ms" => faults.slow_ms = line.parse()?,
                "lose_append_answers" => faults.append_answer_loss_probability = line.parse()?,
                "list_lag_ms" => faults.list_lag_ms = line.parse()?,
                "append_rate" => faults.appends_per_s = line.parse()?,
                "retention_records" => faults.retention_records = line.parse()?,
                _ => return Err(line.unknown()),
            }
        }
        Ok(faults)
    }
}
