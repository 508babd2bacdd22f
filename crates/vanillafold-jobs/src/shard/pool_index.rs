//! Index of the workers that accept tasks, for one scheduling pass.

use vanillafold_policy::MonotonicMillis;

use crate::spec::Resources;
use crate::worker::Worker;

/// A worker that accepts tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct FreeWorker {
    free_cpu_millis: u64,
    /// Position in the shard's list of workers.
    position: usize,
}

/// Workers of one pool that accept tasks, in ascending order of free CPU.
#[derive(Debug)]
struct PoolRow {
    pool: String,
    workers: Vec<FreeWorker>,
}

/// Workers that accept tasks, by pool. It holds positions, and is therefore valid only until
/// workers are added or removed.
///
/// A burst fills most workers of a pool, so the search for free CPU starts behind the full ones.
#[derive(Debug, Default)]
pub(super) struct PoolIndex {
    /// Sorted by the pool's name.
    rows: Vec<PoolRow>,
}

impl PoolIndex {
    /// Indexes the workers that accept tasks now.
    pub(super) fn new(workers: &[Worker], now: MonotonicMillis) -> Self {
        let mut index = Self::default();
        for (position, worker) in workers.iter().enumerate() {
            if worker.accepts_tasks(now) {
                let free = FreeWorker {
                    free_cpu_millis: free_cpu_millis(worker),
                    position,
                };
                index.row_mut(&worker.entry.pool).workers.push(free);
            }
        }
        for row in &mut index.rows {
            row.workers.sort_unstable();
        }
        index
    }

    fn find(&self, pool: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| row.pool.as_str().cmp(pool))
    }

    fn row_mut(&mut self, pool: &str) -> &mut PoolRow {
        let at = self.find(pool).unwrap_or_else(|at| {
            let row = PoolRow {
                pool: pool.to_owned(),
                workers: Vec::new(),
            };
            self.rows.insert(at, row);
            at
        });
        &mut self.rows[at]
    }

    /// Returns the largest free CPU of one worker of a pool, in thousandths of a core; `None` if no
    /// worker accepts tasks.
    pub(super) fn largest_free_cpu_millis(&self, pool: &str) -> Option<u64> {
        let row = &self.rows[self.find(pool).ok()?];
        row.workers.last().map(|free| free.free_cpu_millis)
    }

    /// Returns the positions of a pool's workers with at least the given free CPU, in ascending
    /// order of it.
    pub(super) fn with_free_cpu(&self, pool: &str, cpu_millis: u64) -> impl Iterator<Item = usize> {
        let workers = match self.find(pool) {
            Ok(at) => self.rows[at].workers.as_slice(),
            Err(_) => &[],
        };
        let first = workers.partition_point(|free| free.free_cpu_millis < cpu_millis);
        workers[first..].iter().map(|free| free.position)
    }

    /// Removes a worker that gets no more tasks in this pass.
    pub(super) fn remove(&mut self, worker: &Worker, position: usize) {
        let row = self.row_mut(&worker.entry.pool);
        row.workers.retain(|free| free.position != position);
    }

    /// Moves a worker to its new place after `reservation` was placed on it.
    pub(super) fn reserve(&mut self, worker: &Worker, position: usize, reservation: Resources) {
        let after = free_cpu_millis(worker);
        let before = FreeWorker {
            free_cpu_millis: after.saturating_add(reservation.cpu_millis),
            position,
        };
        let row = self.row_mut(&worker.entry.pool);
        if let Ok(at) = row.workers.binary_search(&before) {
            row.workers.remove(at);
            let free = FreeWorker {
                free_cpu_millis: after,
                position,
            };
            let at = row.workers.partition_point(|other| *other < free);
            row.workers.insert(at, free);
        }
    }
}

/// Returns the usable CPU that no run reserves, in thousandths of a core. Runs that an earlier owner
/// started may reserve more than the worker has.
const fn free_cpu_millis(worker: &Worker) -> u64 {
    let cpu_millis = worker.entry.capacity.cpu_millis;
    // Also exact for a capacity above u64::MAX / 1,000, which no worker has.
    let usable = cpu_millis / 1_000 * worker.usable_permille
        + cpu_millis % 1_000 * worker.usable_permille / 1_000;
    usable.saturating_sub(worker.used.cpu_millis)
}
