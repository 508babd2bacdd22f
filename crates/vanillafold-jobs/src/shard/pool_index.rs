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

impl FreeWorker {
    const fn new(worker: &Worker, position: usize) -> Self {
        Self {
            free_cpu_millis: free_cpu_millis(worker),
            position,
        }
    }
}

/// Workers of one zone of a pool that accept tasks, in ascending order of free CPU.
#[derive(Debug)]
struct ZoneRow {
    zone: String,
    workers: Vec<FreeWorker>,
}

impl ZoneRow {
    /// Returns the workers with at least the given free CPU.
    fn with_free_cpu(&self, cpu_millis: u64) -> &[FreeWorker] {
        let first = self
            .workers
            .partition_point(|free| free.free_cpu_millis < cpu_millis);
        &self.workers[first..]
    }
}

/// Workers of one pool that accept tasks.
#[derive(Debug)]
struct PoolRow {
    pool: String,
    /// Largest free CPU of one worker when the index was made, in thousandths of a core.
    largest_free_cpu_millis: u64,
    /// Workers that are not assigned to `zones` yet.
    unsorted: Vec<FreeWorker>,
    /// In the order in which the zones were found; a pool has few.
    zones: Vec<ZoneRow>,
}

impl PoolRow {
    fn zone_mut(&mut self, zone: &str) -> &mut ZoneRow {
        let found = self.zones.iter().position(|row| row.zone == zone);
        let at = found.unwrap_or_else(|| {
            self.zones.push(ZoneRow {
                zone: zone.to_owned(),
                workers: Vec::new(),
            });
            self.zones.len() - 1
        });
        &mut self.zones[at]
    }
}

/// Number of a zone among those of its pool in the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ZoneNumber(usize);

