//! Amounts of processor, memory and accelerators.

use bincode::{Decode, Encode};

/// An amount of what a worker has and a task takes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_millis: u64,
    /// Mebibytes.
    pub memory_mib: u64,
    /// Accelerators.
    pub gpus: u64,
}

impl Resources {
    /// Adds `other`.
    pub fn add(&mut self, other: Self) {
        self.cpu_millis += other.cpu_millis;
        self.memory_mib += other.memory_mib;
        self.gpus += other.gpus;
    }

    /// Takes `other` off; an amount that was never added counts as zero left.
    pub fn remove(&mut self, other: Self) {
        self.cpu_millis = self.cpu_millis.saturating_sub(other.cpu_millis);
        self.memory_mib = self.memory_mib.saturating_sub(other.memory_mib);
        self.gpus = self.gpus.saturating_sub(other.gpus);
    }

    /// Whether `more` fits into `self` beside `used`.
    #[must_use]
    pub const fn fits(self, used: Self, more: Self) -> bool {
        used.cpu_millis + more.cpu_millis <= self.cpu_millis
            && used.memory_mib + more.memory_mib <= self.memory_mib
            && used.gpus + more.gpus <= self.gpus
    }

    /// Whether `used` and `more` stay below `self`, where zero means no limit.
    #[must_use]
    pub const fn allows(self, used: Self, more: Self) -> bool {
        const fn within(limit: u64, used: u64, more: u64) -> bool {
            limit == 0 || more == 0 || used + more <= limit
        }
        within(self.cpu_millis, used.cpu_millis, more.cpu_millis)
            && within(self.memory_mib, used.memory_mib, more.memory_mib)
            && within(self.gpus, used.gpus, more.gpus)
    }
}
