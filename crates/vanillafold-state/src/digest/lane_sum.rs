//! An incremental hash of a set of items, which an insertion or removal updates in constant time.

use bincode::Encode;
use sha2::{Digest as _, Sha256};

const LANES: usize = 4;
const LANE_BYTES: usize = 8;

/// The kind of an item, hashed in front of it so that equal bytes of two kinds hash differently.
#[derive(Debug, Clone, Copy)]
#[repr(u8)]
pub(crate) enum ItemKind {
    Pool = 1,
    Team = 2,
    Queue = 3,
    Key = 4,
    WithdrawnKey = 5,
    Membership = 6,
    Outcome = 7,
    ForgottenSequence = 8,
    RosterMember = 9,
    EvacuatedZone = 10,
}

/// An incremental hash of a set of items: the sum of their SHA-256 digests, in four lanes modulo
/// 2^64.
///
/// The order of insertions doesn't matter, and a removal reverses an insertion. The method is
/// AdHash of Bellare and Micciancio, "A New Paradigm for Collision-Free Hashing: Incrementality
/// at Reduced Cost" (EUROCRYPT 1997), with addition lane by lane as in LtHash. At 256 bits it
/// detects faults, but it does not resist a deliberate search for collisions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct LaneSum([u64; LANES]);

impl LaneSum {
    /// Adds an item. Adding it twice gives another sum than adding it once.
    pub(crate) fn insert<T: Encode>(&mut self, kind: ItemKind, item: &T) {
        for (lane, value) in self.0.iter_mut().zip(lanes_of(kind, item)) {
            *lane = lane.wrapping_add(value);
        }
    }

    /// Subtracts an item. It must have been added before.
    pub(crate) fn remove<T: Encode>(&mut self, kind: ItemKind, item: &T) {
        for (lane, value) in self.0.iter_mut().zip(lanes_of(kind, item)) {
            *lane = lane.wrapping_sub(value);
        }
    }

    /// Returns the lanes in little-endian order.
    pub(crate) fn to_bytes(self) -> [u8; LANES * LANE_BYTES] {
        let mut bytes = [0; LANES * LANE_BYTES];
        for (chunk, lane) in bytes.chunks_exact_mut(LANE_BYTES).zip(self.0) {
            chunk.copy_from_slice(&lane.to_le_bytes());
        }
        bytes
    }
}

fn lanes_of<T: Encode>(kind: ItemKind, item: &T) -> [u64; LANES] {
    let mut hasher = Sha256::new();
    hasher.update([kind as u8]);
    bincode::encode_into_std_write(item, &mut hasher, bincode::config::standard())
        .expect("a hash takes any bytes, and every item has an encoding");
    let hash = hasher.finalize();
    let mut lanes = [0; LANES];
    for (lane, bytes) in lanes.iter_mut().zip(hash.chunks_exact(LANE_BYTES)) {
        let mut word = [0; LANE_BYTES];
        word.copy_from_slice(bytes);
        *lane = u64::from_le_bytes(word);
    }
    lanes
}
