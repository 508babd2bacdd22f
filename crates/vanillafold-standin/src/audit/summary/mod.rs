//! What a run did, without judgement.

mod full_pool_usage;
mod latency;
mod run;
mod team;

pub use latency::Latency;
pub use run::{CodeCount, Summary};
pub use team::TeamSummary;
