//! The stand-in network: TCP relays that lose, hold or delay what passes.

mod control;
mod mode;
mod relay;
mod standin;

pub use mode::{LinkMode, ParseLinkModeError};
pub use standin::{LinkOptions, LinkSpec, LinkStandin};
