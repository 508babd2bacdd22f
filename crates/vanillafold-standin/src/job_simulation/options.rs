//! Size, duration and fault rates of a simulation.

/// Size, duration and fault rates of a simulation.
///
/// Rates ending in `_permille_per_s` are chances in thousandths per simulated second, for each
/// worker where workers are concerned.
#[derive(Debug, Clone, Copy)]
pub struct SimulationOptions {
    /// The number of workers.
    pub workers: usize,
    /// The number of pools, which share the workers evenly.
    pub pools: usize,
    /// The number of zones, which share the workers of each pool evenly.
    pub zones: usize,
    /// The chance, for each zone, that its evacuation begins or ends. If there is any, some jobs are of
    /// kinds that evacuations move.
    pub evacuation_permille_per_s: u64,
    /// The number of zones that may be evacuated at a time.
    pub max_evacuated_zones: usize,
    /// The chance that the queue is moved to another pool.
    pub queue_move_permille_per_s: u64,
    /// The number of jobs that callers submit during the fault phase.
    pub jobs: u64,
    /// The length of the first phase, in which faults occur.
    pub fault_phase_ms: u64,
    /// The length of the second phase, without new faults, in which accepted jobs must finish.
    pub recovery_phase_ms: u64,
    /// The chance that the shard's owner is lost; another takes over some seconds later.
    pub owner_loss_permille_per_s: u64,
    /// The longest time from a takeover until the new owner has read the configuration.
    pub max_configuration_delay_ms: u64,
    /// The chance that a worker is partitioned from the owner while its tasks keep running.
    pub worker_partition_permille_per_s: u64,
    /// The chance that a worker crashes and restarts under the same id.
    pub worker_crash_permille_per_s: u64,
    /// The chance that a worker crashes, restarts under the same id at once and is partitioned soon
    /// after. Half of the time the owner is lost in between.
    pub restart_and_partition_permille_per_s: u64,
    /// The share of orders, in thousandths, that get no answer and are executed seconds later.
    pub delayed_order_permille: u64,
    /// The longest time that the answer to an order takes. Answers to polls are not delayed, and
    /// overtake it.
    pub max_answer_delay_ms: u64,
    /// The chance that the store becomes unavailable for some seconds.
    pub store_outage_permille_per_s: u64,
    /// The share of jobs, in thousandths, with a task that crashes each worker that starts it.
    pub crashing_job_permille: u64,
    /// The share of jobs, in thousandths, whose tasks take several seconds.
    pub long_job_permille: u64,
    /// The share of jobs, in thousandths, whose first step is fast only on the rack of its data or on
    /// one rack.
    pub near_job_permille: u64,
    /// The chance that a worker's capacity shrinks, or grows back.
    pub capacity_change_permille_per_s: u64,
    /// Whether starts need tickets of the placement advice service, which allows half of the workers
    /// for each job. A ticket is valid for some seconds of one incarnation.
    pub advised: bool,
    /// The number of ends that a worker lists at a time. Further ones are listed once these have been
    /// acknowledged.
    pub max_listed_ends: usize,
}

impl Default for SimulationOptions {
    fn default() -> Self {
        Self {
            workers: 6,
            pools: 1,
            zones: 1,
            evacuation_permille_per_s: 0,
            max_evacuated_zones: 1,
            queue_move_permille_per_s: 0,
            jobs: 40,
            fault_phase_ms: 25_000,
            recovery_phase_ms: 45_000,
            owner_loss_permille_per_s: 150,
            max_configuration_delay_ms: 0,
            worker_partition_permille_per_s: 60,
            worker_crash_permille_per_s: 60,
            restart_and_partition_permille_per_s: 0,
            delayed_order_permille: 30,
            max_answer_delay_ms: 0,
            store_outage_permille_per_s: 80,
            crashing_job_permille: 0,
            long_job_permille: 0,
            near_job_permille: 0,
            capacity_change_permille_per_s: 0,
            advised: false,
            max_listed_ends: 500,
        }
    }
}
