//! The daemon's shared data.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::SystemTime;

use http::header::HeaderValue;
use monoio::time::Instant;
use vanillafold_policy::{DaemonMember, MonotonicMillis, SplitMix};
use vanillafold_state::{BootMillis, ClaimRecord, ClaimTable, Escrow, State};
use vanillafold_types::{DaemonId, Incarnation, Millis, RequestId};

use vanillafold_wire::{BootClock, PeerHandle};

use super::in_flight::{InFlight, InFlightGuard};
use super::routes::{Fleet, Routes};
use crate::append::RecordWriter;
use crate::counter::Counters;
use crate::follow::Inventory;
use crate::limit::escrow_settings;
use crate::peer::LoadBook;
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
    pub(super) fleet: Fleet,
    pub(super) catalogue_read: Cell<bool>,
    pub(super) join_submitted: Cell<bool>,
    pub(super) is_first_start: Cell<bool>,
    pub(super) control_read: Cell<bool>,
    started: Instant,
    pub(super) fresh: Cell<Freshness>,
    request_number: Cell<u64>,
    claim_number: Cell<u64>,
}

/// When the reads began that last brought each stream up to its tail.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Freshness {
    pub(super) catalogue_at: Option<BootMillis>,
    pub(super) control_at: Option<BootMillis>,
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
    pub(crate) fn next_claim_number(&self) -> u64 {
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
    pub(crate) fn merge_claims(&self, records: &[ClaimRecord]) {
        let now_ms = self.boot_ms();
        let mut claims = self.claims.borrow_mut();
        for record in records {
            claims.merge(*record, now_ms);
        }
    }

    /// Every daemon of the fleet, sorted by name.
    pub(crate) fn fleet(&self) -> &[DaemonMember] {
        &self.fleet.daemons
    }

    /// Counts a request until the guard is dropped.
    pub(crate) fn track_request(&self) -> InFlightGuard {
        self.requests.enter()
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
