//! Keeps the daemon in the owners' group, and opens and closes its ownership.

use std::rc::Rc;
use std::time::Duration;

use monoio::time::{sleep, timeout};
use vanillafold_jobs::Epoch;

use super::directory;
use super::hub::Fleet;
use super::metric;
use super::office::Office;
use super::platform::{FleetPlatform, Membership, MetadataStore};
use super::settings::{
    JOIN_INTERVAL, JOIN_RETRY, OWNER_ISOLATION_MS, OWNERS_GROUP, SHARD_PARTITION, SHARDS_TOPIC,
};
use super::time::now;

/// How long a daemon that is not in the group waits before it looks whether it should be.
const IDLE_WAIT: Duration = Duration::from_secs(1);

/// Joins as long as this daemon owns the shard or nobody does, until it stops.
pub(crate) async fn keep<P: FleetPlatform>(fleet: Rc<Fleet<P>>) {
    let mut store = fleet.platform.store();
    let mut generation = 0;
    let mut lost = false;
    while !fleet.leaving.is_set() {
        let closed = fleet
            .office
            .borrow()
            .as_ref()
            .is_some_and(|office| office.is_closed());
        if closed {
            fleet.office.borrow_mut().take();
        }
        if fleet.larger_daemon.replace(false)
            && let Some(office) = fleet.open_office().filter(|office| office.is_settled())
        {
            log::info!(cpu_millis = fleet.settings.cpu_millis; "leaving the shard to a larger daemon");
            office.hand_over().await;
            fleet.office.borrow_mut().take();
            fleet.vacant.set(false);
        }
        let owns = fleet.office.borrow().is_some();
        if !owns && !fleet.vacant.get() {
            if generation > 0 {
                withdraw(&fleet, &mut store).await;
                generation = 0;
            }
            let _ = fleet
                .leaving
                .run_until_set(timeout(IDLE_WAIT, fleet.vacancy.notified()))
                .await;
            continue;
        }
        if owns && superseded(&fleet, &mut store).await {
            continue;
        }
        let sent_at = now();
        let ttl_ms = fleet.settings.member_ttl_ms;
        let join = store.join(
            OWNERS_GROUP,
            &fleet.member,
            SHARDS_TOPIC,
            ttl_ms,
            generation,
        );
        let Some(joined) = fleet.leaving.run_until_set(join).await else {
            return;
        };
        let wait = match joined {
            Ok(membership) => {
                if std::mem::replace(&mut lost, false) {
                    log::info!("the store answers again");
                }
                let lapsed = sent_at.since(fleet.confirmed_at.get()).get() > OWNER_ISOLATION_MS
                    && membership.generation != generation;
                generation = membership.generation;
                let changed = apply(&fleet, &membership, lapsed);
                fleet.confirmed_at.set(sent_at);
                match changed {
                    // Joining again is what lets the next owner begin.
                    true => continue,
                    false => JOIN_INTERVAL,
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut lost, true) {
                    metric::dependency_lost("store_group");
                    log::warn!(error = error.to_string(); "the store does not answer");
                }
                JOIN_RETRY
            }
        };
        let _ = fleet.leaving.run_until_set(sleep(wait)).await;
    }
}

/// Whether the shard went to another daemon while this one was out of touch; its ownership then
/// ends. Joining without asking would take the shard back from its new owner.
async fn superseded<P: FleetPlatform>(fleet: &Fleet<P>, store: &mut P::Store) -> bool {
    let unconfirmed_ms = now().since(fleet.confirmed_at.get()).get();
    if unconfirmed_ms <= OWNER_ISOLATION_MS {
        return false;
    }
    match directory::is_vacant(fleet, store).await {
        Some(false) if !fleet.directory.is(&fleet.member) => {
            let office = fleet.office.borrow_mut().take();
            if let Some(office) = office {
                office.close("the shard went to another daemon meanwhile");
            }
            fleet.vacant.set(false);
            true
        }
        _ => false,
    }
}

/// Leaves the group to the owner.
async fn withdraw<P: FleetPlatform>(fleet: &Fleet<P>, store: &mut P::Store) {
    if let Err(error) = store.leave(OWNERS_GROUP, &fleet.member).await {
        // Not joining again has the same effect, later.
        log::debug!(error = error.to_string(); "the owners' group was not left");
    }
}

/// Opens or closes the ownership; true if one was closed. If the membership may have `lapsed`,
/// another daemon may have owned the shard meanwhile.
fn apply<P: FleetPlatform>(fleet: &Rc<Fleet<P>>, membership: &Membership, lapsed: bool) -> bool {
    let holds = membership.partitions.contains(&SHARD_PARTITION);
    let current = fleet.office.borrow().clone();
    match current {
        Some(office) if !holds || lapsed => {
            office.close(match holds {
                true => "the membership had lapsed",
                false => "the shard went to another daemon",
            });
            fleet.office.borrow_mut().take();
            true
        }
        None if holds && membership.generation > fleet.last_epoch.get() => {
            let epoch = Epoch::new(membership.generation);
            fleet.last_epoch.set(membership.generation);
            let office = Office::open(fleet, epoch);
            *fleet.office.borrow_mut() = Some(office);
            false
        }
        None if holds => {
            // An epoch serves one ownership only: leaving makes the group begin another.
            fleet.vacant.set(false);
            false
        }
        _ => false,
    }
}

/// Closes the ownership and leaves the group, so that another daemon takes over at once.
pub(crate) async fn leave<P: FleetPlatform>(fleet: &Fleet<P>) {
    let office = fleet.office.borrow_mut().take();
    if let Some(office) = office {
        office.hand_over().await;
    }
    let mut store = fleet.platform.store();
    while let Err(error) = store.leave(OWNERS_GROUP, &fleet.member).await {
        log::debug!(error = error.to_string(); "the owners' group was not left");
        sleep(JOIN_RETRY).await;
    }
}
