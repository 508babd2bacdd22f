//! Stored limits of attempts.

use bincode::{Decode, Encode};

/// How often a task of a queue may fail, as a configuration says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct AttemptLimit {
    /// Version of that configuration.
    pub config_version: u64,
    /// Number of failed runs of one task after which its job fails.
    pub max_attempts: u32,
}
