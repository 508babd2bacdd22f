//! A monotonic clock that also counts the time during which the VM is suspended.

use std::fmt;
use std::time::Duration;

const MILLIS_PER_SECOND: u64 = 1_000;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// Milliseconds since the VM booted, including time in which it was suspended.
///
/// Only readings taken on the same VM since its last boot can be compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootMillis(u64);

impl BootMillis {
    /// Returns the reading for a number of milliseconds since boot, for example one that
    /// [`get`](Self::get) returned.
    #[must_use]
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the reading in milliseconds.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the time from `earlier` to this reading; zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the reading `duration` later, saturating at the largest reading.
    #[must_use]
    pub fn plus(self, duration: Duration) -> Self {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}

impl fmt::Display for BootMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// Reads `CLOCK_BOOTTIME`.
///
/// After the process was stopped or the VM was suspended, the next reading includes that
/// time; `CLOCK_MONOTONIC` leaves out the time in which the VM is suspended.
#[derive(Debug)]
pub struct BootClock;

impl BootClock {
    /// Returns the current time.
    ///
    /// # Panics
    ///
    /// Panics if the kernel has no `CLOCK_BOOTTIME`; Linux has had it since 2.6.39.
    #[must_use]
    // `clock_gettime` has no safe form in the libraries that the workspace uses.
    #[allow(unsafe_code)]
    pub fn now() -> BootMillis {
        let mut time = libc::timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        // SAFETY: `time` is a valid, exclusively borrowed `timespec` for the whole call,
        // and the call keeps no pointer to it.
        let status = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &raw mut time) };
        assert_eq!(status, 0, "the kernel has no CLOCK_BOOTTIME");
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
        BootMillis(seconds * MILLIS_PER_SECOND + nanos / NANOS_PER_MILLI)
    }
}
