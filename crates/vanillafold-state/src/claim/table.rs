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
    Unsure,
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
            Err(_) if !sure || full => ClaimAnswer::Unsure,
            Err(index) => {
                let claimed_s = u32::try_from(now_ms / MS_PER_S).unwrap_or(u32::MAX);
                let claim = Claim {
                    id,
                    token,
                    claimed_s,
                };
                shard.insert(index, claim);
                self.length += 1;
                ClaimAnswer::Granted
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
