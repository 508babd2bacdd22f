//! The VMs' pools and the roster of daemons, folded from the `control` stream.

mod membership;
mod state;

pub use membership::Membership;
pub(crate) use membership::Memberships;
pub(crate) use state::ControlState;
