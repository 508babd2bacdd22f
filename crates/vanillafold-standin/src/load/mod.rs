//! The stand-in callers: an open or closed loop of requests, and what came of them.
//!
//! In the open loop the sending clock is drawn beforehand and never waits for the system:
//! latency counts from the intended start (Tene, "How NOT to measure latency", 2013). Requests
//! that find no free connection wait on the callers' side, and that time counts too.

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
