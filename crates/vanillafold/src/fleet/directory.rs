//! Who owns the shard, as a daemon that does not knows it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use monoio::time::{sleep, timeout};
use vanillafold_policy::{MonotonicMillis, SplitMix};
use vanillafold_wire::RpcClient;

use super::config::OperatorRecord;
use super::hub::Fleet;
use super::message::{FleetAnswer, FleetRequest};
use super::platform::{
    AppendGuard, FleetPlatform, KeyedRow, Keyspace, MetadataStore, Newest, Ownership,
};
use super::settings::{
    APPEND_TIMEOUT, CALL_CONNECT_TIMEOUT, CALL_TIMEOUT, FleetSettings, OWNER_CONTACT_MS,
    OWNER_CPU_MILLIS, OWNERS_GROUP, PING_INTERVAL, PING_TIMEOUT, SHARD_PARTITION, VACANCY_INTERVAL,
    VACANT_READS,
};
use super::time::now;

/// The prime of the FNV-1a hash with 64 bits.
const TURN_HASH_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Daemons spread their tries to become the owner over this time, in milliseconds: several calls of
/// the store, so that most see the first one's claim before they send their own.
const TURN_RANGE_MS: u64 = 60;

/// A daemon without any processor would wait for so much longer, in milliseconds: twice the time in
/// which a larger one, started at the same moment, finds the shard without an owner and joins.
const SMALL_TURN_MS: u64 = 1_500;

/// The key of the newest claim of the shard.
const CLAIM_KEY: &str = "shard-0";

/// The owner that is known.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    owner: RefCell<Option<Rc<RpcClient>>>,
    member: RefCell<String>,
    /// The owner's clock at its last answer, in milliseconds.
    seen_ms: Cell<u64>,
    /// The group was last seen without an owner.
    vacant: Cell<bool>,
    /// When the owner last changed.
    changed_at: Cell<MonotonicMillis>,
}

impl Directory {
    /// How to call the owner; `None` if none is known.
    pub(crate) fn owner(&self) -> Option<Rc<RpcClient>> {
        self.owner.borrow().clone()
    }

    /// Whether this member owns the shard, as far as is known.
    pub(crate) fn is(&self, member: &str) -> bool {
        *self.member.borrow() == member
    }

    /// Whether an owner is awaited: there is none, or it has come so lately that it may still be
    /// reading the records.
    pub(crate) fn is_changing(&self) -> bool {
        self.vacant.get() || now().since(self.changed_at.get()).get() < OWNER_CONTACT_MS
    }

    fn set(&self, member: &str) {
        if *self.member.borrow() == member {
            return;
        }
        member.clone_into(&mut self.member.borrow_mut());
        self.seen_ms.set(0);
        self.changed_at.set(now());
        let address = member.split('/').next().and_then(|text| text.parse().ok());
        log::info!(owner = member; "the shard has this owner");
        *self.owner.borrow_mut() =
            address.map(|address| Rc::new(RpcClient::new(address, CALL_CONNECT_TIMEOUT)));
    }
}

/// Keeps track of the owner, and of its configuration where the store can't be reached.
///
/// Only the owner stays in the owners' group, so that the group gives the shard to nobody else
/// while it lives. The others join once the group has nobody who holds the shard.
pub(crate) async fn keep<P: FleetPlatform>(fleet: Rc<Fleet<P>>) {
    let mut store = fleet.platform.store();
    let mut ever_known = false;
    let mut vacant_reads = 0;
    let mut claims_end = None;
    loop {
        if ping(&fleet).await {
            ever_known = true;
            vacant_reads = 0;
            fleet.vacant.set(false);
            // A call that fails is a reason to look sooner.
            let _ = timeout(PING_INTERVAL, fleet.owner_doubtful.notified()).await;
            continue;
        }
        match is_vacant(&fleet, &mut store).await {
            Some(true) => {
                if vacant_reads == 0 {
                    claims_end = read_claims_end(&mut store).await;
                }
                vacant_reads += 1;
            }
            Some(false) => {
                vacant_reads = 0;
                fleet.vacant.set(false);
            }
            None => vacant_reads = 0,
        }
        let enough = match ever_known {
            true => VACANT_READS,
            false => 1,
        };
        if vacant_reads >= enough && !fleet.vacant.get() {
            sleep(turn(&fleet.settings)).await;
            let still_vacant = is_vacant(&fleet, &mut store).await == Some(true);
            match claims_end.filter(|_| still_vacant) {
                Some(end) if claim(&fleet, &mut store, end).await => {
                    log::info!(claims = end; "the shard has no owner: taking it");
                    fleet.vacant.set(true);
                    fleet.vacancy.notify_one();
                }
                // Another one has claimed it, or the store does not say: look again.
                _ => vacant_reads = 0,
            }
        }
        sleep(VACANCY_INTERVAL).await;
    }
}

