//! Status of the fleet's members in the roster, with the times at which this daemon learnt of it.

use vanillafold_types::{DaemonId, Incarnation};

use super::{BootMillis, EscrowSettings};
use crate::Roster;

/// A daemon's index in the sorted fleet list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MemberIndex(pub(super) u16);

impl MemberIndex {
    pub(super) fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// A fleet member's status as this daemon last read it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct MemberStatus {
    incarnation: Option<Incarnation>,
    is_fenced: bool,
    has_left: bool,
    /// When this daemon first read this status.
    since: BootMillis,
}

impl MemberStatus {
    /// Returns the incarnation that may hold units, if there is one.
    pub(super) fn current(&self) -> Option<Incarnation> {
        self.incarnation
            .filter(|_| !self.is_fenced && !self.has_left)
    }

    pub(super) fn is_current(&self, incarnation: Incarnation) -> bool {
        self.current() == Some(incarnation)
    }

    /// Returns whether the daemon has been fenced for longer than the handover time, so that none
    /// of its incarnations can hold units any more.
    pub(super) fn is_gone(&self, settings: &EscrowSettings, now: BootMillis) -> bool {
        self.is_fenced && now.since(self.since) >= settings.handover_ms()
    }

    /// Updates the status from the roster; a daemon that never joined keeps its status.
    pub(super) fn update(&mut self, daemon: &DaemonId, roster: &Roster, now: BootMillis) {
        let Some(member) = roster.member(daemon) else {
            return;
        };
        let current = Self {
            incarnation: Some(member.incarnation),
            is_fenced: member.is_fenced,
            has_left: member.has_left,
            since: self.since,
        };
        if current != *self {
            *self = Self {
                since: now,
                ..current
            };
        }
    }
}

/// The status of this daemon's own incarnation.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct OwnStatus {
    joined_at: Option<BootMillis>,
    has_predecessor: bool,
    /// Whether no earlier incarnation could use the floor when this one joined.
    is_floor_settled: bool,
    /// When every earlier incarnation was first known to be dead. Until then one may still be alive
    /// in a network partition.
    predecessors_dead_since: Option<BootMillis>,
    is_superseded: bool,
}

impl OwnStatus {
    pub(super) fn is_joined(&self) -> bool {
        self.joined_at.is_some()
    }

    pub(super) fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    pub(super) fn update(
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
        if is_own && member.unreleased.is_empty() && self.predecessors_dead_since.is_none() {
            self.predecessors_dead_since = Some(now);
        }
    }

    /// Returns whether no earlier incarnation can still use the surplus.
    pub(super) fn is_surplus_open(&self, settings: &EscrowSettings, now: BootMillis) -> bool {
        self.joined_at
            .is_some_and(|at| !self.has_predecessor || now.since(at) >= settings.handover_ms())
    }

    /// Returns whether no earlier incarnation can still use the floor.
    pub(super) fn is_floor_open(&self, settings: &EscrowSettings, now: BootMillis) -> bool {
        self.predecessors_dead_since
            .is_some_and(|at| self.is_floor_settled || now.since(at) >= settings.drain_ms())
    }
}

/// A slice of the surplus of the fenced daemon `from` that this daemon may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Takeover {
    pub(super) from: MemberIndex,
    pub(super) slice: usize,
}

/// Returns the slices of fenced daemons' surplus that fall to `own`.
///
/// Each slice has a chain of the other daemons, which begins at a different neighbour of the fenced
/// daemon; the first daemon in the chain that is not gone itself takes the slice.
pub(super) fn takeovers(
    own: MemberIndex,
    fleet: &[MemberStatus],
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
                    from: MemberIndex(u16::try_from(from).unwrap_or(u16::MAX)),
                    slice,
                });
            }
        }
    }
    found
}
