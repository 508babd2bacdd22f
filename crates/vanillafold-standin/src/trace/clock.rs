//! The monotonic clock that all processes on a computer share.

const US_PER_S: u64 = 1_000_000;
const NS_PER_US: u64 = 1_000;

/// Returns the time of `CLOCK_MONOTONIC` in microseconds.
///
/// Unlike [`std::time::Instant`], the number can be compared between processes on one computer.
#[must_use]
pub fn monotonic_us() -> u64 {
    let mut now = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // The standard library has no safe function that returns this clock as a number.
    #[allow(unsafe_code)]
    // SAFETY: `now` is a valid, exclusively borrowed timespec for the length of the call.
    let status = unsafe { libc::clock_gettime(libc::CLOCK_MONOTONIC, &raw mut now) };
    assert_eq!(status, 0, "CLOCK_MONOTONIC exists on every Linux");
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanoseconds = u64::try_from(now.tv_nsec).unwrap_or(0);
    seconds * US_PER_S + nanoseconds / NS_PER_US
}
