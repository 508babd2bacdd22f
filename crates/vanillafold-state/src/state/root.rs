//! Reading the log into the state.

use sha2::{Digest as _, Sha256};
use vanillafold_types::{KeyId, Offset, Sequence};

use crate::catalogue::Catalogue;
use crate::control::ControlState;
use crate::fold::StreamFold;
use crate::table::SortedVec;
use crate::{Applied, Author, Digest, Outcome, Stream};

/// The state of the system as far as the log was read.
///
/// Two states that read the same records are equal, however the two streams were interleaved,
/// save for the keys withdrawn ahead of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct State {
    pub(super) catalogue: StreamFold<Catalogue>,
    pub(super) control: StreamFold<ControlState>,
    /// Ids withdrawn ahead of the log, until the log withdraws them too. No part of the digest.
    pub(super) early_withdrawals: SortedVec<KeyId>,
}

impl Default for State {
    fn default() -> Self {
        Self::new()
    }
}

impl State {
    /// The state before the first record.
    #[must_use]
    pub fn new() -> Self {
        Self {
            catalogue: StreamFold::new(),
            control: StreamFold::new(),
            early_withdrawals: SortedVec::default(),
        }
    }

    /// Reads the record at `offset` of `stream`.
    ///
    /// Any bytes are taken: what is not a good record is refused, with the same reason in every
    /// daemon. Only [`Applied::OutOfOrder`] leaves the offset where it was.
    pub fn apply(&mut self, stream: Stream, offset: Offset, bytes: &[u8]) -> Applied {
        match stream {
            Stream::Catalogue => {
                let applied = self.catalogue.apply(offset, bytes);
                self.drop_logged_withdrawals();
                applied
            }
            Stream::Control => self.control.apply(offset, bytes),
        }
    }

    /// Withdraws a key ahead of the log; says whether that was new.
    ///
    /// For a withdrawal that reaches a daemon by another way than the log. Repeats, and any order
    /// with the log's own record, come to the same. The digest stays as it is.
    pub fn withdraw_early(&mut self, id: KeyId) -> bool {
        !self.catalogue.state().keys().is_withdrawn(&id)
            && self.early_withdrawals.insert(id).is_none()
    }

    /// Forgets the early withdrawals that the log has brought.
    pub(super) fn drop_logged_withdrawals(&mut self) {
        let keys = self.catalogue.state().keys();
        self.early_withdrawals
            .retain_mut(|id| !keys.is_withdrawn(id));
    }

    /// What became of a record, if it was read within the last
    /// [`RECORD_WINDOW`](crate::RECORD_WINDOW) offsets of `stream` and is among the author's last
    /// [`OUTCOMES_PER_AUTHOR`](crate::OUTCOMES_PER_AUTHOR).
    #[must_use]
    pub fn outcome(&self, stream: Stream, author: &Author, sequence: Sequence) -> Option<Outcome> {
        match stream {
            Stream::Catalogue => self.catalogue.outcome(author, sequence),
            Stream::Control => self.control.outcome(author, sequence),
        }
    }

    /// The offset that [`State::apply`] takes next.
    #[must_use]
    pub fn next_offset(&self, stream: Stream) -> Offset {
        match stream {
            Stream::Catalogue => self.catalogue.next_offset(),
            Stream::Control => self.control.next_offset(),
        }
    }

    /// The digest of one stream's part, equal in all daemons that are at the same offset of it.
    /// Its cost doesn't depend on the size of the state.
    #[must_use]
    pub fn stream_digest(&self, stream: Stream) -> Digest {
        match stream {
            Stream::Catalogue => self.catalogue.digest(),
            Stream::Control => self.control.digest(),
        }
    }

    /// The digest of the whole state, equal in all daemons that are at the same offsets of both
    /// streams. Its cost doesn't depend on the size of the state.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let mut hasher = Sha256::new();
        for stream in Stream::ALL {
            hasher.update(self.stream_digest(stream).as_bytes());
        }
        Digest::new(hasher.finalize().into())
    }
}
