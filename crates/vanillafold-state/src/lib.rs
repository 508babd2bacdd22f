//! Records of the platform log's two streams and the deterministic fold that turns them into the
//! same state in every daemon: the catalogue, the VMs' pools, the roster of daemons and snapshots.
//! The escrow of team limits and the claims of requests build on that state.
//!
//! | to write to the log | [`CatalogueRecord`], [`ControlRecord`], [`Author`] |
//! |---|---|
//! | to read the log | [`State::apply`], [`ApplyResult`], [`RefusalReason`] |
//! | to serve requests | [`State::queue`], [`State::authenticate`], [`State::pool_of`] |
//! | to look up the outcome of a record | [`State::outcome`] |
//! | to start without a state | [`State::snapshot`], [`SnapshotBuilder`], [`State::merge`] |
//! | to keep a team within its limit fleet-wide | [`Escrow`], [`Roster`] |
//! | to compare two daemons | [`State::next_offset`], [`State::digest`] |
//!
//! Each stream has its own fold, which reads nothing of the other stream. The state therefore
//! depends only on how far each stream was read, never on how the two were interleaved.
//! The design note is `docs/design/0001-fold.md`.
//!
//! The crate does no I/O, reads no clock and writes no log lines.
//!
//! # Examples
//!
//! ```
//! use vanillafold_state::{ApplyResult, Author, CatalogueChange, CatalogueRecord, State, Stream};
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
//! assert_eq!(applied, ApplyResult::Accepted);
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
pub use catalogue::{AuthenticationError, MAX_PRESENTED_KEY_BYTES, WithRevision, key_digest};
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
pub use fold::{ApplyResult, OutOfOrder, RefusalReason};
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
