//! Scheduling decisions about jobs: queue order, admission, zones, locality, placement, flow control
//! of orders, pacing of best-effort tasks, pool capacity, maintenance and evacuation of zones.

mod admission;
mod capacity;
mod evacuation;
mod flow;
mod locality;
mod maintenance;
mod order;
mod pace;
mod placement;
mod suspicion;
mod zone;

pub use admission::{
    Admission, AdmissionInput, ArrivingCpu, PoolRoom, PredictionCorrection, ReturnSchedule,
    WaitingWork, admit, predicted_lateness_ms,
};
pub use capacity::{MovableVm, PoolDemand, VmMove, plan_moves};
pub use evacuation::{CheckpointedRun, is_resumed_elsewhere, usable_permille};
pub use flow::OrderFlow;
pub use locality::{
    NO_SLOWDOWN_PERMILLE, NearWait, NearWaitInput, expected_remaining_ms, near_wait,
};
pub use maintenance::{
    MaintenanceCandidate, MaintenanceChoice, WaveProgress, choose_maintenance, paced_unavailable,
};
pub use order::{QueuedStep, Rank, rank};
pub use pace::{PaceInput, next_pace};
pub use placement::{PlacementCandidate, TaskProfile, choose_worker};
pub use suspicion::{LossHistory, SuspectPlacement, is_given_up, suspect_placement};
pub use zone::{ZoneCandidate, spread_rank, zone_order};
