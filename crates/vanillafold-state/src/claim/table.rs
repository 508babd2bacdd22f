//! The claims that one owner keeps.

use bincode::{Decode, Encode};
use vanillafold_types::Millis;

use super::{ClaimId, ClaimToken};

/// The most claims that an owner keeps; each takes 32 bytes.
pub const MAX_CLAIMS: usize = 1_000_000;

/// Shards keep insertion into a sorted vector cheap.
const SHARD_BITS: u32 = 12;
const MS_PER_S: u64 = 1_000;

/// What an owner says to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum ClaimAnswer {
    /// The id is the claimer's.
    Granted,
    /// Another one has claimed the id.
    Taken,
    /// The owner may have forgotten a claim, or has no room for another one.
    Inconclusive,
}

/// A claim as one owner tells another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct ClaimRecord {
    /// The id.
    pub id: ClaimId,
    /// Who claimed it.
    pub token: ClaimToken,
    /// How long ago, in seconds.
    pub age_s: u32,
}

/// A part of an owner's claims, in the order of their ids.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ClaimPage {
    /// The claims.
    pub records: Vec<ClaimRecord>,
    /// The id to go on after; `None` at the end.
    pub next_after: Option<ClaimId>,
    /// Whether the owner remembers every claim of the window.
    pub is_complete: bool,
}

/// The claims that one owner keeps, each for a window of time.
///
/// Times are of a clock that counts suspensions, in milliseconds since an arbitrary start.
#[derive(Debug)]
pub struct ClaimTable {
    window_s: u64,
    /// From when on every claim is remembered: ids may be granted only if an earlier claim
    /// would be known.
    complete_from_ms: u64,
    shards: Vec<Vec<Claim>>,
    length: usize,
    next_sweep: usize,
}

#[derive(Debug)]
struct Claim {
    id: ClaimId,
    token: ClaimToken,
    claimed_s: u32,
}

impl ClaimTable {
    /// An empty table that remembers each claim for `window_ms`.
    ///
    /// An owner that may have had an earlier incarnation is sure only from `complete_from_ms` on:
    /// a window after it started.
    #[must_use]
    pub fn new(window_ms: Millis, complete_from_ms: u64) -> Self {
        let shards = (0..1_usize << SHARD_BITS).map(|_| Vec::new()).collect();
        Self {
            window_s: window_ms.get().div_ceil(MS_PER_S),
            complete_from_ms,
            shards,
            length: 0,
            next_sweep: 0,
        }
    }

    /// Notes that nothing was forgotten: there was no earlier incarnation, or its claims have
    /// been taken over.
    pub const fn set_complete(&mut self) {
        self.complete_from_ms = 0;
    }

    /// How many claims are kept.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Whether no claim is kept.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Claims `id` for `token`. Repeats of a claim get the same answer.
    pub fn claim(&mut self, id: ClaimId, token: ClaimToken, now_ms: u64) -> ClaimAnswer {
        self.sweep_next(now_ms);
        let sure = now_ms >= self.complete_from_ms;
        let full = self.length >= MAX_CLAIMS;
        let shard = &mut self.shards[id.upper_bits(SHARD_BITS)];
        match shard.binary_search_by(|claim| claim.id.cmp(&id)) {
            Ok(index) if shard[index].token == token => ClaimAnswer::Granted,
            Ok(_) => ClaimAnswer::Taken,
            Err(_) if full => ClaimAnswer::Inconclusive,
            Err(index) => {
                let claimed_s = u32::try_from(now_ms / MS_PER_S).unwrap_or(u32::MAX);
                let claim = Claim {
                    id,
                    token,
                    claimed_s,
                };
                shard.insert(index, claim);
                self.length += 1;
                match sure {
                    true => ClaimAnswer::Granted,
                    // Noted all the same: it counts once the owner is sure.
                    false => ClaimAnswer::Inconclusive,
                }
            }
        }
    }

    /// Whether every claim of the window is remembered.
    #[must_use]
    pub const fn is_complete(&self, now_ms: u64) -> bool {
        now_ms >= self.complete_from_ms
    }

    /// At most `most` claims for which `is_wanted`, from the id behind `after` on.
    pub fn page(
        &self,
        after: Option<ClaimId>,
        most: usize,
        is_wanted: impl Fn(ClaimId) -> bool,
        now_ms: u64,
    ) -> ClaimPage {
        let now_s = now_ms / MS_PER_S;
        let first_shard = after.map_or(0, |id| id.upper_bits(SHARD_BITS));
        let mut records: Vec<ClaimRecord> = self.shards[first_shard..]
            .iter()
            .flatten()
            .filter(|claim| after.is_none_or(|after| claim.id > after) && is_wanted(claim.id))
            .take(most + 1)
            .map(|claim| ClaimRecord {
                id: claim.id,
                token: claim.token,
                age_s: u32::try_from(now_s - u64::from(claim.claimed_s)).unwrap_or(u32::MAX),
            })
            .collect();
        let has_more = records.len() > most;
        records.truncate(most);
        ClaimPage {
            next_after: records.last().map(|last| last.id).filter(|_| has_more),
            is_complete: self.is_complete(now_ms),
            records,
        }
    }

    /// Takes over a claim that another owner remembers.
    pub fn merge(&mut self, record: ClaimRecord, now_ms: u64) {
        let shard = &mut self.shards[record.id.upper_bits(SHARD_BITS)];
        let found = shard.binary_search_by(|claim| claim.id.cmp(&record.id));
        let claimed_s = (now_ms / MS_PER_S).saturating_sub(u64::from(record.age_s));
        let claim = Claim {
            id: record.id,
            token: record.token,
            claimed_s: u32::try_from(claimed_s).unwrap_or(u32::MAX),
        };
        match found {
            // The older claim is the one that was granted.
            Ok(index) if shard[index].claimed_s > claim.claimed_s => shard[index] = claim,
            Ok(_) => {}
            Err(index) => {
                shard.insert(index, claim);
                self.length += 1;
            }
        }
    }

    /// Gives a claim up: nothing was sent for it.
    pub fn release(&mut self, id: ClaimId, token: ClaimToken) {
        let shard = &mut self.shards[id.upper_bits(SHARD_BITS)];
        match shard.binary_search_by(|claim| claim.id.cmp(&id)) {
            Ok(index) if shard[index].token == token => {
                shard.remove(index);
                self.length -= 1;
            }
            Ok(_) | Err(_) => {}
        }
    }

    /// Forgets what is older than the window in one shard, so that the work is spread evenly.
    fn sweep_next(&mut self, now_ms: u64) {
        let oldest_s = (now_ms / MS_PER_S).saturating_sub(self.window_s);
        let shard = &mut self.shards[self.next_sweep];
        let before = shard.len();
        shard.retain(|claim| u64::from(claim.claimed_s) >= oldest_s);
        self.length -= before - shard.len();
        self.next_sweep = (self.next_sweep + 1) % self.shards.len();
    }
}
