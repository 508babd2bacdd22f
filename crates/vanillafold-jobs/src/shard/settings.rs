//! What a shard is run with.

/// What a shard is run with.
#[derive(Debug, Clone)]
pub struct Settings {
    /// How long what runs on a worker goes on without being renewed, in milliseconds.
    pub lease_ms: u64,
    /// The longest lease that a worker gives, in milliseconds.
    pub max_lease_ms: u64,
    /// How long a look waits for an end, in milliseconds.
    pub poll_wait_ms: u64,
    /// The least time between two looks at one worker, in milliseconds.
    pub min_poll_interval_ms: u64,
    /// How long after taking over everything is gone that an earlier owner started on a worker
    /// that can't be reached, in milliseconds.
    pub takeover_wait_ms: u64,
    /// How long the records of a job that is over are kept, in milliseconds.
    pub finished_retention_ms: u64,
    /// How long a machine that is there again after an order must wait for an order of another
    /// owner, in milliseconds.
    pub vm_operation_pause_ms: u64,
    /// Orders about machines that the platform takes in a second.
    pub vm_operations_per_s: u64,
    /// Whether machines may be moved between pools.
    pub moves_enabled: bool,
}
