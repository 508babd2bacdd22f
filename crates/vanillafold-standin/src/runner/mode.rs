//! The fault that a VM simulates, and the other settings of `/control/mode`.

use std::str::FromStr;

use crate::process::{AssignmentError, parse_assignments};

/// How a VM treats new requests and connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Mode {
    /// Does the work and answers.
    #[default]
    Normal,
    /// Does the work, but takes `slow_factor` times as long.
    Slow,
    /// Answers work and health checks with 500 at once.
    Fail,
    /// Answers work with 500 at once, but health checks with 200.
    Blackhole,
    /// Never answers work or health checks.
    Hang,
    /// Closes the connection in the middle of the answer.
    Cut,
    /// Closes each accepted connection at once.
    Refuse,
}

/// The error for a text that is not the name of a [`Mode`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected normal, slow, fail, blackhole, hang, cut or refuse, found {found:?}")]
pub struct ParseModeError {
    /// The text that was parsed.
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

/// The settings of a VM that a request to `/control/mode` changes.
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
    /// Returns these settings with the changes that a control body asks for.
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
