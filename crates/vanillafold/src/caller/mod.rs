//! Serves the connections of callers: reads and checks requests, dispatches them and writes
//! refusals.

mod body;
mod connection;
mod listener;
mod refusal;
mod request;

pub(crate) use body::PreparedBody;
pub(crate) use listener::serve_callers;
pub(crate) use refusal::{Refusal, answer_headers};
pub(crate) use request::CallerRequest;
