//! The daemon's shared data.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::SystemTime;

use http::header::HeaderValue;
use monoio::time::Instant;
use vanillafold_policy::{DaemonMember, MonotonicMillis, SplitMix};
use vanillafold_state::{ClaimTable, KeyRefusal, State, Stream};
use vanillafold_types::{DaemonId, Incarnation, Millis, RequestId, ResultCode, TeamId};

use vanillafold_wire::{BootClock, PeerHandle};

use super::in_flight::{InFlight, InFlightGuard};
use super::routes::{Fleet, Routes};
use super::{QueueRuntime, TeamRuntime};
use crate::counter::Counters;
use crate::follow::{Inventory, TouchedPools};
use crate::peer::LoadBook;
use crate::settings::Settings;
use crate::wait::Shutdown;

/// What one daemon knows and holds.
pub(crate) struct Node {
    /// Its settings.
    pub(crate) settings: Settings,
    /// Its counters.
    pub(crate) counters: Counters,
    /// The announcement of a stop: answers ask their callers to connect elsewhere.
    pub(crate) draining: Shutdown,
    /// The order to stop: nothing new is taken.
    pub(crate) shutdown: Shutdown,
    /// The folded log.
    pub(crate) state: RefCell<State>,
    /// The catalogue as the request path uses it.
    pub(crate) routes: RefCell<Routes>,
    /// The VMs that the platform's list has shown.
    pub(crate) inventory: RefCell<Inventory>,
    /// What the peers have outstanding at each VM.
    pub(crate) loads: RefCell<LoadBook>,
    /// Peers that have come back and must be told everything.
    pub(crate) reconnected: RefCell<Vec<DaemonId>>,
    /// The claims that this daemon keeps as an owner.
    pub(crate) claims: RefCell<ClaimTable>,
    /// The way to the other daemons, once it is open.
    pub(crate) peers: RefCell<Option<PeerHandle>>,
    /// Caller connections open now.
    pub(crate) open_connections: Cell<u32>,
    /// Random numbers for sampling and jitter.
    pub(crate) rng: RefCell<SplitMix>,
    /// The daemon's name as answers carry it.
    pub(crate) daemon_header: HeaderValue,
    /// Which start of the daemon this is.
    pub(crate) incarnation: Incarnation,
    /// Requests that have not ended.
    pub(crate) requests: InFlight,
    fleet: Fleet,
    catalogue_read: Cell<bool>,
    control_read: Cell<bool>,
    started: Instant,
    request_number: Cell<u64>,
    claim_number: Cell<u64>,
}

