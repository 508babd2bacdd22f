//! A unit in use, and why there is none.

use std::fmt;

use vanillafold_types::{Incarnation, Limit, TeamId};

use super::loan::LoanKey;
use super::standing::Member;

/// A team's limit as the catalogue has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamLimit {
    /// The team.
    pub team: TeamId,
    /// The most that it may have running fleet-wide.
    pub limit: Limit,
}

/// Where a unit in use came from. It goes back through
/// [`Escrow::give_back`](super::Escrow::give_back) when no target can run its work any more.
#[derive(Debug)]
#[must_use = "a unit that is dropped stays in use for good"]
pub struct UnitSource(pub(super) Source);

#[derive(Debug)]
pub(super) enum Source {
    Own,
    Borrowed(LoanKey),
}

impl UnitSource {
    /// Whether the unit is borrowed from a peer.
    #[must_use]
    pub fn is_borrowed(&self) -> bool {
        matches!(self.0, Source::Borrowed(_))
    }

    pub(super) fn borrowed(member: Member, incarnation: Incarnation) -> Self {
        Self(Source::Borrowed(LoanKey {
            member,
            incarnation,
        }))
    }
}

/// Why no unit can be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum NoUnit {
    /// The catalogue has no such team.
    #[error("the team has no limit; add the team to the catalogue")]
    UnknownTeam,
    /// This start's join was not read back yet.
    #[error("the daemon's join was not read back from the log yet; wait for it")]
    NotJoined,
    /// A later start has joined, or this one was fenced.
    #[error("this start of the daemon is superseded or fenced; start it again")]
    Superseded,
    /// The daemon stops as planned.
    #[error("the daemon is leaving; send the request to another one")]
    Leaving,
    /// An earlier start's work may still run.
    #[error("work of an earlier start of the daemon may still run; wait for the handover time")]
    Handover,
    /// The log was not read to its tail for too long.
    #[error("the floor is in use and the log was not read for too long; wait for the platform")]
    NotFresh,
    /// Every unit that this daemon holds is in use.
    #[error("every unit held here is in use; peers are asked for more")]
    AllInUse,
}

impl NoUnit {
    /// The name used in counters and logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::UnknownTeam => "unknown_team",
            Self::NotJoined => "not_joined",
            Self::Superseded => "superseded",
            Self::Leaving => "leaving",
            Self::Handover => "handover",
            Self::NotFresh => "not_fresh",
            Self::AllInUse => "all_in_use",
        }
    }
}

impl fmt::Display for UnitSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Source::Own => f.write_str("own"),
            Source::Borrowed(_) => f.write_str("borrowed"),
        }
    }
}
