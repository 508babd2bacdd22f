//! How a limit is split among the fleet without a message.

use vanillafold_types::{Limit, Percent, TeamId};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The units of `limit` that belong to the daemon at `index` of a fleet of `daemons`.
///
/// The shares of all daemons add up to the limit, and none shrinks when the limit grows, so two
/// daemons that hold different revisions of a limit together stay within the larger one. Where
/// the remainder begins depends on the team, so that small limits don't all fall to the same
/// daemons.
#[must_use]
pub fn home_units(team: &TeamId, limit: Limit, index: usize, daemons: usize) -> u32 {
    part_of(limit.get(), index, daemons, hash(team))
}

/// The part of a daemon's home units that it may use without fresh word and never lends.
#[must_use]
pub fn floor_units(home: u32, floor: Percent) -> u32 {
    let units = u64::from(home) * u64::from(floor.get().min(100)) / 100;
    u32::try_from(units).unwrap_or(home)
}

/// The units of a fenced daemon's surplus that fall to slice `slice` of the `daemons` - 1 others.
pub(super) fn slice_units(team: &TeamId, surplus: u32, slice: usize, daemons: usize) -> u32 {
    part_of(surplus, slice, daemons.saturating_sub(1), hash(team))
}

fn part_of(units: u32, index: usize, parts: usize, rotation: u64) -> u32 {
    let parts = u32::try_from(parts).unwrap_or(u32::MAX).max(1);
    let index = u32::try_from(index).unwrap_or(u32::MAX);
    let rotation = u32::try_from(rotation % u64::from(parts)).unwrap_or(0);
    let place = (u64::from(index) + u64::from(rotation)) % u64::from(parts);
    units / parts + u32::from(place < u64::from(units % parts))
}

/// FNV-1a (Fowler, Noll and Vo): the same in every build, unlike the standard library's hasher.
fn hash(team: &TeamId) -> u64 {
    team.as_str().bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