impl Node {
    pub(crate) fn new(settings: Settings, counters: Counters) -> Rc<Self> {
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let incarnation = u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX);
        let daemon_header = HeaderValue::from_str(settings.name.as_str())
            .unwrap_or_else(|_| HeaderValue::from_static("unknown"));
        let started_ms = BootClock::now().get();
        let window_ms = settings.timeouts.claim_window_ms;
        let mut claims = ClaimTable::new(window_ms, started_ms + window_ms.get());
        // An earlier incarnation is not known of yet: the roster of the control stream will tell.
        claims.set_complete();
        Rc::new(Self {
            fleet: fleet(&settings),
            settings,
            counters,
            draining: Shutdown::new(),
            shutdown: Shutdown::new(),
            state: RefCell::new(State::new()),
            routes: RefCell::default(),
            inventory: RefCell::default(),
            loads: RefCell::default(),
            reconnected: RefCell::default(),
            claims: RefCell::new(claims),
            peers: RefCell::default(),
            open_connections: Cell::new(0),
            rng: RefCell::new(SplitMix::new(incarnation)),
            daemon_header,
            incarnation: Incarnation::new(incarnation),
            requests: InFlight::new(),
            catalogue_read: Cell::new(false),
            control_read: Cell::new(false),
            started: Instant::now(),
            request_number: Cell::new(0),
            claim_number: Cell::new(0),
        })
    }

    // --- Time and names --------------------------------------------------------------------

    /// The time since the daemon started.
    pub(crate) fn now(&self) -> MonotonicMillis {
        let since: Millis = self.started.elapsed().into();
        MonotonicMillis::new(since.get())
    }

    /// An id for a request that came without one.
    pub(crate) fn new_request_id(&self) -> RequestId {
        let number = self.request_number.get() + 1;
        self.request_number.set(number);
        let text = format!("{:x}-{number:x}", self.incarnation.get());
        match text.parse() {
            Ok(id) => id,
            Err(error) => unreachable!("two hexadecimal numbers are an id: {error}"),
        }
    }

    /// A number for a claim, never used twice by this incarnation.
    pub(crate) fn next_claim(&self) -> u64 {
        let number = self.claim_number.get() + 1;
        self.claim_number.set(number);
        number
    }

    /// Milliseconds since the machine started, suspensions counted.
    pub(crate) fn boot_ms(&self) -> u64 {
        BootClock::now().get()
    }

    /// Every daemon of the fleet, sorted by name.
    pub(crate) fn fleet(&self) -> &[DaemonMember] {
        &self.fleet.daemons
    }

    /// Counts a request until the guard is dropped.
    pub(crate) fn in_flight(&self) -> InFlightGuard {
        self.requests.enter()
    }

    // --- Configuration ---------------------------------------------------------------------

    /// Whether the daemon has a configuration to serve by.
    pub(crate) fn is_ready(&self) -> bool {
        self.has_configuration() && !self.draining.is_ordered()
    }

    /// Whether both streams have been read up to their ends.
    fn has_configuration(&self) -> bool {
        self.is_caught_up(Stream::Catalogue) && self.is_caught_up(Stream::Control)
    }

    /// Notes that `stream` has been read up to its present end.
    pub(crate) fn caught_up(&self, stream: Stream) {
        match stream {
            Stream::Catalogue => self.catalogue_read.set(true),
            Stream::Control => self.control_read.set(true),
        }
    }

    /// Whether `stream` has been read up to what was its end once.
    pub(crate) fn is_caught_up(&self, stream: Stream) -> bool {
        match stream {
            Stream::Catalogue => self.catalogue_read.get(),
            Stream::Control => self.control_read.get(),
        }
    }

    /// Brings the request path up to the folded state after records of `stream`.
    pub(crate) fn follow_state(&self, stream: Stream) {
        let pools_changed = self
            .routes
            .borrow_mut()
            .follow(&self.state.borrow(), &self.fleet);
        // Edits of the catalogue are frequent and move no VM.
        if pools_changed || stream == Stream::Control {
            self.follow_inventory(&TouchedPools::All);
        }
    }

    /// Brings the targets of the `touched` pools up to the VM list and the VMs' moves.
    pub(crate) fn follow_inventory(&self, touched: &TouchedPools) {
        if touched.is_empty() {
            return;
        }
        let routes = self.routes.borrow();
        let state = self.state.borrow();
        let mut listed = self.inventory.borrow().members(touched, &state);
        for pool in &routes.pools {
            if !touched.contains(&pool.id) {
                continue;
            }
            let found = listed.binary_search_by(|members| members.pool.cmp(&pool.id));
            let members = match found {
                Ok(index) => std::mem::take(&mut listed[index].members),
                Err(_) => Vec::new(),
            };
            pool.table.borrow_mut().set_members(members);
            pool.waiters.wake_first();
        }
    }

    /// The queue called `id`.
    ///
    /// # Errors
    ///
    /// [`ResultCode::NotReady`] before there is a configuration, [`ResultCode::UnknownQueue`]
    /// if it has no such queue.
    pub(crate) fn queue(&self, id: &str) -> Result<Rc<QueueRuntime>, ResultCode> {
        let routes = self.routes.borrow();
        match routes.queue(id) {
            Some(queue) => Ok(Rc::clone(queue)),
            None if self.has_configuration() => Err(ResultCode::UnknownQueue),
            None => Err(ResultCode::NotReady),
        }
    }

    /// The team that a request with `key` speaks for; none on an open queue without a key.
    ///
    /// # Errors
    ///
    /// The code of the refusal.
    pub(crate) fn authorize(
        &self,
        queue: &QueueRuntime,
        key: Option<&str>,
    ) -> Result<Option<TeamId>, ResultCode> {
        let key = match key {
            None if queue.settings.open => return Ok(None),
            None => return Err(ResultCode::NoKey),
            Some(key) => key,
        };
        let state = self.state.borrow();
        match state.authenticate(key) {
            Ok(key) if queue.takes(&key.team) => Ok(Some(key.team.clone())),
            Ok(_) => Err(ResultCode::ForeignTeam),
            Err(KeyRefusal::Withdrawn) => Err(ResultCode::WithdrawnKey),
            Err(_) => Err(ResultCode::WrongKey),
        }
    }

    /// The units of a team.
    pub(crate) fn team(&self, id: &TeamId) -> Option<Rc<TeamRuntime>> {
        self.routes.borrow().team(id).cloned()
    }
}

fn fleet(settings: &Settings) -> Fleet {
    let own = DaemonMember {
        daemon: settings.name.clone(),
        zone: settings.zone.clone(),
    };
    let mut daemons: Vec<DaemonMember> = settings
        .peers
        .iter()
        .map(|peer| DaemonMember {
            daemon: peer.name.clone(),
            zone: peer.zone.clone(),
        })
        .collect();
    daemons.push(own.clone());
    daemons.sort_by(|a, b| a.daemon.cmp(&b.daemon));
    Fleet { own, daemons }
}
