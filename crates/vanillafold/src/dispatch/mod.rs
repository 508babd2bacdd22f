//! Sends a checked request to a target, with retries and a deadline, and relays the answer to the
//! caller.

mod completion;
mod dispatcher;
mod exchange;
mod header;
mod linger;
mod permit;

pub(crate) use dispatcher::{Dispatch, DispatchOutcome};
