//! The points that must always hold.

use std::fmt;

use serde::Serialize;

/// A point that must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Invariant {
    /// Each pool keeps its fewest available VMs.
    AvailabilityBudget,
    /// Each VM is in exactly one pool in each view of a daemon.
    OnePool,
    /// Work is begun only for the team of the request's key, while the key is valid.
    TeamKey,
    /// No team has more running than its limit.
    TeamLimit,
    /// Each request has one end, and an answer is the whole one to that request.
    WholeAnswer,
    /// What was refused as not run did not run.
    NotRunTrue,
    /// A non-idempotent request starts at most once.
    AtMostOnce,
    /// A leaving VM gets no new work.
    Leaving,
    /// A planned stop cuts off no request.
    GracefulStop,
    /// The configuration that a daemon shows never goes back.
    ConfigMonotonic,
    /// An accepted configuration is soon in force everywhere.
    ConfigInForce,
}

impl Invariant {
    /// The name in the audit's report.
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
