//! Scheduling passes: ranking of waiting steps, placement of tasks and start orders.
//!
//! | step of a pass | module |
//! |---|---|
//! | tasks that may still run on workers of an earlier owner | [`takeover`] |
//! | waiting steps, in the order in which they are placed | [`order`], by [`duration`] |
//! | a worker for each task | [`placement`], by [`zones`] and [`groups`]; [`isolation`] after losses of workers |
//! | waiting for room near | [`near`], by [`forecast`] and [`worker_forecast`] |
//! | room for persistent tasks | [`preemption`] |
//! | start orders | [`step`] for each step, [`start`] for each task |

mod duration;
mod forecast;
mod groups;
mod isolation;
mod near;
mod order;
mod pass;
mod placement;
mod preemption;
mod start;
mod step;
mod takeover;
mod worker_forecast;
mod zones;
