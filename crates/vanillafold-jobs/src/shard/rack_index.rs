//! Index of workers by rack.

use crate::worker::Worker;

/// Positions of the workers on each rack, valid until workers are added or removed.
///
/// A pass looks for room on single racks of some dozen workers, in a fleet of thousands.
#[derive(Debug, Default)]
pub(super) struct RackIndex {
    /// Version of the shard's workers that the index was made from.
    version: Option<u64>,
    /// Sorted by the rack's name.
    rows: Vec<(String, Vec<usize>)>,
}

impl RackIndex {
    /// Indexes the workers, unless that was done for this version of them.
    pub(super) fn refresh(&mut self, workers: &[Worker], version: u64) {
        if self.version == Some(version) {
            return;
        }
        let with_rack = workers.iter().enumerate();
        let with_rack = with_rack.filter_map(|(at, worker)| Some((rack_of(worker)?, at)));
        let mut with_rack: Vec<(&str, usize)> = with_rack.collect();
        with_rack.sort_unstable();
        self.rows.clear();
        for (rack, at) in with_rack {
            match self.rows.last_mut() {
                Some(row) if row.0 == rack => row.1.push(at),
                _ => self.rows.push((rack.to_owned(), vec![at])),
            }
        }
        self.version = Some(version);
    }

    /// Returns the positions of the workers on a rack; `None` if no worker is known there.
    pub(super) fn workers(&self, rack: &str) -> Option<&[usize]> {
        let found = self.rows.binary_search_by(|row| row.0.as_str().cmp(rack));
        found.ok().map(|at| self.rows[at].1.as_slice())
    }
}

/// Returns the rack of a worker, the last of its labels.
pub(super) fn rack_of(worker: &Worker) -> Option<&str> {
    worker.entry.labels.last().map(String::as_str)
}
