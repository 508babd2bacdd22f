//! Amounts of CPU, memory and accelerators.

use bincode::{Decode, Encode};

/// Capacity of a worker, or the part of it that tasks need or use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in mebibytes.
    pub memory_mib: u64,
    /// Number of accelerators.
    pub gpus: u64,
}

impl Resources {
    /// Adds `other`; each component stops at the largest number.
    pub fn add(&mut self, other: Self) {
        self.cpu_millis = self.cpu_millis.saturating_add(other.cpu_millis);
        self.memory_mib = self.memory_mib.saturating_add(other.memory_mib);
        self.gpus = self.gpus.saturating_add(other.gpus);
    }

    /// Subtracts `other`; each component stops at zero.
    pub fn subtract(&mut self, other: Self) {
        self.cpu_millis = self.cpu_millis.saturating_sub(other.cpu_millis);
        self.memory_mib = self.memory_mib.saturating_sub(other.memory_mib);
        self.gpus = self.gpus.saturating_sub(other.gpus);
    }

    /// Returns these resources `count` times; each component stops at the largest number.
    #[must_use]
    pub const fn times(self, count: u64) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            gpus: self.gpus.saturating_mul(count),
        }
    }

    /// Returns the smaller of each component.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.min(other.cpu_millis),
            memory_mib: self.memory_mib.min(other.memory_mib),
            gpus: self.gpus.min(other.gpus),
        }
    }

    /// Returns whether `more` fits into the capacity `self` beside `used`.
    #[must_use]
    pub const fn fits(self, used: Self, more: Self) -> bool {
        const fn within(capacity: u64, used: u64, more: u64) -> bool {
            match used.checked_add(more) {
                Some(sum) => sum <= capacity,
                None => false,
            }
        }
        within(self.cpu_millis, used.cpu_millis, more.cpu_millis)
            && within(self.memory_mib, used.memory_mib, more.memory_mib)
            && within(self.gpus, used.gpus, more.gpus)
    }

    /// Returns how many times `each` fits into the capacity `self` beside `used`. What needs nothing
    /// fits any number of times.
    #[must_use]
    pub fn fitting(self, used: Self, each: Self) -> u64 {
        let within = |capacity: u64, used: u64, each: u64| match capacity.checked_sub(used) {
            Some(free) if each > 0 => free / each,
            Some(_) => u64::MAX,
            None => 0,
        };
        within(self.cpu_millis, used.cpu_millis, each.cpu_millis)
            .min(within(self.memory_mib, used.memory_mib, each.memory_mib))
            .min(within(self.gpus, used.gpus, each.gpus))
    }

    /// Returns whether `used` and `more` together stay within the limit `self`, where a component
    /// of zero means no limit.
    #[must_use]
    pub const fn allows(self, used: Self, more: Self) -> bool {
        const fn within(limit: u64, used: u64, more: u64) -> bool {
            match used.checked_add(more) {
                _ if limit == 0 || more == 0 => true,
                Some(sum) => sum <= limit,
                None => false,
            }
        }
        within(self.cpu_millis, used.cpu_millis, more.cpu_millis)
            && within(self.memory_mib, used.memory_mib, more.memory_mib)
            && within(self.gpus, used.gpus, more.gpus)
    }
}
