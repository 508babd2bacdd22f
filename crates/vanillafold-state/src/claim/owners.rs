//! Who keeps the claims of an id.

use vanillafold_types::{DaemonId, ZoneId};

use super::ClaimId;

/// How many daemons keep a claim.
pub const OWNERS_PER_CLAIM: usize = 3;

/// How many of them must grant a claim: any two majorities share an owner.
pub const CLAIM_QUORUM: usize = 2;

/// The owners of `id`: by rendezvous hashing (Thaler and Ravishankar, 1998) one daemon in each of
/// [`OWNERS_PER_CLAIM`] zones, so that no one zone takes a majority with it; with fewer zones, the next
/// best daemons.
///
/// `daemons` are all daemons of the fleet with their zones. With fewer daemons than owners, all
/// are owners.
pub fn claim_owners<'a>(
    id: ClaimId,
    daemons: impl Iterator<Item = (&'a DaemonId, &'a ZoneId)>,
) -> Vec<&'a DaemonId> {
    let mut ranked: Vec<_> = daemons
        .map(|(daemon, zone)| (id.score(daemon), daemon, zone))
        .collect();
    ranked.sort_by(|a, b| b.cmp(a));
    let mut zones: Vec<&ZoneId> = Vec::with_capacity(OWNERS_PER_CLAIM);
    let mut chosen: Vec<&DaemonId> = Vec::with_capacity(OWNERS_PER_CLAIM);
    for (_, daemon, zone) in &ranked {
        if chosen.len() < OWNERS_PER_CLAIM && !zones.contains(zone) {
            zones.push(zone);
            chosen.push(daemon);
        }
    }
    for (_, daemon, _) in &ranked {
        if chosen.len() < OWNERS_PER_CLAIM && !chosen.contains(daemon) {
            chosen.push(daemon);
        }
    }
    chosen
}
