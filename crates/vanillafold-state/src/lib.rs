//! Records of the platform log's two streams, and the deterministic fold over them.
//!
//! | to write to the log | [`CatalogueRecord`], [`ControlRecord`], [`Author`] |
//! |---|---|
//! | to read the log | [`State::apply`], [`Applied`], [`RefusalReason`] |
//! | to serve requests | [`State::queue`], [`State::authenticate`], [`State::pool_of`] |
//! | to ask what became of a record | [`State::outcome`] |
//! | to start from nothing | [`State::snapshot`], [`SnapshotBuilder`], [`State::adopt`] |
//! | to keep a team within its limit fleet-wide | [`Escrow`], [`Roster`] |
//! | to compare two daemons | [`State::next_offset`], [`State::digest`] |
//!
//! Each stream has a fold of its own that reads nothing of the other, so that the state
//! depends on how far each stream was read and never on how the two were interleaved.
//! The design note is `docs/design/0001-fold.md`.
//!
//! No I/O, no clock, no logging.
//!
//! # Examples
//!
//! ```
//! use vanillafold_state::{Applied, Author, CatalogueChange, CatalogueRecord, State, Stream};
//! use vanillafold_types::{Incarnation, Offset, Sequence};
//!
//! let mut state = State::new();
//! let record = CatalogueRecord {
//!     author: Author {
//!         id: "ana@example.org".parse().unwrap(),
//!         incarnation: Incarnation::new(1),
//!     },
//!     sequence: Sequence::new(1),
//!     as_of: state.next_offset(Stream::Catalogue),
//!     change: CatalogueChange::WithdrawKey("till-7".parse().unwrap()),
//! };
//! let bytes = record.encode().unwrap();
//!
//! let applied = state.apply(Stream::Catalogue, Offset::new(1), &bytes);
//!
//! assert_eq!(applied, Applied::Accepted);
//! ```

mod author;
mod catalogue;
mod claim;
mod control;
mod digest;
mod escrow;
mod fold;
mod record;
mod roster;
mod snapshot;
mod state;
mod table;

pub use author::{OUTCOMES_PER_AUTHOR, Outcome, RECORD_WINDOW, Verdict};
pub use catalogue::{KeyRefusal, MAX_PRESENTED_KEY_BYTES, Revised, key_digest};
pub use claim::{
    CLAIM_QUORUM, ClaimAnswer, ClaimId, ClaimPage, ClaimRecord, ClaimTable, ClaimToken, MAX_CLAIMS,
    OWNERS_PER_CLAIM, claim_owners,
};
pub use control::Membership;
pub use digest::{Digest, ParseDigestError};
pub use escrow::{
    BootMillis, Escrow, EscrowEntry, EscrowLine, EscrowMessage, EscrowSettings, EscrowView, NoUnit,
    OutgoingMessage, TeamLimit, TeamView, UnitSource, floor_units, home_units,
};
pub use fold::{Applied, OutOfOrder, RefusalReason};
pub use record::{
    Author, CatalogueChange, CatalogueRecord, ControlChange, ControlRecord, Entry, EntryEdit,
    FORMAT_VERSION, MAX_RECORD_BYTES, ParseStreamError, Record, RecordError, Stream,
};
pub use roster::{Roster, RosterMember, UnreleasedIncarnation};
pub use snapshot::{
    MAX_CHUNK_BYTES, MAX_CHUNKS, Snapshot, SnapshotBuilder, SnapshotChunk, SnapshotError,
    SnapshotId,
};
pub use state::State;
