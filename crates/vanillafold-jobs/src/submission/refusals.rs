//! Recent refusals of jobs, and the check of deliveries against them.

use vanillafold_policy::MonotonicMillis;

use crate::id::JobId;

/// Time for which a refusal is remembered, in milliseconds.
const RETENTION_MS: u64 = 10_000;
/// Time between two removals of refusals older than [`RETENTION_MS`], in milliseconds.
const PRUNE_INTERVAL_MS: u64 = 1_000;

/// Whether a submission may still be acted on when it reaches the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeliveryCheck {
    /// The job has not been refused since the submission was received.
    Current,
    /// The job has been refused since the submission was received.
    Refused,
    /// The submission was received so long ago that a refusal since then may have been forgotten.
    Outdated,
}

/// When each job was last refused, on the owner's clock.
///
/// A refusal holds for every submission of the job that any daemon received before it, including
/// those that are still on their way to the owner: a caller may have sent several.
#[derive(Debug, Default)]
pub struct Refusals {
    /// Sorted by id.
    rows: Vec<(JobId, MonotonicMillis)>,
    next_prune_at: MonotonicMillis,
}

impl Refusals {
    /// Records that a job is refused now.
    pub fn add(&mut self, id: JobId, now: MonotonicMillis) {
        if now >= self.next_prune_at {
            self.next_prune_at = MonotonicMillis::new(now.get() + PRUNE_INTERVAL_MS);
            self.rows
                .retain(|row| now.since(row.1).get() <= RETENTION_MS);
        }
        match self.rows.binary_search_by_key(&id, |row| row.0) {
            Ok(at) => self.rows[at].1 = now,
            Err(at) => self.rows.insert(at, (id, now)),
        }
    }

    /// Checks a submission that a daemon had not received before `received_at`.
    #[must_use]
    pub fn check(
        &self,
        id: JobId,
        received_at: MonotonicMillis,
        now: MonotonicMillis,
    ) -> DeliveryCheck {
        let found = self.rows.binary_search_by_key(&id, |row| row.0);
        match found {
            _ if now.since(received_at).get() > RETENTION_MS => DeliveryCheck::Outdated,
            Ok(at) if self.rows[at].1 >= received_at => DeliveryCheck::Refused,
            _ => DeliveryCheck::Current,
        }
    }
}
