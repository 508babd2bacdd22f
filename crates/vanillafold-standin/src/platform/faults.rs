//! What the platform does wrong, and its limits.

use vanillafold_types::Millis;

use crate::process::{AssignmentError, parse_assignments};

/// What the platform does wrong now, and its limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Faults {
    /// Log, list and orders answer 503.
    pub outage: bool,
    /// Requests are taken and never answered; they have no effect.
    pub hang: bool,
    /// Answers come this much later, after what was asked has taken effect.
    pub slow_ms: Millis,
    /// The share, 0 to 1, of appends that take effect but whose answer is lost.
    pub append_answer_loss_probability: f64,
    /// The VM list shows what was true this long ago.
    pub list_lag_ms: Millis,
    /// Appends a second.
    pub appends_per_s: u32,
    /// Records that a stream keeps.
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
    /// These faults with the changes of a control body.
    pub(crate) fn changed(&self, body: &[u8]) -> Result<Self, AssignmentError> {
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
