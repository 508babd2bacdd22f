//! What an owner remembers of submissions that it did not accept.

mod refusals;

pub use refusals::{DeliveryCheck, Refusals};
