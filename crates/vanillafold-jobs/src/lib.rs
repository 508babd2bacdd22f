//! Scheduling of jobs on leased workers, as a deterministic state machine without a clock or I/O.
//!
//! | descriptions of jobs | [`JobSpec`], [`StepSpec`], [`Resources`] |
//! |---|---|
//! | ids and numbers | [`JobId`], [`TaskId`], [`RunNumber`], [`Epoch`], [`WorkerId`] |
//! | stored records | [`Record`], [`JobProgress`], [`JobOutcome`] |
//! | the state machine of one shard | [`Shard`], [`Order`], [`Settings`] |
//! | deliveries of submissions, and refusals | [`Refusals`], [`DeliveryCheck`] |
//! | registration, reports and answers of workers | [`WorkerEntry`], [`PollReport`], [`OrderAnswer`] |
//!
//! [`Shard`] is driven by events that carry the current time. It returns the [`Order`]s to send to
//! workers and the record batches to store. See `docs/design/0009-jobs.md`.

mod id;
mod job;
mod record;
mod shard;
mod spec;
mod submission;
mod worker;

pub use id::{Epoch, IdError, JobId, RunNumber, TaskId, WorkerId};
pub use job::JobState;
pub use record::{
    AttemptLimit, JobOutcome, JobProgress, OccurrenceProgress, Record, RecordError, StepProgress,
    SuspectRun, SuspectState,
};
pub use shard::{
    Advice, AdviceQuery, Batch, CancelOutcome, Catalogue, EvacuationCounts, LossCounts,
    NearWaitCounts, Order, OrganisationInfo, PollPlan, PoolInfo, PredictionCounts, QueueInfo,
    RemovedQueue, Settings, Shard, SubmitOutcome, Vm, VmOperation, VmState, Wave, WaveStatus,
};
pub use spec::{JobSpec, Repeat, Resources, SpecError, StepSpec};
pub use submission::{DeliveryCheck, Refusals};
pub use worker::{EndKind, ListedEnd, ListedRun, OrderAnswer, PollReport, WorkerEntry};
