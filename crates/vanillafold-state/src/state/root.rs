//! The state and how records of the log are applied to it.

use sha2::{Digest as _, Sha256};
use vanillafold_types::{KeyId, Offset, Sequence};

use crate::catalogue::Catalogue;
use crate::control::ControlState;
use crate::fold::StreamFold;
use crate::table::SortedVec;
use crate::{ApplyResult, Author, Digest, Outcome, Stream};

/// The state of the system up to the last records that were read.
///
/// Two states that have read the same records are equal, however the two streams were interleaved,
/// except for the early withdrawals of keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct State {
    pub(super) catalogue: StreamFold<Catalogue>,
    pub(super) control: StreamFold<ControlState>,
    /// Ids of keys that were withdrawn by another way than the log, until the log withdraws them
    /// too. They are not part of the digest.
    pub(super) early_withdrawals: SortedVec<KeyId>,
}

impl Default for State {
    fn default() -> Self {
        Self::new()
    }
}

impl State {
    /// Creates the state before the first record of both streams.
    #[must_use]
    pub fn new() -> Self {
        Self {
            catalogue: StreamFold::new(),
            control: StreamFold::new(),
            early_withdrawals: SortedVec::default(),
        }
    }

    /// Applies the record at `offset` of `stream`.
    ///
    /// Any bytes are accepted as input: an invalid record is refused, with the same reason in every
    /// daemon. The next offset advances unless the result is [`ApplyResult::OutOfOrder`].
    pub fn apply(&mut self, stream: Stream, offset: Offset, bytes: &[u8]) -> ApplyResult {
        match stream {
            Stream::Catalogue => {
                let applied = self.catalogue.apply(offset, bytes);
                self.drop_logged_withdrawals();
                applied
            }
            Stream::Control => self.control.apply(offset, bytes),
        }
    }

    /// Withdraws a key before the log does; returns whether the key was not withdrawn yet.
    ///
    /// This is for a withdrawal that reaches the daemon by another way than the log, such as a
    /// message of a peer. Repeated calls, and any order relative to the log's own record, lead to
    /// the same state. The digest doesn't change.
    pub fn withdraw_early(&mut self, id: KeyId) -> bool {
        !self.catalogue.state().keys().is_withdrawn(&id)
            && self.early_withdrawals.insert(id).is_none()
    }

    /// Removes the early withdrawals of keys that the log has withdrawn since.
    pub(super) fn drop_logged_withdrawals(&mut self) {
        let keys = self.catalogue.state().keys();
        self.early_withdrawals
            .retain_mut(|id| !keys.is_withdrawn(id));
    }

    /// Returns the outcome of a record, if the record was read within the last
    /// [`RECORD_WINDOW`](crate::RECORD_WINDOW) offsets of `stream` and is among the author's last
    /// [`OUTCOMES_PER_AUTHOR`](crate::OUTCOMES_PER_AUTHOR).
    #[must_use]
    pub fn outcome(&self, stream: Stream, author: &Author, sequence: Sequence) -> Option<Outcome> {
        match stream {
            Stream::Catalogue => self.catalogue.outcome(author, sequence),
            Stream::Control => self.control.outcome(author, sequence),
        }
    }

    /// Returns the offset of the record that [`State::apply`] expects next.
    #[must_use]
    pub fn next_offset(&self, stream: Stream) -> Offset {
        match stream {
            Stream::Catalogue => self.catalogue.next_offset(),
            Stream::Control => self.control.next_offset(),
        }
    }

    /// Returns the digest of one stream's part of the state, which is equal in all daemons at the
    /// same offset of that stream. Its cost doesn't depend on the size of the state.
    #[must_use]
    pub fn stream_digest(&self, stream: Stream) -> Digest {
        match stream {
            Stream::Catalogue => self.catalogue.digest(),
            Stream::Control => self.control.digest(),
        }
    }

    /// Returns the digest of the whole state, which is equal in all daemons at the same offsets of
    /// both streams. Its cost doesn't depend on the size of the state.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let mut hasher = Sha256::new();
        for stream in Stream::ALL {
            hasher.update(self.stream_digest(stream).as_bytes());
        }
        Digest::new(hasher.finalize().into())
    }
}
