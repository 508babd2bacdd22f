//! What a link does with what passes.

use std::str::FromStr;

/// What a link does with what passes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// Everything passes.
    #[default]
    Pass,
    /// Bytes of both directions are dropped and nothing is closed. Connections that were open
    /// meanwhile stay silent for good.
    Silent,
    /// The connections that are open go silent for good; new ones pass.
    Forget,
    /// Bytes wait until the mode changes, as in a short partition.
    Hold,
    /// New connections are closed at once; open ones pass.
    Refuse,
    /// Each piece waits for the delay.
    Slow,
}

/// The text names no [`LinkMode`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected pass, silent, forget, hold, refuse or slow, found {found:?}")]
pub struct ParseLinkModeError {
    /// What was there.
    pub found: String,
}

impl FromStr for LinkMode {
    type Err = ParseLinkModeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "pass" => Ok(Self::Pass),
            "silent" => Ok(Self::Silent),
            "forget" => Ok(Self::Forget),
            "hold" => Ok(Self::Hold),
            "refuse" => Ok(Self::Refuse),
            "slow" => Ok(Self::Slow),
            _ => Err(ParseLinkModeError {
                found: text.to_owned(),
            }),
        }
    }
}
