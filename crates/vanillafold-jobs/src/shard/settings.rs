//! Settings of a shard.

/// Timing and limits of a shard.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Lease that each poll or start order grants, in milliseconds: how long runs continue on a
    /// worker without renewal.
    pub lease_ms: u64,
    /// Longest lease that a worker accepts, in milliseconds.
    pub max_lease_ms: u64,
    /// How long a worker may hold a poll open while it waits for the end of a run, in milliseconds.
    pub poll_wait_ms: u64,
    /// Minimum time between two polls of one worker, in milliseconds.
    pub min_poll_interval_ms: u64,
    /// Time after a takeover by which every lease of an earlier owner has expired, also on workers
    /// that can't be reached, in milliseconds.
    pub takeover_wait_ms: u64,
    /// How long the records of a finished job are kept, in milliseconds.
    pub finished_retention_ms: u64,
    /// Minimum time between the return of a VM to service after an operation and an operation of
    /// another owner on it, in milliseconds. A new owner leaves a VM alone for this long after the
    /// takeover, unless its worker has been up for longer.
    pub vm_operation_pause_ms: u64,
    /// How long maintenance makes a VM unavailable, in milliseconds.
    pub maintenance_ms: u64,
    /// Rate limit of the platform for VM operations, per second.
    pub vm_operations_per_s: u64,
    /// How long a move to another pool makes a VM unavailable, in milliseconds.
    pub move_ms: u64,
    /// How long stopping a run takes at most, in milliseconds.
    pub stop_timeout_ms: u64,
    /// How long a run takes to resume from a checkpoint, in milliseconds.
    pub restore_ms: u64,
    /// How long a run takes far from its data, or on another rack than its group, as a multiple of a
    /// near run, in thousandths; 1,000 or less if it makes no difference, so that no task waits for a
    /// near placement.
    pub remote_factor_permille: u64,
    /// Whether VMs may be moved between pools.
    pub moves_enabled: bool,
}
