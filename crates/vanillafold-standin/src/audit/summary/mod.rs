//! Statistics of a run that need no verdict.

mod full_pool_usage;
mod latency;
mod run;
mod team;

pub use latency::Latency;
pub use run::{CodeCount, Summary};
pub use team::TeamSummary;
