//! Keeps the daemon in the owners' group, and opens and closes its ownership.

use std::rc::Rc;
use std::time::Duration;

use monoio::time::{sleep, timeout};
use vanillafold_jobs::Epoch;

use super::daemon::FleetDaemon;
use super::metric;
use super::owner;
use super::ownership::ShardOwnership;
use super::platform::{FleetPlatform, Membership, MetadataStore};
use super::settings::{
    JOIN_INTERVAL, JOIN_RETRY_DELAY, OWNER_ISOLATION_MS, OWNERS_GROUP, SHARD_PARTITION,
    SHARDS_TOPIC,
};
use super::time::now;

/// How long a daemon that is not in the group waits before it looks whether it should be.
const IDLE_WAIT: Duration = Duration::from_secs(1);

/// Joins as long as this daemon owns the shard or nobody does, until it stops.
pub(crate) async fn keep<P: FleetPlatform>(daemon: Rc<FleetDaemon<P>>) {
    let mut store = daemon.platform.store();
    let mut generation = 0;
    let mut lost = false;
    while !daemon.leaving.is_raised() {
        let closed = daemon
            .ownership
            .borrow()
            .as_ref()
            .is_some_and(|ownership| ownership.is_closed());
        if closed {
            daemon.ownership.borrow_mut().take();
        }
        if daemon.larger_daemon_seen.replace(false)
            && let Some(ownership) = daemon
                .active_ownership()
                .filter(|ownership| ownership.is_settled())
        {
            log::info!(cpu_millis = daemon.settings.cpu_millis; "leaving the shard to a larger daemon");
            ownership.hand_over().await;
            daemon.ownership.borrow_mut().take();
            daemon.vacant.set(false);
        }
        let owns = daemon.ownership.borrow().is_some();
        if !owns && !daemon.vacant.get() {
            if generation > 0 {
                withdraw(&daemon, &mut store).await;
                generation = 0;
            }
            let _ = daemon
                .leaving
                .cancel(timeout(IDLE_WAIT, daemon.vacancy.take()))
                .await;
            continue;
        }
        if owns && superseded(&daemon, &mut store).await {
            continue;
        }
        let sent_at = now();
        let ttl_ms = daemon.settings.member_ttl_ms;
        let join = store.join(
            OWNERS_GROUP,
            &daemon.member,
            SHARDS_TOPIC,
            ttl_ms,
            generation,
        );
        let Some(joined) = daemon.leaving.cancel(join).await else {
            return;
        };
        let wait = match joined {
            Ok(membership) => {
                if std::mem::replace(&mut lost, false) {
                    log::info!("the store answers again");
                }
                let lapsed = sent_at.since(daemon.confirmed_at.get()).get() > OWNER_ISOLATION_MS
                    && membership.generation != generation;
                generation = membership.generation;
                let changed = apply(&daemon, &membership, lapsed);
                daemon.confirmed_at.set(sent_at);
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
                JOIN_RETRY_DELAY
            }
        };
        let _ = daemon.leaving.cancel(sleep(wait)).await;
    }
}

/// Whether the shard went to another daemon while this one was out of touch; its ownership then
/// ends. Joining without asking would take the shard back from its new owner.
async fn superseded<P: FleetPlatform>(daemon: &FleetDaemon<P>, store: &mut P::Store) -> bool {
    let unconfirmed_ms = now().since(daemon.confirmed_at.get()).get();
    if unconfirmed_ms <= OWNER_ISOLATION_MS {
        return false;
    }
    match owner::is_vacant(daemon, store).await {
        Some(false) if !daemon.owner_view.is(&daemon.member) => {
            let ownership = daemon.ownership.borrow_mut().take();
            if let Some(ownership) = ownership {
                ownership.close("the shard went to another daemon meanwhile");
            }
            daemon.vacant.set(false);
            true
        }
        _ => false,
    }
}

/// Leaves the group to the owner.
async fn withdraw<P: FleetPlatform>(daemon: &FleetDaemon<P>, store: &mut P::Store) {
    if let Err(error) = store.leave(OWNERS_GROUP, &daemon.member).await {
        // Not joining again has the same effect, later.
        log::debug!(error = error.to_string(); "the owners' group was not left");
    }
}

/// Opens or closes the ownership; true if one was closed. If the membership may have `lapsed`,
/// another daemon may have owned the shard meanwhile.
fn apply<P: FleetPlatform>(
    daemon: &Rc<FleetDaemon<P>>,
    membership: &Membership,
    lapsed: bool,
) -> bool {
    let holds = membership.partitions.contains(&SHARD_PARTITION);
    let current = daemon.ownership.borrow().clone();
    match current {
        Some(ownership) if !holds || lapsed => {
            ownership.close(match holds {
                true => "the membership had lapsed",
                false => "the shard went to another daemon",
            });
            daemon.ownership.borrow_mut().take();
            true
        }
        None if holds && membership.generation > daemon.last_epoch.get() => {
            let epoch = Epoch::new(membership.generation);
            daemon.last_epoch.set(membership.generation);
            let ownership = ShardOwnership::open(daemon, epoch);
            *daemon.ownership.borrow_mut() = Some(ownership);
            false
        }
        None if holds => {
            // An epoch serves one ownership only: leaving makes the group begin another.
            daemon.vacant.set(false);
            false
        }
        _ => false,
    }
}

/// Closes the ownership and leaves the group, so that another daemon takes over at once.
pub(crate) async fn leave<P: FleetPlatform>(daemon: &FleetDaemon<P>) {
    let ownership = daemon.ownership.borrow_mut().take();
    if let Some(ownership) = ownership {
        ownership.hand_over().await;
    }
    let mut store = daemon.platform.store();
    while let Err(error) = store.leave(OWNERS_GROUP, &daemon.member).await {
        log::debug!(error = error.to_string(); "the owners' group was not left");
        sleep(JOIN_RETRY_DELAY).await;
    }
}
