//! The numbered reasons for refusing a record.

use std::fmt;

use bincode::de::{BorrowDecoder, Decoder};
use bincode::enc::Encoder;
use bincode::error::{DecodeError, EncodeError};
use bincode::{BorrowDecode, Decode, Encode};

macro_rules! refusal_reasons {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $label:literal, $text:literal;)*) => {
        /// Why a record was refused, the same in every daemon.
        ///
        /// A number is never reused for another meaning. `60x` are faults of the record, `62x` of
        /// an edit, `64x` of a key, `65x` of a zone's evacuation, `66x` of a VM's move and `68x` of a
        /// change of the roster.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        #[non_exhaustive]
        pub enum RefusalReason {
            $($(#[$doc])* $name,)*
        }

        impl RefusalReason {
            /// Every reason, sorted by number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the number shown to operators.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns the name used in counters and logs.
            #[must_use]
            pub const fn label(self) -> &'static str {
                match self { $(Self::$name => $label,)* }
            }

            /// Returns a description of the fault and its remedy.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

refusal_reasons! {
    /// The bytes could not be decoded as a record of the stream.
    Malformed = 600, "malformed", "the bytes are not a record of this stream; write it with the project's own tools";
    /// The record's sequence is 0; sequences start at 1.
    ZeroSequence = 601, "zero_sequence", "sequences begin at 1; count from 1";
    /// The record's `as_of` is above the record's own offset.
    AheadOfStream = 602, "ahead_of_stream", "as_of is above the record's own offset; take the next offset of the state from which the record is made";
    /// The record was appended more than [`RECORD_WINDOW`](crate::RECORD_WINDOW) offsets after its
    /// `as_of`.
    Expired = 603, "expired", "the record landed too many offsets after it was made; make it again from the present state";
    /// The record's sequence is below those whose outcomes are kept, so that a repeat could not be
    /// told from a new record.
    ForgottenSequence = 604, "forgotten_sequence", "the sequence is older than the outcomes that are kept; make the change again with a new sequence";
    /// The author has used this sequence for a different record.
    ReusedSequence = 605, "reused_sequence", "another record of this author has this sequence; take an incarnation that nobody else uses";

    /// The edit contains no entries.
    EmptyEdit = 620, "empty_edit", "the edit changes nothing; name at least one entry";
    /// The edit contains two changes of one entry.
    DuplicateEntry = 621, "duplicate_entry", "an entry stands in the edit twice; keep one of them";
    /// The name in the entry's value differs from the name that is edited.
    NameMismatch = 622, "name_mismatch", "the name of an edit and of its value differ; give both the same";
    /// The edit names a key. Keys are given and withdrawn, not edited.
    KeyInEdit = 623, "key_in_edit", "an edit can't change a key; give or withdraw it";
    /// The entry's revision is not the expected one, because it was changed since the author read
    /// it.
    RevisionMismatch = 624, "revision_mismatch", "an entry has another revision than the edit replaces; read it and edit again";
    /// The entry to be removed does not exist.
    MissingEntry = 625, "missing_entry", "the entry to be removed is not there; read the catalogue again";
    /// A number of the entry is outside its range.
    OutOfRange = 626, "out_of_range", "a number of an entry is out of its range; check the entry's limits";
    /// The team's name is the one that stands for all teams.
    ReservedName = 627, "reserved_name", "a team can't be called all; choose another name";
    /// The queue's pool does not exist after the edit.
    UnknownPool = 628, "unknown_pool", "a queue names a pool that is not in the catalogue; add the pool in the same edit";
    /// A team of the queue does not exist after the edit, or the key's team does not exist.
    UnknownTeam = 629, "unknown_team", "a queue or key names a team that is not in the catalogue; add the team first";
    /// The pool to be removed is still used by a queue.
    PoolInUse = 630, "pool_in_use", "a queue still uses the pool; give the queue another pool first";
    /// The team to be removed is still used by a queue or key.
    TeamInUse = 631, "team_in_use", "a queue or key still uses the team; take it out of its queues and withdraw its keys first";

    /// A key with this id is already in force.
    GivenKey = 640, "given_key", "a key with this id was given before; give a key with a new id";
    /// The key id was withdrawn, which is permanent.
    WithdrawnKey = 641, "withdrawn_key", "the key id is withdrawn for good; give a key with a new id";

    /// The zone whose evacuation is to be withdrawn is not evacuated.
    NotEvacuated = 650, "not_evacuated", "the zone is not evacuated; there is nothing to withdraw";
    /// The evacuation of the zone was requested again since the author read it.
    EvacuationMismatch = 651, "evacuation_mismatch", "the evacuation of the zone was requested again since it was read; list the zones and decide again";

    /// The VM's pool or revision is not the expected one, because it was moved since the author
    /// read it.
    MoveMismatch = 660, "move_mismatch", "the VM has another pool or revision than the move replaces; read its pool and decide again";
    /// The VM is moved to the pool that it already belongs to.
    SamePool = 661, "same_pool", "the VM belongs to this pool already; leave it there";
    /// The VM to be returned is in its home pool.
    NeverMoved = 662, "never_moved", "the VM is in its home pool; there is nothing to return";

    /// The daemon has already joined with this or a later incarnation.
    StaleIncarnation = 680, "stale_incarnation", "the daemon has joined with this or a later incarnation; start it again with a larger one";
    /// The incarnation of the daemon is not the latest one, was already fenced or has already left.
    NotCurrent = 681, "not_current", "only the current start of a daemon can be fenced or leave, and only once; read the roster again";
    /// No superseded incarnation of the daemon awaits a release.
    NothingToRelease = 682, "nothing_to_release", "no superseded start of this daemon waits for a release; read the roster again";
}

impl RefusalReason {
    /// Returns the reason with this number, or `None` if this release knows none.
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

// Encoded by number, so that adding a reason between two others keeps earlier encodings readable.
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
