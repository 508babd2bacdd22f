//! What a platform must do for the fleet daemon. Implementations translate and decide nothing.
#![allow(async_fn_in_trait)] // one thread: futures need not be `Send`

use std::net::SocketAddr;

use vanillafold_jobs::{
    Advice, AdviceQuery, Epoch, Order, OrderAnswer, PollReport, Vm, VmOperation, WorkerEntry,
    WorkerId,
};

use super::config::OperatorRecord;

/// What a call of the store did.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum StoreError {
    /// Nothing was done.
    #[error("the store refused: {0}")]
    Refused(String),
    /// It may have been done.
    #[error("no answer from the store: {0}")]
    NoAnswer(String),
    /// The records from that offset are gone.
    #[error("the records are gone")]
    Trimmed,
}

/// What an append did.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum AppendError {
    /// As for other calls.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A later epoch has written.
    #[error("a later owner has written")]
    Fenced,
    /// The store expects another sequence number.
    #[error("the store expects sequence {expected}")]
    Sequence {
        /// The one that it expects.
        expected: u64,
    },
    /// The keyspace does not end where it should.
    #[error("others have appended meanwhile")]
    Moved,
}

/// Keys with their newest values at the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Keyspace {
    /// What the operator writes.
    Operator,
    /// What workers register.
    Workers,
    /// What the system says to the operator.
    Status,
    /// The records of the shard.
    Jobs,
    /// Who tried to take the shard over.
    Claims,
}

/// Who appends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Producer {
    /// The name that all owners of the shard share.
    pub name: &'static str,
    /// The ownership.
    pub epoch: Epoch,
    /// Counts the appends of the ownership.
    pub sequence: u64,
}

/// A key and its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRow {
    /// The key.
    pub key: String,
    /// The value; empty if the key was dropped.
    pub value: Vec<u8>,
}

/// The newest value of each key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Newest {
    /// The rows, in the order of their keys.
    pub rows: Vec<KeyedRow>,
    /// Changes after the first page was read are found from this offset on; `None` before that.
    pub end: Option<u64>,
}

/// On what an append depends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendGuard {
    /// On nothing.
    Free,
    /// No later epoch has written, and the sequence number is the next one.
    Producer(Producer),
    /// The keyspace ends at this offset.
    End(u64),
}

/// Changes in their order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tail {
    /// The changes.
    pub rows: Vec<KeyedRow>,
    /// Where to read on.
    pub next: u64,
}

/// What a member of a group holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Membership {
    /// Rises with each change of the group.
    pub generation: u64,
    /// The partitions that the member holds.
    pub partitions: Vec<u32>,
}

/// Who holds a partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ownership {
    /// The partition.
    pub partition: u32,
    /// The member's name.
    pub member: String,
}

/// The platform's metadata store, over a connection of its own.
pub trait MetadataStore {
    /// Joins a group, or stays in it.
    async fn join(
        &mut self,
        group: &str,
        member: &str,
        topic: &str,
        ttl_ms: u64,
        generation: u64,
    ) -> Result<Membership, StoreError>;

    /// Leaves a group.
    async fn leave(&mut self, group: &str, member: &str) -> Result<(), StoreError>;

    /// Who holds the partitions of a group.
    async fn owners(&mut self, group: &str) -> Result<Vec<Ownership>, StoreError>;

    /// Appends records; none sets the epoch only.
    async fn append(
        &mut self,
        keyspace: Keyspace,
        guard: AppendGuard,
        rows: &[(String, Vec<u8>)],
        timeout_ms: u64,
    ) -> Result<(), AppendError>;

    /// Reads the newest value of each key, page by page, from the last key on that `newest` holds:
    /// after an error a further call with it goes on where the one before ended.
    async fn newest(&mut self, keyspace: Keyspace, newest: &mut Newest) -> Result<(), StoreError>;

    /// Reads changes from an offset on; waits for one if there is none.
    async fn follow(
        &mut self,
        keyspace: Keyspace,
        from: u64,
        wait_ms: u64,
    ) -> Result<Tail, StoreError>;
}

/// Looks at one worker, over a connection of its own.
pub trait Looks {
    /// Looks once.
    async fn look(
        &mut self,
        epoch: Epoch,
        deadline_ms: Option<u64>,
        last_seen: u64,
        wait_ms: u64,
    ) -> Result<PollReport, OrderAnswer>;
}

/// Orders to one worker, over a connection of its own.
pub trait Orders {
    /// Sends orders together and hands out each answer as it comes, each exactly once.
    async fn send(
        &mut self,
        epoch: Epoch,
        orders: &[Order],
        answered: impl FnMut(usize, OrderAnswer),
    );
}

/// What a call about machines did.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum CloudError {
    /// Nothing was done.
    #[error("refused: {0}")]
    Refused(String),
    /// It may have been done.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

/// The platform's machines.
pub trait Machines {
    /// All machines.
    async fn list(&mut self) -> Result<Vec<Vm>, CloudError>;

    /// Sends orders about machines together and hands out each answer as it comes, each exactly
    /// once.
    async fn order(
        &mut self,
        holder: &str,
        epoch: Epoch,
        duties: &[VmOperation],
        answered: impl FnMut(usize, Result<(), CloudError>),
    );
}

/// The platform's service for placement advice.
pub trait Advisor {
    /// Asks which workers may run a step; `None` if there was no answer.
    async fn advise(&mut self, query: &AdviceQuery) -> Option<Advice>;
}

/// A platform.
pub trait FleetPlatform: 'static {
    /// Its store.
    type Store: MetadataStore;
    /// Looks at a worker.
    type Looks: Looks;
    /// Orders to a worker.
    type Orders: Orders;
    /// Its machines.
    type Machines: Machines;
    /// Its placement advice.
    type Advisor: Advisor;

    /// A connection to the store.
    fn store(&self) -> Self::Store;
    /// A connection for looks at a worker.
    fn looks(&self, worker: &WorkerId, address: SocketAddr) -> Self::Looks;
    /// A connection for orders to a worker.
    fn orders(&self, worker: &WorkerId, address: SocketAddr) -> Self::Orders;
    /// A connection for machines.
    fn machines(&self) -> Self::Machines;
    /// A connection to the service for placement advice, if there is one.
    fn advisor(&self) -> Option<Self::Advisor>;

    /// Reads a record of the operator; `Ok(None)` for one that the system has no use for.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    fn operator_record(&self, row: &KeyedRow) -> Result<Option<OperatorRecord>, String>;
    /// Reads a worker's registration.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    fn worker_entry(&self, row: &KeyedRow) -> Result<WorkerEntry, String>;
    /// The record that says how a wave stands.
    fn wave_status(&self, wave: u64, completed: bool) -> (String, Vec<u8>);
}
