//! The daemon: what its tasks share, and how it starts and stops.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::net::{ListenerOpts, TcpListener};
use monoio::time::{sleep, timeout};
use vanillafold_policy::MonotonicMillis;
use vanillafold_wire::{CallHandler, Notice, Signal, serve_calls};

use super::config::FleetConfig;
use super::message::{FleetAnswer, FleetRequest};
use super::owner::OwnerView;
use super::ownership::ShardOwnership;
use super::platform::FleetPlatform;
use super::settings::{FleetSettings, OWNER_CONTACT_MS, OWNER_CPU_MILLIS};
use super::time::{now, unix_ms};
use super::{membership, operator, owner};

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;
/// How long the shard's owner may take to hand it over at a stop.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long after the order to stop new connections may still come: the platform's balancer
/// notices within two of its checks, a second apart, and callers see no cut meanwhile.
const UNREADY_GRACE: Duration = Duration::from_millis(2_500);
/// How long requests under way may take after that.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Between two looks whether requests are under way.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Why a daemon did not start.
#[derive(Debug, thiserror::Error)]
#[error("can't listen on {address} for {purpose}: {source}")]
pub struct FleetStartError {
    /// The address.
    pub address: SocketAddr,
    /// What it is for.
    pub purpose: &'static str,
    /// What the system said.
    pub source: io::Error,
}

/// A configuration and the record that it was read from.
#[derive(Debug, Clone)]
pub(crate) struct ActiveConfig {
    pub(crate) config: Rc<FleetConfig>,
    pub(crate) raw: Rc<Vec<u8>>,
}

/// The daemon.
#[derive(Debug)]
pub struct FleetDaemon<P: FleetPlatform> {
    pub(crate) platform: P,
    pub(crate) settings: FleetSettings,
    /// The name in the owners' group: address, daemon, start.
    pub(crate) member: String,
    pub(crate) config: RefCell<Option<ActiveConfig>>,
    pub(crate) waves: RefCell<Vec<vanillafold_jobs::Wave>>,
    pub(crate) ownership: RefCell<Option<Rc<ShardOwnership<P>>>>,
    pub(crate) owner_view: OwnerView,
    pub(crate) owner_seen_at: Cell<Option<MonotonicMillis>>,
    /// At this time, on this daemon's clock, a daemon of another zone was surely there.
    pub(crate) other_zone_seen_at: Cell<MonotonicMillis>,
    pub(crate) latest_epoch: Cell<u64>,
    /// The epoch of the last ownership of this process.
    pub(crate) last_epoch: Cell<u64>,
    /// When the store last confirmed what this daemon holds.
    pub(crate) confirmed_at: Cell<MonotonicMillis>,
    pub(crate) draining: Cell<bool>,
    ready: Cell<bool>,
    pub(crate) leaving: Signal,
    pub(crate) in_flight: Cell<usize>,
    /// The owner may have changed.
    pub(crate) owner_suspect: Notice,
    /// The shard has no owner: this daemon should try to become it.
    pub(crate) vacant: Cell<bool>,
    pub(crate) vacancy: Notice,
    /// A daemon with enough processor for an owner is there, and this one has less.
    pub(crate) larger_daemon_seen: Cell<bool>,
}

