//! What a runner does wrong.

use std::str::FromStr;

use crate::process::{AssignmentError, parse_assignments};

/// What a runner does with new requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Mode {
    /// Does the work.
    #[default]
    Normal,
    /// Does the work slower by the slow factor.
    Slow,
    /// Answers 500 at once, probes too.
    Fail,
    /// Answers 500 at once, but probes with 200.
    Blackhole,
    /// Never answers.
    Hang,
    /// Closes in the middle of the answer.
    Cut,
    /// Closes each accepted connection at once.
    Refuse,
}

/// The text names no [`Mode`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected normal, slow, fail, blackhole, hang, cut or refuse, found {found:?}")]
pub struct ParseModeError {
    /// What was there.
    pub found: String,
}

impl FromStr for Mode {
    type Err = ParseModeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "normal" => Ok(Self::Normal),
            "slow" => Ok(Self::Slow),
            "fail" => Ok(Self::Fail),
            "blackhole" => Ok(Self::Blackhole),
            "hang" => Ok(Self::Hang),
            "cut" => Ok(Self::Cut),
            "refuse" => Ok(Self::Refuse),
            _ => Err(ParseModeError {
                found: text.to_owned(),
            }),
        }
    }
}

/// What `/control/mode` sets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Settings {
    pub(crate) mode: Mode,
    pub(crate) slow_factor: u32,
    pub(crate) leaving: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            mode: Mode::Normal,
            slow_factor: 10,
            leaving: false,
        }
    }
}

impl Settings {
    /// These settings with the changes of a control body.
    pub(crate) fn with_changes(self, body: &[u8]) -> Result<Self, AssignmentError> {
        let mut settings = self;
        for line in parse_assignments(body)? {
            match line.name {
                "mode" => settings.mode = line.parse()?,
                "slow_factor" => settings.slow_factor = line.parse()?,
                "leaving" => settings.leaving = line.parse()?,
                _ => return Err(line.unknown()),
            }
        }
        Ok(settings)
    }
}
