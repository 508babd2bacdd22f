//! The task that tracks which daemon owns the shard, and claims the shard if none does.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use monoio::time::{sleep, timeout};
use vanillafold_policy::{MonotonicMillis, SplitMix};
use vanillafold_wire::RpcClient;

use super::daemon::{FleetDaemon, before};
use super::evacuation::EvacuationVersion;
use super::message::{FleetAnswer, FleetRequest, OutgoingCall, OwnerTime, RPC_PATH};
use super::platform::{
    AppendCondition, FleetPlatform, Keyspace, LatestRows, MetadataStore, PartitionOwner,
};
use super::settings::{
    APPEND_TIMEOUT, FleetSettings, OWNER_CONTACT_MS, OWNER_CPU_MILLIS, OWNERS_GROUP, PING_INTERVAL,
    PING_TIMEOUT, RPC_CONNECT_TIMEOUT, RPC_TIMEOUT, SHARD_PARTITION, VACANCY_INTERVAL,
    VACANT_READS_BEFORE_CLAIM,
};
use super::time::now;

/// Prime of the 64-bit FNV-1a hash.
const FNV1A_64_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Range of the random delay before a claim. It exceeds the time of several calls of the store, so
/// that most daemons see the first claim before they send their own.
const CLAIM_JITTER_MS: u64 = 60;

/// Additional delay before the claim of a daemon without any CPU; a daemon with less CPU than
/// [`OWNER_CPU_MILLIS`] waits for a proportional part of it. It is twice the time in which a larger
/// daemon, started at the same moment, finds the shard without an owner and joins.
const SMALL_DAEMON_DELAY_MS: u64 = 1_500;

/// Two clocks that run for some time differ by at most this part of it.
const CLOCK_DRIFT_DIVISOR: u64 = 50;

/// Key of the claims of the shard in [`Keyspace::Claims`].
const CLAIM_KEY: &str = "shard-0";

/// The owner of the shard, as far as this daemon knows.
#[derive(Debug, Default)]
pub(crate) struct OwnerView {
    /// RPC client of the owner; `None` until the first owner is found, or if its name has no
    /// valid address.
    client: RefCell<Option<Rc<RpcClient>>>,
    /// The owner's name in the owners' group; empty until the first is found.
    member: RefCell<String>,
    /// The owner's clock at its last answer to a ping, and when the answer was read; `None` if it
    /// has not answered yet.
    reading: Cell<Option<(OwnerTime, MonotonicMillis)>>,
    /// Whether the last read of the group showed the shard without an owner.
    vacant: Cell<bool>,
    /// Time at which the owner last changed.
    changed_at: Cell<MonotonicMillis>,
    /// Epoch of the owner, if its last answer came while the store had confirmed it recently.
    confirmed_epoch: Cell<Option<u64>>,
}

impl OwnerView {
    /// Returns the RPC client of the owner, or `None` if no owner is known.
    pub(crate) fn client(&self) -> Option<Rc<RpcClient>> {
        self.client.borrow().clone()
    }

    /// Returns a time on the owner's clock that is not later than `at`, a recent time on this
    /// daemon's clock; `None` if the owner has not answered yet.
    pub(crate) fn owner_time(&self, at: MonotonicMillis) -> Option<OwnerTime> {
        let (reading, read_at) = self.reading.get()?;
        let (after_ms, before_ms) = (at.since(read_at).get(), read_at.since(at).get());
        let drift_ms = (after_ms + before_ms).div_ceil(CLOCK_DRIFT_DIVISOR);
        let clock_ms = reading.clock_ms.saturating_add(after_ms);
        Some(OwnerTime {
            epoch: reading.epoch,
            clock_ms: clock_ms.saturating_sub(before_ms.saturating_add(drift_ms)),
        })
    }

    /// Returns whether `member` is the last known owner of the shard.
    pub(crate) fn is_owner(&self, member: &str) -> bool {
        *self.member.borrow() == member
    }

    /// Returns whether a takeover may be in progress: the shard has no owner, or its owner is so
    /// new that it may still be reading the records.
    pub(crate) fn is_changing(&self) -> bool {
        self.vacant.get() || now().since(self.changed_at.get()).get() < OWNER_CONTACT_MS
    }

    /// Records the owner's name in the group, which begins with its address.
    fn set(&self, member: &str) {
        if *self.member.borrow() == member {
            return;
        }
        member.clone_into(&mut self.member.borrow_mut());
        self.reading.set(None);
        self.confirmed_epoch.set(None);
        self.changed_at.set(now());
        let address = member.split('/').next().and_then(|text| text.parse().ok());
        log::info!(owner = member; "new owner of the shard");
        *self.client.borrow_mut() =
            address.map(|address| Rc::new(RpcClient::new(address, RPC_PATH, RPC_CONNECT_TIMEOUT)));
    }
}

