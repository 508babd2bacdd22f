//! Each team's fleet-wide upper limit, split into units that daemons hold and lend.
//!
//! The design, its counter-examples and its figures stand in `docs/design/0006-escrow.md`.

mod book;
mod clock;
mod exchange;
mod lending;
mod loan;
mod message;
mod root;
mod settings;
mod share;
mod standing;
mod unit;
mod view;

pub use clock::BootMillis;
pub use message::{EscrowEntry, EscrowLine, EscrowMessage, OutgoingMessage};
pub use root::Escrow;
pub use settings::EscrowSettings;
pub use share::{floor_units, home_units};
pub use unit::{NoUnit, TeamLimit, UnitSource};
pub use view::{EscrowView, TeamView};
