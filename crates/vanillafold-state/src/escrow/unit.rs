//! Units in use, and the reasons why none can be taken.

use std::fmt;

use vanillafold_types::{Incarnation, Limit, TeamId};

use super::loan::LoanKey;
use super::status::MemberIndex;

/// A team's limit from the catalogue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamLimit {
    /// The team that the limit applies to.
    pub team: TeamId,
    /// The most requests of the team that may run at once in the whole fleet.
    pub limit: Limit,
}

/// A unit in use and its origin. It must be given back by
/// [`Escrow::give_back`](super::Escrow::give_back) once no target can run its work any more.
#[derive(Debug)]
#[must_use = "a unit that is dropped stays in use forever"]
pub struct UnitSource(pub(super) Source);

#[derive(Debug)]
pub(super) enum Source {
    Own,
    Borrowed(LoanKey),
}

impl UnitSource {
    /// Returns whether the unit is borrowed from a peer.
    #[must_use]
    pub fn is_borrowed(&self) -> bool {
        matches!(self.0, Source::Borrowed(_))
    }

    pub(super) fn borrowed(member: MemberIndex, incarnation: Incarnation) -> Self {
        Self(Source::Borrowed(LoanKey {
            member,
            incarnation,
        }))
    }
}

/// The reason why no unit can be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum NoUnit {
    /// The team is not in the catalogue.
    #[error("the team has no limit; add the team to the catalogue")]
    UnknownTeam,
    /// The join of this incarnation was not read back from the log yet.
    #[error("the daemon's join record was not read back from the log yet; retry later")]
    NotJoined,
    /// A later incarnation has joined, or this one was fenced or has left.
    #[error("this incarnation of the daemon is superseded or fenced; restart the daemon")]
    Superseded,
    /// The daemon is in a planned stop.
    #[error("the daemon is leaving; send the request to another one")]
    Leaving,
    /// Work of an earlier incarnation may still run.
    #[error(
        "work of an earlier incarnation of the daemon may still run; retry after the handover time"
    )]
    Handover,
    /// The log was not read up to its tail within the last `fence_ms`.
    #[error("the floor is in use and the log was not read recently; check the platform")]
    NotFresh,
    /// Every unit that this daemon owns or has borrowed is in use.
    #[error("every unit of the team in this daemon is in use; more units are requested from peers")]
    AllInUse,
}

impl NoUnit {
    /// Returns the reason's name in metrics and log lines.
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
