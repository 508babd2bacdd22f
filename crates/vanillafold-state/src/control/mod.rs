//! What the `control` stream brings.

mod domain;
mod membership;

pub(crate) use domain::Control;
pub use membership::Membership;
pub(crate) use membership::Memberships;
