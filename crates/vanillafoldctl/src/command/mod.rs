//! What the tool does.

mod apply;
mod key;

pub(crate) use apply::apply;
pub(crate) use key::{give, withdraw};
