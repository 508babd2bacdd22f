//! Clock readings.

use std::time::{SystemTime, UNIX_EPOCH};

use vanillafold_policy::MonotonicMillis;
use vanillafold_wire::BootClock;

/// Returns the time since boot on a monotonic clock that includes time spent suspended.
pub(crate) fn now() -> MonotonicMillis {
    MonotonicMillis::new(BootClock::now().get())
}

/// Returns the wall-clock time in milliseconds since 1970, or 0 if the clock is set before that.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
