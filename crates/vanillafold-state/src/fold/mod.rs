//! The fold of one stream and the result of each record.

mod apply_result;
mod refusal;
mod stream_fold;
mod stream_state;

pub use apply_result::{ApplyResult, OutOfOrder};
pub use refusal::RefusalReason;
pub(crate) use stream_fold::StreamFold;
pub(crate) use stream_state::StreamState;
