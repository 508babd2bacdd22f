//! The result of a pick, and what the table shows of its targets.

use std::net::SocketAddr;

use vanillafold_types::{Connections, Millis, Slots, VmId, ZoneId};

/// What the request to be sent allows.
#[derive(Debug, Clone, Copy)]
pub struct PickOptions<'a> {
    /// Whether the request may run twice; others probe a target set aside only in need.
    pub idempotent: bool,
    /// Targets that must not be picked: those that this request has failed at.
    pub exclude: &'a [VmId],
}

/// A target that was picked for one send.
///
/// Hand it to [`TargetTable::started`](super::TargetTable::send_started) before the next await point
/// and to [`TargetTable::finished`](super::TargetTable::send_finished) when the send ended.
#[derive(Debug)]
#[must_use = "a started pick must be finished"]
pub struct PickedTarget {
    pub(crate) vm: VmId,
    pub(crate) address: SocketAddr,
    pub(crate) probe: bool,
}

impl PickedTarget {
    /// The target.
    #[must_use]
    pub const fn vm(&self) -> &VmId {
        &self.vm
    }

    /// Where it takes requests.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether this send probes a target that was set aside.
    #[must_use]
    pub const fn is_probe(&self) -> bool {
        self.probe
    }
}

/// Why no target was picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PickRefusal {
    /// None is live and within reach.
    #[error("no target of the pool is live and within reach; wait for the membership list")]
    NoTarget,
    /// Every usable one was excluded by the request.
    #[error("this request has failed at each usable target; pick again without exclusions")]
    AllExcluded,
    /// Every usable one is full.
    #[error("the slots of each usable target are full; pick again in {recheck_after_ms}")]
    AllBusy {
        /// When a pick may go otherwise, unless a send ends before.
        recheck_after_ms: Millis,
    },
    /// Every live one is set aside for failures.
    #[error("each live target is set aside for failures; pick again in {recheck_after_ms}")]
    AllEjected {
        /// When the first one may be probed.
        recheck_after_ms: Millis,
    },
}

impl PickRefusal {
    /// The name used in counters and logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::NoTarget => "no_target",
            Self::AllExcluded => "all_excluded",
            Self::AllBusy { .. } => "all_busy",
            Self::AllEjected { .. } => "all_set_aside",
        }
    }
}

/// A target whose health is to be probed now.
#[derive(Debug)]
pub struct HealthCheck {
    /// The target.
    pub vm: VmId,
    /// Where it takes requests.
    pub address: SocketAddr,
}

/// What a target takes now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetStatus {
    /// It takes requests.
    Available,
    /// Its slots are full.
    Busy,
    /// It is set aside for failures.
    Ejected,
    /// Its time aside is over; one request at a time may probe it.
    HalfOpen,
    /// It finishes what it has.
    Leaving,
    /// It left the membership list and finishes what it has.
    Removed,
    /// This daemon has no connections to it.
    Unassigned,
}

impl TargetStatus {
    /// The name used in counters and logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Available => "open",
            Self::Busy => "busy",
            Self::Ejected => "set_aside",
            Self::HalfOpen => "half_open",
            Self::Leaving => "leaving",
            Self::Removed => "removed",
            Self::Unassigned => "out_of_reach",
        }
    }
}

/// One target as the state page and the counters show it.
#[derive(Debug)]
pub struct TargetView<'a> {
    /// The target.
    pub vm: &'a VmId,
    /// Its availability zone.
    pub zone: &'a ZoneId,
    /// What it takes now.
    pub status: TargetStatus,
    /// Sends of this daemon that have not ended.
    pub outstanding: Slots,
    /// What other daemons are thought to have there.
    pub external_load: Slots,
    /// Open connections of this daemon.
    pub connections: Connections,
    /// The most connections that this daemon may open.
    pub connections_allowed: Connections,
}
