//! Settings of a fleet daemon, and the constants that time its tasks.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a fleet daemon.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Name of the daemon, under which it also operates on VMs.
    pub daemon_name: String,
    /// Availability zone that the daemon runs in.
    pub zone: String,
    /// CPU that the daemon may use, in thousandths of a core. Daemons with more are preferred as
    /// owner of the shard.
    pub cpu_millis: u64,
    /// Address that the daemon listens on for requests of other daemons.
    pub peer_address: SocketAddr,
    /// Time in milliseconds after which a member that has not joined again leaves the owners'
    /// group.
    pub member_ttl_ms: u64,
    /// Settings of the shard while the daemon owns it.
    pub shard: vanillafold_jobs::Settings,
}

/// Group of the store whose members own shards.
pub(crate) const OWNERS_GROUP: &str = "vanillafold-owners";
/// Topic whose partitions represent the shards in [`OWNERS_GROUP`].
pub(crate) const SHARDS_TOPIC: &str = "vanillafold.shards";
/// Producer name under which every owner of the shard appends, so that the store can fence earlier
/// owners.
pub(crate) const SHARD_PRODUCER: &str = "shard-0";
/// Partition that represents the only shard.
pub(crate) const SHARD_PARTITION: u32 = 0;

/// Time between two joins. Several must fit into [`FleetSettings::member_ttl_ms`].
pub(crate) const JOIN_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two joins that are made at once to confirm the membership; the answers that
/// wait for one in this time share it.
pub(crate) const MIN_JOIN_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which an answer waits for the store to confirm the membership.
pub(crate) const CONFIRM_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay before a failed call of the owners' group is repeated.
pub(crate) const JOIN_RETRY_DELAY: Duration = Duration::from_millis(150);
/// CPU that an owner should have, in thousandths of a core: enough for its peak at 850 task starts
/// a second (docs/CAPACITY.md).
pub(crate) const OWNER_CPU_MILLIS: u64 = 250;
/// Minimum time for which a daemon with less than [`OWNER_CPU_MILLIS`] keeps the shard before it
/// hands it over to a larger one. Without it, one takeover could trigger the next.
pub(crate) const MIN_OWNERSHIP_MS: u64 = 2_500;
/// Time between two reads of the shard's owner from the store while no owner answers.
pub(crate) const VACANCY_INTERVAL: Duration = Duration::from_millis(120);
/// Number of consecutive reads that must show the shard without an owner before a daemon that has
/// reached an owner before claims it. After an outage the store may have forgotten the owner, which
/// joins again in this time.
pub(crate) const VACANT_READS_BEFORE_CLAIM: u32 = 2;
/// Time between two pings of the owner by each other daemon. It bounds how long a daemon that can't
/// reach the owner stays ready.
pub(crate) const PING_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time for which a ping waits for its answer. It leaves room for a slow owner, whose answer is
/// late but not lost.
pub(crate) const PING_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without an answer from the owner after which a daemon is not ready, so that the platform
/// sends callers to other daemons. It covers the interval and the timeout of a ping and one retry.
pub(crate) const OWNER_CONTACT_MS: u64 = 1_600;
/// Time after which an owner stops sending orders if neither the store has confirmed it nor a
/// daemon of another zone has sent it an RPC. A new owner's wait before its first orders includes
/// this time.
pub(crate) const OWNER_ISOLATION_MS: u64 = 2_000;
/// Timeout for connecting to another daemon.
pub(crate) const RPC_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of an RPC to the owner, after which it is repeated.
pub(crate) const RPC_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time for which a request that could not be sent waits for an owner: a takeover after the loss of
/// an owner fits into it.
pub(crate) const OWNER_WAIT_MS: u64 = 1_800;
/// Delay between two attempts to forward a request to the owner.
pub(crate) const OWNER_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Time after which a caller may retry that was refused because no owner or no store is available.
pub(crate) const RETRY_AFTER_MS: u64 = 1_000;
/// Maximum time between two scheduling passes, when no event triggers one.
pub(crate) const SCHEDULE_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two scheduling passes; the events of this time are handled together.
pub(crate) const MIN_SCHEDULE_INTERVAL: Duration = Duration::from_millis(4);
/// Added to the timeout of a poll, in milliseconds, for a worker with much to list.
pub(crate) const POLL_TIMEOUT_MARGIN_MS: u64 = 130;
/// Time between two reads of the workers' registrations.
pub(crate) const WORKER_LIST_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two reads of the workers' registrations while VMs are moving to a pool: a moved VM
/// is idle until its worker has been found.
pub(crate) const WORKER_LIST_FAST_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two reads of the list of VMs.
pub(crate) const VM_LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Multiple of the time that a read of the list of VMs takes before the next one begins. On a link
/// that is busy the list takes at most a fifth of it.
pub(crate) const VM_LIST_PAUSE_FACTOR: u32 = 4;
/// Time for which a read of the operator's records waits for the next one. It is short enough that
/// a silent connection is noticed well before a new configuration must be in force.
pub(crate) const OPERATOR_WAIT_MS: u64 = 800;
/// Delay before a failed read from the store or the API for VMs is repeated.
pub(crate) const READ_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Timeout of the first attempt of an append, about twenty times the usual latency; doubled with
/// each retry.
pub(crate) const APPEND_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum timeout of an attempt of an append.
pub(crate) const APPEND_TIMEOUT_MAX: Duration = Duration::from_secs(3);
/// Time for which submissions are refused after a failed append, before the next one is let through
/// to the store.
pub(crate) const STORE_BACKOFF_MS: u64 = 500;
/// Delay after the first append that the store refused; doubled with each further one.
pub(crate) const APPEND_BACKOFF_MIN: Duration = Duration::from_millis(40);
/// Maximum delay after a refused append. It bounds how much later than the store the writes
/// recover.
pub(crate) const APPEND_BACKOFF_MAX: Duration = Duration::from_millis(320);
/// Time for which records are collected before they are written in one batch.
pub(crate) const APPEND_BATCH_DELAY: Duration = Duration::from_millis(4);
