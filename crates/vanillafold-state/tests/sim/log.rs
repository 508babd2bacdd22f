//! The platform's log: the control records, and the limits as the catalogue has them.

use vanillafold_state::TeamLimit;

#[derive(Debug, Default)]
pub(crate) struct Log {
    pub(crate) control: Vec<Vec<u8>>,
    pub(crate) limits: Vec<LimitsRevision>,
    pub(crate) is_out: bool,
}

#[derive(Debug, Clone)]
pub(crate) struct LimitsRevision {
    pub(crate) at_ms: u64,
    pub(crate) limits: Vec<TeamLimit>,
}

/// What a read found.
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
