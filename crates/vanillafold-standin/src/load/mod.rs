//! The load generator, a stand-in for callers: sends requests in an open or closed loop, checks
//! the answers and summarizes outcomes and latencies.
//!
//! In the open loop the arrival times are drawn from the seed and do not depend on the answers.
//! Latency counts from the intended start, to avoid coordinated omission (Tene, "How NOT to measure
//! latency", 2013). Requests that find no free connection wait in the load generator, and that time
//! counts too.

mod arrival;
mod backlog;
mod burst;
mod cpu;
mod distribution;
mod exchange;
mod options;
mod recorder;
mod request;
mod sender;
mod standin;
mod summary;
mod tally;

pub use arrival::{Arrival, Arrivals};
pub use burst::{Burst, ParseBurstError};
pub use distribution::{Distribution, ParseDistributionError};
pub use options::{CallerKey, LoadModel, LoadOptions, ParseOptionError, QueueWeight, Target, Work};
pub use standin::LoadStandin;
pub use summary::{CpuTime, OutcomeCount, Percentiles, QueueSummary, Summary, TeamSummary};
