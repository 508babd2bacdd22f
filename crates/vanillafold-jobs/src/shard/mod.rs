//! The state machine that schedules the jobs of one shard.

mod admission;
mod advice;
mod arrivals;
mod backlog;
mod catalogue;
mod ends;
mod evacuation;
mod losses;
mod moves;
mod orders;
mod pacing;
mod pool_index;
mod root;
mod schedule;
mod settings;
mod start_rate;
mod storing;
mod submit;
mod unaccounted;
mod vm_operations;
mod waiting;
mod waves;
mod workers;

pub use admission::PredictionCounts;
pub use advice::{Advice, AdviceQuery};
pub use catalogue::{Catalogue, OrganisationInfo, PoolInfo, QueueInfo, RemovedQueue};
pub use evacuation::EvacuationCounts;
pub use losses::LossCounts;
pub use orders::{Order, PollPlan};
pub use root::Shard;
pub use settings::Settings;
pub use storing::Batch;
pub use submit::{CancelOutcome, SubmitOutcome};
pub use vm_operations::{Vm, VmOperation, VmState};
pub use waves::{Wave, WaveStatus};
