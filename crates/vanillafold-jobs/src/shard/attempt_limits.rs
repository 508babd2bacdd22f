//! The limits of attempts of the queues of open jobs. They are stored because a queue may be removed from
//! the configuration while its jobs go on, and the next owner may never have seen it.

use super::root::Shard;
use crate::record::{AttemptLimit, Record};

/// Limits of attempts by the name of the queue, sorted, and which of them wait for the store.
#[derive(Debug, Default)]
pub(super) struct AttemptLimits {
    rows: Vec<(String, AttemptLimit)>,
    /// Names of the queues whose record differs from what is known.
    dirty: Vec<String>,
    /// Whether the last job of a removed queue may have finished.
    may_be_unused: bool,
}

impl AttemptLimits {
    fn position(&self, queue: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.0.as_str().cmp(queue))
    }

    /// Returns the limit of a queue, if it is known.
    pub(super) fn get(&self, queue: &str) -> Option<AttemptLimit> {
        self.position(queue).ok().map(|at| self.rows[at].1)
    }

    /// Adds a limit as loaded from the store.
    pub(super) fn restore(&mut self, queue: String, limit: AttemptLimit) {
        if let Err(at) = self.position(&queue) {
            self.rows.insert(at, (queue, limit));
        }
    }

    /// Sets the limit of a queue, unless that of a later configuration or the same one is known.
    fn update(&mut self, queue: &str, limit: AttemptLimit) {
        match self.position(queue) {
            Ok(at) if self.rows[at].1.max_attempts == limit.max_attempts => return,
            Ok(at) if self.rows[at].1.config_version > limit.config_version => return,
            Ok(at) => self.rows[at].1 = limit,
            Err(at) => self.rows.insert(at, (queue.to_owned(), limit)),
        }
        self.mark_dirty(queue);
    }

    /// Removes the limit of a queue, if it is known.
    fn remove(&mut self, queue: &str) {
        if let Ok(at) = self.position(queue) {
            self.rows.remove(at);
            self.mark_dirty(queue);
        }
    }

    /// Marks the record of a queue for writing.
    pub(super) fn mark_dirty(&mut self, queue: &str) {
        if !self.dirty.iter().any(|name| name == queue) {
            self.dirty.push(queue.to_owned());
        }
    }

    /// Returns whether records have to be written.
    pub(super) const fn is_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Returns the names of the queues whose records have to be written, and the records.
    pub(super) fn take_dirty(&mut self) -> (Vec<String>, Vec<Record>) {
        let names = std::mem::take(&mut self.dirty);
        let record = |name: &String| match self.get(name) {
            Some(limit) => Record::AttemptLimit(name.clone(), limit),
            None => Record::DeleteAttemptLimit(name.clone()),
        };
        let records = names.iter().map(record).collect();
        (names, records)
    }
}

impl Shard {
    /// Stores the limit of attempts of a queue, if the configuration tells it.
    pub(super) fn remember_attempt_limit(&mut self, queue: &str) {
        if let Some(limit) = self.catalogue.attempt_limit(queue) {
            self.attempt_limits.update(queue, limit);
        }
    }

    /// Stores the limits of attempts of the queues of all open jobs, as far as a new configuration has
    /// changed them.
    pub(super) fn remember_attempt_limits(&mut self) {
        self.attempt_limits.may_be_unused = true;
        let mut queues: Vec<String> = Vec::new();
        for id in &self.open {
            let Some(job) = self.job(*id) else { continue };
            if let Err(at) = queues.binary_search(&job.spec.queue) {
                queues.insert(at, job.spec.queue.clone());
            }
        }
        for queue in &queues {
            self.remember_attempt_limit(queue);
        }
    }

    /// Notes that a job of a queue is no longer open.
    pub(super) fn note_finished_job(&mut self, queue: &str) {
        self.attempt_limits.may_be_unused |= self.catalogue.queue(queue).is_none();
    }

    /// Deletes the stored limits of removed queues without open jobs. Searches the open jobs only if
    /// that can have changed since the last call.
    pub(super) fn forget_unused_attempt_limits(&mut self) {
        let is_due = self.has_catalogue && self.attempt_limits.may_be_unused;
        if !is_due {
            return;
        }
        self.attempt_limits.may_be_unused = false;
        let is_used = |name: &str| {
            let is_of_queue = |id: &_| self.job(*id).is_some_and(|job| job.spec.queue == name);
            self.catalogue.queue(name).is_some() || self.open.iter().any(is_of_queue)
        };
        let rows = self.attempt_limits.rows.iter();
        let unused = rows.filter(|row| !is_used(&row.0));
        let unused: Vec<String> = unused.map(|row| row.0.clone()).collect();
        for queue in &unused {
            self.attempt_limits.remove(queue);
        }
    }

    /// Returns the last limit of attempts of a queue that the configuration does not have; `None` if it
    /// is not known.
    pub(super) fn attempt_limit_of_removed(&self, queue: &str) -> Option<u32> {
        let stored = self.attempt_limits.get(queue);
        let seen = self.catalogue.attempt_limit(queue);
        let known = stored.into_iter().chain(seen);
        let last = known.max_by_key(|limit| limit.config_version);
        last.map(|limit| limit.max_attempts)
    }
}
