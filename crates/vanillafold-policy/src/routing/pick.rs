//! Input and result of a pick, health checks that are due, and the state of targets for operators.

use std::net::SocketAddr;

use vanillafold_types::{Connections, Millis, Slots, VmId, ZoneId};

/// Constraints that the request puts on a pick.
#[derive(Debug, Clone, Copy)]
pub struct PickOptions<'a> {
    /// Whether the request may run twice. A request that may not probes an ejected target only if
    /// no other target is available.
    pub idempotent: bool,
    /// Targets that must not be picked, because this request has already failed there.
    pub exclude: &'a [VmId],
}

/// A target that was picked for one send.
///
/// Pass it to [`TargetTable::send_started`](super::TargetTable::send_started) before the next await
/// point and to [`TargetTable::send_finished`](super::TargetTable::send_finished) when the send has
/// ended.
#[derive(Debug)]
#[must_use = "a started pick must be finished"]
pub struct PickedTarget {
    pub(crate) vm: VmId,
    pub(crate) address: SocketAddr,
    pub(crate) probe: bool,
}

impl PickedTarget {
    /// Returns the id of the target.
    #[must_use]
    pub const fn vm(&self) -> &VmId {
        &self.vm
    }

    /// Returns the address at which the target accepts requests.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether this send probes an ejected target.
    #[must_use]
    pub const fn is_probe(&self) -> bool {
        self.probe
    }
}

/// Why no target was picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PickRefusal {
    /// No target of the pool is live, in a zone that is not evacuated and assigned to this daemon.
    #[error(
        "no target of the pool is live, in a zone that is not evacuated and assigned to this daemon; \
         wait for the membership list"
    )]
    NoTarget,
    /// Every usable target was excluded by the request.
    #[error("this request has failed at every usable target; pick again without exclusions")]
    AllExcluded,
    /// Every usable target is full.
    #[error("all slots of every usable target are in use; pick again in {recheck_after_ms}")]
    AllBusy {
        /// Time after which a pick may succeed. It may succeed earlier if a send ends.
        recheck_after_ms: Millis,
    },
    /// Every live target is ejected for failures.
    #[error("every live target is ejected for failures; pick again in {recheck_after_ms}")]
    AllEjected {
        /// Time after which the first target may be probed.
        recheck_after_ms: Millis,
    },
}

impl PickRefusal {
    /// Returns the name that counters and logs use.
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

/// A health check that is due now.
#[derive(Debug)]
pub struct HealthCheck {
    /// Id of the target.
    pub vm: VmId,
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
}

/// Whether a target can be picked now, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetStatus {
    /// The target can be picked.
    Available,
    /// All slots of the target are in use, by this daemon's count, the target's report or the
    /// estimate of external load.
    Busy,
    /// The target is ejected for failures.
    Ejected,
    /// The ejection is over, and one request at a time may probe the target.
    ProbeDue,
    /// The target finishes its current work and takes no new work.
    Leaving,
    /// The target's zone is evacuated: the target finishes its current work and gets no new work.
    Evacuated,
    /// The target has left the membership list and finishes its current work.
    Removed,
    /// The split of connections gives this daemon none to the target.
    Unassigned,
}

impl TargetStatus {
    /// Returns the name that counters and logs use.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Available => "open",
            Self::Busy => "busy",
            Self::Ejected => "set_aside",
            Self::ProbeDue => "half_open",
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
            Self::Removed => "removed",
            Self::Unassigned => "out_of_reach",
        }
    }
}

/// The state of one target, for the state page and the counters.
#[derive(Debug)]
pub struct TargetView<'a> {
    /// Id of the target.
    pub vm: &'a VmId,
    /// Availability zone of the target.
    pub zone: &'a ZoneId,
    /// Whether the target can be picked now.
    pub status: TargetStatus,
    /// Sends of this daemon to the target that have not ended.
    pub outstanding: Slots,
    /// Estimate of the slots that other daemons use at the target.
    pub external_load: Slots,
    /// Open connections of this daemon to the target.
    pub connections: Connections,
    /// Maximum number of connections that this daemon may open to the target.
    pub connections_allowed: Connections,
}
