//! The clocks.

use std::time::{SystemTime, UNIX_EPOCH};

use vanillafold_policy::MonotonicMillis;
use vanillafold_wire::BootClock;

/// The time on a clock that never goes back and counts suspensions.
pub(crate) fn now() -> MonotonicMillis {
    MonotonicMillis::new(BootClock::now().get())
}

/// The time of day, milliseconds since 1970; 0 on a clock before that.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
