//! Validation of the numbers in pools, teams and queues.

use std::ops::RangeInclusive;

use vanillafold_types::{MAX_DEADLINE_MS, Pool, Queue, Team, WILDCARD_TEAMS};

use crate::{Entry, RefusalReason};

const PERCENT: RangeInclusive<u8> = 0..=100;
const SLOTS_PER_VM: RangeInclusive<u32> = 1..=10_000;
const CONNECTIONS_PER_VM: RangeInclusive<u32> = 1..=100_000;
const SHARE: RangeInclusive<u32> = 1..=1_000_000;
const LIMIT: RangeInclusive<u32> = 0..=10_000_000;
const DEADLINE_MS: RangeInclusive<u64> = 1..=MAX_DEADLINE_MS.get();
const MAX_WAITING: RangeInclusive<u32> = 0..=100_000;
const MAX_BODY_BYTES: RangeInclusive<u64> = 0..=1 << 40;

/// Checks that every number of an entry is within its range, and that a team does not have the
/// name that stands for all teams.
pub(super) fn check(entry: &Entry) -> Result<(), RefusalReason> {
    let is_in_range = match entry {
        Entry::Team(team) if team.id.as_str() == WILDCARD_TEAMS => {
            return Err(RefusalReason::ReservedName);
        }
        Entry::Pool(pool) => is_pool_in_range(pool),
        Entry::Team(team) => is_team_in_range(team),
        Entry::Queue(queue) => is_queue_in_range(queue),
    };
    match is_in_range {
        true => Ok(()),
        false => Err(RefusalReason::OutOfRange),
    }
}

fn is_pool_in_range(pool: &Pool) -> bool {
    PERCENT.contains(&pool.min_available_percent.get())
        && SLOTS_PER_VM.contains(&pool.slots_per_vm.get())
        && CONNECTIONS_PER_VM.contains(&pool.connections_per_vm.get())
        && pool.connections_per_vm.get() >= pool.slots_per_vm.get()
}

fn is_team_in_range(team: &Team) -> bool {
    SHARE.contains(&team.share.get()) && LIMIT.contains(&team.limit.get())
}

fn is_queue_in_range(queue: &Queue) -> bool {
    DEADLINE_MS.contains(&queue.deadline_ms.get())
        && DEADLINE_MS.contains(&queue.max_deadline_ms.get())
        && queue.max_deadline_ms >= queue.deadline_ms
        && MAX_WAITING.contains(&queue.max_waiting)
        && PERCENT.contains(&queue.retry_percent.get())
        && MAX_BODY_BYTES.contains(&queue.max_body.get())
}
