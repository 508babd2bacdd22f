//! Choice of a target for each request, by the load, health and connections of the pool's targets.

mod connections;
mod decaying_value;
mod health;
mod load;
mod member;
mod outcome;
mod pick;
mod table;
mod target;

pub use connections::{connection_share, connections_allowed, is_assigned};
pub use health::PANIC_PERCENT;
pub use member::{DaemonMember, Member, MemberState, TargetLimits};
pub use outcome::{FailureKind, HealthCheckResult, NotRunReason, SendOutcome};
pub use pick::{HealthCheck, PickOptions, PickRefusal, PickedTarget, TargetStatus, TargetView};
pub use table::{SAMPLED_TARGETS, TargetTable};
