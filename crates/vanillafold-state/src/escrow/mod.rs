//! Escrow of the teams' fleet-wide limits: each limit is split into units that daemons hold and
//! lend to each other, so that a daemon can start work without asking a coordinator.
//!
//! A daemon's share of a limit is its home units. A part of them, the floor, is never lent and
//! stays usable while the daemon is partitioned from the log; the rest, the surplus, may be lent,
//! and falls to the other daemons once the daemon is fenced.
//!
//! The design, its counter-examples and its measurements are in `docs/design/0006-escrow.md`.

mod account;
mod clock;
mod exchange;
mod lending;
mod loan;
mod message;
mod root;
mod settings;
mod share;
mod status;
mod unit;
mod view;

pub use clock::BootMillis;
pub use message::{EscrowEntry, EscrowLine, EscrowMessage, OutgoingMessage};
pub use root::Escrow;
pub use settings::EscrowSettings;
pub use share::{floor_units, home_units};
pub use unit::{NoUnit, TeamLimit, UnitSource};
pub use view::{EscrowView, TeamView};
