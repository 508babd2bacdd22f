//! Decisions about jobs: order of waiting work, admission, placement, pacing, capacity, upkeep.

mod admission;
mod capacity;
mod maintenance;
mod order;
mod pace;
mod placement;

pub use admission::{Admission, PoolLoad, admit};
pub use capacity::{MoveAdvice, PoolDemand, SpareVm, plan_moves};
pub use maintenance::{MaintenanceCandidate, MaintenanceChoice, choose_maintenance};
pub use order::{QueuedStep, Rank, rank};
pub use pace::{PaceInput, next_pace};
pub use placement::{Candidate, Placement, place};
