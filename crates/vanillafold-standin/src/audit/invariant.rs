//! The invariants of the system, with their names in the report.

use std::fmt;

use serde::Serialize;

/// A property of the system that must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Invariant {
    /// Each pool keeps at least its minimum number of available VMs.
    AvailabilityBudget,
    /// Each VM is in exactly one pool in every daemon's view of the VMs.
    OnePool,
    /// Work is started only for the team of the request's key, and only while the key is valid.
    TeamKey,
    /// No team has more requests running than its limit.
    TeamLimit,
    /// Each request ends once, and each answer is complete and belongs to its request.
    WholeAnswer,
    /// A request that was refused with the outcome `not-run` did not run.
    NotRunTrue,
    /// A non-idempotent request is started at most once.
    AtMostOnce,
    /// A leaving VM is given no new work after the settle time.
    Leaving,
    /// A VM of an evacuated zone is given no new work after the settle time.
    EvacuatedZone,
    /// A planned stop of a daemon interrupts no request.
    GracefulStop,
    /// The configuration offset that a daemon process shows never decreases.
    ConfigMonotonic,
    /// An accepted configuration edit is in force at each daemon within the settle time.
    ConfigInForce,
}

impl Invariant {
    /// Returns the name in the audit's report.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::AvailabilityBudget => "availability-budget",
            Self::OnePool => "one-pool",
            Self::TeamKey => "team-key",
            Self::TeamLimit => "team-limit",
            Self::WholeAnswer => "whole-answer",
            Self::NotRunTrue => "not-run-true",
            Self::AtMostOnce => "at-most-once",
            Self::Leaving => "leaving",
            Self::EvacuatedZone => "evacuated-zone",
            Self::GracefulStop => "graceful-stop",
            Self::ConfigMonotonic => "config-monotonic",
            Self::ConfigInForce => "config-in-force",
        }
    }
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
