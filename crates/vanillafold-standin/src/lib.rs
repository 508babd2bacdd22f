//! Stand-ins for the platform, the targets and the callers, for tests and benchmarks, and an audit
//! of the traces that they write.
//!
//! | module | content |
//! |---|---|
//! | [`audit`] | checks traces against the invariants of the system |
//! | [`fleet`] | fleet daemons as processes among stand-ins of the users' platform |
//! | [`job_simulation`] | a simulation of workers that drives the job state machine, without I/O |
//! | [`link`] | TCP relays that lose, hold or delay traffic |
//! | [`load`] | load generators: callers in an open or closed loop |
//! | [`measure`] | measurements of CPU time, latency and memory of real processes |
//! | [`platform`] | the platform's log, VM list and VM operations, with faults on demand |
//! | [`process`] | helpers shared by all stand-ins |
//! | [`rig`] | a whole deployment as processes on loopback, with faults |
//! | [`runner`] | targets that run work in slots over bounded connections, with faults on demand |
//! | [`trace`] | the traces that stand-ins write, and answer bodies that can be checked |
//!
//! Nothing in this package is shipped. `docs/PROTOCOLS.md` specifies the protocols and traces.

pub mod audit;
pub mod fleet;
pub mod job_simulation;
pub mod link;
pub mod load;
pub mod measure;
pub mod platform;
pub mod process;
pub mod rig;
pub mod runner;
pub mod trace;
