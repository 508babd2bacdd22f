//! The state machine of one shard.

mod advice;
mod arrivals;
mod catalogue;
mod duties;
mod ends;
mod orders;
mod pacing;
mod root;
mod schedule;
mod settings;
mod storing;
mod submit;
mod workers;

pub use advice::{Advice, AdviceQuery};
pub use catalogue::{Catalogue, OrganisationInfo, PoolInfo, QueueInfo};
pub use duties::{Vm, VmOperation, VmState, Wave, WaveStatus};
pub use orders::{Order, PollPlan};
pub use root::Shard;
pub use settings::Settings;
pub use storing::Batch;
pub use submit::{CancelOutcome, SubmitOutcome};
