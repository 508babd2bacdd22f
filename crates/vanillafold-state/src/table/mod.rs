//! Sorted vectors with binary search.

mod sorted_vec;

pub(crate) use sorted_vec::{Keyed, SortedVec};
