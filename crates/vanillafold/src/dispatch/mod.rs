//! The way of a request to a target and of its answer back.

mod dispatcher;
mod ending;
mod exchange;
mod header;
mod linger;
mod permit;

pub(crate) use dispatcher::{Dispatch, DispatchOutcome};
