//! A map as a sorted vector, with lookups by binary search.

mod sorted_vec;

pub(crate) use sorted_vec::{Keyed, SortedVec};
