//! The part of the operator's configuration that scheduling needs.

use crate::record::AttemptLimit;
use crate::spec::Resources;

/// A queue of jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueInfo {
    /// Name of the queue.
    pub name: String,
    /// Pool that runs the queue's tasks.
    pub pool: String,
    /// Priority of the queue's jobs; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    pub max_attempts: u32,
    /// Factor of the latency objective in thousandths: a job is late once it has taken this
    /// multiple of its critical path plus `target_latency_ms`.
    pub stretch_permille: u64,
    /// Constant part of the latency objective, in milliseconds.
    pub target_latency_ms: u64,
    /// Whether placement needs advice from the platform.
    pub advised: bool,
}

/// A pool of VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolInfo {
    /// Name of the pool.
    pub name: String,
    /// Whether the pool holds spare VMs, which are off and cost nothing.
    pub spare: bool,
}

/// An organisation that submits jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationInfo {
    /// Name of the organisation.
    pub name: String,
    /// Weight of the organisation's share when the capacity is used up.
    pub weight: u64,
    /// Maximum resources that its runs may use; a component of zero means no limit.
    pub limit: Resources,
}

/// Maximum number of removed queues whose limits are remembered.
const MAX_REMOVED_QUEUES: usize = 1_000;

/// A queue that an earlier configuration had.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RemovedQueue {
    /// Name of the queue.
    pub name: String,
    /// Limit of attempts in the last configuration that had the queue.
    pub limit: AttemptLimit,
}

/// Queues, pools and organisations, each sorted by name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Catalogue {
    /// Version of the configuration; a newer one has a larger number.
    pub version: u64,
    /// All queues.
    pub queues: Vec<QueueInfo>,
    /// All pools.
    pub pools: Vec<PoolInfo>,
    /// All organisations.
    pub organisations: Vec<OrganisationInfo>,
    /// Queues that were removed and may still have jobs, sorted by name.
    pub removed_queues: Vec<RemovedQueue>,
}

impl Catalogue {
    /// Returns the queue with this name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&QueueInfo> {
        let at = self
            .queues
            .binary_search_by(|queue| queue.name.as_str().cmp(name));
        at.ok().map(|at| &self.queues[at])
    }

    /// Returns the limit of attempts of a queue, also if it was removed; `None` if it is not known.
    #[must_use]
    pub fn attempt_limit(&self, queue: &str) -> Option<AttemptLimit> {
        let removed = self
            .removed_queues
            .binary_search_by(|row| row.name.as_str().cmp(queue));
        match (self.queue(queue), removed) {
            (Some(queue), _) => Some(AttemptLimit {
                config_version: self.version,
                max_attempts: queue.max_attempts,
            }),
            (None, Ok(at)) => Some(self.removed_queues[at].limit),
            (None, Err(_)) => None,
        }
    }

    /// Remembers the queues of the configuration before this one that were removed: their jobs go on.
    pub fn remember_removed(&mut self, before: &Self) {
        let of_queue = |queue: &QueueInfo| RemovedQueue {
            name: queue.name.clone(),
            limit: AttemptLimit {
                config_version: before.version,
                max_attempts: queue.max_attempts,
            },
        };
        let known = before.queues.iter().map(of_queue);
        let known = known.chain(before.removed_queues.iter().cloned());
        let mut removed: Vec<RemovedQueue> = known
            .filter(|row| self.queue(&row.name).is_none())
            .take(MAX_REMOVED_QUEUES)
            .collect();
        removed.sort_by(|a, b| a.name.cmp(&b.name));
        self.removed_queues = removed;
    }

    /// Returns the organisation with this name.
    #[must_use]
    pub fn organisation(&self, name: &str) -> Option<&OrganisationInfo> {
        let at = self
            .organisations
            .binary_search_by(|organisation| organisation.name.as_str().cmp(name));
        at.ok().map(|at| &self.organisations[at])
    }
}