impl<P: FleetPlatform> FleetDaemon<P> {
    /// A daemon on a platform.
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
            ownership: RefCell::new(None),
            owner_view: OwnerView::default(),
            owner_seen_at: Cell::new(None),
            other_zone_seen_at: Cell::new(MonotonicMillis::ZERO),
            latest_epoch: Cell::new(0),
            last_epoch: Cell::new(0),
            confirmed_at: Cell::new(MonotonicMillis::ZERO),
            draining: Cell::new(false),
            ready: Cell::new(false),
            leaving: Signal::default(),
            in_flight: Cell::new(0),
            owner_suspect: Notice::default(),
            vacant: Cell::new(false),
            vacancy: Notice::default(),
            larger_daemon_seen: Cell::new(false),
        })
    }

    /// Starts the tasks. Needs a running monoio runtime with a timer.
    ///
    /// # Errors
    ///
    /// [`FleetStartError`] if the address for other daemons can't be listened on.
    pub fn start(self: &Rc<Self>) -> Result<(), FleetStartError> {
        let listener = listen(self.settings.peer_address, "other daemons")?;
        monoio::spawn(accept_calls(Rc::clone(self), listener));
        monoio::spawn(membership::keep(Rc::clone(self)));
        monoio::spawn(operator::follow(Rc::clone(self)));
        monoio::spawn(owner::keep(Rc::clone(self)));
        Ok(())
    }

    /// The configuration in force; `None` before the first.
    #[must_use]
    pub fn config(&self) -> Option<Rc<FleetConfig>> {
        let config = self.config.borrow();
        config.as_ref().map(|config| Rc::clone(&config.config))
    }

    /// Whether callers should come here.
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

    /// Whether the daemon reaches no owner that acts, although none is about to take over: callers
    /// are better served by daemons of other zones.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        match (self.active_ownership(), self.owner_seen_at.get()) {
            (Some(ownership), _) => !ownership.may_send_orders(),
            (None, Some(heard_at)) => !is_recent(heard_at) && !self.owner_view.is_changing(),
            // It has just started.
            (None, None) => false,
        }
    }

    /// Whether the daemon stops.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Counts a request as under way until the guard is dropped.
    #[must_use]
    pub fn begin_request(self: &Rc<Self>) -> RequestGuard<P> {
        self.in_flight.set(self.in_flight.get() + 1);
        RequestGuard(Rc::clone(self))
    }

    pub(crate) fn active_ownership(&self) -> Option<Rc<ShardOwnership<P>>> {
        let ownership = self.ownership.borrow();
        ownership
            .as_ref()
            .filter(|ownership| ownership.is_open())
            .cloned()
    }

    /// Takes in a configuration; one that is not later is passed over.
    pub(crate) fn adopt_config(&self, config: FleetConfig, raw: Vec<u8>, source: &str) {
        let known = self.config().map(|config| config.version);
        if known.is_some_and(|known| known >= config.version) {
            return;
        }
        log::info!(
            version = config.version, before = known.unwrap_or(0), routes = config.routes.len(),
            source = source;
            "configuration in force"
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

    /// Stops: gives the shard away, lets callers go elsewhere, waits for requests under way.
    pub async fn stop(&self) {
        log::info!(under_way = self.in_flight.get(); "stopping");
        self.draining.set(true);
        self.leaving.raise();
        if timeout(LEAVE_TIMEOUT, membership::leave(self))
            .await
            .is_err()
        {
            log::warn!("the owners' group was not left: another owner follows later");
        }
        sleep(UNREADY_GRACE).await;
        let drained = async {
            while self.in_flight.get() > 0 {
                sleep(DRAIN_POLL).await;
            }
        };
        let whole = timeout(DRAIN_TIMEOUT, drained).await.is_ok();
        log::info!(whole = whole, under_way = self.in_flight.get(); "stopped");
    }

    async fn answer_call(self: &Rc<Self>, request: FleetRequest) -> FleetAnswer {
        if let FleetRequest::Ping {
            zone,
            cpu_millis,
            epoch,
            owner_clock_ms,
        } = &request
        {
            if self.settings.cpu_millis < OWNER_CPU_MILLIS && *cpu_millis >= OWNER_CPU_MILLIS {
                self.larger_daemon_seen.set(true);
            }
            let seen_at = MonotonicMillis::new(*owner_clock_ms).min(now());
            if *zone != self.settings.zone && seen_at > self.other_zone_seen_at.get() {
                self.other_zone_seen_at.set(seen_at);
            }
            self.latest_epoch.set(self.latest_epoch.get().max(*epoch));
        }
        match (self.active_ownership(), request) {
            (_, FleetRequest::Config(version)) => self.config_after(version),
            (Some(ownership), FleetRequest::Ping { .. }) => FleetAnswer::Pong {
                epoch: ownership.epoch().get(),
                config_version: self.config().map_or(0, |config| config.version),
                clock_ms: now().get(),
                unconfirmed_ms: now().since(self.confirmed_at.get()).get(),
                acting: ownership.may_send_orders(),
            },
            (Some(ownership), request) => ownership.answer(request).await,
            (None, _) => FleetAnswer::NotOwner,
        }
    }

    fn config_after(&self, version: u64) -> FleetAnswer {
        let config = self.config.borrow();
        let later = config
            .as_ref()
            .filter(|config| config.config.version > version);
        FleetAnswer::Config(later.map_or(Vec::new(), |config| config.raw.as_ref().clone()))
    }
}

/// Whether an owner that was heard at that time still counts as there.
fn is_recent(heard_at: MonotonicMillis) -> bool {
    now().since(heard_at).get() < OWNER_CONTACT_MS
}

/// A request that is under way.
#[derive(Debug)]
pub struct RequestGuard<P: FleetPlatform>(Rc<FleetDaemon<P>>);

impl<P: FleetPlatform> Drop for RequestGuard<P> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

struct PeerCalls<P: FleetPlatform>(Rc<FleetDaemon<P>>);

impl<P: FleetPlatform> CallHandler for PeerCalls<P> {
    type Request = FleetRequest;
    type Answer = FleetAnswer;

    async fn answer(&self, request: FleetRequest) -> Option<FleetAnswer> {
        Some(self.0.answer_call(request).await)
    }
}

async fn accept_calls<P: FleetPlatform>(daemon: Rc<FleetDaemon<P>>, listener: TcpListener) {
    let handler = Rc::new(PeerCalls(daemon));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                monoio::spawn(serve_calls(stream, Rc::clone(&handler)));
            }
            Err(error) => {
                log::warn!(error = error.to_string(); "a daemon's connection was not accepted");
                sleep(DRAIN_POLL).await;
            }
        }
    }
}

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
