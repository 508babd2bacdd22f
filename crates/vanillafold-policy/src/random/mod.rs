//! Seeded random numbers and hashes: the same seed gives the same run.

mod hash;
mod split_mix;

pub(crate) use hash::{hash_text, mix};
pub use split_mix::SplitMix;
