//! The fold of one stream and the result of each record.

mod applied;
mod refusal;
mod stream_fold;
mod stream_state;

pub use applied::{Applied, OutOfOrder};
pub use refusal::RefusalReason;
pub(crate) use stream_fold::StreamFold;
pub(crate) use stream_state::StreamState;
