//! Simple routing and retry policies that benchmarks compare with the policies of this crate.
//!
//! They are for measurement only.

mod least_outstanding;
mod round_robin;
mod routing_policy;
mod unlimited_retries;

pub use least_outstanding::LeastOutstanding;
pub use round_robin::RoundRobin;
pub use routing_policy::RoutingPolicy;
pub use unlimited_retries::UnlimitedRetries;
