//! The fleet daemon: state shared by its tasks, start and stop, and its answers to other daemons.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::net::{ListenerOpts, TcpListener};
use monoio::time::{sleep, timeout};
use vanillafold_policy::{ARRIVAL_TICK_MS, ArrivalClock, MonotonicMillis};
use vanillafold_wire::{Latch, Notify, RpcHandler, serve_rpcs};

use super::config::{FleetConfig, OperatorRecord};
use super::connection::CallerConnection;
use super::evacuation::{EvacuatedZones, EvacuationVersion};
use super::ignored::IgnoredInput;
use super::message::{FleetAnswer, FleetRequest, IncomingCall, RPC_PATH};
use super::owner::OwnerView;
use super::ownership::ShardOwnership;
use super::platform::{FleetPlatform, KeyedRow};
use super::settings::{FleetSettings, OWNER_CONTACT_MS, OWNER_CPU_MILLIS};
use super::time::{now, unix_ms};
use super::{membership, operator, owner};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;
/// Time that a stopping daemon may take to hand the shard over, if it owns the shard, and to leave
/// the owners' group.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a stopping daemon that has left the owners' group serves on before it waits for
/// requests in flight. The platform's load balancer notices that the daemon is not ready within two
/// health checks, a second apart; until then callers must not see a refused connection.
const UNREADY_GRACE: Duration = Duration::from_millis(2_500);
/// Time that requests in flight may take after [`UNREADY_GRACE`].
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for sending the answers to requests that are given up after [`DRAIN_TIMEOUT`]. Together
/// with the times before, a stop takes less than the 6 s after which the platform kills a process.
const FINAL_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two checks whether requests are in flight, and before a failed accept is repeated.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Error of [`FleetDaemon::start`]: an address can't be listened on.
#[derive(Debug, thiserror::Error)]
#[error("can't listen on {address} for connections of {purpose}: {source}")]
pub struct FleetStartError {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Who connects to the address, for the error text.
    pub purpose: &'static str,
    /// Error of the operating system.
    pub source: io::Error,
}

/// The parsed configuration and the record's value that it was parsed from.
#[derive(Debug, Clone)]
pub(crate) struct ActiveConfig {
    pub(crate) config: Rc<FleetConfig>,
    pub(crate) raw: Rc<Vec<u8>>,
}

/// A daemon of the fleet. It may own the shard; otherwise it forwards requests to the owner.
#[derive(Debug)]
pub struct FleetDaemon<P: FleetPlatform> {
    pub(crate) platform: P,
    pub(crate) settings: FleetSettings,
    /// Name in the owners' group: the address for other daemons, the daemon's name and the
    /// wall-clock time of its start in milliseconds, separated by slashes.
    pub(crate) member: String,
    /// The active configuration; `None` until one has been read.
    pub(crate) config: RefCell<Option<ActiveConfig>>,
    /// Maintenance waves that have been read from the store.
    pub(crate) waves: RefCell<Vec<vanillafold_jobs::Wave>>,
    /// Records of the operator that can't be read.
    pub(crate) ignored_operator_records: RefCell<IgnoredInput>,
    /// The zones that the operator evacuates; `None` until that has been read, or another daemon has
    /// told it.
    pub(crate) evacuated_zones: RefCell<Option<EvacuatedZones>>,
    /// When the newest read of the operator's records that succeeded was sent, by this daemon or by the
    /// one that has told it the evacuated zones.
    pub(crate) evacuations_read_at: Cell<MonotonicMillis>,
    /// This daemon's ownership of the shard, if it has one, including one that is still being
    /// opened.
    pub(crate) ownership: RefCell<Option<Rc<ShardOwnership<P>>>>,
    pub(crate) owner_view: OwnerView,
    /// Time of the last answer from an owner that sends orders, or of this daemon's last takeover.
    pub(crate) owner_seen_at: Cell<Option<MonotonicMillis>>,
    /// Latest time, on this daemon's clock, at which a daemon of another zone was surely alive. It
    /// is the clock reading of an answer of this daemon that the other one has sent back in a later
    /// ping.
    pub(crate) other_zone_seen_at: Cell<MonotonicMillis>,
    /// Latest epoch of an ownership, of any daemon, that this daemon knows of. Other daemons tell it;
    /// the store's answers bound it.
    pub(crate) latest_epoch: Cell<u64>,
    /// Epoch of this process's last ownership.
    pub(crate) last_epoch: Cell<u64>,
    /// Time at which the last join was sent that the store answered, and so confirmed the
    /// membership.
    pub(crate) confirmed_at: Cell<MonotonicMillis>,
    /// Whether the daemon is stopping and must not be sent new requests.
    pub(crate) draining: Cell<bool>,
    /// Last result of [`is_ready`](Self::is_ready), for which a change is logged.
    ready: Cell<bool>,
    /// Set when the daemon stops: ends the task that joins the owners' group.
    pub(crate) leaving: Latch,
    /// Set when the daemon answers its requests in flight at once, because it is about to exit.
    pub(crate) exiting: Latch,
    pub(crate) arrival_clock: RefCell<ArrivalClock>,
    pub(crate) in_flight: Cell<usize>,
    /// Notified when a request could not be forwarded: the owner may have changed and must be
    /// checked before the next ping is due.
    pub(crate) recheck_owner: Notify,
    /// Whether this daemon has claimed the ownerless shard and should join the owners' group.
    pub(crate) shard_claimed: Cell<bool>,
    /// Notified when `shard_claimed` is set.
    pub(crate) claim_made: Notify,
    /// Notified when the membership in the owners' group should be confirmed at once.
    pub(crate) join_wanted: Notify,
    /// Whether a daemon with enough CPU for an owner has sent an RPC, while this one has less.
    pub(crate) larger_daemon_seen: Cell<bool>,
}

