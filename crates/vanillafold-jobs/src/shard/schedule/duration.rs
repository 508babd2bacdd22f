//! Expected durations and work of tasks, steps and jobs.

use crate::job::Job;
use crate::shard::catalogue::QueueInfo;
use crate::shard::root::Shard;
use crate::spec::{JobSpec, StepSpec};

/// Assumed duration of a task without an estimate, in milliseconds.
const DEFAULT_ESTIMATE_MS: u64 = 1_000;

impl Shard {
    /// Returns the expected duration of a task, in milliseconds.
    pub(in crate::shard) fn expected_ms(&self, queue: &str, step: &StepSpec) -> u64 {
        let estimate_ms = match step.estimate_ms {
            0 => DEFAULT_ESTIMATE_MS,
            estimate_ms => estimate_ms,
        };
        let duration_ratio = self
            .duration_ratios
            .binary_search_by(|row| row.0.as_str().cmp(queue))
            .map_or(1.0, |at| self.duration_ratios[at].1);
        #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]
        #[allow(clippy::cast_sign_loss)] // a positive duration of seconds
        let expected_ms = (estimate_ms as f64 * duration_ratio) as u64;
        expected_ms
    }

    /// Returns the work of a number of a step's tasks, in core-milliseconds.
    fn core_ms(&self, queue: &str, step: &StepSpec, tasks: u64) -> u64 {
        let cpu_millis = tasks.saturating_mul(step.needs.cpu_millis);
        cpu_millis.saturating_mul(self.expected_ms(queue, step)) / 1_000
    }

    /// Returns the latency within which a job of a queue should complete, in milliseconds.
    pub(in crate::shard) fn objective_ms(&self, spec: &JobSpec, queue: &QueueInfo) -> u64 {
        let stretched = self
            .critical_path_ms(spec)
            .saturating_mul(queue.stretch_permille);
        (stretched / 1_000).saturating_add(queue.target_latency_ms)
    }

    /// Returns the length of the critical path over the steps for which `counts` is true, in
    /// milliseconds.
    pub(super) fn critical_path_where_ms(
        &self,
        spec: &JobSpec,
        counts: impl Fn(usize) -> bool,
    ) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(spec.steps.len());
        for (at, step) in spec.steps.iter().enumerate() {
            let before = step.after.iter().map(|after| ends[usize::from(*after)]);
            let own = match counts(at) {
                true => self.expected_ms(&spec.queue, step),
                false => 0,
            };
            ends.push(before.max().unwrap_or(0).saturating_add(own));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns the length of the longest chain of steps that begins with a step, in milliseconds.
    pub(super) fn chain_ms(&self, spec: &JobSpec, first: u16) -> u64 {
        let mut follows = vec![false; spec.steps.len()];
        for (at, step) in spec.steps.iter().enumerate() {
            follows[at] = at == usize::from(first)
                || step.after.iter().any(|after| follows[usize::from(*after)]);
        }
        self.critical_path_where_ms(spec, |at| follows[at])
    }

    /// Returns the length of a job's critical path, in milliseconds.
    pub(in crate::shard) fn critical_path_ms(&self, spec: &JobSpec) -> u64 {
        self.critical_path_where_ms(spec, |_| true)
    }

    /// Returns the work of all tasks of a job without its persistent ones, in core-milliseconds.
    pub(in crate::shard) fn work_core_ms(&self, spec: &JobSpec) -> u64 {
        let of_step = |step: &StepSpec| self.core_ms(&spec.queue, step, u64::from(step.count));
        spec.steps
            .iter()
            .filter(|step| !step.persistent)
            .map(of_step)
            .fold(0, u64::saturating_add)
    }

    /// Returns the remaining work of a job without its persistent tasks, in core-milliseconds.
    pub(in crate::shard) fn remaining_core_ms(&self, job: &Job) -> u64 {
        let mut total: u64 = 0;
        for occurrence in &job.occurrences {
            for (at, step) in occurrence.steps.iter().enumerate() {
                let spec = &job.spec.steps[at];
                let remaining = step.tasks.len() as u64 - u64::from(step.done);
                if !spec.persistent {
                    let core_ms = self.core_ms(&job.spec.queue, spec, remaining);
                    total = total.saturating_add(core_ms);
                }
            }
        }
        total
    }
}
