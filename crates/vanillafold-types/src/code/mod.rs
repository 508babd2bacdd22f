//! Numbered result codes of requests, each with its HTTP status and outcome.

mod outcome;
mod result_code;

pub use outcome::{Outcome, ParseOutcomeError};
pub use result_code::ResultCode;
