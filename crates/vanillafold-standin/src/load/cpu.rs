//! CPU time that this process has used.

use super::CpuTime;

const US_PER_S: u64 = 1_000_000;

/// Returns the CPU time that this process has used so far.
pub(crate) fn cpu_time() -> CpuTime {
    // SAFETY: all bytes zero is a valid rusage.
    #[allow(unsafe_code)]
    // The standard library has no safe function that returns the CPU time of the process.
    let mut usage: libc::rusage = unsafe { std::mem::zeroed() };
    #[allow(unsafe_code)]
    // SAFETY: `usage` is a valid, exclusively borrowed rusage for the duration of the call.
    let status = unsafe { libc::getrusage(libc::RUSAGE_SELF, &raw mut usage) };
    assert_eq!(status, 0, "RUSAGE_SELF exists on every Unix");
    CpuTime {
        user_us: micros(usage.ru_utime),
        system_us: micros(usage.ru_stime),
    }
}

fn micros(time: libc::timeval) -> u64 {
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let micros = u64::try_from(time.tv_usec).unwrap_or(0);
    seconds * US_PER_S + micros
}
