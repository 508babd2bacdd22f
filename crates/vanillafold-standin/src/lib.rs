//! Stand-ins for the platform, the runners and the callers, and the audit of what they saw.
//!
//! | module | job |
//! |---|---|
//! | [`audit`] | a verdict on each point that must always hold |
//! | [`fleet`] | a platform with leased workers for the state machine of jobs, without I/O |
//! | [`link`] | a network that loses, holds or delays |
//! | [`load`] | callers in an open or closed loop |
//! | [`measure`] | measurements of CPU time, latency and memory of real processes |
//! | [`platform`] | log, VM list and VM orders, with faults on demand |
//! | [`process`] | helpers shared by all stand-ins |
//! | [`rig`] | a whole deployment as processes on loopback, with faults |
//! | [`runner`] | work in slots, bounded connections, with faults on demand |
//! | [`trace`] | what stand-ins write down, and answer bodies that can be checked |
//!
//! Nothing here is shipped. What crosses the edges is in `docs/PROTOCOLS.md`.

pub mod audit;
pub mod fleet;
pub mod link;
pub mod load;
pub mod measure;
pub mod platform;
pub mod process;
pub mod rig;
pub mod runner;
pub mod trace;
