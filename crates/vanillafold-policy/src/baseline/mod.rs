//! Baselines for measurement only: what the decisions of this crate are compared with.

mod least_outstanding;
mod round_robin;
mod route;
mod unlimited_retries;

pub use least_outstanding::LeastOutstanding;
pub use round_robin::RoundRobin;
pub use route::Route;
pub use unlimited_retries::UnlimitedRetries;
