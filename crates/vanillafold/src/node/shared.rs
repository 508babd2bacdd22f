//! The daemon's shared data.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::SystemTime;

use http::header::HeaderValue;
use monoio::time::Instant;
use vanillafold_policy::{DaemonMember, MonotonicMillis, SplitMix};
use vanillafold_state::{
    BootMillis, ClaimRecord, ClaimTable, ControlChange, Escrow, KeyRefusal, SnapshotError, State,
    Stream,
};
use vanillafold_types::{DaemonId, Incarnation, Millis, RequestId, ResultCode, TeamId};

use vanillafold_wire::{BootClock, PeerHandle};

use super::in_flight::{InFlight, InFlightGuard};
use super::routes::{Fleet, Routes};
use super::{QueueRuntime, TeamRuntime};
use crate::append::{Change, RecordWriter};
use crate::counter::Counters;
use crate::follow::{Inventory, TouchedPools};
use crate::limit::escrow_settings;
use crate::peer::{LoadBook, follow_members};
use crate::recover::Recovery;
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
    /// The order to take nothing new from callers.
    pub(crate) closing: Shutdown,
    /// The order to end the duties.
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
    /// The units of the teams' limits that this daemon holds.
    pub(crate) escrow: Rc<RefCell<Escrow>>,
    /// The records that this daemon has yet to write.
    pub(crate) writer: RecordWriter,
    /// Snapshots, and what peers are given while the platform is out.
    pub(crate) recovery: Recovery,
    /// The news that a later start of this daemon counts.
    pub(crate) superseded: Shutdown,
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
    join_submitted: Cell<bool>,
    is_first_start: Cell<bool>,
    control_read: Cell<bool>,
    started: Instant,
    fresh: Cell<Freshness>,
    request_number: Cell<u64>,
    claim_number: Cell<u64>,
}

