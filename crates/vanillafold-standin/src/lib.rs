//! Stand-ins for the platform, the runners and the callers, and the audit of what they saw.
//!
//! | module | job |
//! |---|---|
//! | [`audit`] | judges a run by its traces |
//! | [`trace`] | what stand-ins write down, and answer bodies that can be checked |
//!
//! Nothing here is shipped. What crosses the edges is in `docs/PROTOCOLS.md`.

pub mod audit;
pub mod trace;
