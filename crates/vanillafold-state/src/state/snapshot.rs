//! Making and reading snapshots of the state, and merging one state into another.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bincode::{Decode, Encode};
use vanillafold_types::Offset;

use super::State;
use crate::catalogue::{Catalogue, Evacuations};
use crate::control::ControlState;
use crate::fold::{StreamFold, StreamState};
use crate::table::SortedVec;
use crate::{Digest, Snapshot, SnapshotError, SnapshotId, Stream};

/// The most memory that decoding a snapshot may claim, in bytes.
const MAX_DECODED_BYTES: usize = 64 << 20;

type Config = Configuration<LittleEndian, Varint, Limit<MAX_DECODED_BYTES>>;

const fn config() -> Config {
    bincode::config::standard().with_limit::<MAX_DECODED_BYTES>()
}

/// Why encoding a snapshot can't fail.
const ENCODES: &str = "memory takes any bytes, and every part of the state has an encoding";

/// The contents of a snapshot, borrowed for encoding; the evacuated zones follow if there are any.
#[derive(Encode)]
struct Body<'a> {
    catalogue: &'a StreamFold<Catalogue>,
    control: &'a StreamFold<ControlState>,
}

/// The contents of a snapshot without the evacuated zones, as decoded.
#[derive(Decode)]
struct OwnedBody {
    catalogue: StreamFold<Catalogue>,
    control: StreamFold<ControlState>,
}

impl State {
    /// Returns a snapshot of the state, in chunks for the `control` stream. It does not contain the
    /// early withdrawals of keys, so that daemons at the same offsets make the same snapshot.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        let body = Body {
            catalogue: &self.catalogue,
            control: &self.control,
        };
        let mut bytes = bincode::encode_to_vec(body, config()).expect(ENCODES);
        // Releases that don't know evacuations read a snapshot that has none, and refuse others.
        let evacuations = self.catalogue.state().evacuations();
        if !evacuations.is_empty() {
            bincode::encode_into_std_write(evacuations, &mut bytes, config()).expect(ENCODES);
        }
        Snapshot::split(self.snapshot_id(), &bytes)
    }

    fn snapshot_id(&self) -> SnapshotId {
        SnapshotId {
            control_next: self.control.next_offset(),
            catalogue_next: self.catalogue.next_offset(),
            digest: self.digest(),
        }
    }

    /// Decodes a complete snapshot and checks that its state is the one that `id` states.
    ///
    /// # Errors
    ///
    /// Returns [`SnapshotError::Malformed`] if the bytes are not exactly one state, and
    /// [`SnapshotError::StateMismatch`] if the state has other offsets or another digest.
    pub(crate) fn from_snapshot(id: SnapshotId, bytes: &[u8]) -> Result<Self, SnapshotError> {
        let malformed = |reason: String| SnapshotError::Malformed { id, reason };
        let (mut body, used_bytes) = bincode::decode_from_slice::<OwnedBody, _>(bytes, config())
            .map_err(|error| malformed(error.to_string()))?;
        let rest = &bytes[used_bytes..];
        if !rest.is_empty() {
            let (evacuations, used_bytes) =
                bincode::decode_from_slice::<Evacuations, _>(rest, config())
                    .map_err(|error| malformed(error.to_string()))?;
            if used_bytes != rest.len() || evacuations.is_empty() {
                return Err(malformed("more bytes follow after the state".to_owned()));
            }
            body.catalogue
                .complete(|catalogue, sum| catalogue.add_evacuations(evacuations, sum));
        }
        let state = Self {
            catalogue: body.catalogue,
            control: body.control,
            early_withdrawals: SortedVec::default(),
        };
        match state.snapshot_id() {
            found if found == id => Ok(state),
            found => Err(SnapshotError::StateMismatch {
                id,
                found: found.digest,
            }),
        }
    }

    /// Merges `other` into this state: each stream's part becomes the later one of the two, and the
    /// early withdrawals of both are kept. No offset decreases.
    ///
    /// # Errors
    ///
    /// Returns [`SnapshotError::Older`] if one part of `other` is older and none is later, and
    /// [`SnapshotError::Diverged`] if both states are at the same offset of a stream and differ.
    /// This state is then unchanged.
    pub fn merge(&mut self, other: Self) -> Result<(), SnapshotError> {
        let catalogue = compare_age(Stream::Catalogue, &self.catalogue, &other.catalogue)?;
        let control = compare_age(Stream::Control, &self.control, &other.control)?;
        let is_later = [catalogue, control].contains(&Age::Later);
        let is_older = [catalogue, control].contains(&Age::Older);
        if is_older && !is_later {
            return Err(SnapshotError::Older);
        }
        if catalogue == Age::Later {
            self.catalogue = other.catalogue;
        }
        if control == Age::Later {
            self.control = other.control;
        }
        for id in other.early_withdrawals.iter() {
            self.early_withdrawals.insert(id.clone());
        }
        self.drop_logged_withdrawals();
        Ok(())
    }
}

/// The age of a stream's part of another state, relative to this state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Age {
    Older,
    Same,
    Later,
}

fn compare_age<S: StreamState>(
    stream: Stream,
    own: &StreamFold<S>,
    other: &StreamFold<S>,
) -> Result<Age, SnapshotError> {
    let next: Offset = own.next_offset();
    let (own_digest, other_digest): (Digest, Digest) = (own.digest(), other.digest());
    match other.next_offset() {
        offset if offset < next => Ok(Age::Older),
        offset if offset > next => Ok(Age::Later),
        _ if own_digest == other_digest => Ok(Age::Same),
        _ => Err(SnapshotError::Diverged {
            stream,
            next,
            own: own_digest,
            other: other_digest,
        }),
    }
}
