//! The spans of time during which runners worked on requests.

use super::rows::{EndRow, ProcessState, StartRow, VmState};
use super::{Name, Recording, Request};

/// The span of time during which a runner worked on a request.
#[derive(Debug)]
pub(crate) struct WorkInterval {
    pub(crate) request: Request,
    pub(crate) team: Option<Name>,
    pub(crate) pool: Name,
    pub(crate) start_us: u64,
    /// [`u64::MAX`] if the work was still running when the trace ended; always later than
    /// `start_us`.
    pub(crate) end_us: u64,
}

/// Returns the intervals of all work of a run, sorted by request.
///
/// Work without an `end` lasts until its runner was killed or restarted, or its VM failed or became
/// available again.
pub(crate) fn work_intervals(recording: &Recording) -> Vec<WorkInterval> {
    let losses = Losses::of(recording);
    let mut intervals = Vec::with_capacity(recording.rows.starts.len());
    for starts in recording
        .rows
        .starts
        .chunk_by(|a, b| a.request == b.request)
    {
        let mut ends: Vec<&EndRow> = recording.ends_of(starts[0].request).iter().collect();
        for start in starts {
            let end_us =
                take_matching_end(&mut ends, start).unwrap_or_else(|| losses.first_after(start));
            intervals.push(WorkInterval {
                request: start.request,
                team: start.team,
                pool: start.pool,
                start_us: start.at_us,
                end_us: end_us.max(start.at_us + 1),
            });
        }
    }
    intervals
}

fn take_matching_end(ends: &mut Vec<&EndRow>, start: &StartRow) -> Option<u64> {
    let position = ends.iter().position(|end| {
        end.vm == start.vm && end.attempt == start.attempt && end.at_us >= start.at_us
    })?;
    Some(ends.remove(position).at_us)
}

/// The times at which running work was lost, by VM and by process, sorted.
#[derive(Debug)]
struct Losses {
    vms: Vec<Loss>,
    processes: Vec<Loss>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Loss {
    name: Name,
    at_us: u64,
}

impl Losses {
    fn of(recording: &Recording) -> Self {
        // A drained VM continues its work; only its return shows that the work has ended.
        let vms = recording.rows.vms.iter();
        let vms = vms.filter(|row| row.state != VmState::DownPlanned);
        let vms = vms.map(|row| Loss {
            name: row.vm,
            at_us: row.at_us,
        });
        let processes = recording.rows.processes.iter();
        let processes = processes
            .filter(|row| matches!(row.state, ProcessState::Killed | ProcessState::Started));
        let processes = processes.map(|row| Loss {
            name: row.process,
            at_us: row.at_us,
        });
        let mut losses = Self {
            vms: vms.collect(),
            processes: processes.collect(),
        };
        losses.vms.sort();
        losses.processes.sort();
        losses
    }

    fn first_after(&self, start: &StartRow) -> u64 {
        let by_vm = first_after(&self.vms, start.vm, start.at_us);
        let by_process = first_after(&self.processes, start.process, start.at_us);
        by_vm.min(by_process)
    }
}

fn first_after(losses: &[Loss], name: Name, at_us: u64) -> u64 {
    let position = losses.partition_point(|loss| (loss.name, loss.at_us) <= (name, at_us));
    match losses.get(position) {
        Some(loss) if loss.name == name => loss.at_us,
        _ => u64::MAX,
    }
}
