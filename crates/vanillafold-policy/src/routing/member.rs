//! Members of a pool: the VMs that are its targets, the daemons that send to it, and its limits.

use std::net::SocketAddr;

use vanillafold_types::{Connections, DaemonId, Slots, VmId, ZoneId};

/// State of a VM in the membership list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// The VM takes new work.
    Live,
    /// The VM finishes its current work and takes no new work.
    Leaving,
}

/// A VM of the pool as it stands in the membership list.
#[derive(Debug, Clone)]
pub struct Member {
    /// Id of the VM.
    pub vm: VmId,
    /// Address at which the VM accepts requests.
    pub address: SocketAddr,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Whether the VM takes new work.
    pub state: MemberState,
}

/// A daemon that sends requests to the pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonMember {
    /// Id of the daemon.
    pub daemon: DaemonId,
    /// Availability zone of the daemon.
    pub zone: ZoneId,
}

/// Limits of one VM of the pool for all daemons together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLimits {
    /// Maximum number of requests that run on the VM at the same time.
    pub slots_per_vm: Slots,
    /// Maximum number of connections to the VM.
    pub connections_per_vm: Connections,
}
