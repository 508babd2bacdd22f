//! Scheduling passes: ranking of waiting steps, placement of tasks and start orders.
//!
//! | step of a pass | module |
//! |---|---|
//! | tasks that may still run on workers of an earlier owner | [`takeover`] |
//! | waiting steps, in the order in which they are placed | [`order`], by [`duration`] |
//! | a worker for each task | [`placement`]; zones by [`zones`]; [`isolation`] after losses of workers |
//! | room for persistent tasks | [`preemption`] |
//! | start orders | [`start`] |

mod duration;
mod isolation;
mod order;
mod pass;
mod placement;
mod preemption;
mod start;
mod takeover;
mod zones;
