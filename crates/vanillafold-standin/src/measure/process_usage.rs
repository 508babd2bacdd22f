//! CPU time and memory of a process, read from `/proc`.

use std::fs;

use crate::rig::RigError;

/// The length of a clock tick in microseconds: Linux reports CPU times to programs in ticks of which
/// there are 100 per second.
const US_PER_TICK: u64 = 10_000;
const BYTES_PER_KIB: u64 = 1024;

/// The index of `utime` in `/proc/PID/stat`, counted from 0 after the command's name.
const USER_TICKS_FIELD: usize = 11;
/// The index of `stime` in `/proc/PID/stat`, counted from 0 after the command's name.
const SYSTEM_TICKS_FIELD: usize = 12;

/// The CPU time and memory that a process has used so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessUsage {
    /// CPU time in user mode and in the kernel, in microseconds.
    pub cpu_us: u64,
    /// Current resident memory, in bytes.
    pub resident_bytes: u64,
    /// Peak resident memory so far, in bytes.
    pub peak_resident_bytes: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process.
    ///
    /// # Errors
    ///
    /// [`RigError::Io`] if the process has ended.
    pub fn of(process_id: u32) -> Result<Self, RigError> {
        let stat = read(process_id, "stat")?;
        let status = read(process_id, "status")?;
        Ok(Self {
            cpu_us: cpu_ticks(&stat) * US_PER_TICK,
            resident_bytes: status_bytes(&status, "VmRSS:"),
            peak_resident_bytes: status_bytes(&status, "VmHWM:"),
        })
    }

    /// Returns the CPU time of several processes together, in microseconds.
    ///
    /// # Errors
    ///
    /// [`RigError::Io`] if one of the processes has ended.
    pub fn cpu_us_of(process_ids: &[u32]) -> Result<u64, RigError> {
        process_ids
            .iter()
            .map(|id| Self::of(*id).map(|usage| usage.cpu_us))
            .sum()
    }
}

fn read(process_id: u32, file: &str) -> Result<String, RigError> {
    let path = format!("/proc/{process_id}/{file}");
    fs::read_to_string(&path).map_err(|source| RigError::Io {
        operation: format!("reading {path}"),
        source,
    })
}

fn cpu_ticks(stat: &str) -> u64 {
    // The command's name is in parentheses and may contain spaces.
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    let tick = |index| -> u64 {
        let field = fields.split_whitespace().nth(index);
        field.and_then(|field| field.parse().ok()).unwrap_or(0)
    };
    tick(USER_TICKS_FIELD) + tick(SYSTEM_TICKS_FIELD)
}

fn status_bytes(status: &str, name: &str) -> u64 {
    status
        .lines()
        .find_map(|line| line.strip_prefix(name))
        .and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok())
        .map_or(0, |kib| kib * BYTES_PER_KIB)
}
