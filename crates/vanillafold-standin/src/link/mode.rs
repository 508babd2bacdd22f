//! The faults that a link simulates.

use std::str::FromStr;

/// How a link treats connections and the bytes on them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// Relays everything.
    #[default]
    Pass,
    /// Drops the bytes of both directions and closes nothing. Connections that are open at any time
    /// in this mode stay silent for good, also after the mode has changed.
    Silent,
    /// Silences the connections that are open now for good; relays new ones.
    Forget,
    /// Holds bytes back until the mode changes, as in a short network partition.
    Hold,
    /// Closes new connections at once; relays open ones.
    Refuse,
    /// Delays each chunk of bytes that is read by the link's `delay_ms`.
    Slow,
}

/// The error for a text that is not the name of a [`LinkMode`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected pass, silent, forget, hold, refuse or slow, found {found:?}")]
pub struct ParseLinkModeError {
    /// The text that was parsed.
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
