//! Admission control: whether a submitted job is accepted, and when to submit a refused one again.

use crate::MonotonicMillis;

/// Tasks of one step of a job that wait for a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitingWork {
    /// Time by which the tasks have to start for their job to be in time, in milliseconds from now;
    /// negative if the job is late whenever they start. Such a job takes only room that is free now.
    pub latest_start_ms: i64,
    /// Their work, in core-milliseconds.
    pub core_ms: u64,
}

/// CPU that a pool gets later.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ArrivingCpu {
    /// When it can take tasks, in milliseconds from now.
    pub in_ms: u64,
    /// In thousandths of a core.
    pub cpu_millis: u64,
}

/// The CPU of a pool, or the part of it that an organisation can count on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolRoom {
    /// CPU that no task uses, in thousandths of a core.
    pub free_cpu_millis: u64,
    /// All CPU that is there, in thousandths of a core.
    pub cpu_millis: u64,
    /// CPU of VMs that are moving to the pool.
    pub moving: ArrivingCpu,
    /// CPU of idle VMs of other pools that can be moved to it.
    pub movable: ArrivingCpu,
    /// Usual duration of a task, in milliseconds.
    pub task_ms: u64,
}

impl PoolRoom {
    /// Returns `part` of `whole` of the room.
    #[must_use]
    pub fn part(self, part: u64, whole: u64) -> Self {
        let of = |amount: u64| {
            let amount = u128::from(amount) * u128::from(part) / u128::from(whole.max(1));
            u64::try_from(amount).unwrap_or(u64::MAX)
        };
        Self {
            free_cpu_millis: of(self.free_cpu_millis),
            cpu_millis: of(self.cpu_millis),
            moving: ArrivingCpu {
                cpu_millis: of(self.moving.cpu_millis),
                ..self.moving
            },
            movable: ArrivingCpu {
                cpu_millis: of(self.movable.cpu_millis),
                ..self.movable
            },
            task_ms: self.task_ms,
        }
    }

    /// Returns the work that can be started within a time, in core-milliseconds: free CPU takes a task
    /// at once and then one after the other, and CPU in use is freed evenly over the duration of a task.
    #[must_use]
    pub fn startable_core_ms(&self, within_ms: u64) -> u64 {
        let used = self.cpu_millis.saturating_sub(self.free_cpu_millis);
        let free = |cpu_millis: u64, from_ms: u64| match within_ms.checked_sub(from_ms) {
            Some(left_ms) => cpu_millis.saturating_mul(left_ms.saturating_add(self.task_ms)),
            None => 0,
        };
        used.saturating_mul(within_ms)
            .saturating_add(free(self.free_cpu_millis, 0))
            .saturating_add(free(self.moving.cpu_millis, self.moving.in_ms))
            .saturating_add(free(self.movable.cpu_millis, self.movable.in_ms))
            / 1_000
    }

    /// Returns all CPU that is there or can be brought there, in thousandths of a core.
    #[must_use]
    pub const fn all_cpu_millis(&self) -> u64 {
        self.cpu_millis
            .saturating_add(self.moving.cpu_millis)
            .saturating_add(self.movable.cpu_millis)
    }
}

/// Returns for how long the room that a job needs is missing, in milliseconds, if it is accepted beside the
/// waiting work and steps start in the order of their latest start; 0 if there is room for it without
/// making another job late. Both lists are in that order; the waiting work is of jobs that can be in time.
#[must_use]
pub fn predicted_lateness_ms(
    room: &PoolRoom,
    waiting: impl Iterator<Item = WaitingWork>,
    job: &[WaitingWork],
) -> u64 {
    let Some(first) = job.first() else { return 0 };
    let mut waiting = waiting.peekable();
    let mut own = job.iter().peekable();
    let mut demand_core_ms: u64 = 0;
    let mut missing_core_ms: u64 = 0;
    loop {
        let is_own_next = match (own.peek(), waiting.peek()) {
            (Some(own), Some(other)) => own.latest_start_ms < other.latest_start_ms,
            (own, _) => own.is_some(),
        };
        let next = match is_own_next {
            true => own.next().copied(),
            false => waiting.next(),
        };
        let Some(next) = next else { break };
        demand_core_ms = demand_core_ms.saturating_add(next.core_ms);
        if next.latest_start_ms >= first.latest_start_ms {
            let within_ms = u64::try_from(next.latest_start_ms).unwrap_or(0);
            let startable_core_ms = room.startable_core_ms(within_ms);
            missing_core_ms = missing_core_ms.max(demand_core_ms.saturating_sub(startable_core_ms));
        }
    }
    missing_core_ms
        .saturating_mul(1_000)
        .div_ceil(room.all_cpu_millis().max(1))
}

/// What is predicted of a submitted job.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionInput {
    /// By how much the job is late if it waits for the room of the whole pool, in milliseconds, or
    /// makes others late.
    pub lateness_ms: u64,
    /// The same with its organisation's share of the pool, beside the organisation's own work only.
    pub lateness_in_share_ms: u64,
    /// Whether it is submitted for the first time, and no other job of its organisation waits in the
    /// pool.
    pub is_first: bool,
    /// Tasks that wait for a worker, in all pools.
    pub waiting_tasks: u64,
    /// Tasks that can be started per second, if the owner's link or processor is the limit; `None`
    /// if it is not.
    pub starts_per_s: Option<u64>,
    /// Latency beyond which the job's result is of no use to its caller, in milliseconds.
    pub max_useful_latency_ms: u64,
}

