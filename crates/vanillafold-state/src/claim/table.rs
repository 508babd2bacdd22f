//! The table of the claims that one owner stores.

use bincode::{Decode, Encode};
use vanillafold_types::Millis;

use super::{ClaimId, ClaimToken};

/// The most claims that an owner stores; each takes 32 bytes.
pub const MAX_CLAIMS: usize = 1_000_000;

/// Log2 of the number of shards. Each shard is a short sorted vector, so that insertion stays
/// cheap.
const SHARD_BITS: u32 = 12;
const MS_PER_S: u64 = 1_000;

/// An owner's answer to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum ClaimAnswer {
    /// The claimer holds the claim on the id.
    Granted,
    /// Another attempt has claimed the id.
    Taken,
    /// The owner may have lost an earlier claim on the id in a restart, or its table is full.
    Inconclusive,
}

/// A claim as it is copied from one owner to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct ClaimRecord {
    /// The identity of the claimed request.
    pub id: ClaimId,
    /// The attempt that claimed it.
    pub token: ClaimToken,
    /// The time since the claim, in seconds.
    pub age_s: u32,
}

/// One page of an owner's claims, sorted by id.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ClaimPage {
    /// The claims on this page.
    pub records: Vec<ClaimRecord>,
    /// The last id on this page, after which the next page begins; `None` on the last page.
    pub next_after: Option<ClaimId>,
    /// Whether the owner has every claim of the retention window.
    pub is_complete: bool,
}

/// The claims that one owner stores, each for a retention window.
///
/// Times are in milliseconds since an arbitrary origin, from a clock that counts suspended time.
#[derive(Debug)]
pub struct ClaimTable {
    window_s: u64,
    /// The time from which on the table has every claim of the window. Before it, an id must not be
    /// granted, since an earlier claim on it may be missing.
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
    /// Creates an empty table that keeps each claim for `window_ms`.
    ///
    /// The table of an owner that may have had an earlier incarnation is complete only from
    /// `complete_from_ms` on: one window after the owner has started.
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

    /// Marks the table as complete: there was no earlier incarnation, or its claims have been
    /// merged from the other owners.
    pub const fn set_complete(&mut self) {
        self.complete_from_ms = 0;
    }

    /// Returns the number of stored claims.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no claim is stored.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Claims `id` for `token`. A stored claim is granted when it is repeated with the same token.
    pub fn claim(&mut self, id: ClaimId, token: ClaimToken, now_ms: u64) -> ClaimAnswer {
        self.sweep_next(now_ms);
        let is_complete = now_ms >= self.complete_from_ms;
        let is_full = self.length >= MAX_CLAIMS;
        let shard = &mut self.shards[id.upper_bits(SHARD_BITS)];
        match shard.binary_search_by(|claim| claim.id.cmp(&id)) {
            Ok(index) if shard[index].token == token => ClaimAnswer::Granted,
            Ok(_) => ClaimAnswer::Taken,
            Err(_) if is_full => ClaimAnswer::Inconclusive,
            Err(index) => {
                let claimed_s = u32::try_from(now_ms / MS_PER_S).unwrap_or(u32::MAX);
                let claim = Claim {
                    id,
                    token,
                    claimed_s,
                };
                shard.insert(index, claim);
                self.length += 1;
                match is_complete {
                    true => ClaimAnswer::Granted,
                    // The claim is stored nevertheless: it counts once the table is complete.
                    false => ClaimAnswer::Inconclusive,
                }
            }
        }
    }

    /// Returns whether the table has every claim of the window.
    #[must_use]
    pub const fn is_complete(&self, now_ms: u64) -> bool {
        now_ms >= self.complete_from_ms
    }

    /// Returns the first `max_records` claims after the id `after` for which `is_wanted` is true.
    pub fn page(
        &self,
        after: Option<ClaimId>,
        max_records: usize,
        is_wanted: impl Fn(ClaimId) -> bool,
        now_ms: u64,
    ) -> ClaimPage {
        let now_s = now_ms / MS_PER_S;
        let first_shard = after.map_or(0, |id| id.upper_bits(SHARD_BITS));
        let mut records: Vec<ClaimRecord> = self.shards[first_shard..]
            .iter()
            .flatten()
            .filter(|claim| after.is_none_or(|after| claim.id > after) && is_wanted(claim.id))
            .take(max_records + 1)
            .map(|claim| ClaimRecord {
                id: claim.id,
                token: claim.token,
                age_s: u32::try_from(now_s - u64::from(claim.claimed_s)).unwrap_or(u32::MAX),
            })
            .collect();
        let has_more = records.len() > max_records;
        records.truncate(max_records);
        ClaimPage {
            next_after: records.last().map(|last| last.id).filter(|_| has_more),
            is_complete: self.is_complete(now_ms),
            records,
        }
    }

    /// Adds a claim that another owner has stored. Of two claims on one id, the older one is kept.
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

    /// Removes the claim of `token` on `id`, after the claimer has given up without sending the
    /// request. The claim of another token stays.
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

    /// Removes the claims older than the window from the next shard. One shard per claim spreads
    /// the work evenly.
    fn sweep_next(&mut self, now_ms: u64) {
        let oldest_s = (now_ms / MS_PER_S).saturating_sub(self.window_s);
        let shard = &mut self.shards[self.next_sweep];
        let before = shard.len();
        shard.retain(|claim| u64::from(claim.claimed_s) >= oldest_s);
        self.length -= before - shard.len();
        self.next_sweep = (self.next_sweep + 1) % self.shards.len();
    }
}
