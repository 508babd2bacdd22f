//! What the `control` stream brings.

mod membership;

pub use membership::Membership;
pub(crate) use membership::Memberships;
