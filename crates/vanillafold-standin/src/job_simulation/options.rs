//! What a run of the emulator is made of.

/// What a run of the emulator is made of. Chances are in thousandths for each second.
#[derive(Debug, Clone, Copy)]
pub struct FleetOptions {
    /// How many workers.
    pub workers: usize,
    /// How many jobs are handed in.
    pub jobs: u64,
    /// For how long faults come, in milliseconds.
    pub trouble_ms: u64,
    /// For how long the world is calm afterwards, in milliseconds.
    pub calm_ms: u64,
    /// The owner is lost and another takes over.
    pub owner_lost: u64,
    /// A worker is cut off and runs on.
    pub worker_cut: u64,
    /// A worker crashes and starts again.
    pub worker_crash: u64,
    /// An order gets no answer and is carried out late.
    pub order_late: u64,
    /// The store is away for some seconds.
    pub store_away: u64,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            workers: 6,
            jobs: 40,
            trouble_ms: 25_000,
            calm_ms: 45_000,
            owner_lost: 150,
            worker_cut: 60,
            worker_crash: 60,
            order_late: 30,
            store_away: 80,
        }
    }
}
