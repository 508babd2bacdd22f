//! The interface between the fleet daemon and a platform: its metadata store, its workers, its VMs
//! and its placement advice.
//!
//! An implementation translates calls and answers to and from the platform's protocol and makes no
//! decisions of its own. The errors therefore separate calls that surely had no effect from calls
//! whose outcome is unknown.
#![allow(async_fn_in_trait)] // single-threaded runtime: futures need not be `Send`

use std::net::SocketAddr;

use vanillafold_jobs::{
    Advice, AdviceQuery, Epoch, Order, OrderAnswer, PollReport, Vm, VmOperation, WorkerEntry,
    WorkerId,
};

use super::config::OperatorRecord;

/// Error of a call to the metadata store.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum StoreError {
    /// The store rejected the call or could not be reached; the call had no effect.
    #[error("the store refused the call: {0}")]
    Refused(String),
    /// No usable answer came; the call may have taken effect.
    #[error("no answer from the store: {0}")]
    NoAnswer(String),
    /// The store no longer keeps the changes from the requested offset on.
    #[error("the store has removed the records from the requested offset on")]
    Trimmed,
    /// The change at the requested offset can't be read, and none after it.
    #[error("the changes from the requested offset on can't be read: {0}")]
    Unreadable(String),
}

/// Error of an append.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum AppendError {
    /// The call failed for a reason that has nothing to do with its condition.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A producer of the same name has written with a later epoch.
    #[error("a later owner has written")]
    Fenced,
    /// The producer's sequence number is not the next one.
    #[error("the store expects sequence number {expected}")]
    SequenceMismatch {
        /// The sequence number that the store accepts next.
        expected: u64,
    },
    /// The keyspace ends at another offset than [`AppendCondition::EndOffset`] requires.
    #[error("another append has moved the end of the keyspace")]
    EndMoved,
}

/// A compacted log at the platform, of which the latest value of each key is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Keyspace {
    /// Configurations, maintenance waves and evacuations of zones, written by the operator.
    Operator,
    /// Registrations, written by workers.
    Workers,
    /// Progress of maintenance waves, written for the operator.
    Status,
    /// The shard's records, written by its owner.
    Jobs,
    /// Claims of daemons that found the shard without an owner.
    Claims,
}

/// Identity of an append, by which the store fences earlier owners and drops repeated appends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Producer {
    /// Name shared by all owners of the shard.
    pub name: &'static str,
    /// Epoch of the ownership; the store rejects appends of earlier epochs.
    pub epoch: Epoch,
    /// Sequence number of the append within its epoch. The first append with records has number 1;
    /// the append that starts the epoch has number 0 and no records.
    pub sequence: u64,
}

/// A key and its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRow {
    /// Unique within its keyspace.
    pub key: String,
    /// Value in the platform's encoding; empty if the key was deleted.
    pub value: Vec<u8>,
}

/// Latest value of each key of a keyspace, collected page by page.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LatestRows {
    /// Rows read so far, sorted by key.
    pub rows: Vec<KeyedRow>,
    /// Last key read so far, also if its row was ignored because it can't be read; `None` before
    /// the first.
    pub last_key: Option<String>,
    /// Offset from which [`MetadataStore::read_changes`] returns every change made after the first
    /// page was read; `None` until that page has been read.
    pub next_offset: Option<u64>,
    /// Keys of rows that were ignored because their value can't be read.
    pub unreadable_keys: Vec<String>,
    /// Whether rows were ignored whose key can't be read.
    pub has_unknown_keys: bool,
}

/// Condition under which the store accepts an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendCondition {
    /// The append is always accepted.
    Unconditional,
    /// No later epoch of this producer has written, and the sequence number is the next one.
    Producer(Producer),
    /// The keyspace ends at this offset: nobody has appended since it was read.
    EndOffset(u64),
}

/// Part of a keyspace's log of changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// Changed rows, oldest first.
    pub rows: Vec<KeyedRow>,
    /// Offset from which to read the changes that follow.
    pub next_offset: u64,
}

/// A daemon's membership in a group whose members share out the partitions of a topic.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Membership {
    /// Generation of the group; increases with every change of its members.
    pub generation: u64,
    /// Partitions assigned to the member.
    pub partitions: Vec<u32>,
}

/// Assignment of a partition to a member of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartitionOwner {
    /// Number of the partition within its topic.
    pub partition: u32,
    /// Name under which the member joined; empty if the partition has no owner.
    pub member: String,
}

/// A connection to the platform's metadata store.
pub trait MetadataStore {
    /// Joins a group that shares out the partitions of `topic`, or renews the membership, which
    /// expires after `ttl_ms`. `generation` is the last one that the member was given, or 0 if it
    /// is not a member.
    async fn join(
        &mut self,
        group: &str,
        member: &str,
        topic: &str,
        ttl_ms: u64,
        generation: u64,
    ) -> Result<Membership, StoreError>;

    /// Leaves a group, so that its partitions go to other members at once.
    async fn leave(&mut self, group: &str, member: &str) -> Result<(), StoreError>;

    /// Returns the owner of each partition that a group shares out.
    async fn partition_owners(&mut self, group: &str) -> Result<Vec<PartitionOwner>, StoreError>;

    /// Appends rows if `condition` is met. An append without rows by a producer only raises the
    /// producer's epoch, which fences earlier owners. Gives up waiting for the answer after
    /// `timeout_ms`.
    async fn append(
        &mut self,
        keyspace: Keyspace,
        condition: AppendCondition,
        rows: &[(String, Vec<u8>)],
        timeout_ms: u64,
    ) -> Result<(), AppendError>;

