//! Which starts of the daemons count, with the times at which this daemon learnt it.

use vanillafold_types::{DaemonId, Incarnation};

use super::{BootMillis, EscrowSettings};
use crate::Roster;

/// A daemon's place in the sorted fleet list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Member(pub(super) u16);

impl Member {
    pub(super) fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// What this daemon knows of a fleet member.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Standing {
    incarnation: Option<Incarnation>,
    is_fenced: bool,
    has_left: bool,
    /// When this daemon first saw it like this.
    since: BootMillis,
}

impl Standing {
    /// The start that may hold units, if there is one.
    pub(super) fn current(&self) -> Option<Incarnation> {
        self.incarnation
            .filter(|_| !self.is_fenced && !self.has_left)
    }

    pub(super) fn is_current(&self, incarnation: Incarnation) -> bool {
        self.current() == Some(incarnation)
    }

    /// Whether every start is fenced, for so long that none holds units any more.
    pub(super) fn is_gone(&self, settings: &EscrowSettings, now: BootMillis) -> bool {
        self.is_fenced && now.since(self.since) >= settings.handover_ms()
    }

    pub(super) fn read(&mut self, daemon: &DaemonId, roster: &Roster, now: BootMillis) {
        let Some(member) = roster.member(daemon) else {
            return;
        };
        let seen = Self {
            incarnation: Some(member.incarnation),
            is_fenced: member.is_fenced,
            has_left: member.has_left,
            since: self.since,
        };
        if seen != *self {
            *self = Self { since: now, ..seen };
        }
    }
}

/// What this daemon knows of its own start.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct OwnStanding {
    joined_at: Option<BootMillis>,
    has_predecessor: bool,
    /// Whether nothing of an earlier start could use the floor at the join.
    is_floor_settled: bool,
    /// Since when no earlier start can be alive behind a cut.
    alone_since: Option<BootMillis>,
    is_superseded: bool,
}

impl OwnStanding {
    pub(super) fn is_joined(&self) -> bool {
        self.joined_at.is_some()
    }

    pub(super) fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    pub(super) fn read(
        &mut self,
        daemon: &DaemonId,
        own: Incarnation,
        roster: &Roster,
        now: BootMillis,
    ) {
        let Some(member) = roster.member(daemon) else {
            return;
        };
        let is_own = member.incarnation == own;
        self.is_superseded |= member.incarnation > own || (is_own && !member.is_current());
        if is_own && self.joined_at.is_none() {
            self.joined_at = Some(now);
            self.has_predecessor = member.has_predecessor;
            self.is_floor_settled = member.is_floor_settled;
        }
        if is_own && member.unreleased.is_empty() && self.alone_since.is_none() {
            self.alone_since = Some(now);
        }
    }

    /// Whether nothing of an earlier start can use the surplus any more.
    pub(super) fn is_surplus_open(&self, settings: &EscrowSettings, now: BootMillis) -> bool {
        self.joined_at
            .is_some_and(|at| !self.has_predecessor || now.since(at) >= settings.handover_ms())
    }

    /// Whether nothing of an earlier start can use the floor any more.
    pub(super) fn is_floor_open(&self, settings: &EscrowSettings, now: BootMillis) -> bool {
        self.alone_since
            .is_some_and(|at| self.is_floor_settled || now.since(at) >= settings.drain_ms())
    }
}

/// A slice of a fenced daemon's surplus that this daemon may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Takeover {
    pub(super) from: Member,
    pub(super) slice: usize,
}

/// The slices that fall to `own`: a slice belongs to the first daemon of its chain that is not
/// gone, where each slice's chain begins at another neighbour of the fenced daemon.
pub(super) fn takeovers(
    own: Member,
    fleet: &[Standing],
    settings: &EscrowSettings,
    now: BootMillis,
) -> Vec<Takeover> {
    let daemons = fleet.len();
    let is_gone = |index: usize| fleet[index].is_gone(settings, now);
    let mut found = Vec::new();
    for from in (0..daemons).filter(|index| *index != own.index() && is_gone(*index)) {
        for slice in 0..daemons - 1 {
            let mut chain = (0..daemons - 1)
                .map(|step| (from + 1 + (slice + step) % (daemons - 1)) % daemons)
                .skip_while(|index| is_gone(*index));
            if chain.next() == Some(own.index()) {
                found.push(Takeover {
                    from: Member(u16::try_from(from).unwrap_or(u16::MAX)),
                    slice,
                });
            }
        }
    }
    found
}
