//! The state that all tasks of a daemon share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::SystemTime;

use http::header::HeaderValue;
use monoio::time::Instant;
use vanillafold_policy::{DaemonMember, MonotonicMillis, SplitMix};
use vanillafold_state::{BootMillis, ClaimRecord, ClaimTable, Escrow, State, WithRevision};
use vanillafold_types::{DaemonId, Incarnation, Millis, RequestId, ZoneId};

use vanillafold_wire::{BootClock, PeerHandle};

use super::in_flight::{InFlight, InFlightGuard};
use super::routes::{Fleet, Routes};
use crate::append::RecordWriter;
use crate::counter::Counters;
use crate::follow::Inventory;
use crate::limit::escrow_settings;
use crate::peer::PeerLoads;
use crate::recover::Recovery;
use crate::settings::Settings;
use crate::wait::Latch;

/// The state of one daemon: settings, folded log, routes, escrow, claims and stop signals.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) counters: Counters,
    /// Set when a stop is announced: answers then ask their callers to connect to another daemon.
    pub(crate) draining: Latch,
    /// Set when no new requests are accepted from callers any more.
    pub(crate) closing: Latch,
    /// Set when the supervised tasks must end.
    pub(crate) shutdown: Latch,
    /// The state that the records of both streams of the log add up to.
    pub(crate) state: RefCell<State>,
    /// The queues, pools and teams of the catalogue with their runtime state.
    pub(crate) routes: RefCell<Routes>,
    /// The evacuated zones of which the log has told operators, sorted.
    pub(super) logged_evacuations: RefCell<Vec<WithRevision<ZoneId>>>,
    /// The VMs in the platform's list.
    pub(crate) inventory: RefCell<Inventory>,
    /// The number of requests that the peers have outstanding at each VM.
    pub(crate) peer_loads: RefCell<PeerLoads>,
    /// Peers that have reconnected and need a report of all loads.
    pub(crate) reconnected: RefCell<Vec<DaemonId>>,
    /// The units of the teams' limits that this daemon may use.
    pub(crate) escrow: Rc<RefCell<Escrow>>,
    /// Queues this daemon's records until they are written to the log.
    pub(crate) writer: RecordWriter,
    /// Snapshots of the state, and what peers get while the platform is unavailable.
    pub(crate) recovery: Recovery,
    /// Set when the log shows a later incarnation of this daemon.
    pub(crate) superseded: Latch,
    /// The claims that this daemon stores as one of their owners.
    pub(crate) claims: RefCell<ClaimTable>,
    /// The connections to the other daemons; `None` until the peer protocol has started.
    pub(crate) peers: RefCell<Option<PeerHandle>>,
    /// Number of open caller connections.
    pub(crate) open_connections: Cell<u32>,
    /// Random numbers for sampling and jitter.
    pub(crate) rng: RefCell<SplitMix>,
    /// The daemon's name as the value of an answer's header.
    pub(crate) daemon_header: HeaderValue,
    /// The incarnation of the daemon that this process is: the microseconds since the Unix epoch at
    /// its start.
    pub(crate) incarnation: Incarnation,
    /// Accepted requests that have not ended.
    pub(crate) requests: InFlight,
    pub(super) fleet: Fleet,
    pub(super) catalogue_caught_up: Cell<bool>,
    pub(super) join_submitted: Cell<bool>,
    pub(super) is_first_incarnation: Cell<bool>,
    /// Whether another process has used this daemon's name and incarnation.
    pub(super) shares_identity: Cell<bool>,
    pub(super) control_caught_up: Cell<bool>,
    started: Instant,
    /// When this process started.
    pub(super) started_at: BootMillis,
    pub(super) freshness: Cell<Freshness>,
    request_number: Cell<u64>,
    claim_number: Cell<u64>,
}

/// For each stream, when the last read began that reached its end.
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
        let started_at = BootMillis::new(BootClock::now().get());
        let window_ms = settings.timeouts.claim_window_ms;
        let claims = ClaimTable::new(window_ms, started_at.get() + window_ms.get());
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
            draining: Latch::new(),
            closing: Latch::new(),
            shutdown: Latch::new(),
            state: RefCell::new(State::new()),
            routes: RefCell::default(),
            logged_evacuations: RefCell::default(),
            inventory: RefCell::default(),
            peer_loads: RefCell::default(),
            reconnected: RefCell::default(),
            claims: RefCell::new(claims),
            escrow: Rc::new(RefCell::new(escrow)),
            writer,
            recovery: Recovery::default(),
            superseded: Latch::new(),
            freshness: Cell::default(),
            peers: RefCell::default(),
            open_connections: Cell::new(0),
            rng: RefCell::new(SplitMix::new(incarnation.get())),
            daemon_header,
            incarnation,
            requests: InFlight::new(),
            catalogue_caught_up: Cell::new(false),
            join_submitted: Cell::new(false),
            is_first_incarnation: Cell::new(false),
            shares_identity: Cell::new(false),
            control_caught_up: Cell::new(false),
            started: Instant::now(),
            started_at,
            request_number: Cell::new(0),
            claim_number: Cell::new(0),
        })
    }

    // --- Time and names --------------------------------------------------------------------

    /// Returns the time since the daemon started.
    pub(crate) fn now(&self) -> MonotonicMillis {
        let since: Millis = self.started.elapsed().into();
        MonotonicMillis::new(since.get())
    }

    /// Returns a new id for a request that came without one.
    pub(crate) fn new_request_id(&self) -> RequestId {
        let number = self.request_number.get() + 1;
        self.request_number.set(number);
        let text = format!("{:x}-{number:x}", self.incarnation.get());
        match text.parse() {
            Ok(id) => id,
            Err(error) => unreachable!("two hexadecimal numbers form a valid request id: {error}"),
        }
    }

    /// Returns a number for a claim that this incarnation has not used before.
    pub(crate) fn next_claim_number(&self) -> u64 {
        let number = self.claim_number.get() + 1;
        self.claim_number.set(number);
        number
    }

    /// Returns the milliseconds since the VM booted, including time in which it was suspended.
    pub(crate) fn boot_ms(&self) -> u64 {
        BootClock::now().get()
    }

    /// Returns [`Node::boot_ms`] in the type that the escrow uses.
    pub(crate) fn boot_time(&self) -> BootMillis {
        BootMillis::new(self.boot_ms())
    }

    /// Merges claims that another owner has stored.
    pub(crate) fn merge_claims(&self, records: &[ClaimRecord]) {
        let now_ms = self.boot_ms();
        let mut claims = self.claims.borrow_mut();
        for record in records {
            claims.merge(*record, now_ms);
        }
    }

    /// Returns all daemons of the fleet, this one included, sorted by name.
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