impl<P: FleetPlatform> FleetDaemon<P> {
    /// Creates a daemon on a platform; [`start`](Self::start) starts its tasks.
    #[must_use]
    pub fn new(platform: P, settings: FleetSettings) -> Rc<Self> {
        let member = format!(
            "{}/{}/{}",
            settings.peer_address,
            settings.daemon_name,
            unix_ms()
        );
        Rc::new(Self {
            platform,
            settings,
            member,
            config: RefCell::new(None),
            waves: RefCell::new(Vec::new()),
            ignored_operator_records: RefCell::new(IgnoredInput::new("record of the operator")),
            evacuated_zones: RefCell::new(None),
            evacuations_read_at: Cell::new(MonotonicMillis::ZERO),
            ownership: RefCell::new(None),
            owner_view: OwnerView::default(),
            owner_seen_at: Cell::new(None),
            other_zone_seen_at: Cell::new(MonotonicMillis::ZERO),
            latest_epoch: Cell::new(0),
            last_epoch: Cell::new(0),
            confirmed_at: Cell::new(MonotonicMillis::ZERO),
            draining: Cell::new(false),
            ready: Cell::new(false),
            leaving: Latch::default(),
            exiting: Latch::default(),
            arrival_clock: RefCell::new(ArrivalClock::new(now())),
            in_flight: Cell::new(0),
            recheck_owner: Notify::default(),
            shard_claimed: Cell::new(false),
            claim_made: Notify::default(),
            join_wanted: Notify::default(),
            larger_daemon_seen: Cell::new(false),
        })
    }

    /// Spawns the daemon's tasks on the current monoio runtime, which needs an enabled timer.
    ///
    /// # Errors
    ///
    /// Returns a [`FleetStartError`] if the address for other daemons can't be listened on.
    pub fn start(self: &Rc<Self>) -> Result<(), FleetStartError> {
        let listener = listen(self.settings.peer_address, "other daemons")?;
        monoio::spawn(accept_rpcs(Rc::clone(self), listener));
        monoio::spawn(membership::maintain(Rc::clone(self)));
        monoio::spawn(operator::read_records(Rc::clone(self)));
        monoio::spawn(owner::track(Rc::clone(self)));
        monoio::spawn(run_arrival_clock(Rc::clone(self)));
        Ok(())
    }

    /// Returns the active configuration, or `None` if none has been read yet.
    #[must_use]
    pub fn config(&self) -> Option<Rc<FleetConfig>> {
        let config = self.config.borrow();
        config.as_ref().map(|config| Rc::clone(&config.config))
    }

