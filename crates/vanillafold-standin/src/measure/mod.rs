//! Measures CPU time, latency and memory of daemons, run as real processes, and compares them with
//! bounds.

mod bench_rig;
mod fleet_cost;
mod fleet_rig;
mod idle_connections;
mod latency;
mod load_run;
mod long_body;
mod peer_cost;
mod process_usage;
mod report;
mod statistics;
mod throughput;

pub use bench_rig::{BENCH_QUEUE, BenchRig};
pub use fleet_cost::{FleetCost, extrapolate, measure_fleet_cost};
pub use fleet_rig::{FLEET_TEAMS, FleetRig, FleetSize};
pub use idle_connections::{IdleConnections, measure_idle_connections};
pub use latency::{AddedLatency, LatencyPlan, Saturation, measure_added_latency};
pub use load_run::{LoadPath, LoadResult};
pub use long_body::{LongBody, LongBodyWay, measure_long_body};
pub use peer_cost::{PeerCost, measure_peer_cost};
pub use process_usage::ProcessUsage;
pub use report::{Bound, Verdict, write_json};
pub use statistics::{LinearFit, median};
pub use throughput::{Throughput, measure_throughput};
