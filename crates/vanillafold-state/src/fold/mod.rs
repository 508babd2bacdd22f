//! The fold of one stream, and what it says of each record.

mod applied;
mod domain;
mod refusal;
mod stream_fold;

pub use applied::{Applied, OutOfOrder};
pub(crate) use domain::Domain;
pub use refusal::RefusalReason;
pub(crate) use stream_fold::StreamFold;
