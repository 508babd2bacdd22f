//! Digests of the state, updated incrementally with each change.

mod lane_sum;
mod value;

pub(crate) use lane_sum::{ItemKind, LaneSum};
pub use value::{Digest, ParseDigestError};
