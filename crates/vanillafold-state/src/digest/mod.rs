//! Digests of the state that are kept up with each change.

mod lane_sum;
mod value;

pub(crate) use lane_sum::{ItemKind, LaneSum};
pub use value::{Digest, ParseDigestError};