/// Workers that accept tasks, by pool and zone. It holds positions, and is therefore valid only
/// until workers are added or removed.
///
/// A burst fills most workers of a pool, so the search for free CPU starts behind the full ones. It
/// concerns few pools at a time, so only those in which a task is to be placed are sorted.
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
                let free = FreeWorker::new(worker, position);
                let row = index.pool_mut(&worker.entry.pool);
                row.unsorted.push(free);
                row.largest_free_cpu_millis = row.largest_free_cpu_millis.max(free.free_cpu_millis);
            }
        }
        index
    }

    /// Sorts the workers of a pool, by zone and free CPU. Must be called before a worker of the pool
    /// is searched.
    pub(super) fn sort_pool(&mut self, pool: &str, workers: &[Worker]) {
        let Ok(at) = self.find(pool) else { return };
        let row = &mut self.rows[at];
        if row.unsorted.is_empty() {
            return;
        }
        for free in std::mem::take(&mut row.unsorted) {
            let zone = row.zone_mut(&workers[free.position].entry.zone);
            zone.workers.push(free);
        }
        for zone in &mut row.zones {
            zone.workers.sort_unstable();
        }
    }

    fn find(&self, pool: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| row.pool.as_str().cmp(pool))
    }

    fn pool_mut(&mut self, pool: &str) -> &mut PoolRow {
        let at = self.find(pool).unwrap_or_else(|at| {
            let row = PoolRow {
                pool: pool.to_owned(),
                largest_free_cpu_millis: 0,
                unsorted: Vec::new(),
                zones: Vec::new(),
            };
            self.rows.insert(at, row);
            at
        });
        &mut self.rows[at]
    }

    fn row_mut(&mut self, worker: &Worker) -> &mut ZoneRow {
        self.pool_mut(&worker.entry.pool)
            .zone_mut(&worker.entry.zone)
    }

    fn zone_rows(&self, pool: &str) -> &[ZoneRow] {
        match self.find(pool) {
            Ok(at) => &self.rows[at].zones,
            Err(_) => &[],
        }
    }

    /// Returns the zones of a pool.
    pub(super) fn zones(&self, pool: &str) -> impl Iterator<Item = (ZoneNumber, &str)> {
        let rows = self.zone_rows(pool).iter().enumerate();
        rows.map(|(at, row)| (ZoneNumber(at), row.zone.as_str()))
    }

    /// Returns the number of a zone of a pool; `None` if no worker there accepts tasks.
    pub(super) fn zone_number(&self, pool: &str, zone: &str) -> Option<ZoneNumber> {
        let found = self.zone_rows(pool).iter().position(|row| row.zone == zone);
        found.map(ZoneNumber)
    }

    /// Returns the largest free CPU that one worker of a pool had when the index was made, in
    /// thousandths of a core; `None` if no worker accepts tasks.
    pub(super) fn largest_free_cpu_millis(&self, pool: &str) -> Option<u64> {
        let at = self.find(pool).ok()?;
        Some(self.rows[at].largest_free_cpu_millis)
    }

    /// Returns the positions of a pool's workers with at least the given free CPU, in ascending
    /// order of it, each with rank 0.
    pub(super) fn in_all_zones(&self, pool: &str, cpu_millis: u64) -> FreeWorkers<'_> {
        let rows = self.zone_rows(pool).iter();
        FreeWorkers {
            rows: rows.map(|row| row.with_free_cpu(cpu_millis)).collect(),
            zone_by_zone: false,
            zone: 0,
        }
    }

    /// Returns the positions of the workers with at least the given free CPU in these zones of a
    /// pool, zone by zone, each with the rank of its zone; in a zone in ascending order of free CPU.
    pub(super) fn zone_by_zone(
        &self,
        pool: &str,
        zones: &[ZoneNumber],
        cpu_millis: u64,
    ) -> FreeWorkers<'_> {
        let rows = self.zone_rows(pool);
        let rows = zones.iter().map(|zone| &rows[zone.0]);
        FreeWorkers {
            rows: rows.map(|row| row.with_free_cpu(cpu_millis)).collect(),
            zone_by_zone: true,
            zone: 0,
        }
    }

    /// Returns how many tasks find enough free CPU in a zone, counted up to `limit`.
    pub(super) fn fitting_tasks(
        &self,
        pool: &str,
        zone: ZoneNumber,
        cpu_millis: u64,
        limit: u32,
    ) -> u32 {
        let limit = u64::from(limit);
        let workers = self.zone_rows(pool)[zone.0].with_free_cpu(cpu_millis);
        let mut fitting: u64 = 0;
        for free in workers.iter().rev() {
            let on_worker = free.free_cpu_millis.checked_div(cpu_millis);
            fitting = fitting.saturating_add(on_worker.unwrap_or(limit));
            if fitting >= limit {
                break;
            }
        }
        u32::try_from(fitting.min(limit)).unwrap_or(u32::MAX)
    }

    /// Returns the positions of a zone's workers with at least the given free CPU, in descending
    /// order of it.
    pub(super) fn emptiest_first(
        &self,
        pool: &str,
        zone: ZoneNumber,
        cpu_millis: u64,
    ) -> impl Iterator<Item = usize> {
        let workers = self.zone_rows(pool)[zone.0].with_free_cpu(cpu_millis);
        workers.iter().rev().map(|free| free.position)
    }

    /// Returns whether a worker of a sorted pool may get tasks in this pass.
    pub(super) fn contains(&self, worker: &Worker, position: usize) -> bool {
        let mut rows = self.zone_rows(&worker.entry.pool).iter();
        let row = rows.find(|row| row.zone == worker.entry.zone);
        let free = FreeWorker::new(worker, position);
        row.is_some_and(|row| row.workers.binary_search(&free).is_ok())
    }

    /// Removes a worker that gets no more tasks in this pass.
    pub(super) fn remove(&mut self, worker: &Worker, position: usize) {
        let free = FreeWorker::new(worker, position);
        let row = self.row_mut(worker);
        if let Ok(at) = row.workers.binary_search(&free) {
            row.workers.remove(at);
        }
    }

    /// Moves a worker to its new place after `reservation` was placed on it.
    pub(super) fn reserve(&mut self, worker: &Worker, position: usize, reservation: Resources) {
        let after = FreeWorker::new(worker, position);
        let before = FreeWorker {
            free_cpu_millis: after.free_cpu_millis.saturating_add(reservation.cpu_millis),
            position,
        };
        let row = self.row_mut(worker);
        if let Ok(at) = row.workers.binary_search(&before) {
            row.workers.remove(at);
            let at = row.workers.partition_point(|other| *other < after);
            row.workers.insert(at, after);
        }
    }
}

/// Workers with enough free CPU, in the order in which they are tried, as ranks of their zones and
/// positions.
#[derive(Debug)]
pub(super) struct FreeWorkers<'a> {
    /// Workers of each zone that have not been returned yet.
    rows: Vec<&'a [FreeWorker]>,
    /// Whether the rows are returned one after the other, and not merged by free CPU.
    zone_by_zone: bool,
    /// Row that is being returned.
    zone: usize,
}

impl FreeWorkers<'_> {
    /// Returns the number of the row to take the next worker from.
    fn next_row(&mut self) -> Option<usize> {
        if self.zone_by_zone {
            while self.rows.get(self.zone)?.is_empty() {
                self.zone += 1;
            }
            return Some(self.zone);
        }
        let first = |row: &usize| self.rows[*row].first();
        let rows = (0..self.rows.len()).filter(|row| first(row).is_some());
        rows.min_by_key(first)
    }
}

impl Iterator for FreeWorkers<'_> {
    type Item = (u32, usize);

    fn next(&mut self) -> Option<Self::Item> {
        let row = self.next_row()?;
        let (free, rest) = self.rows[row].split_first()?;
        self.rows[row] = rest;
        let rank = u32::try_from(self.zone).unwrap_or(u32::MAX);
        Some((rank, free.position))
    }
}

/// Returns the usable CPU that no run reserves, in thousandths of a core. Runs that an earlier owner
/// started may reserve more than the worker has.
pub(super) const fn free_cpu_millis(worker: &Worker) -> u64 {
    worker
        .usable_cpu_millis()
        .saturating_sub(worker.used.cpu_millis)
}