/// When the reads began that last brought each stream up to its tail.
#[derive(Debug, Clone, Copy, Default)]
struct Freshness {
    catalogue_at: Option<BootMillis>,
    control_at: Option<BootMillis>,
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
        let claims = ClaimTable::new(window_ms, started_ms + window_ms.get());
        let incarnation = Incarnation::new(incarnation);
        let escrow = Escrow::new(
            &settings.name,
            incarnation,
            settings.fleet(),
            escrow_settings(&settings),
        );
        let writer = RecordWriter::new(&settings.name, incarnation);
        Rc::new(Self {
            fleet: fleet(&settings),
            settings,
            counters,
            draining: Shutdown::new(),
            closing: Shutdown::new(),
            shutdown: Shutdown::new(),
            state: RefCell::new(State::new()),
            routes: RefCell::default(),
            inventory: RefCell::default(),
            loads: RefCell::default(),
            reconnected: RefCell::default(),
            claims: RefCell::new(claims),
            escrow: Rc::new(RefCell::new(escrow)),
            writer,
            recovery: Recovery::default(),
            superseded: Shutdown::new(),
            fresh: Cell::default(),
            peers: RefCell::default(),
            open_connections: Cell::new(0),
            rng: RefCell::new(SplitMix::new(incarnation.get())),
            daemon_header,
            incarnation,
            requests: InFlight::new(),
            catalogue_read: Cell::new(false),
            join_submitted: Cell::new(false),
            is_first_start: Cell::new(false),
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

    /// The same as the escrow counts it.
    pub(crate) fn boot_time(&self) -> BootMillis {
        BootMillis::new(self.boot_ms())
    }

    /// Takes over claims that another owner remembers.
    pub(crate) fn take_over_claims(&self, records: &[ClaimRecord]) {
        let now_ms = self.boot_ms();
        let mut claims = self.claims.borrow_mut();
        for record in records {
            claims.take_over(*record, now_ms);
        }
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
    pub(crate) fn has_configuration(&self) -> bool {
        self.is_caught_up(Stream::Catalogue) && self.is_caught_up(Stream::Control)
    }

    /// Notes that `stream` was read up to its end by a read that began at `began_at`.
    pub(crate) fn caught_up(&self, stream: Stream, began_at: BootMillis) {
        let mut fresh = self.fresh.get();
        match stream {
            Stream::Catalogue => {
                self.catalogue_read.set(true);
                fresh.catalogue_at = fresh.catalogue_at.max(Some(began_at));
            }
            Stream::Control => {
                self.control_read.set(true);
                fresh.control_at = fresh.control_at.max(Some(began_at));
                self.join_fleet();
            }
        }
        self.fresh.set(fresh);
        if let (Some(catalogue_at), Some(control_at)) = (fresh.catalogue_at, fresh.control_at) {
            let at = catalogue_at.min(control_at);
            self.escrow.borrow_mut().note_fresh(at);
        }
    }

    /// Notes that records of `stream` that are needed next were dropped: the daemon is not ready
    /// until it has a later state.
    pub(crate) fn lost(&self, stream: Stream) {
        self.recovery.note_dropped(stream);
        match stream {
            Stream::Catalogue => self.catalogue_read.set(false),
            Stream::Control => self.control_read.set(false),
        }
    }

    /// Takes over each stream's part of a state that is later than the present one.
    ///
    /// # Errors
    ///
    /// Those of [`State::adopt`].
    pub(crate) fn adopt(&self, state: State) -> Result<(), SnapshotError> {
        self.state.borrow_mut().adopt(state)?;
        let state = self.state.borrow();
        self.recovery.watch.borrow_mut().note_adopted(
            state.next_offset(Stream::Catalogue),
            state.next_offset(Stream::Control),
            self.boot_time(),
        );
        drop(state);
        self.follow_state(Stream::Control);
        Ok(())
    }

    /// Notes that the state of a peer that is ready was taken over. How fresh it is, records
    /// from peers tell.
    pub(crate) fn started_from_peer(&self) {
        self.catalogue_read.set(true);
        self.control_read.set(true);
        self.join_fleet();
    }

    /// How long ago the read began that last brought `stream` up to its tail.
    pub(crate) fn fresh_age(&self, stream: Stream) -> Option<Millis> {
        let fresh = self.fresh.get();
        let at = match stream {
            Stream::Catalogue => fresh.catalogue_at,
            Stream::Control => fresh.control_at,
        };
        at.map(|at| self.boot_time().since(at))
    }

    /// Announces this start on the log, once.
    fn join_fleet(&self) {
        if self.join_submitted.replace(true) {
            return;
        }
        // A daemon that never joined has no claims that it could have forgotten.
        let known = self
            .state
            .borrow()
            .roster()
            .member(&self.settings.name)
            .is_some();
        self.is_first_start.set(!known);
        let join = ControlChange::Join {
            daemon: self.settings.name.clone(),
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
        };
        self.writer.submit(Change::Control(join));
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
        let pools_changed =
            self.routes
                .borrow_mut()
                .follow(&self.state.borrow(), &self.fleet, &self.escrow);
        if stream == Stream::Control {
            self.follow_roster();
        }
        // Edits of the catalogue are frequent and move no VM.
        if pools_changed || stream == Stream::Control {
            self.follow_inventory(&TouchedPools::All);
        }
    }

    /// Takes over which starts of the daemons count.
    fn follow_roster(&self) {
        let state = self.state.borrow();
        let roster = state.roster();
        self.escrow.borrow_mut().roster(roster, self.boot_time());
        let is_current = roster.is_current(&self.settings.name, self.incarnation);
        if is_current && self.is_first_start.get() {
            self.claims.borrow_mut().set_complete();
        }
    }

    /// Brings the targets of the `touched` pools up to the VM list and the VMs' moves.
    pub(crate) fn follow_inventory(&self, touched: &TouchedPools) {
        if touched.is_empty() {
            return;
        }
        if touched.contains(&self.settings.platform.entry_pool) {
            follow_members(self);
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
            // Half a configuration may have a VM in the wrong pool, or a withdrawn key.
            _ if !self.has_configuration() => Err(ResultCode::NotReady),
            Some(queue) => Ok(Rc::clone(queue)),
            None => Err(ResultCode::UnknownQueue),
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
