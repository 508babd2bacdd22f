//! What the operator's configuration says of queues, pools and organisations.

use crate::spec::Resources;

/// A queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueInfo {
    /// Its name.
    pub name: String,
    /// The pool that runs its tasks.
    pub pool: String,
    /// 0 comes first.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    pub max_attempts: u32,
    /// A job counts as late after this many thousandths of its longest chain of work...
    pub stretch_permille: u64,
    /// ...and so many milliseconds more.
    pub target_latency_ms: u64,
    /// Placement needs advice from the platform.
    pub advised: bool,
}

/// A pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolInfo {
    /// Its name.
    pub name: String,
    /// Its VMs are off and cost nothing.
    pub spare: bool,
}

/// An organisation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationInfo {
    /// Its name.
    pub name: String,
    /// Its share when everything is full.
    pub weight: u64,
    /// What it may have running; zero means no limit.
    pub limit: Resources,
}

/// The part of the configuration that placement needs. All rows are sorted by name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Catalogue {
    /// Which configuration this is.
    pub version: u64,
    /// The queues.
    pub queues: Vec<QueueInfo>,
    /// The pools.
    pub pools: Vec<PoolInfo>,
    /// The organisations.
    pub organisations: Vec<OrganisationInfo>,
}

impl Catalogue {
    /// A queue by its name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&QueueInfo> {
        let at = self
            .queues
            .binary_search_by(|queue| queue.name.as_str().cmp(name));
        at.ok().map(|at| &self.queues[at])
    }

    /// An organisation by its name.
    #[must_use]
    pub fn organisation(&self, name: &str) -> Option<&OrganisationInfo> {
        let at = self
            .organisations
            .binary_search_by(|organisation| organisation.name.as_str().cmp(name));
        at.ok().map(|at| &self.organisations[at])
    }
}
