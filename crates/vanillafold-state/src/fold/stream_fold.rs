//! The fold of one stream: applies its records in order and ignores repeated ones.

use std::cmp::Ordering;

use bincode::de::{BorrowDecoder, Decoder};
use bincode::enc::Encoder;
use bincode::error::{DecodeError, EncodeError};
use bincode::{BorrowDecode, Decode, Encode};
use sha2::{Digest as _, Sha256};
use vanillafold_types::{Offset, Revision, Sequence};

use super::{ApplyResult, OutOfOrder, RefusalReason, StreamState};
use crate::author::{Fingerprint, Ledger, Lookup};
use crate::digest::LaneSum;
use crate::{Author, Digest, Outcome, RECORD_WINDOW, Record, Verdict};

/// The offset of a stream's first record.
const FIRST_OFFSET: Offset = Offset::new(1);

/// The largest offset that a snapshot may claim, well below the one at which the next offset would
/// overflow.
const LAST_OFFSET: Offset = Offset::new(u64::MAX / 2);

/// The fold of one stream: the next offset, the outcomes of recent records and the resulting state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StreamFold<S> {
    next: Offset,
    ledger: Ledger,
    state: S,
    sum: LaneSum,
}

impl<S: StreamState> StreamFold<S> {
    pub(crate) fn new() -> Self {
        Self {
            next: FIRST_OFFSET,
            ledger: Ledger::default(),
            state: S::default(),
            sum: LaneSum::default(),
        }
    }

    pub(crate) fn next_offset(&self) -> Offset {
        self.next
    }

    pub(crate) fn state(&self) -> &S {
        &self.state
    }

    pub(crate) fn outcome(&self, author: &Author, sequence: Sequence) -> Option<Outcome> {
        match self.ledger.lookup(author, sequence) {
            Lookup::Known(outcome) => Some(outcome),
            Lookup::Forgotten | Lookup::New => None,
        }
    }

    pub(crate) fn apply(&mut self, offset: Offset, bytes: &[u8]) -> ApplyResult {
        let expected = self.next;
        match offset.cmp(&expected) {
            Ordering::Less => return ApplyResult::OutOfOrder(OutOfOrder::Older { expected }),
            Ordering::Greater => return ApplyResult::OutOfOrder(OutOfOrder::Gap { expected }),
            Ordering::Equal => {}
        }
        self.next = offset.next();
        self.ledger.sweep(offset, &mut self.sum);
        match Record::<S::Change>::decode(bytes) {
            Ok(record) if S::is_deduplicated(&record.change) => {
                self.apply_deduplicated(offset, record, Fingerprint::of(bytes))
            }
            Ok(record) => ApplyResult::from(self.apply_change(offset, record.change)),
            Err(_) => ApplyResult::Refused(RefusalReason::Malformed),
        }
    }

    fn apply_deduplicated(
        &mut self,
        offset: Offset,
        record: Record<S::Change>,
        fingerprint: Fingerprint,
    ) -> ApplyResult {
        let Record {
            author,
            sequence,
            as_of,
            change,
        } = record;
        match self.ledger.lookup(&author, sequence) {
            Lookup::Known(known) if known.fingerprint == fingerprint => {
                return ApplyResult::Repeated(known.verdict);
            }
            Lookup::Known(_) => return ApplyResult::Refused(RefusalReason::ReusedSequence),
            Lookup::Forgotten => return ApplyResult::Refused(RefusalReason::ForgottenSequence),
            Lookup::New => {}
        }
        let verdict = match position_refusal(offset, as_of, sequence) {
            // This outcome isn't stored: an earlier copy of the record may have been accepted, and
            // its outcome evicted since.
            Some(RefusalReason::Expired) => return ApplyResult::Refused(RefusalReason::Expired),
            Some(reason) => Verdict::Refused(reason),
            None => self.apply_change(offset, change),
        };
        let outcome = Outcome {
            sequence,
            offset,
            verdict,
            fingerprint,
        };
        self.ledger.insert(&author, outcome, &mut self.sum);
        ApplyResult::from(verdict)
    }

    fn apply_change(&mut self, offset: Offset, change: S::Change) -> Verdict {
        let revision = Revision::new(offset.get());
        match self.state.apply(change, revision, &mut self.sum) {
            Ok(()) => Verdict::Accepted,
            Err(reason) => Verdict::Refused(reason),
        }
    }

    /// Returns the digest of the next offset, the outcomes and the state. Its cost doesn't depend
    /// on the size of the state.
    pub(crate) fn digest(&self) -> Digest {
        let mut hasher = Sha256::new();
        hasher.update(self.next.get().to_le_bytes());
        hasher.update(self.sum.to_bytes());
        Digest::new(hasher.finalize().into())
    }

    /// Adds to a decoded state a part that a snapshot holds apart from it; `add` also updates the
    /// digest sum.
    pub(crate) fn complete(&mut self, add: impl FnOnce(&mut S, &mut LaneSum)) {
        add(&mut self.state, &mut self.sum);
    }

    /// Computes the sum of all items anew.
    fn compute_sum(ledger: &Ledger, state: &S) -> LaneSum {
        let mut sum = LaneSum::default();
        ledger.add_to(&mut sum);
        state.add_to(&mut sum);
        sum
    }
}

// The sum is not encoded but computed anew on decoding, so that a snapshot can't contain a wrong
// one.
impl<S: Encode> Encode for StreamFold<S> {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        self.next.encode(encoder)?;
        self.ledger.encode(encoder)?;
        self.state.encode(encoder)
    }
}

impl<Context, S: StreamState + Decode<Context>> Decode<Context> for StreamFold<S> {
    fn decode<R: Decoder<Context = Context>>(decoder: &mut R) -> Result<Self, DecodeError> {
        let next = Offset::decode(decoder)?;
        if !(FIRST_OFFSET..=LAST_OFFSET).contains(&next) {
            return Err(DecodeError::Other("expected an offset of the log"));
        }
        let ledger = Ledger::decode(decoder)?;
        let state = S::decode(decoder)?;
        let sum = Self::compute_sum(&ledger, &state);
        Ok(Self {
            next,
            ledger,
            state,
            sum,
        })
    }
}

impl<'de, Context, S: StreamState + Decode<Context>> BorrowDecode<'de, Context> for StreamFold<S> {
    fn borrow_decode<R: BorrowDecoder<'de, Context = Context>>(
        decoder: &mut R,
    ) -> Result<Self, DecodeError> {
        Self::decode(decoder)
    }
}

/// Returns the reason for refusing a record whose sequence, offset or `as_of` doesn't allow telling
/// it from a repeat, and `None` for a valid one.
fn position_refusal(offset: Offset, as_of: Offset, sequence: Sequence) -> Option<RefusalReason> {
    match sequence {
        Sequence::ZERO => Some(RefusalReason::ZeroSequence),
        _ if as_of > offset => Some(RefusalReason::AheadOfStream),
        _ if offset.get() - as_of.get() > RECORD_WINDOW => Some(RefusalReason::Expired),
        _ => None,
    }
}

impl From<Verdict> for ApplyResult {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Accepted => Self::Accepted,
            Verdict::Refused(reason) => Self::Refused(reason),
        }
    }
}
