//! Jobs on leased workers: a deterministic state machine without clock and without I/O.
//!
//! | to describe a job | [`JobSpec`], [`StepSpec`], [`Resources`] |
//! |---|---|
//! | names | [`JobId`], [`TaskId`], [`RunNumber`], [`Epoch`], [`WorkerId`] |
//! | what is stored | [`Record`], [`JobProgress`], [`JobOutcome`] |
//! | the state machine of one shard | [`Shard`], [`Order`], [`Settings`] |
//! | what workers say | [`WorkerEntry`], [`PollReport`], [`OrderAnswer`] |
//!
//! [`Shard`] is driven by events that carry the time; what it wants done it gives out as
//! [`Order`]s and record batches. See `docs/design/0009-jobs.md`.

mod id;
mod job;
mod record;
mod shard;
mod spec;
mod worker;

pub use id::{Epoch, IdError, JobId, RunNumber, TaskId, WorkerId};
pub use job::JobState;
pub use record::{JobOutcome, JobProgress, OccurrenceProgress, Record, RecordError, StepProgress};
pub use shard::{
    Advice, AdviceQuery, Batch, CancelOutcome, Catalogue, Order, OrganisationInfo, PollPlan,
    PoolInfo, QueueInfo, Settings, Shard, SubmitOutcome, Vm, VmOperation, VmState, Wave,
    WaveStatus,
};
pub use spec::{JobSpec, Repeat, Resources, SpecError, StepSpec};
pub use worker::{EndKind, ListedEnd, ListedRun, OrderAnswer, PollReport, WorkerEntry};