/// Tracks the owner by pinging it, and fetches its configuration, which may be later than the
/// store's if this daemon can't reach the store. Claims the shard if it has no owner.
///
/// Only the owner stays in the owners' group, so that the store assigns the shard to no other
/// daemon while the owner is alive. Another daemon joins only after it has claimed the ownerless
/// shard.
pub(crate) async fn track<P: FleetPlatform>(daemon: Rc<FleetDaemon<P>>) {
    let mut store = daemon.platform.store();
    let mut owner_ever_reached = false;
    let mut vacant_reads = 0;
    let mut claims_end = None;
    loop {
        if ping(&daemon).await {
            owner_ever_reached = true;
            vacant_reads = 0;
            daemon.shard_claimed.set(false);
            // A request that could not be forwarded triggers the next ping early.
            let _ = timeout(PING_INTERVAL, daemon.recheck_owner.notified()).await;
            continue;
        }
        match read_vacancy(&daemon, &mut store).await {
            Some(true) => {
                if vacant_reads == 0 {
                    claims_end = read_claims_end(&mut store).await;
                }
                vacant_reads += 1;
            }
            Some(false) => {
                vacant_reads = 0;
                daemon.shard_claimed.set(false);
                // The store has the owner that answered: a later epoch was never given out.
                if let Some(epoch) = daemon.owner_view.confirmed_epoch.take() {
                    daemon.latest_epoch.set(epoch);
                }
            }
            None => vacant_reads = 0,
        }
        let required_reads = match owner_ever_reached {
            true => VACANT_READS_BEFORE_CLAIM,
            false => 1,
        };
        if vacant_reads >= required_reads && !daemon.shard_claimed.get() {
            sleep(claim_delay(&daemon.settings)).await;
            let still_vacant = read_vacancy(&daemon, &mut store).await == Some(true);
            match claims_end.filter(|_| still_vacant) {
                Some(end) if claim(&daemon, &mut store, end).await => {
                    log::info!(claims = end; "the shard has no owner; claimed it, joining the owners' group");
                    daemon.shard_claimed.set(true);
                    daemon.claim_made.notify_one();
                }
                // Another daemon has claimed the shard, or the store did not answer: read again.
                _ => vacant_reads = 0,
            }
        }
        sleep(VACANCY_INTERVAL).await;
    }
}

/// Reads from the store whether the shard has no owner; records the owner if it has one. Returns
/// `None` if the read fails.
pub(crate) async fn read_vacancy<P: FleetPlatform>(
    daemon: &FleetDaemon<P>,
    store: &mut P::Store,
) -> Option<bool> {
    match store.partition_owners(OWNERS_GROUP).await {
        Ok(rows) => {
            let owns_shard =
                |row: &&PartitionOwner| row.partition == SHARD_PARTITION && !row.member.is_empty();
            let owner_row = rows.iter().find(owns_shard);
            daemon.owner_view.vacant.set(owner_row.is_none());
            if let Some(row) = owner_row {
                daemon.owner_view.set(&row.member);
            }
            Some(owner_row.is_none())
        }
        Err(error) => {
            daemon.owner_view.vacant.set(false);
            log::debug!(error = error.to_string(); "reading the shard's owner from the store failed");
            None
        }
    }
}

/// Returns the end offset of the claims, or `None` if the read fails.
async fn read_claims_end<S: MetadataStore>(store: &mut S) -> Option<u64> {
    let mut claims = LatestRows::default();
    match store.read_latest(Keyspace::Claims, &mut claims).await {
        Ok(()) => claims.next_offset,
        Err(error) => {
            log::debug!(error = error.to_string(); "reading the claims of the shard failed");
            None
        }
    }
}

/// Claims the shard unless another daemon has claimed it since the claims ended at offset `end`. Of
/// all daemons that find the shard without an owner, only one thus joins the group: each further
/// one would move the shard once more.
async fn claim<P: FleetPlatform>(daemon: &FleetDaemon<P>, store: &mut P::Store, end: u64) -> bool {
    let row = (CLAIM_KEY.to_owned(), daemon.member.clone().into_bytes());
    let timeout_ms = u64::try_from(APPEND_TIMEOUT.as_millis()).unwrap_or(u64::MAX);
    let condition = AppendCondition::EndOffset(end);
    match store
        .append(Keyspace::Claims, condition, &[row], timeout_ms)
        .await
    {
        Ok(()) => true,
        Err(error) => {
            log::info!(claims = end, error = error.to_string(); "claiming the shard failed; checking again whether it has an owner");
            false
        }
    }
}

/// Returns the delay before this daemon's claim of the shard: a pseudorandom part that depends on
/// its name, and a part that makes daemons with little CPU leave the shard to larger ones.
fn claim_delay(settings: &FleetSettings) -> Duration {
    let mut random = SplitMix::new(settings.daemon_name.bytes().fold(0, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV1A_64_PRIME)
    }));
    let missing = OWNER_CPU_MILLIS.saturating_sub(settings.cpu_millis);
    let small_ms = SMALL_DAEMON_DELAY_MS * missing / OWNER_CPU_MILLIS;
    Duration::from_millis(small_ms + random.below(CLAIM_JITTER_MS))
}

