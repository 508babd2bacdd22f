//! Seeded random numbers and stable hashes: the same seed gives the same decisions.

mod hash;
mod split_mix;

pub(crate) use hash::{hash_text, mix};
pub use split_mix::SplitMix;
