//! The records of the `control` stream.

use bincode::{Decode, Encode};
use vanillafold_types::{DaemonId, Incarnation, PoolId, Revision, VmId};

use super::Record;
use crate::SnapshotChunk;

/// A record of the `control` stream.
pub type ControlRecord = Record<ControlChange>;

/// A change of a VM's pool or of the roster, or a chunk of a snapshot; written by daemons.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum ControlChange {
    /// Moves a VM to another pool.
    MoveVm {
        /// The VM to move.
        vm: VmId,
        /// The VM's present pool; its home pool if it was never moved. The fold doesn't know home
        /// pools, so the writer must check this against the platform's list before the append.
        from: PoolId,
        /// The VM's new pool.
        to: PoolId,
        /// The revision of the VM's last move; 0 if it was never moved.
        expected_revision: Revision,
    },
    /// Returns a VM to its home pool and removes its membership. It is also written for VMs that no
    /// longer exist, so that their memberships don't accumulate.
    ReturnVm {
        /// The VM to return.
        vm: VmId,
        /// The revision of the VM's last move.
        expected_revision: Revision,
    },
    /// A chunk of a snapshot. It doesn't change the state, so repeats aren't detected by its
    /// sequence.
    Snapshot(SnapshotChunk),
    /// A daemon has started. Its earlier incarnations are superseded.
    Join {
        /// The name of the daemon.
        daemon: DaemonId,
        /// The VM that the daemon runs on.
        vm: VmId,
        /// The new incarnation; larger than every earlier one of this daemon.
        incarnation: Incarnation,
    },
    /// A daemon's VM is gone: the incarnation must not start any more work. The writer must check
    /// that the VM has been missing from the platform's list for longer than the list's lag.
    Fence {
        /// The name of the daemon.
        daemon: DaemonId,
        /// The incarnation to fence.
        incarnation: Incarnation,
    },
    /// An operator confirms that superseded incarnations of a daemon are dead, not just
    /// partitioned.
    Release {
        /// The name of the daemon.
        daemon: DaemonId,
        /// The latest incarnation that is dead; every earlier one is dead too.
        incarnation: Incarnation,
    },
    /// A daemon shuts down as planned: the incarnation holds and lends no units and runs no work.
    Leave {
        /// The name of the daemon.
        daemon: DaemonId,
        /// The incarnation that leaves.
        incarnation: Incarnation,
        /// Whether the work of every released incarnation has ended too.
        is_floor_settled: bool,
    },
}