/// Pings the owner. Returns true if it has the latest known epoch and the store has confirmed it
/// recently, or if this daemon is the owner.
async fn ping<P: FleetPlatform>(daemon: &Rc<FleetDaemon<P>>) -> bool {
    if daemon.active_ownership().is_some() {
        return true;
    }
    let Some(client) = daemon.owner_view.client() else {
        return false;
    };
    let last_reading = daemon.owner_view.reading.get();
    let request = FleetRequest::Ping {
        zone: daemon.settings.zone.clone(),
        cpu_millis: daemon.settings.cpu_millis,
        epoch: daemon.latest_epoch.get(),
        owner_clock_ms: last_reading.map_or(0, |(reading, _)| reading.clock_ms),
        evacuations: daemon.evacuation_version(),
    };
    daemon.owner_view.confirmed_epoch.set(None);
    match client
        .call(&OutgoingCall::internal(&request), PING_TIMEOUT)
        .await
    {
        Ok(FleetAnswer::Pong {
            epoch,
            config_version,
            clock_ms,
            unconfirmed_ms,
            may_send_orders,
            evacuations,
        }) => {
            let reading = OwnerTime { epoch, clock_ms };
            daemon.owner_view.reading.set(Some((reading, now())));
            let latest = daemon.latest_epoch.get();
            daemon.latest_epoch.set(latest.max(epoch));
            if epoch >= latest && may_send_orders {
                daemon.owner_seen_at.set(Some(now()));
            }
            let known = daemon.config().map_or(0, |config| config.version);
            match config_version {
                later if later > known => fetch_config(daemon, &client, known).await,
                earlier if earlier < known => offer_config(daemon, &client).await,
                _ => {}
            }
            exchange_evacuations(daemon, &client, evacuations).await;
            let is_confirmed = unconfirmed_ms <= daemon.settings.member_ttl_ms;
            let confirmed_epoch = is_confirmed.then_some(epoch);
            daemon.owner_view.confirmed_epoch.set(confirmed_epoch);
            epoch >= latest && is_confirmed
        }
        Ok(_) => false,
        Err(error) => {
            log::debug!(error = error.to_string(); "pinging the owner failed");
            false
        }
    }
}

/// Fetches the owner's configuration, which is later than version `known`, and activates it.
async fn fetch_config<P: FleetPlatform>(
    daemon: &Rc<FleetDaemon<P>>,
    client: &RpcClient,
    known: u64,
) {
    let request = FleetRequest::Config(known);
    let raw = match client
        .call(&OutgoingCall::internal(&request), RPC_TIMEOUT)
        .await
    {
        Ok(FleetAnswer::Config(raw)) if !raw.is_empty() => raw,
        Ok(_) => return,
        Err(error) => {
            log::debug!(error = error.to_string(); "fetching the owner's configuration failed");
            return;
        }
    };
    daemon.adopt_raw_config(raw, "owner");
}

/// Brings the owner and this daemon to the same knowledge of evacuated zones. One of them may be unable
/// to read the operator's records.
async fn exchange_evacuations<P: FleetPlatform>(
    daemon: &FleetDaemon<P>,
    client: &RpcClient,
    owners: Option<EvacuationVersion>,
) {
    let own = daemon.evacuation_version();
    let request = match (own, owners) {
        (Some(own), Some(owners)) if own.lacks_change_of(&owners) => FleetRequest::Evacuations,
        (None, Some(_)) => FleetRequest::Evacuations,
        (Some(own), Some(owners)) if !owners.lacks_change_of(&own) => return,
        (Some(_), _) => {
            let known = daemon.evacuated_zones.borrow().clone().unwrap_or_default();
            FleetRequest::OfferEvacuations(known)
        }
        (None, None) => return,
    };
    let call = OutgoingCall::internal(&request);
    let sent_at = now();
    match client.call(&call, RPC_TIMEOUT).await {
        Ok(FleetAnswer::Evacuations(Some(zones))) => {
            let age_ms = owners.map_or(0, |owners| owners.age_ms);
            daemon.adopt_evacuated_zones(&zones, before(sent_at, age_ms), "owner");
        }
        Ok(_) => {}
        Err(error) => {
            log::debug!(error = error.to_string(); "exchanging the evacuated zones with the owner failed");
        }
    }
}

/// Gives the owner this daemon's configuration, which is later than its own. The owner may have
/// started while the store could not be read.
async fn offer_config<P: FleetPlatform>(daemon: &FleetDaemon<P>, client: &RpcClient) {
    let Some(raw) = daemon.raw_config() else {
        return;
    };
    let request = FleetRequest::OfferConfig(raw);
    let call = OutgoingCall::internal(&request);
    if let Err(error) = client.call::<_, FleetAnswer>(&call, RPC_TIMEOUT).await {
        log::debug!(error = error.to_string(); "offering the owner a configuration failed");
    }
}
