//! What a fleet daemon is run with.

use std::net::SocketAddr;
use std::time::Duration;

/// What a fleet daemon is run with.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// The daemon's name.
    pub daemon_name: String,
    /// Its availability zone.
    pub zone: String,
    /// The processor that it may use, in thousandths of a core.
    pub cpu_millis: u64,
    /// Where other daemons call it.
    pub peer_address: SocketAddr,
    /// How long a member of the owners' group stays one without joining again, in milliseconds.
    pub member_ttl_ms: u64,
    /// What the shard is run with.
    pub shard: vanillafold_jobs::Settings,
}

/// The group whose members own shards.
pub(crate) const OWNERS_GROUP: &str = "vanillafold-owners";
/// The topic whose partitions stand for shards in that group.
pub(crate) const SHARDS_TOPIC: &str = "vanillafold.shards";
/// The name under which the owner of the shard writes, whoever it is.
pub(crate) const SHARD_PRODUCER: &str = "shard-0";
/// The partition of the one shard.
pub(crate) const SHARD_PARTITION: u32 = 0;

/// Between two joins: several fit into the time after which a member counts as gone.
pub(crate) const JOIN_INTERVAL: Duration = Duration::from_millis(250);
/// After a failed join.
pub(crate) const JOIN_RETRY_DELAY: Duration = Duration::from_millis(150);
/// The processor that an owner should have, in thousandths of a core: enough for its peak at 850
/// task starts a second (docs/CAPACITY.md).
pub(crate) const OWNER_CPU_MILLIS: u64 = 250;
/// A daemon with less hands the shard over to one that has it, but not sooner than this after it
/// took over, in milliseconds: a takeover must not begin another.
pub(crate) const MIN_TENURE_MS: u64 = 2_500;
/// Between two looks for an owner while none answers.
pub(crate) const VACANCY_INTERVAL: Duration = Duration::from_millis(120);
/// So many reads in a row must show that nobody holds the shard: an owner that the store has
/// forgotten in an outage joins again meanwhile.
pub(crate) const VACANT_READS_BEFORE_CLAIM: u32 = 2;
/// Between two looks at the owner by each other daemon; bounds how long a daemon that lost its
/// owner stays ready.
pub(crate) const PING_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long the owner may take to say that it is there: a slow owner's answer is late, not lost.
pub(crate) const PING_TIMEOUT: Duration = Duration::from_millis(300);
/// A daemon that has not reached the owner for so long is not ready, in milliseconds: a ping's interval
/// and limit and one more try. The platform then sends callers elsewhere.
pub(crate) const OWNER_CONTACT_MS: u64 = 1_600;
/// An owner that is not confirmed by the store and not called from another zone for so long
/// gives no orders, in milliseconds. Counts into the time that a new owner waits.
pub(crate) const OWNER_ISOLATION_MS: u64 = 2_000;
/// How long a call of another daemon may take to connect.
pub(crate) const CALL_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a call of the owner may take before it is repeated.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long a caller's request waits for an owner, in milliseconds: a takeover after a loss.
pub(crate) const OWNER_WAIT_MS: u64 = 1_800;
/// Between two tries to reach an owner.
pub(crate) const OWNER_RETRY_DELAY: Duration = Duration::from_millis(60);
/// When a caller may come back that was refused because there is no owner or no store.
pub(crate) const RETRY_AFTER_MS: u64 = 1_000;
/// Between two passes of the scheduler when nothing happens.
pub(crate) const SCHEDULE_INTERVAL: Duration = Duration::from_millis(100);
/// Least time between two passes: events of this time are handled together.
pub(crate) const MIN_SCHEDULE_GAP: Duration = Duration::from_millis(4);
/// Between two reads of the list of workers.
pub(crate) const WORKER_LIST_INTERVAL: Duration = Duration::from_millis(400);
/// The same while machines are on their way to a pool: each waits for its worker to be found.
pub(crate) const WORKER_LIST_FAST_INTERVAL: Duration = Duration::from_millis(100);
/// Between two reads of the list of machines.
pub(crate) const VM_LIST_INTERVAL: Duration = Duration::from_millis(500);
/// How long a read of the operator's records waits for the next one, in milliseconds: a
/// connection that has gone silent is noticed well within the time in which a configuration must
/// be in force.
pub(crate) const OPERATOR_WAIT_MS: u64 = 800;
/// After a failed read.
pub(crate) const READ_RETRY_DELAY: Duration = Duration::from_millis(250);
/// The first wait for the answer to an append; doubled with each try. Some twenty times a usual
/// answer.
pub(crate) const APPEND_TIMEOUT: Duration = Duration::from_millis(250);
/// The longest.
pub(crate) const APPEND_TIMEOUT_MAX: Duration = Duration::from_secs(3);
/// How long submissions are refused after the store did not answer, in milliseconds, before one
/// is tried again.
pub(crate) const STORE_BACKOFF_MS: u64 = 500;
/// The first pause after an append that the store did not take; doubled with each.
pub(crate) const APPEND_BACKOFF_MIN: Duration = Duration::from_millis(40);
/// The longest: what the store's return may cost on top.
pub(crate) const APPEND_BACKOFF_MAX: Duration = Duration::from_millis(320);
/// How long records are collected before they are written together.
pub(crate) const APPEND_BATCH_DELAY: Duration = Duration::from_millis(4);
