//! The daemon: what its tasks share, and how it starts and stops.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::net::{ListenerOpts, TcpListener};
use monoio::time::{sleep, timeout};
use vanillafold_policy::MonotonicMillis;
use vanillafold_wire::{Latch, Notify, RpcHandler, serve_rpcs};

use super::config::FleetConfig;
use super::directory::Directory;
use super::message::{FleetAnswer, FleetRequest};
use super::office::Office;
use super::platform::FleetPlatform;
use super::settings::{FleetSettings, OWNER_CONTACT_MS, OWNER_CPU_MILLIS};
use super::time::{now, unix_ms};
use super::{directory, follow, membership};

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;
/// How long the shard's owner may take to hand it over at a stop.
const LEAVE_LIMIT: Duration = Duration::from_millis(1_500);
/// How long after the order to stop new connections may still come: the platform's balancer
/// notices within two of its checks, a second apart, and callers see no cut meanwhile.
const NOTICE: Duration = Duration::from_millis(2_500);
/// How long requests under way may take after that.
const DRAIN_LIMIT: Duration = Duration::from_millis(1_500);
/// Between two looks whether requests are under way.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Why a daemon did not start.
#[derive(Debug, thiserror::Error)]
#[error("can't listen on {address} for {purpose}: {source}")]
pub struct FleetError {
    /// The address.
    pub address: SocketAddr,
    /// What it is for.
    pub purpose: &'static str,
    /// What the system said.
    pub source: io::Error,
}

/// A configuration and the record that it was read from.
#[derive(Debug, Clone)]
pub(crate) struct ConfigInForce {
    pub(crate) config: Rc<FleetConfig>,
    pub(crate) raw: Rc<Vec<u8>>,
}

/// The daemon.
#[derive(Debug)]
pub struct Fleet<P: FleetPlatform> {
    pub(crate) platform: P,
    pub(crate) settings: FleetSettings,
    /// The name in the owners' group: address, daemon, start.
    pub(crate) member: String,
    pub(crate) config: RefCell<Option<ConfigInForce>>,
    pub(crate) waves: RefCell<Vec<vanillafold_jobs::Wave>>,
    pub(crate) office: RefCell<Option<Rc<Office<P>>>>,
    pub(crate) directory: Directory,
    pub(crate) owner_heard_at: Cell<Option<MonotonicMillis>>,
    /// At this time, on this daemon's clock, a daemon of another zone was surely there.
    pub(crate) other_zone_at: Cell<MonotonicMillis>,
    pub(crate) latest_epoch: Cell<u64>,
    /// The epoch of the last ownership of this process.
    pub(crate) last_epoch: Cell<u64>,
    /// When the store last confirmed what this daemon holds.
    pub(crate) confirmed_at: Cell<MonotonicMillis>,
    pub(crate) draining: Cell<bool>,
    ready: Cell<bool>,
    pub(crate) leaving: Latch,
    pub(crate) in_flight: Cell<usize>,
    /// The owner may have changed.
    pub(crate) owner_doubtful: Notify,
    /// The shard has no owner: this daemon should try to become it.
    pub(crate) vacant: Cell<bool>,
    pub(crate) vacancy: Notify,
    /// A daemon with enough processor for an owner is there, and this one has less.
    pub(crate) larger_daemon: Cell<bool>,
}

impl<P: FleetPlatform> Fleet<P> {
    /// A daemon on a platform.
    #[must_use]
    pub fn new(platform: P, settings: FleetSettings) -> Rc<Self> {
        let member = format!("{}/{}/{}", settings.peers, settings.daemon, unix_ms());
        Rc::new(Self {
            platform,
            settings,
            member,
            config: RefCell::new(None),
            waves: RefCell::new(Vec::new()),
            office: RefCell::new(None),
            directory: Directory::default(),
            owner_heard_at: Cell::new(None),
            other_zone_at: Cell::new(MonotonicMillis::ZERO),
            latest_epoch: Cell::new(0),
            last_epoch: Cell::new(0),
            confirmed_at: Cell::new(MonotonicMillis::ZERO),
            draining: Cell::new(false),
            ready: Cell::new(false),
            leaving: Latch::default(),
            in_flight: Cell::new(0),
            owner_doubtful: Notify::default(),
            vacant: Cell::new(false),
            vacancy: Notify::default(),
            larger_daemon: Cell::new(false),
        })
    }

