//! The stand-in network: TCP relays, called links, that drop, hold back or delay bytes on demand.

mod control;
mod mode;
mod relay;
mod standin;

pub use mode::{LinkMode, ParseLinkModeError};
pub use standin::{LinkOptions, LinkSpec, LinkStandin};
