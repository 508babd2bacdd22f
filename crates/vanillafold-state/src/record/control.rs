//! The records of the `control` stream.

use bincode::{Decode, Encode};
use vanillafold_types::{DaemonId, Incarnation, PoolId, Revision, VmId};

use super::Record;
use crate::SnapshotChunk;

/// A record of the `control` stream.
pub type ControlRecord = Record<ControlChange>;

/// What daemons decide.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum ControlChange {
    /// Moves a VM to another pool.
    MoveVm {
        /// The VM.
        vm: VmId,
        /// The pool that it belongs to; its home pool if it never moved. The fold doesn't know
        /// home pools, so the writer checks this against the platform's list before the append.
        from: PoolId,
        /// The pool that it goes to.
        to: PoolId,
        /// The revision of its last move; 0 if it never moved.
        expected_revision: Revision,
    },
    /// Puts a VM back into its home pool and forgets that it moved. For VMs that are gone too,
    /// so that their moves don't pile up.
    ReturnVm {
        /// The VM.
        vm: VmId,
        /// The revision of its last move.
        expected_revision: Revision,
    },
    /// A piece of a snapshot. It changes nothing, and its sequence isn't counted.
    Snapshot(SnapshotChunk),
    /// A daemon has started; its earlier starts are superseded.
    Join {
        /// The daemon.
        daemon: DaemonId,
        /// The VM that it runs on.
        vm: VmId,
        /// Which start this is; larger than every earlier one.
        incarnation: Incarnation,
    },
    /// A daemon's VM is gone: that start may begin no more work. The writer checks that the
    /// platform's list has shown the VM gone for longer than the list's lag.
    Fence {
        /// The daemon.
        daemon: DaemonId,
        /// The start that is fenced.
        incarnation: Incarnation,
    },
    /// An operator vouches that superseded starts of a daemon are dead, not just cut off.
    Release {
        /// The daemon.
        daemon: DaemonId,
        /// The latest start that is dead; every earlier one is too.
        incarnation: Incarnation,
    },
    /// A daemon stops as planned: that start holds and lends nothing and has no work running.
    Leave {
        /// The daemon.
        daemon: DaemonId,
        /// The start that leaves.
        incarnation: Incarnation,
        /// Whether the work of every start that was released is over too.
        is_floor_settled: bool,
    },
}