/// Whether a submitted job is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The job is accepted.
    Admit,
    /// The job is refused at once.
    Refuse {
        /// How long the caller should wait before it submits the job again, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Least time after which a refused caller may submit its job again, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 250;

/// Decides whether a submitted job is accepted.
///
/// Answers callers who compete for too little room: if all are accepted, half of them are served late, in
/// room in which others would have been in time. A job is accepted if it is predicted to be in time in
/// the room of the whole pool, whoever sends it, so that no room stays free while callers are refused; or
/// in its organisation's share, so that an organisation that sends several times its usual load takes
/// no room from the others. Of an organisation with nothing queued one job is always accepted, as a
/// large job may not fit into any prediction.
///
/// Guards as well against a burst of all queues together that asks for more starts than the owner
/// can send. A job whose tasks could only start after `max_useful_latency_ms` is refused, whoever
/// sends it, and its caller is asked to return when the waiting tasks take half of that time to
/// start.
#[must_use]
pub fn admit(input: AdmissionInput) -> Admission {
    let start_ms = input.starts_per_s.map_or(0, |per_s| {
        input.waiting_tasks.saturating_mul(1_000) / per_s.max(1)
    });
    let lateness_ms = input.lateness_ms.min(input.lateness_in_share_ms);
    match lateness_ms {
        _ if start_ms > input.max_useful_latency_ms => Admission::Refuse {
            retry_after_ms: start_ms - input.max_useful_latency_ms / 2,
        },
        _ if input.is_first => Admission::Admit,
        0 => Admission::Admit,
        lateness_ms => Admission::Refuse {
            retry_after_ms: lateness_ms.max(MIN_RETRY_AFTER_MS),
        },
    }
}

/// Part by which the predicted room shrinks when a job is late that was predicted to be in time, in
/// thousandths of the room.
const LATE_STEP_PERMILLE: u64 = 40;
/// Part by which it grows when such a job is in time. With these steps about one job in twenty may be
/// late.
const IN_TIME_STEP_PERMILLE: u64 = 2;
/// Limits of the correction, in thousandths.
const MIN_CORRECTION_PERMILLE: u64 = 500;
const MAX_CORRECTION_PERMILLE: u64 = 1_200;

/// Correction of the predictions of one pool by actual outcomes.
///
/// Suits estimates that are far off, tasks that don't fill their workers evenly, and workers that are slower
/// than they should be: each makes the room smaller than it looks. Jobs that did not have to
/// wait say nothing about the prediction and are not counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PredictionCorrection {
    permille: u64,
}

impl Default for PredictionCorrection {
    fn default() -> Self {
        Self { permille: 1_000 }
    }
}

impl PredictionCorrection {
    /// Records whether a job was in time that was accepted beside waiting work.
    pub fn record(&mut self, in_time: bool) {
        self.permille = match in_time {
            true => self.permille + IN_TIME_STEP_PERMILLE,
            false => self.permille - LATE_STEP_PERMILLE,
        }
        .clamp(MIN_CORRECTION_PERMILLE, MAX_CORRECTION_PERMILLE);
    }

    /// Returns the room as corrected.
    #[must_use]
    pub fn apply(self, room: PoolRoom) -> PoolRoom {
        room.part(self.permille, 1_000)
    }

    /// Returns the part of the room that predictions count on, in thousandths.
    #[must_use]
    pub const fn permille(self) -> u64 {
        self.permille
    }
}

/// Longest time that a refused caller is asked to wait, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 15_000;

/// The order in which refused callers of one pool return.
///
/// Suits a burst after which hundreds of callers would return at the same moment, when the pool has room for
/// a few of them. Each is asked to return when the room is expected that those before it have not been
/// promised. Promises lapse as the pool works them off, whether their callers return or not.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReturnSchedule {
    promised_core_ms: u64,
    at: MonotonicMillis,
}

impl ReturnSchedule {
    /// Promises room for a refused job of `core_ms` in a pool of `cpu_millis`. Returns after how long its
    /// caller should return, in milliseconds; not before `retry_after_ms`.
    pub fn promise(
        &mut self,
        core_ms: u64,
        cpu_millis: u64,
        retry_after_ms: u64,
        now: MonotonicMillis,
    ) -> u64 {
        let worked_off = now.since(self.at).get().saturating_mul(cpu_millis) / 1_000;
        self.promised_core_ms = self.promised_core_ms.saturating_sub(worked_off);
        self.at = now;
        let ahead_ms = self.promised_core_ms.saturating_mul(1_000) / cpu_millis.max(1);
        self.promised_core_ms = self.promised_core_ms.saturating_add(core_ms);
        retry_after_ms
            .saturating_add(ahead_ms)
            .min(MAX_RETRY_AFTER_MS)
            .max(retry_after_ms.min(MAX_RETRY_AFTER_MS))
    }
}
