//! The outcomes of a stream's last records, by author.

use bincode::{Decode, Encode};
use vanillafold_types::{Offset, Sequence};

use super::{OUTCOMES_PER_AUTHOR, Outcome, RECORD_WINDOW};
use crate::Author;
use crate::digest::{ItemKind, LaneSum};
use crate::table::{Keyed, SortedVec};

/// How often old outcomes are dropped, in offsets.
const SWEEP_INTERVAL: u64 = 256;

/// The outcomes of a stream's last records, by author.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Ledger {
    authors: SortedVec<AuthorOutcomes>,
}

/// What is known of a record's sequence.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Lookup {
    /// The record was read before.
    Known(Outcome),
    /// The record may have been read before; its outcome was dropped for later ones.
    Forgotten,
    /// The record was not read within [`RECORD_WINDOW`].
    New,
}

#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
struct AuthorOutcomes {
    author: Author,
    /// The highest sequence whose outcome was dropped for a later one; 0 if none was.
    forgotten: Sequence,
    outcomes: SortedVec<Outcome>,
}

/// An outcome as the digest takes it.
#[derive(Encode)]
struct OutcomeItem<'a> {
    author: &'a Author,
    outcome: &'a Outcome,
}

/// A highest dropped sequence as the digest takes it.
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

    /// Adds the outcome of a record that [`Ledger::lookup`] called new.
    pub(crate) fn insert(&mut self, author: &Author, outcome: Outcome, sum: &mut LaneSum) {
        self.authors
            .get_or_insert_with(author, || AuthorOutcomes::new(author))
            .insert(outcome, sum);
    }

    /// Drops what is older than [`RECORD_WINDOW`]. Runs at the same offsets everywhere.
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

    /// Adds every item to `sum`.
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
            self.forget_first(sum);
        }
    }

    fn forget_first(&mut self, sum: &mut LaneSum) {
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
