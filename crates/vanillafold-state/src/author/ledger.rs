//! The ledger of a stream's recent records, which detects repeated records of an author.

use bincode::{Decode, Encode};
use vanillafold_types::{Offset, Sequence};

use super::{OUTCOMES_PER_AUTHOR, Outcome, RECORD_WINDOW};
use crate::Author;
use crate::digest::{ItemKind, LaneSum};
use crate::table::{Keyed, SortedVec};

/// Interval between two sweeps of expired outcomes, in offsets.
const SWEEP_INTERVAL: u64 = 256;

/// The outcomes of a stream's recent records, by author.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Ledger {
    authors: SortedVec<AuthorOutcomes>,
}

/// The result of looking up a record's sequence.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Lookup {
    /// A record with this sequence was read before, with this outcome.
    Known(Outcome),
    /// A record with this sequence may have been read before: the outcome of this or a higher
    /// sequence was evicted to make room.
    Forgotten,
    /// No record with this sequence was read within the last [`RECORD_WINDOW`] offsets.
    New,
}

#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
struct AuthorOutcomes {
    author: Author,
    /// The highest sequence whose outcome was evicted; 0 if none was.
    forgotten: Sequence,
    outcomes: SortedVec<Outcome>,
}

/// An outcome in the form that enters the digest.
#[derive(Encode)]
struct OutcomeItem<'a> {
    author: &'a Author,
    outcome: &'a Outcome,
}

/// An author's highest evicted sequence in the form that enters the digest.
#[derive(Encode)]
struct ForgottenItem<'a> {
    author: &'a Author,
    sequence: Sequence,
}

impl Ledger {
    pub(crate) fn lookup(&self, author: &Author, sequence: Sequence) -> Lookup {
        let Some(known) = self.authors.get(author) else {
            return Lookup::New;
        };
        match known.outcomes.get(&sequence) {
            Some(outcome) => Lookup::Known(*outcome),
            None if sequence <= known.forgotten => Lookup::Forgotten,
            None => Lookup::New,
        }
    }

    /// Adds the outcome of a record for which [`Ledger::lookup`] returned [`Lookup::New`].
    pub(crate) fn insert(&mut self, author: &Author, outcome: Outcome, sum: &mut LaneSum) {
        self.authors
            .get_or_insert_with(author, || AuthorOutcomes::new(author))
            .insert(outcome, sum);
    }

    /// Removes the outcomes that are more than [`RECORD_WINDOW`] offsets old. It runs at fixed
    /// offsets, so that all daemons have the same state at the same offset.
    pub(crate) fn sweep(&mut self, offset: Offset, sum: &mut LaneSum) {
        if !offset.get().is_multiple_of(SWEEP_INTERVAL) {
            return;
        }
        let oldest = Offset::new(offset.get().saturating_sub(RECORD_WINDOW));
        self.authors.retain_mut(|known| {
            known.drop_before(oldest, sum);
            !known.outcomes.is_empty()
        });
    }

    /// Adds every item of the ledger to the digest `sum`.
    pub(crate) fn add_to(&self, sum: &mut LaneSum) {
        for known in self.authors.iter() {
            for outcome in known.outcomes.iter() {
                sum.insert(ItemKind::Outcome, &known.item(outcome));
            }
            known.add_forgotten(sum);
        }
    }
}

impl AuthorOutcomes {
    fn new(author: &Author) -> Self {
        Self {
            author: author.clone(),
            forgotten: Sequence::ZERO,
            outcomes: SortedVec::default(),
        }
    }

    fn insert(&mut self, outcome: Outcome, sum: &mut LaneSum) {
        sum.insert(ItemKind::Outcome, &self.item(&outcome));
        self.outcomes.insert(outcome);
        if self.outcomes.len() > OUTCOMES_PER_AUTHOR {
            self.evict_lowest(sum);
        }
    }

    fn evict_lowest(&mut self, sum: &mut LaneSum) {
        let Some(first) = self.outcomes.first().copied() else {
            return;
        };
        self.outcomes.remove(&first.sequence);
        sum.remove(ItemKind::Outcome, &self.item(&first));
        self.remove_forgotten(sum);
        self.forgotten = first.sequence;
        self.add_forgotten(sum);
    }

    fn drop_before(&mut self, oldest: Offset, sum: &mut LaneSum) {
        let author = &self.author;
        self.outcomes.retain_mut(|outcome| {
            let keep = outcome.offset >= oldest;
            if !keep {
                sum.remove(ItemKind::Outcome, &OutcomeItem { author, outcome });
            }
            keep
        });
        if self.outcomes.is_empty() {
            self.remove_forgotten(sum);
        }
    }

    fn item<'a>(&'a self, outcome: &'a Outcome) -> OutcomeItem<'a> {
        OutcomeItem {
            author: &self.author,
            outcome,
        }
    }

    fn forgotten_item(&self) -> ForgottenItem<'_> {
        ForgottenItem {
            author: &self.author,
            sequence: self.forgotten,
        }
    }

    fn add_forgotten(&self, sum: &mut LaneSum) {
        if self.forgotten > Sequence::ZERO {
            sum.insert(ItemKind::ForgottenSequence, &self.forgotten_item());
        }
    }

    fn remove_forgotten(&self, sum: &mut LaneSum) {
        if self.forgotten > Sequence::ZERO {
            sum.remove(ItemKind::ForgottenSequence, &self.forgotten_item());
        }
    }
}

impl Keyed for AuthorOutcomes {
    type Key = Author;

    fn key(&self) -> &Author {
        &self.author
    }
}
