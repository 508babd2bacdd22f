//! A deterministic simulation of a platform and its workers that drives the job state machine.
//!
//! One thread, no I/O; a seed determines the whole course. The simulated store refuses appends,
//! answers late or loses its caller. The simulated workers hold leases, do not enforce their
//! capacity, execute orders late, keep running while partitioned, crash and restart. The simulated
//! operator evacuates zones, which an owner learns of with a delay. [`Simulation`] checks the
//! invariants of the scheduler after each order.

mod counts;
mod evacuation;
mod options;
mod simulation;
mod violation;
mod worker;

pub use counts::SimulationCounts;
pub use options::SimulationOptions;
pub use simulation::Simulation;
pub use violation::Violation;
