//! An emulator of a platform with leased workers, for the state machine of jobs.
//!
//! One thread, no I/O, driven by a seed: a store that refuses, answers late or loses its caller,
//! and workers that hold leases, don't guard their capacity, carry orders out late, are cut off
//! and run on, crash and start again. [`World`] checks after each order what must always hold.

mod options;
mod simulation;
mod violation;
mod worker;

pub use options::FleetOptions;
pub use simulation::World;
pub use violation::Broken;
