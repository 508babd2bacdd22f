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
    pub lose_append_answers: f64,
    /// The VM list shows what was true this long ago.
    pub list_lag_ms: Millis,
    /// Appends a second.
    pub append_rate: u32,
    /// Records that a stream keeps.
    pub retention_records: usize,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            outage: false,
            hang: false,
            slow_ms: Millis::ZERO,
            lose_append_answers: 0.0,
            list_lag_ms: Millis::ZERO,
            append_rate: 500,
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
                "lose_append_answers" => faults.lose_append_answers = line.parse()?,
                "list_lag_ms" => faults.list_lag_ms = line.parse()?,
                "append_rate" => faults.append_rate = line.parse()?,
                "retention_records" => faults.retention_records = line.parse()?,
                _ => return Err(line.unknown()),
            }
        }
        Ok(faults)
    }
}
