//! The numbered reasons for which a record is refused.

use std::fmt;

use bincode::de::{BorrowDecoder, Decoder};
use bincode::enc::Encoder;
use bincode::error::{DecodeError, EncodeError};
use bincode::{BorrowDecode, Decode, Encode};

macro_rules! refusal_reasons {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $label:literal, $text:literal;)*) => {
        /// Why a record was refused, the same in every daemon.
        ///
        /// Numbers are never used again for another meaning. `60x` are faults of the record,
        /// `62x` of an edit, `64x` of a key, `66x` of a VM's move, `68x` of the
        /// roster.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        #[non_exhaustive]
        pub enum RefusalReason {
            $($(#[$doc])* $name,)*
        }

        impl RefusalReason {
            /// Every reason, in the order of the numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The number that operators see.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// The name used in counters and logs.
            #[must_use]
            pub const fn label(self) -> &'static str {
                match self { $(Self::$name => $label,)* }
            }

            /// What was wrong and what to try.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

refusal_reasons! {
    /// The bytes are not a record of the stream.
    Malformed = 600, "malformed", "the bytes are not a record of this stream; write it with the project's own tools";
    /// The record's sequence is 0.
    ZeroSequence = 601, "zero_sequence", "sequences begin at 1; count from 1";
    /// The record claims to be made from a state later than its own offset.
    AheadOfStream = 602, "ahead_of_stream", "as_of is above the record's own offset; take the next offset of the state from which the record is made";
    /// The record landed too long after it was made.
    Expired = 603, "expired", "the record landed too many offsets after it was made; make it again from the present state";
    /// The record's sequence is below those whose outcomes are kept.
    ForgottenSequence = 604, "forgotten_sequence", "the sequence is older than the outcomes that are kept; make the change again with a new sequence";
    /// The author used this sequence for another record.
    ReusedSequence = 605, "reused_sequence", "another record of this author has this sequence; take an incarnation that nobody else uses";

    /// The edit has no entries.
    EmptyEdit = 620, "empty_edit", "the edit changes nothing; name at least one entry";
    /// An entry stands in the edit twice.
    DuplicateEntry = 621, "duplicate_entry", "an entry stands in the edit twice; keep one of them";
    /// The entry's value doesn't have the entry's name.
    NameMismatch = 622, "name_mismatch", "the name of an edit and of its value differ; give both the same";
    /// The edit names a key.
    KeyInEdit = 623, "key_in_edit", "an edit can't change a key; give or withdraw it";
    /// The entry was changed since the author read it.
    RevisionMismatch = 624, "revision_mismatch", "an entry has another revision than the edit replaces; read it and edit again";
    /// The entry to be removed is not there.
    MissingEntry = 625, "missing_entry", "the entry to be removed is not there; read the catalogue again";
    /// A number is out of its range.
    OutOfRange = 626, "out_of_range", "a number of an entry is out of its range; check the entry's limits";
    /// The name has a meaning of its own.
    ReservedName = 627, "reserved_name", "a team can't be called all; choose another name";
    /// The queue's pool is not in the catalogue.
    UnknownPool = 628, "unknown_pool", "a queue names a pool that is not in the catalogue; add the pool in the same edit";
    /// A team is not in the catalogue.
    UnknownTeam = 629, "unknown_team", "a queue or key names a team that is not in the catalogue; add the team first";
    /// A queue still uses the pool.
    PoolInUse = 630, "pool_in_use", "a queue still uses the pool; give the queue another pool first";
    /// A queue or key still uses the team.
    TeamInUse = 631, "team_in_use", "a queue or key still uses the team; take it out of its queues and withdraw its keys first";

    /// The key id was given before.
    GivenKey = 640, "given_key", "a key with this id was given before; give a key with a new id";
    /// The key id was withdrawn.
    WithdrawnKey = 641, "withdrawn_key", "the key id is withdrawn for good; give a key with a new id";

    /// The VM was moved since the author read its pool.
    MoveMismatch = 660, "move_mismatch", "the VM has another pool or revision than the move replaces; read its pool and decide again";
    /// The VM belongs to that pool already.
    SamePool = 661, "same_pool", "the VM belongs to this pool already; leave it there";
    /// The VM never moved.
    NeverMoved = 662, "never_moved", "the VM is in its home pool; there is nothing to return";

    /// The daemon has joined with this or a later incarnation.
    StaleIncarnation = 680, "stale_incarnation", "the daemon has joined with this or a later incarnation; start it again with a larger one";
    /// The start of the daemon is not the current one, or is fenced or has left already.
    NotCurrent = 681, "not_current", "only the current start of a daemon can be fenced or leave, and only once; read the roster again";
    /// No superseded start of the daemon waits for a release.
    NothingToRelease = 682, "nothing_to_release", "no superseded start of this daemon waits for a release; read the roster again";
}

impl RefusalReason {
    /// The reason with this number.
    #[must_use]
    pub fn from_number(number: u16) -> Option<Self> {
        let index = Self::ALL
            .binary_search_by_key(&number, |reason| reason.number())
            .ok()?;
        Some(Self::ALL[index])
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.number(), self.label(), self.text())
    }
}

// Encoded by number, so that a reason added between two others leaves old records readable.
impl Encode for RefusalReason {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        self.number().encode(encoder)
    }
}

impl<Context> Decode<Context> for RefusalReason {
    fn decode<D: Decoder<Context = Context>>(decoder: &mut D) -> Result<Self, DecodeError> {
        let number = u16::decode(decoder)?;
        Self::from_number(number).ok_or(DecodeError::Other("expected the number of a refusal"))
    }
}

impl<'de, Context> BorrowDecode<'de, Context> for RefusalReason {
    fn borrow_decode<D: BorrowDecoder<'de, Context = Context>>(
        decoder: &mut D,
    ) -> Result<Self, DecodeError> {
        Self::decode(decoder)
    }
}
