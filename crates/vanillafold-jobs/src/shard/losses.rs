//! Workers that are lost with their runs.

use super::root::Shard;
use crate::worker::{LossEvidence, Run};

/// Number of runs that the log line of a lost worker names.
const MAX_LOGGED_RUNS: usize = 8;

/// Counts of the workers that were lost during an ownership, by evidence.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LossCounts {
    /// Workers that restarted under their id.
    pub restarted: u64,
    /// Workers at whose address another one answers.
    pub replaced: u64,
    /// Workers that did not answer until their leases had expired.
    pub leases_expired: u64,
}

impl Shard {
    /// Returns how many workers with runs were lost during this ownership.
    #[must_use]
    pub const fn loss_counts(&self) -> LossCounts {
        self.loss_counts
    }

    /// Records that a worker is lost together with the runs for which `is_lost` is true. Must be
    /// called before these runs are removed.
    pub(super) fn record_worker_loss(
        &mut self,
        at: usize,
        evidence: LossEvidence,
        is_lost: impl Fn(&Run) -> bool,
    ) {
        let worker = &self.workers[at];
        let lost = worker.runs.iter().filter(|run| is_lost(run)).count();
        if lost == 0 {
            return;
        }
        let names = |fresh: bool| {
            let runs = worker.runs.iter().filter(|run| is_lost(run));
            let named = runs.filter(|run| run.is_fresh(worker.answered_at) == fresh);
            let named: Vec<String> = named
                .take(MAX_LOGGED_RUNS)
                .map(|run| format!("{}#{}", run.task, run.number))
                .collect();
            named.join(" ")
        };
        log::info!(
            worker = worker.entry.id.as_str(), evidence = evidence.name(), runs = lost,
            fresh = names(true), older = names(false);
            "worker lost with its runs"
        );
        match evidence {
            LossEvidence::Restarted => self.loss_counts.restarted += 1,
            LossEvidence::Replaced => self.loss_counts.replaced += 1,
            LossEvidence::LeasesExpired => self.loss_counts.leases_expired += 1,
        }
    }
}
