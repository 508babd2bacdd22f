//! What a simulation has done.

use vanillafold_jobs::Shard;

/// What a simulation has done.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SimulationCounts {
    /// The number of start orders that were executed.
    pub starts: u64,
    /// The number of persistent runs that were stopped because of an evacuation.
    pub replaced: u64,
    /// The number of checkpointing runs that were stopped because of an evacuation.
    pub resumed: u64,
}

impl SimulationCounts {
    /// Adds what an owner has counted, if there is one, at the end of its ownership.
    pub(super) fn add_ownership(&mut self, shard: Option<&Shard>) {
        let moved = shard.map(Shard::evacuation_counts).unwrap_or_default();
        self.replaced += moved.replaced;
        self.resumed += moved.resumed;
    }
}
