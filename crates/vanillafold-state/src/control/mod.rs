//! What the `control` stream brings.

mod membership;
mod state;

pub use membership::Membership;
pub(crate) use membership::Memberships;
pub(crate) use state::ControlState;