/// Whether nobody holds the shard, or `None` if the store does not say; an owner that is found is
/// taken note of.
pub(crate) async fn is_vacant<P: FleetPlatform>(
    fleet: &Fleet<P>,
    store: &mut P::Store,
) -> Option<bool> {
    match store.owners(OWNERS_GROUP).await {
        Ok(rows) => {
            let holds =
                |row: &&Ownership| row.partition == SHARD_PARTITION && !row.member.is_empty();
            let holder = rows.iter().find(holds);
            fleet.directory.vacant.set(holder.is_none());
            if let Some(row) = holder {
                fleet.directory.set(&row.member);
            }
            Some(holder.is_none())
        }
        Err(error) => {
            fleet.directory.vacant.set(false);
            log::debug!(error = error.to_string(); "owners not read");
            None
        }
    }
}

/// Where the claims end, or `None` if the store does not say.
async fn read_claims_end<S: MetadataStore>(store: &mut S) -> Option<u64> {
    let mut claims = Newest::default();
    match store.newest(Keyspace::Claims, &mut claims).await {
        Ok(()) => claims.end,
        Err(error) => {
            log::debug!(error = error.to_string(); "claims not read");
            None
        }
    }
}

/// Claims the shard, unless another daemon has since the claims ended at `end`: of all that find it
/// without an owner, one joins the group. Each more that joins would move the shard once more.
async fn claim<P: FleetPlatform>(fleet: &Fleet<P>, store: &mut P::Store, end: u64) -> bool {
    let row = (CLAIM_KEY.to_owned(), fleet.member.clone().into_bytes());
    let limit_ms = u64::try_from(APPEND_TIMEOUT.as_millis()).unwrap_or(u64::MAX);
    let guard = AppendGuard::End(end);
    match store
        .append(Keyspace::Claims, guard, &[row], limit_ms)
        .await
    {
        Ok(()) => true,
        Err(error) => {
            log::info!(claims = end, error = error.to_string(); "the shard was not claimed");
            false
        }
    }
}

/// How long a daemon waits before it tries to become the owner. Small ones leave it to others.
fn turn(settings: &FleetSettings) -> Duration {
    let mut random = SplitMix::new(settings.daemon.bytes().fold(0, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(TURN_HASH_PRIME)
    }));
    let missing = OWNER_CPU_MILLIS.saturating_sub(settings.cpu_millis);
    let small_ms = SMALL_TURN_MS * missing / OWNER_CPU_MILLIS;
    Duration::from_millis(small_ms + random.below(TURN_RANGE_MS))
}

/// Asks the owner whether it is there and in touch with the store; true if it is.
async fn ping<P: FleetPlatform>(fleet: &Rc<Fleet<P>>) -> bool {
    if fleet.open_office().is_some() {
        return true;
    }
    let Some(owner) = fleet.directory.owner() else {
        return false;
    };
    let request = FleetRequest::Ping {
        zone: fleet.settings.zone.clone(),
        cpu_millis: fleet.settings.cpu_millis,
        epoch: fleet.latest_epoch.get(),
        seen_ms: fleet.directory.seen_ms.get(),
    };
    match owner.call(&request, PING_TIMEOUT).await {
        Ok(FleetAnswer::Pong {
            epoch,
            config_version,
            clock_ms,
            unconfirmed_ms,
            acting,
        }) => {
            fleet.directory.seen_ms.set(clock_ms);
            let latest = fleet.latest_epoch.get();
            fleet.latest_epoch.set(latest.max(epoch));
            if epoch >= latest && acting {
                fleet.owner_heard_at.set(Some(now()));
            }
            let known = fleet.config().map_or(0, |config| config.version);
            if config_version > known {
                fetch_config(fleet, &owner, known).await;
            }
            epoch >= latest && unconfirmed_ms <= fleet.settings.member_ttl_ms
        }
        Ok(_) => false,
        Err(error) => {
            log::debug!(error = error.to_string(); "the owner does not answer");
            false
        }
    }
}

async fn fetch_config<P: FleetPlatform>(fleet: &Rc<Fleet<P>>, owner: &RpcClient, known: u64) {
    let request = FleetRequest::Config(known);
    let raw = match owner.call(&request, CALL_TIMEOUT).await {
        Ok(FleetAnswer::Config(raw)) if !raw.is_empty() => raw,
        Ok(_) => return,
        Err(error) => {
            log::debug!(error = error.to_string(); "configuration not fetched");
            return;
        }
    };
    let row = KeyedRow {
        key: super::follow::CONFIG_KEY.to_owned(),
        value: raw,
    };
    match fleet.platform.operator_record(&row) {
        Ok(Some(OperatorRecord::Config(config))) => {
            fleet.adopt_config(*config, row.value, "owner");
        }
        Ok(_) => {}
        Err(error) => log::warn!(error = error; "configuration from the owner can't be read"),
    }
}
