//! Numbered result codes: what every refusal is called, and whether the work ran.

mod outcome;
mod result_code;

pub use outcome::{Outcome, ParseOutcomeError};
pub use result_code::ResultCode;