    /// Returns whether callers should send requests to this daemon: it is not stopping, has a
    /// configuration, and reaches an owner that sends orders or is that owner.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let owner = match self.active_ownership() {
            Some(ownership) => ownership.may_send_orders(),
            None => self.owner_seen_at.get().is_some_and(is_recent),
        };
        let ready = !self.draining.get() && self.config.borrow().is_some() && owner;
        if self.ready.replace(ready) != ready {
            log::info!(
                ready = ready, draining = self.draining.get(), owner = owner,
                configured = self.config.borrow().is_some();
                "readiness changed"
            );
        }
        ready
    }

    /// Returns whether the daemon reaches no owner that sends orders, although no takeover is in
    /// progress. Callers are then better served by daemons of other zones.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        match (self.active_ownership(), self.owner_seen_at.get()) {
            (Some(ownership), _) => !ownership.may_send_orders(),
            (None, Some(seen_at)) => !is_recent(seen_at) && !self.owner_view.is_changing(),
            // The daemon has just started and has not reached an owner yet.
            (None, None) => false,
        }
    }

    /// Returns whether the daemon is stopping.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Counts a request as in flight until the returned guard is dropped.
    #[must_use]
    pub fn begin_request(self: &Rc<Self>) -> RequestGuard<P> {
        self.in_flight.set(self.in_flight.get() + 1);
        RequestGuard(Rc::clone(self))
    }

    /// Notes that no caller's connection can be accepted, so that connections wait.
    pub fn accept_failed(&self) {
        self.arrival_clock.borrow_mut().accept_failed(now());
    }

    /// Begins to serve a caller's connection that is accepted now.
    #[must_use]
    pub fn begin_connection(self: &Rc<Self>) -> CallerConnection<P> {
        CallerConnection::new(Rc::clone(self))
    }

    /// Returns the daemon's ownership if the takeover is complete and the ownership has not ended.
    pub(crate) fn active_ownership(&self) -> Option<Rc<ShardOwnership<P>>> {
        let ownership = self.ownership.borrow();
        ownership
            .as_ref()
            .filter(|ownership| ownership.is_open())
            .cloned()
    }

    /// Activates a configuration if its version is later than that of the active one.
    pub(crate) fn adopt_config(&self, mut config: FleetConfig, raw: Vec<u8>, source: &str) {
        let active = self.config();
        let known = active.as_ref().map(|config| config.version);
        if known.is_some_and(|known| known >= config.version) {
            return;
        }
        if let Some(active) = &active {
            config.catalogue.remember_removed(&active.catalogue);
        }
        log::info!(
            version = config.version, before = known.unwrap_or(0), routes = config.routes.len(),
            source = source;
            "new configuration activated"
        );
        let config = Rc::new(config);
        *self.config.borrow_mut() = Some(ActiveConfig {
            config: Rc::clone(&config),
            raw: Rc::new(raw),
        });
        if let Some(ownership) = self.active_ownership() {
            ownership.set_catalogue(&config);
        }
    }

    /// Activates a configuration that another daemon has sent, as [`adopt_config`](Self::adopt_config)
    /// does.
    pub(crate) fn adopt_raw_config(&self, raw: Vec<u8>, source: &str) {
        let row = KeyedRow {
            key: operator::CONFIG_KEY.to_owned(),
            value: raw,
        };
        match self.platform.operator_record(&row) {
            Ok(Some(OperatorRecord::Config(config))) => {
                self.adopt_config(*config, row.value, source);
            }
            Ok(_) => {}
            Err(error) => {
                log::warn!(error = error, source = source; "malformed configuration of another daemon ignored");
            }
        }
    }

    /// Returns the value of the active configuration's record.
    pub(crate) fn raw_config(&self) -> Option<Vec<u8>> {
        let config = self.config.borrow();
        config.as_ref().map(|config| config.raw.as_ref().clone())
    }

    /// Sets the evacuated zones, of a read of the operator's records that was sent at `read_at`, unless
    /// later ones are known. Tells the shard, if this daemon owns it.
    pub(crate) fn adopt_evacuated_zones(
        &self,
        later: &EvacuatedZones,
        read_at: MonotonicMillis,
        source: &str,
    ) {
        let mut known = self.evacuated_zones.borrow_mut();
        let is_changed = match known.as_mut() {
            Some(known) => known.replace(later),
            None => {
                *known = Some(later.clone());
                !later.zones().is_empty()
            }
        };
        drop(known);
        self.evacuations_read(is_changed, read_at, source);
    }

    /// Notes that the evacuated zones are those of a read of the operator's records that was sent at
    /// `read_at`.
    pub(crate) fn evacuations_read(
        &self,
        is_changed: bool,
        read_at: MonotonicMillis,
        source: &str,
    ) {
        self.evacuations_read_at
            .set(self.evacuations_read_at.get().max(read_at));
        if is_changed {
            let known = self.evacuated_zones.borrow();
            let zones = known.as_ref().map_or(&[][..], |known| known.zones());
            log::info!(zones = zones.join(", "), source = source; "evacuated zones changed");
        }
        if let Some(ownership) = self.active_ownership() {
            ownership.update_evacuated_zones(is_changed);
        }
    }

    /// Returns what this daemon knows of evacuated zones, without the zones.
    pub(crate) fn evacuation_version(&self) -> Option<EvacuationVersion> {
        let age_ms = now().since(self.evacuations_read_at.get()).get();
        let known = self.evacuated_zones.borrow();
        known.as_ref().map(|known| known.version(age_ms))
    }

    /// Takes note of what another daemon knows of evacuated zones. If this one lacks no change, what it
    /// knows is as new as the other's last read.
    /// The other has sent it after `sent_after`; it may have been on its way for long.
    fn compare_evacuations(&self, other: Option<EvacuationVersion>, sent_after: MonotonicMillis) {
        if let (Some(own), Some(other)) = (self.evacuation_version(), other)
            && !own.lacks_change_of(&other)
        {
            self.evacuations_read(false, before(sent_after, other.age_ms), "daemon");
        }
    }

    /// Stops the daemon: hands the shard over, gives callers time to move to other daemons, and
    /// waits for requests in flight. Those that take too long are answered as undecided, so that no
    /// caller sees its connection close without an answer.
    pub async fn stop(&self) {
        log::info!(under_way = self.in_flight.get(); "stopping");
        self.draining.set(true);
        self.leaving.set();
        if timeout(LEAVE_TIMEOUT, membership::leave(self))
            .await
            .is_err()
        {
            log::warn!(
                "leaving the owners' group timed out; if this daemon owned the shard, the next owner takes over once the membership expires"
            );
        }
        sleep(UNREADY_GRACE).await;
        let is_drained = timeout(DRAIN_TIMEOUT, self.drained()).await.is_ok();
        self.exiting.set();
        let is_answered = timeout(FINAL_ANSWER_TIMEOUT, self.drained()).await.is_ok();
        log::info!(whole = is_drained, answered = is_answered, under_way = self.in_flight.get(); "stopped");
    }

    /// Waits until no request is in flight.
    async fn drained(&self) {
        while self.in_flight.get() > 0 {
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }

    /// Answers an RPC of another daemon.
    async fn answer_rpc(self: &Rc<Self>, call: IncomingCall) -> FleetAnswer {
        let IncomingCall {
            received_at,
            latest_epoch,
            delivery,
            request,
        } = call;
        self.latest_epoch
            .set(self.latest_epoch.get().max(latest_epoch));
        if let FleetRequest::Ping {
            zone,
            cpu_millis,
            epoch,
            owner_clock_ms,
            evacuations,
        } = &request
        {
            // The sender returns a reading of this clock, which can't be in the future.
            let seen_at = MonotonicMillis::new(*owner_clock_ms).min(now());
            self.compare_evacuations(*evacuations, seen_at);
            if self.settings.cpu_millis < OWNER_CPU_MILLIS && *cpu_millis >= OWNER_CPU_MILLIS {
                self.larger_daemon_seen.set(true);
            }
            if *zone != self.settings.zone && seen_at > self.other_zone_seen_at.get() {
                self.other_zone_seen_at.set(seen_at);
            }
            self.latest_epoch.set(self.latest_epoch.get().max(*epoch));
        }
        match (self.active_ownership(), request) {
            (_, FleetRequest::Config(version)) => self.config_after(version),
            (_, FleetRequest::OfferConfig(raw)) => {
                self.adopt_raw_config(raw, "daemon");
                FleetAnswer::Config(Vec::new())
            }
            (_, FleetRequest::Evacuations) => {
                FleetAnswer::Evacuations(self.evacuated_zones.borrow().clone())
            }
            (_, FleetRequest::OfferEvacuations(zones)) => {
                // The offer may have been on its way for long; the next ping tells how new it is.
                self.adopt_evacuated_zones(&zones, MonotonicMillis::ZERO, "daemon");
                FleetAnswer::Evacuations(None)
            }
            (Some(ownership), FleetRequest::Ping { .. }) => FleetAnswer::Pong {
                epoch: ownership.epoch().get(),
                config_version: self.config().map_or(0, |config| config.version),
                clock_ms: now().get(),
                unconfirmed_ms: now().since(self.confirmed_at.get()).get(),
                may_send_orders: ownership.may_send_orders(),
                evacuations: self.evacuation_version(),
            },
            (Some(ownership), request) => ownership.answer(request, received_at, delivery).await,
            (None, _) => FleetAnswer::NotOwner,
        }
    }

    /// Returns the active configuration's record if its version is later than `version`.
    fn config_after(&self, version: u64) -> FleetAnswer {
        let config = self.config.borrow();
        let later = config
            .as_ref()
            .filter(|config| config.config.version > version);
        FleetAnswer::Config(later.map_or(Vec::new(), |config| config.raw.as_ref().clone()))
    }
}

