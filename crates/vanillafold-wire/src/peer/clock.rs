//! A monotonic clock that goes on while the machine or the process is suspended.

use std::fmt;
use std::time::Duration;

const MILLIS_PER_SECOND: u64 = 1_000;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// Milliseconds since the machine was started, time in suspension included.
///
/// Comparable only between readings on one machine since its last start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootMillis(u64);

impl BootMillis {
    /// Wraps a reading that was taken before.
    #[must_use]
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// The reading in milliseconds.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// How long after `earlier` this is; zero if it is not after it.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The reading after `duration` more; the end of the range if there is none.
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
/// A process that was stopped, or whose machine slept, sees on its next reading how long
/// it was away; `CLOCK_MONOTONIC` leaves the machine's sleep out.
#[derive(Debug)]
pub struct BootClock;

impl BootClock {
    /// The time now.
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
