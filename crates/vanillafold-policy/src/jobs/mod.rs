//! Decisions about jobs: order of waiting work, admission, placement, pacing, capacity, upkeep.

mod admission;
mod capacity;
mod order;
mod pace;
mod placement;
mod upkeep;

pub use admission::{Admission, PoolLoad, admit};
pub use capacity::{MoveAdvice, PoolDemand, SpareVm, plan_moves};
pub use order::{QueuedStep, Rank, rank};
pub use pace::{PaceInput, next_pace};
pub use placement::{Candidate, Placement, place};
pub use upkeep::{UpkeepCandidate, UpkeepChoice, choose_upkeep};
