//! The task that joins the owners' group, and opens and closes this daemon's ownership of the
//! shard.

use std::rc::Rc;
use std::time::Duration;

use monoio::time::{sleep, timeout};
use vanillafold_jobs::Epoch;
use vanillafold_policy::MonotonicMillis;

use super::daemon::FleetDaemon;
use super::metric;
use super::owner;
use super::ownership::ShardOwnership;
use super::platform::{FleetPlatform, Membership, MetadataStore};
use super::settings::{
    JOIN_INTERVAL, JOIN_RETRY_DELAY, MIN_JOIN_INTERVAL, OWNER_ISOLATION_MS, OWNERS_GROUP,
    SHARD_PARTITION, SHARDS_TOPIC,
};
use super::time::now;

/// Time between two checks by a daemon outside the group whether it should join.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps joining the owners' group while this daemon owns the shard or has claimed it, until the
/// daemon stops.
pub(crate) async fn maintain<P: FleetPlatform>(daemon: Rc<FleetDaemon<P>>) {
    let mut store = daemon.platform.store();
    let mut generation = 0;
    let mut joins_failing = false;
    while !daemon.leaving.is_set() {
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
            log::info!(cpu_millis = daemon.settings.cpu_millis; "handing the shard over to a daemon with more CPU");
            ownership.hand_over().await;
            daemon.ownership.borrow_mut().take();
            daemon.shard_claimed.set(false);
        }
        let owns = daemon.ownership.borrow().is_some();
        if !owns && !daemon.shard_claimed.get() {
            if generation > 0 {
                leave_group(&daemon, &mut store).await;
                generation = 0;
            }
            let _ = daemon
                .leaving
                .run_until_set(timeout(JOIN_CHECK_INTERVAL, daemon.claim_made.notified()))
                .await;
            continue;
        }
        if owns && !may_join_again(&daemon, &mut store).await {
            let _ = daemon.leaving.run_until_set(sleep(JOIN_RETRY_DELAY)).await;
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
        let Some(joined) = daemon.leaving.run_until_set(join).await else {
            return;
        };
        let delay = match joined {
            Ok(membership) => {
                if std::mem::replace(&mut joins_failing, false) {
                    log::info!("the store answers joins of the owners' group again");
                }
                let may_have_expired = sent_at.since(daemon.confirmed_at.get()).get()
                    > OWNER_ISOLATION_MS
                    && membership.generation != generation;
                generation = membership.generation;
                // An epoch is a generation: one above the newest was never given out.
                let latest = daemon.latest_epoch.get();
                daemon.latest_epoch.set(latest.min(generation));
                let ownership_closed = apply_membership(&daemon, &membership, may_have_expired);
                daemon.confirmed_at.set(sent_at);
                confirm_ownership(&daemon, generation, sent_at);
                match ownership_closed {
                    // The next owner can start only once this daemon has joined again or left the
                    // group.
                    true => continue,
                    false => JOIN_INTERVAL,
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut joins_failing, true) {
                    metric::dependency_lost("store_group");
                    log::warn!(error = error.to_string(); "joining the owners' group failed; retrying");
                }
                if let Some(ownership) = daemon.ownership.borrow().as_ref() {
                    ownership.confirmation_failed();
                }
                JOIN_RETRY_DELAY
            }
        };
        let wait = async {
            sleep(MIN_JOIN_INTERVAL).await;
            let _ = timeout(delay - MIN_JOIN_INTERVAL, daemon.join_wanted.notified()).await;
        };
        let _ = daemon.leaving.run_until_set(wait).await;
    }
}

/// Tells the ownership that no other daemon owned the shard until the join at `sent_at` reached the
/// store: the group has not changed since the ownership began.
fn confirm_ownership<P: FleetPlatform>(
    daemon: &FleetDaemon<P>,
    generation: u64,
    sent_at: MonotonicMillis,
) {
    let ownership = daemon.ownership.borrow();
    match ownership.as_ref() {
        Some(ownership) if ownership.epoch().get() == generation => ownership.confirm(sent_at),
        Some(ownership) => ownership.confirmation_failed(),
        None => {}
    }
}

/// Returns whether an owner may join the group. After a loss of contact with the store it may only
/// once the store has told it that the shard has not gone to another daemon; if it has, this ends
/// the ownership.
///
/// A join without this knowledge would take the shard back from its new owner. That holds also for
/// one that can't reach the store yet: when the network recovers, the store receives it before this
/// daemon can learn anything.
async fn may_join_again<P: FleetPlatform>(daemon: &FleetDaemon<P>, store: &mut P::Store) -> bool {
    let unconfirmed_ms = now().since(daemon.confirmed_at.get()).get();
    if unconfirmed_ms <= OWNER_ISOLATION_MS {
        return true;
    }
    match owner::read_vacancy(daemon, store).await {
        None => false,
        Some(false) if !daemon.owner_view.is_owner(&daemon.member) => {
            let ownership = daemon.ownership.borrow_mut().take();
            if let Some(ownership) = ownership {
                ownership.close(
                    "the shard went to another daemon during a loss of contact with the store",
                );
            }
            daemon.shard_claimed.set(false);
            false
        }
        Some(_) => true,
    }
}

/// Leaves the owners' group, in which only the owner stays.
async fn leave_group<P: FleetPlatform>(daemon: &FleetDaemon<P>, store: &mut P::Store) {
    if let Err(error) = store.leave(OWNERS_GROUP, &daemon.member).await {
        // The membership expires if it is not renewed.
        log::debug!(error = error.to_string(); "leaving the owners' group failed");
    }
}

/// Opens or closes the ownership according to the membership; returns true if one was closed.
/// `may_have_expired` says that the membership may have expired and another daemon may have owned
/// the shard in between: an ownership is then closed in any case.
fn apply_membership<P: FleetPlatform>(
    daemon: &Rc<FleetDaemon<P>>,
    membership: &Membership,
    may_have_expired: bool,
) -> bool {
    let is_assigned = membership.partitions.contains(&SHARD_PARTITION);
    let current = daemon.ownership.borrow().clone();
    match current {
        Some(ownership) if !is_assigned || may_have_expired => {
            ownership.close(match is_assigned {
                true => "the membership in the owners' group may have expired",
                false => "the shard went to another daemon",
            });
            daemon.ownership.borrow_mut().take();
            true
        }
        None if is_assigned && membership.generation > daemon.last_epoch.get() => {
            let epoch = Epoch::new(membership.generation);
            daemon.last_epoch.set(membership.generation);
            let ownership = ShardOwnership::open(daemon, epoch);
            *daemon.ownership.borrow_mut() = Some(ownership);
            false
        }
        None if is_assigned => {
            // An epoch is used for one ownership only. Leaving makes the group start a new
            // generation.
            daemon.shard_claimed.set(false);
            false
        }
        _ => false,
    }
}

/// Hands the shard over and leaves the owners' group, so that another daemon takes over at once.
/// Retries until the store has taken the member out.
pub(crate) async fn leave<P: FleetPlatform>(daemon: &FleetDaemon<P>) {
    let ownership = daemon.ownership.borrow_mut().take();
    if let Some(ownership) = ownership {
        ownership.hand_over().await;
    }
    let mut store = daemon.platform.store();
    while let Err(error) = store.leave(OWNERS_GROUP, &daemon.member).await {
        log::debug!(error = error.to_string(); "leaving the owners' group failed; retrying");
        sleep(JOIN_RETRY_DELAY).await;
    }
}
