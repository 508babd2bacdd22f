//! Who takes part: targets, daemons and what one target takes.

use std::net::SocketAddr;

use vanillafold_types::{Connections, DaemonId, Slots, VmId, ZoneId};

/// Whether a VM takes new work, as the membership list says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// It takes new work.
    Live,
    /// It finishes what it has.
    Leaving,
}

/// A VM of the pool, as the membership list says.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its name.
    pub vm: VmId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it takes new work.
    pub state: MemberState,
}

/// A daemon that sends to the pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonMember {
    /// Its name.
    pub daemon: DaemonId,
    /// Its availability zone.
    pub zone: ZoneId,
}

/// What one VM of the pool takes from all daemons together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLimits {
    /// What it runs at a time.
    pub slots_per_vm: Slots,
    /// Its connections.
    pub connections_per_vm: Connections,
}
