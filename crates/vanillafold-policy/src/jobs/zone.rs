//! Zones: where the tasks of one job run.

use crate::random::{hash_text, mix};

/// A zone with workers of a pool that accept tasks, as seen by a step with waiting tasks.
#[derive(Debug, Clone, Copy)]
pub struct ZoneCandidate<'a> {
    /// Name of the zone.
    pub zone: &'a str,
    /// Number of runs of the step's job in the zone.
    pub job_runs: u32,
    /// Number of waiting tasks of the step that fit onto the zone's workers now.
    pub fitting_tasks: u32,
}

/// Returns the order in which the zones are tried for the waiting tasks of a step of `job`, as
/// indexes of `zones`.
///
/// The load is a partition that cuts off a zone with a third or a quarter of the workers for some
/// seconds. If each job had a task there, nearly all callers would be served late; with the tasks of
/// a job in one zone, only the jobs in that zone are late. The zones come in this order:
///
/// 1. Zones where other tasks of the job run, the one with the most first.
/// 2. Zones where all waiting tasks of the step fit.
/// 3. Other zones, because no task waits for its zone.
///
/// Among equals rendezvous hashing of the job and the zone decides. All owners compute the same
/// order, and a zone that comes or goes moves only the jobs that prefer it.
#[must_use]
pub fn zone_order(job: u64, waiting_tasks: u32, zones: &[ZoneCandidate<'_>]) -> Vec<usize> {
    let job_hash = mix(job);
    let mut order: Vec<usize> = (0..zones.len()).collect();
    order.sort_by_cached_key(|index| {
        let zone = &zones[*index];
        (
            std::cmp::Reverse(zone.job_runs),
            zone.fitting_tasks < waiting_tasks,
            std::cmp::Reverse(mix(hash_text(zone.zone) ^ job_hash)),
            zone.zone,
        )
    });
    order
}

/// Rank of a worker for a task of a persistent step that is spread over the zones; smaller is
/// preferred. `step_runs` is the number of the step's runs in the worker's zone.
///
/// The load is the same partition: it must not make all tasks of a step unavailable that limits how
/// many may be. A VM without runs comes last, because it could go to another pool; spreading never
/// takes one while a used VM has room.
#[must_use]
pub fn spread_rank(step_runs: u32, worker_is_empty: bool) -> u32 {
    const EMPTY: u32 = 1 << 31;
    let step_runs = step_runs.min(EMPTY - 1);
    match worker_is_empty {
        true => EMPTY + step_runs,
        false => step_runs,
    }
}
