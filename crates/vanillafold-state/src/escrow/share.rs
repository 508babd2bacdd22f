//! Static split of a limit among the daemons of the fleet, computed without messages.

use vanillafold_types::{Limit, Percent, TeamId};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the units of `limit` that belong to the daemon at `index` of a fleet of `daemons`.
///
/// The shares of all daemons add up to the limit, and none shrinks when the limit grows, so
/// daemons that know different revisions of a limit together stay within the larger one. Which
/// daemons get the units of the remainder depends on the team, so that small limits don't all fall
/// to the same daemons.
#[must_use]
pub fn home_units(team: &TeamId, limit: Limit, index: usize, daemons: usize) -> u32 {
    part_of(limit.get(), index, daemons, hash(team))
}

/// Returns the part of a daemon's home units that is never lent and that the daemon may use without
/// a recent read of the log.
#[must_use]
pub fn floor_units(home: u32, floor: Percent) -> u32 {
    let units = u64::from(home) * u64::from(floor.get().min(100)) / 100;
    u32::try_from(units).unwrap_or(home)
}

/// Returns the units in slice `slice` of a fenced daemon's surplus, which is split into one slice
/// for each of the other `daemons` - 1 daemons.
pub(super) fn slice_units(team: &TeamId, surplus: u32, slice: usize, daemons: usize) -> u32 {
    part_of(surplus, slice, daemons.saturating_sub(1), hash(team))
}

/// Returns the size of part `index` when `units` units are split into `parts` parts that differ by
/// at most one. `rotation` selects the parts that get one unit more.
fn part_of(units: u32, index: usize, parts: usize, rotation: u64) -> u32 {
    let parts = u32::try_from(parts).unwrap_or(u32::MAX).max(1);
    let index = u32::try_from(index).unwrap_or(u32::MAX);
    let rotation = u32::try_from(rotation % u64::from(parts)).unwrap_or(0);
    let place = (u64::from(index) + u64::from(rotation)) % u64::from(parts);
    units / parts + u32::from(place < u64::from(units % parts))
}

/// Returns the FNV-1a hash (Fowler, Noll and Vo) of a team's name. Unlike the standard library's
/// hasher, it gives the same value in every build, so that all daemons agree on the split.
fn hash(team: &TeamId) -> u64 {
    team.as_str().bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
