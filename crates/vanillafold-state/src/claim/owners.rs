//! Selection of the daemons that own the claim of an id.

use vanillafold_types::{DaemonId, ZoneId};

use super::ClaimId;

/// The number of daemons that store each claim.
pub const OWNERS_PER_CLAIM: usize = 3;

/// The number of owners that must grant a claim: a majority, since any two majorities share an
/// owner.
pub const CLAIM_QUORUM: usize = 2;

/// Returns the owners of `id`, selected by rendezvous hashing (Thaler and Ravishankar, 1998).
///
/// They are in [`OWNERS_PER_CLAIM`] different zones, so that the loss of one zone never takes a
/// majority of the owners. With fewer zones, the daemons with the next highest scores are added.
///
/// `daemons` are all daemons of the fleet with their zones. If there are fewer than
/// [`OWNERS_PER_CLAIM`], all of them are owners.
pub fn claim_owners<'a>(
    id: ClaimId,
    daemons: impl Iterator<Item = (&'a DaemonId, &'a ZoneId)>,
) -> Vec<&'a DaemonId> {
    let mut ranked: Vec<_> = daemons
        .map(|(daemon, zone)| (id.score(daemon), daemon, zone))
        .collect();
    ranked.sort_by(|a, b| b.cmp(a));
    let mut zones: Vec<&ZoneId> = Vec::with_capacity(OWNERS_PER_CLAIM);
    let mut owners: Vec<&DaemonId> = Vec::with_capacity(OWNERS_PER_CLAIM);
    for (_, daemon, zone) in &ranked {
        if owners.len() < OWNERS_PER_CLAIM && !zones.contains(zone) {
            zones.push(zone);
            owners.push(daemon);
        }
    }
    for (_, daemon, _) in &ranked {
        if owners.len() < OWNERS_PER_CLAIM && !owners.contains(daemon) {
            owners.push(daemon);
        }
    }
    owners
}