/// Returns the time `ms` before `at`.
pub(crate) const fn before(at: MonotonicMillis, ms: u64) -> MonotonicMillis {
    MonotonicMillis::new(at.get().saturating_sub(ms))
}

/// Returns whether an owner that answered at that time still counts as reachable.
fn is_recent(seen_at: MonotonicMillis) -> bool {
    now().since(seen_at).get() < OWNER_CONTACT_MS
}

/// Guard that counts a request as in flight while it lives.
#[derive(Debug)]
pub struct RequestGuard<P: FleetPlatform>(Rc<FleetDaemon<P>>);

impl<P: FleetPlatform> Drop for RequestGuard<P> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

async fn run_arrival_clock<P: FleetPlatform>(daemon: Rc<FleetDaemon<P>>) {
    loop {
        sleep(Duration::from_millis(ARRIVAL_TICK_MS)).await;
        daemon.arrival_clock.borrow_mut().tick(now());
    }
}

/// Answers the RPCs of other daemons.
struct PeerRpcHandler<P: FleetPlatform>(Rc<FleetDaemon<P>>);

impl<P: FleetPlatform> RpcHandler for PeerRpcHandler<P> {
    const PATH: &'static str = RPC_PATH;

    type Request = IncomingCall;
    type Answer = FleetAnswer;

    async fn answer(&self, call: IncomingCall) -> Option<FleetAnswer> {
        Some(self.0.answer_rpc(call).await)
    }
}

async fn accept_rpcs<P: FleetPlatform>(daemon: Rc<FleetDaemon<P>>, listener: TcpListener) {
    let handler = Rc::new(PeerRpcHandler(daemon));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                monoio::spawn(serve_rpcs(stream, Rc::clone(&handler)));
            }
            Err(error) => {
                log::warn!(error = error.to_string(); "accepting a connection of another daemon failed; retrying");
                sleep(DRAIN_CHECK_INTERVAL).await;
            }
        }
    }
}

/// Binds a listener whose backlog is [`BACKLOG`].
pub(crate) fn listen(
    address: SocketAddr,
    purpose: &'static str,
) -> Result<TcpListener, FleetStartError> {
    let options = ListenerOpts::new()
        .reuse_port(false)
        .reuse_addr(true)
        .backlog(BACKLOG);
    TcpListener::bind_with_config(address, &options).map_err(|source| FleetStartError {
        address,
        purpose,
        source,
    })
}
