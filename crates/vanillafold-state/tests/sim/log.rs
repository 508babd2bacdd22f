//! The platform's log: the control records and the revisions of the teams' limits.

use vanillafold_state::TeamLimit;

#[derive(Debug, Default)]
pub(crate) struct Log {
    pub(crate) control: Vec<Vec<u8>>,
    pub(crate) limits: Vec<LimitsRevision>,
    /// Whether the platform is down.
    pub(crate) is_down: bool,
}

#[derive(Debug, Clone)]
pub(crate) struct LimitsRevision {
    pub(crate) at_ms: u64,
    pub(crate) limits: Vec<TeamLimit>,
}

/// How far the log was read.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tail {
    pub(crate) control: usize,
    pub(crate) limits: usize,
}

impl Log {
    pub(crate) fn tail(&self) -> Tail {
        Tail {
            control: self.control.len(),
            limits: self.limits.len(),
        }
    }
}