    /// Reads the latest value of each key, page by page, starting after `latest.last_key`. Rows that
    /// can't be read are ignored.
    /// After an error, a further call with the same `latest` continues where the failed one ended.
    async fn read_latest(
        &mut self,
        keyspace: Keyspace,
        latest: &mut LatestRows,
    ) -> Result<(), StoreError>;

    /// Reads changes starting at offset `from`; waits up to `wait_ms` for one if there is none. Rows
    /// that can't be read are ignored. After [`StoreError::Unreadable`] the latest values have to be
    /// read instead.
    async fn read_changes(
        &mut self,
        keyspace: Keyspace,
        from: u64,
        wait_ms: u64,
    ) -> Result<Changes, StoreError>;
}

/// A connection to one worker, for polls or orders.
///
/// An open connection reaches the incarnation of the worker to which it was opened, and no other. Once
/// it is closed the worker may have started again under its id, where clock and runs are others; so
/// nothing is sent until the connection has been opened again.
pub trait WorkerConnection {
    /// Returns whether the connection is open, as far as is known without a call.
    async fn is_open(&mut self) -> bool;

    /// Opens the connection unless it is open; waits for at most `timeout_ms`.
    async fn open(&mut self, timeout_ms: u64) -> Result<(), OrderAnswer>;

    /// Polls the worker for its runs and their ends. `deadline_ms`, on the worker's clock, extends
    /// the leases of its runs; with `None` they are not renewed. The worker may forget the ends up
    /// to number `acknowledged_end`. It waits up to `wait_ms` for a further run to end before it
    /// answers, and the poll ends without an answer `timeout_ms` later. Returns the answer of a
    /// worker that rejected the poll as an error.
    async fn poll(
        &mut self,
        epoch: Epoch,
        deadline_ms: Option<u64>,
        acknowledged_end: u64,
        wait_ms: u64,
        timeout_ms: u64,
    ) -> Result<PollReport, OrderAnswer>;

    /// Sends orders together and calls `answered` exactly once for each, with its index: as its
    /// answer arrives, or when none has arrived within `timeout_ms` after the one before.
    async fn send(
        &mut self,
        epoch: Epoch,
        orders: &[Order],
        timeout_ms: u64,
        answered: impl FnMut(usize, OrderAnswer),
    );
}

/// Error of a call about VMs.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum CloudError {
    /// The platform rejected the call or could not be reached; the call had no effect.
    #[error("refused: {0}")]
    Refused(String),
    /// No usable answer came; the call may have taken effect.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

/// The VMs as the platform lists them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VmList {
    /// VMs whose row could be read.
    pub vms: Vec<Vm>,
    /// Whether the platform lists further VMs, whose rows can't be read.
    pub has_unreadable_vms: bool,
}

/// A connection to the platform's API for VMs.
pub trait CloudApi {
    /// Lists all VMs.
    async fn list_vms(&mut self) -> Result<VmList, CloudError>;

    /// Sends operations on VMs together, as the daemon named `daemon_name`, and calls `answered`
    /// exactly once for each, with its index: as its answer arrives, or when none can arrive any
    /// more.
    async fn send_vm_operations(
        &mut self,
        daemon_name: &str,
        epoch: Epoch,
        vm_operations: &[VmOperation],
        answered: impl FnMut(usize, Result<(), CloudError>),
    );
}

/// A connection to the platform's placement advice service.
pub trait Advisor {
    /// Asks which workers may run a step; returns `None` if the service gave no usable answer.
    async fn advise(&mut self, query: &AdviceQuery) -> Option<Advice>;
}

/// A platform on which fleet daemons run.
pub trait FleetPlatform: 'static {
    /// Connection to the metadata store.
    type Store: MetadataStore;
    /// Connection to a worker.
    type Worker: WorkerConnection;
    /// Connection to the API for VMs.
    type Cloud: CloudApi;
    /// Connection to the placement advice service.
    type Advisor: Advisor;

    /// Returns a new connection to the metadata store.
    fn store(&self) -> Self::Store;
    /// Returns a new connection to a worker, which is not open yet.
    fn worker(&self, id: &WorkerId, address: SocketAddr) -> Self::Worker;
    /// Returns a new connection to the API for VMs.
    fn cloud(&self) -> Self::Cloud;
    /// Returns a new connection to the placement advice service, or `None` if the platform has
    /// none.
    fn advisor(&self) -> Option<Self::Advisor>;

    /// Parses a row of [`Keyspace::Operator`]; returns `Ok(None)` for one that the system does not
    /// use.
    ///
    /// # Errors
    ///
    /// Describes what is malformed in the row.
    fn operator_record(&self, row: &KeyedRow) -> Result<Option<OperatorRecord>, String>;
    /// Returns the zone whose evacuation the row of this key in [`Keyspace::Operator`] requests, as
    /// long as the row exists and whatever its value; `None` if the key requests none.
    fn evacuated_zone<'a>(&self, key: &'a str) -> Option<&'a str>;
    /// Parses a worker's registration from a row of [`Keyspace::Workers`].
    ///
    /// # Errors
    ///
    /// Describes what is malformed in the row.
    fn worker_entry(&self, row: &KeyedRow) -> Result<WorkerEntry, String>;
    /// Returns the key and value of the [`Keyspace::Status`] row for a maintenance wave.
    fn wave_status(&self, wave: u64, completed: bool) -> (String, Vec<u8>);
}