    /// Starts the tasks. Needs a running monoio runtime with a timer.
    ///
    /// # Errors
    ///
    /// [`FleetError`] if the address for other daemons can't be listened on.
    pub fn start(self: &Rc<Self>) -> Result<(), FleetError> {
        let listener = listen(self.settings.peers, "other daemons")?;
        monoio::spawn(accept_calls(Rc::clone(self), listener));
        monoio::spawn(membership::keep(Rc::clone(self)));
        monoio::spawn(follow::operator(Rc::clone(self)));
        monoio::spawn(directory::keep(Rc::clone(self)));
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
        let owner = match self.open_office() {
            Some(office) => office.may_order(),
            None => self.owner_heard_at.get().is_some_and(is_recent),
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
        match (self.open_office(), self.owner_heard_at.get()) {
            (Some(office), _) => !office.may_order(),
            (None, Some(heard_at)) => !is_recent(heard_at) && !self.directory.is_changing(),
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
    pub fn begin_request(self: &Rc<Self>) -> UnderWay<P> {
        self.in_flight.set(self.in_flight.get() + 1);
        UnderWay(Rc::clone(self))
    }

    pub(crate) fn open_office(&self) -> Option<Rc<Office<P>>> {
        let office = self.office.borrow();
        office.as_ref().filter(|office| office.is_open()).cloned()
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
        *self.config.borrow_mut() = Some(ConfigInForce {
            config: Rc::clone(&config),
            raw: Rc::new(raw),
        });
        if let Some(office) = self.open_office() {
            office.set_catalogue(&config);
        }
    }

    /// Stops: gives the shard away, lets callers go elsewhere, waits for requests under way.
    pub async fn stop(&self) {
        log::info!(under_way = self.in_flight.get(); "stopping");
        self.draining.set(true);
        self.leaving.set();
        if timeout(LEAVE_LIMIT, membership::leave(self)).await.is_err() {
            log::warn!("the owners' group was not left: another owner follows later");
        }
        sleep(NOTICE).await;
        let drained = async {
            while self.in_flight.get() > 0 {
                sleep(DRAIN_POLL).await;
            }
        };
        let whole = timeout(DRAIN_LIMIT, drained).await.is_ok();
        log::info!(whole = whole, under_way = self.in_flight.get(); "stopped");
    }

    async fn answer_call(self: &Rc<Self>, request: FleetRequest) -> FleetAnswer {
        if let FleetRequest::Ping {
            zone,
            cpu_millis,
            epoch,
            seen_ms,
        } = &request
        {
            if self.settings.cpu_millis < OWNER_CPU_MILLIS && *cpu_millis >= OWNER_CPU_MILLIS {
                self.larger_daemon.set(true);
            }
            let seen_at = MonotonicMillis::new(*seen_ms).min(now());
            if *zone != self.settings.zone && seen_at > self.other_zone_at.get() {
                self.other_zone_at.set(seen_at);
            }
            self.latest_epoch.set(self.latest_epoch.get().max(*epoch));
        }
        match (self.open_office(), request) {
            (_, FleetRequest::Config(version)) => self.config_after(version),
            (Some(office), FleetRequest::Ping { .. }) => FleetAnswer::Pong {
                epoch: office.epoch().get(),
                config_version: self.config().map_or(0, |config| config.version),
                clock_ms: now().get(),
                unconfirmed_ms: now().since(self.confirmed_at.get()).get(),
                acting: office.may_order(),
            },
            (Some(office), request) => office.answer(request).await,
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
pub struct UnderWay<P: FleetPlatform>(Rc<Fleet<P>>);

impl<P: FleetPlatform> Drop for UnderWay<P> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

struct Answers<P: FleetPlatform>(Rc<Fleet<P>>);

impl<P: FleetPlatform> RpcHandler for Answers<P> {
    type Request = FleetRequest;
    type Answer = FleetAnswer;

    async fn answer(&self, request: FleetRequest) -> Option<FleetAnswer> {
        Some(self.0.answer_call(request).await)
    }
}

async fn accept_calls<P: FleetPlatform>(fleet: Rc<Fleet<P>>, listener: TcpListener) {
    let handler = Rc::new(Answers(fleet));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                monoio::spawn(serve_rpcs(stream, Rc::clone(&handler)));
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
) -> Result<TcpListener, FleetError> {
    let options = ListenerOpts::new()
        .reuse_port(false)
        .reuse_addr(true)
        .backlog(BACKLOG);
    TcpListener::bind_with_config(address, &options).map_err(|source| FleetError {
        address,
        purpose,
        source,
    })
}
