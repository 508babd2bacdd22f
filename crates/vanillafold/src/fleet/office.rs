//! An ownership of the shard: the state machine and the tasks around it.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use local_sync::oneshot;
use monoio::time::{sleep, timeout};
use vanillafold_jobs::{
    AdviceQuery, CancelOutcome, Epoch, JobId, Record, Shard, SubmitOutcome, Wave, WorkerId,
};
use vanillafold_policy::MonotonicMillis;
use vanillafold_wire::{Latch, Notify};

use super::attend::WorkerLink;
use super::config::FleetConfig;
use super::hub::Fleet;
use super::message::{FleetAnswer, FleetRequest};
use super::metric;
use super::platform::{
    AppendError, AppendGuard, FleetPlatform, Keyspace, MetadataStore, Newest, Producer, StoreError,
};
use super::settings::{
    APPEND_TIMEOUT, APPEND_TIMEOUT_MAX, COME_BACK_MS, OWNER_ISOLATION_MS, PASS_GAP, PASS_INTERVAL,
    READ_RETRY, SHARD_PRODUCER, SMALL_OWNER_MS, STORE_PAUSE_MS,
};
use super::time::{now, unix_ms};
use super::{advise, attend, duty, writer};

/// How long the owner waits for what is being written before it hands the shard over.
const FLUSH_POLL: std::time::Duration = std::time::Duration::from_millis(5);

/// What a call waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WaitsFor {
    Description,
    Outcome,
}

#[derive(Debug)]
pub(crate) struct Waiter {
    job: JobId,
    waits_for: WaitsFor,
    tell: oneshot::Sender<FleetAnswer>,
}

/// An ownership of the shard.
#[derive(Debug)]
pub(crate) struct Office<P: FleetPlatform> {
    pub(crate) fleet: Rc<Fleet<P>>,
    epoch: Epoch,
    opened_at: MonotonicMillis,
    pub(crate) shard: RefCell<Option<Shard>>,
    waiters: RefCell<Vec<Waiter>>,
    pub(crate) links: RefCell<Vec<Rc<WorkerLink>>>,
    pub(crate) closed: Latch,
    /// Something has happened that the scheduler should know of.
    pub(crate) events: Notify,
    /// There is something to write.
    pub(crate) to_write: Notify,
    /// Until then the store counts as away.
    pub(crate) store_away_until: Cell<u64>,
    pub(crate) duties: RefCell<Vec<vanillafold_jobs::VmOperation>>,
    pub(crate) to_do: Notify,
    pub(crate) queries: RefCell<VecDeque<AdviceQuery>>,
    /// There are questions about placement.
    pub(crate) to_ask: Notify,
    /// A wave's status may have to be told.
    pub(crate) to_tell: Notify,
}

impl<P: FleetPlatform> Office<P> {
    /// Begins to take the shard over; calls are answered once that is done.
    pub(crate) fn open(fleet: &Rc<Fleet<P>>, epoch: Epoch) -> Rc<Self> {
        log::info!(epoch = epoch.get(); "taking the shard over");
        let office = Rc::new(Self {
            fleet: Rc::clone(fleet),
            epoch,
            opened_at: now(),
            shard: RefCell::new(None),
            waiters: RefCell::new(Vec::new()),
            links: RefCell::new(Vec::new()),
            closed: Latch::default(),
            events: Notify::default(),
            to_write: Notify::default(),
            store_away_until: Cell::new(0),
            duties: RefCell::new(Vec::new()),
            to_do: Notify::default(),
            queries: RefCell::new(VecDeque::new()),
            to_ask: Notify::default(),
            to_tell: Notify::default(),
        });
        monoio::spawn(take_over(Rc::clone(&office)));
        office
    }

    pub(crate) const fn epoch(&self) -> Epoch {
        self.epoch
    }

    pub(crate) fn is_open(&self) -> bool {
        !self.closed.is_set() && self.shard.borrow().is_some()
    }

    /// Whether it has stood for long enough to be handed over.
    pub(crate) fn is_settled(&self) -> bool {
        now().since(self.opened_at).get() >= SMALL_OWNER_MS
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.is_set()
    }

    /// Ends the ownership. Calls that wait are told that nothing is known.
    pub(crate) fn close(&self, reason: &str) {
        if self.closed.is_set() {
            return;
        }
        log::info!(epoch = self.epoch.get(), reason = reason; "ownership of the shard ends");
        metric::ownership_ended();
        self.closed.set();
        for waiter in self.waiters.take() {
            // The call may have been given up meanwhile.
            let _ = waiter.tell.send(FleetAnswer::Undecided);
        }
    }

    /// Writes what is left, then ends the ownership.
    pub(crate) async fn hand_over(&self) {
        let left = || {
            let shard = self.shard.borrow();
            shard.as_ref().is_some_and(Shard::has_records) || !self.waiters.borrow().is_empty()
        };
        let flushed = async {
            while left() && !self.closed.is_set() {
                sleep(FLUSH_POLL).await;
            }
        };
        if timeout(APPEND_TIMEOUT, flushed).await.is_err() {
            log::info!("the shard is handed over with records unwritten");
        }
        self.close("handed over");
    }

    /// Runs `act` on the shard, if the ownership stands.
    pub(crate) fn with<T>(&self, act: impl FnOnce(&mut Shard) -> T) -> Option<T> {
        if self.closed.is_set() {
            return None;
        }
        self.shard.borrow_mut().as_mut().map(act)
    }

    pub(crate) fn set_catalogue(&self, config: &FleetConfig) {
        self.with(|shard| shard.set_catalogue(config.catalogue.clone()));
        self.events.notify_one();
    }

    pub(crate) fn add_wave(&self, wave: Wave) {
        self.with(|shard| shard.add_wave(wave, now()));
        self.events.notify_one();
    }

    // --- Calls -----------------------------------------------------------------------------

    /// Answers a call.
    pub(crate) async fn answer(&self, request: FleetRequest) -> FleetAnswer {
        match request {
            FleetRequest::Submit(id, spec) => self.submit(id, spec).await,
            FleetRequest::Cancel(id) => self.cancel(id).await,
            FleetRequest::State(id) => match self.with(|shard| shard.state(id)) {
                Some(Some(state)) => FleetAnswer::State(state.to_string()),
                Some(None) => self.no_job(),
                None => FleetAnswer::NotOwner,
            },
            FleetRequest::Pending(queue) => self
                .with(|shard| FleetAnswer::Pending(shard.pending(&queue) as u64))
                .unwrap_or(FleetAnswer::NotOwner),
            FleetRequest::Ping { .. } | FleetRequest::Config(_) => FleetAnswer::NotOwner,
        }
    }

    async fn submit(&self, id: JobId, spec: vanillafold_jobs::JobSpec) -> FleetAnswer {
        let known = self.with(|shard| shard.is_known(id)).unwrap_or(false);
        if !known && now().get() < self.store_away_until.get() {
            metric::refusal("store_away");
            log::info!(job = id.to_string(), reason = "store away"; "job refused");
            return FleetAnswer::Refused {
                retry_after_ms: COME_BACK_MS,
                overload: false,
            };
        }
        match self.with(|shard| shard.submit(id, spec, now(), unix_ms())) {
            None => FleetAnswer::NotOwner,
            Some(SubmitOutcome::Stored) => FleetAnswer::Accepted,
            Some(SubmitOutcome::Storing) => self.wait(id, WaitsFor::Description).await,
            Some(SubmitOutcome::Refused { retry_after_ms }) => {
                metric::refusal("load");
                log::info!(job = id.to_string(), retry_after_ms = retry_after_ms, reason = "load"; "job refused");
                FleetAnswer::Refused {
                    retry_after_ms,
                    overload: true,
                }
            }
        }
    }

    async fn cancel(&self, id: JobId) -> FleetAnswer {
        match self.with(|shard| shard.cancel(id, now(), unix_ms())) {
            None => FleetAnswer::NotOwner,
            Some(CancelOutcome::Unknown) => self.no_job(),
            Some(CancelOutcome::Over) => FleetAnswer::Cancelled,
            Some(CancelOutcome::Storing) => {
                self.events.notify_one();
                self.wait(id, WaitsFor::Outcome).await
            }
        }
    }

    /// An owner that the store has not confirmed lately may have a successor that knows the job.
    fn no_job(&self) -> FleetAnswer {
        let unconfirmed_ms = now().since(self.fleet.confirmed_at.get()).get();
        match unconfirmed_ms <= self.fleet.settings.member_ttl_ms {
            true => FleetAnswer::NoJob,
            false => FleetAnswer::NotOwner,
        }
    }

    async fn wait(&self, job: JobId, waits_for: WaitsFor) -> FleetAnswer {
        let (tell, told) = oneshot::channel();
        self.waiters.borrow_mut().push(Waiter {
            job,
            waits_for,
            tell,
        });
        self.to_write.notify_one();
        told.await.unwrap_or(FleetAnswer::Undecided)
    }

    /// Tells the calls that wait for what is stored now.
    pub(crate) fn tell_stored(&self) {
        let mut waiters = self.waiters.borrow_mut();
        let mut at = 0;
        while at < waiters.len() {
            let waiter = &waiters[at];
            let (described, over) = self
                .with(|shard| shard.is_stored(waiter.job))
                .unwrap_or((false, false));
            let answer = match waiter.waits_for {
                WaitsFor::Description if described => FleetAnswer::Accepted,
                WaitsFor::Outcome if over => FleetAnswer::Cancelled,
                _ => {
                    at += 1;
                    continue;
                }
            };
            let waiter = waiters.swap_remove(at);
            if answer == FleetAnswer::Accepted {
                log::info!(job = waiter.job.to_string(), epoch = self.epoch.get(); "job accepted");
            }
            // The call may have been given up meanwhile.
            let _ = waiter.tell.send(answer);
        }
    }

    /// Tells the calls about jobs that were dropped before they were stored.
    pub(crate) fn tell_dropped(&self, dropped: &[JobId]) {
        let mut waiters = self.waiters.borrow_mut();
        let mut at = 0;
        while at < waiters.len() {
            if !dropped.contains(&waiters[at].job) {
                at += 1;
                continue;
            }
            let waiter = waiters.swap_remove(at);
            metric::refusal("store_refused");
            log::info!(job = waiter.job.to_string(), reason = "store refused"; "job refused");
            let answer = match waiter.waits_for {
                WaitsFor::Description => FleetAnswer::Refused {
                    retry_after_ms: COME_BACK_MS,
                    overload: false,
                },
                WaitsFor::Outcome => FleetAnswer::NoJob,
            };
            // The call may have been given up meanwhile.
            let _ = waiter.tell.send(answer);
        }
    }

    pub(crate) fn store_failed(&self) {
        self.store_away_until.set(now().get() + STORE_PAUSE_MS);
        let dropped = self.with(Shard::drop_unwritten).unwrap_or_default();
        self.tell_dropped(&dropped);
    }

    // --- Orders ----------------------------------------------------------------------------

    /// Whether this owner may still give orders: it is confirmed by the store, or the store is
    /// away and daemons of other zones still call.
    pub(crate) fn may_order(&self) -> bool {
        let at = now();
        let unconfirmed_ms = at.since(self.fleet.confirmed_at.get()).get();
        let other_zone_ms = at.since(self.fleet.other_zone_at.get()).get();
        let superseded = self.fleet.latest_epoch.get() > self.epoch.get();
        unconfirmed_ms < OWNER_ISOLATION_MS || (!superseded && other_zone_ms < OWNER_ISOLATION_MS)
    }

    /// Lets the scheduler run and sends what it gives out.
    fn pass(self: &Rc<Self>) {
        if !self.may_order() {
            return;
        }
        self.with(|shard| shard.schedule(now(), unix_ms()));
        let fenced = self.with(|shard| shard.is_fenced()).unwrap_or(false);
        if fenced {
            self.close("a later owner gives orders");
            return;
        }
        let orders = self.with(Shard::take_orders).unwrap_or_default();
        for (worker, order) in orders {
            if let Some(link) = self.link(&worker) {
                link.push(order);
            }
        }
        let duties = self.with(Shard::take_vm_operations).unwrap_or_default();
        if !duties.is_empty() {
            self.duties.borrow_mut().extend(duties);
            self.to_do.notify_one();
        }
        let queries = self.with(Shard::take_queries).unwrap_or_default();
        if !queries.is_empty() {
            self.queries.borrow_mut().extend(queries);
            self.to_ask.notify_one();
        }
        if self
            .with(|shard| shard.next_wave_status().is_some())
            .unwrap_or(false)
        {
            self.to_tell.notify_one();
        }
        if self.with(|shard| shard.has_records()).unwrap_or(false) {
            self.to_write.notify_one();
        }
        attend::keep_links(self);
    }

    pub(crate) fn link(&self, id: &WorkerId) -> Option<Rc<WorkerLink>> {
        let links = self.links.borrow();
        let at = links.binary_search_by(|link| link.id.cmp(id)).ok()?;
        Some(Rc::clone(&links[at]))
    }
}

/// Fences earlier owners, reads the records, then starts the tasks of the ownership.
async fn take_over<P: FleetPlatform>(office: Rc<Office<P>>) {
    let loaded = office.closed.run_until_set(load(&office)).await;
    let newest = match loaded {
        Some(Ok(newest)) => newest,
        Some(Err(reason)) => return office.close(&reason),
        None => return,
    };
    let mut records = Vec::with_capacity(newest.rows.len());
    for row in &newest.rows {
        match Record::decode(&row.key, &row.value) {
            Ok(record) => records.push(record),
            Err(error) => log::warn!(error = error.to_string(); "record passed over"),
        }
    }
    let settings = office.fleet.settings.shard.clone();
    let mut shard = Shard::load(settings, office.epoch, records, now(), unix_ms());
    if let Some(config) = office.fleet.config() {
        shard.set_catalogue(config.catalogue.clone());
    }
    for wave in office.fleet.waves.borrow().iter() {
        shard.add_wave(wave.clone(), now());
    }
    log::info!(epoch = office.epoch.get(), open_jobs = shard.open_jobs(); "shard taken over");
    metric::takeover(office.opened_at);
    *office.shard.borrow_mut() = Some(shard);
    office.fleet.owner_heard_at.set(Some(now()));
    monoio::spawn(until_closed(
        Rc::clone(&office),
        writer::write(Rc::clone(&office)),
    ));
    monoio::spawn(until_closed(
        Rc::clone(&office),
        attend::list_workers(Rc::clone(&office)),
    ));
    monoio::spawn(until_closed(
        Rc::clone(&office),
        duty::list_machines(Rc::clone(&office)),
    ));
    monoio::spawn(until_closed(
        Rc::clone(&office),
        duty::carry_out(Rc::clone(&office)),
    ));
    monoio::spawn(until_closed(
        Rc::clone(&office),
        advise::advise(Rc::clone(&office)),
    ));
    monoio::spawn(until_closed(
        Rc::clone(&office),
        duty::tell_waves(Rc::clone(&office)),
    ));
    conduct(office).await;
}

/// Runs a task until the ownership ends.
pub(crate) async fn until_closed<P: FleetPlatform>(
    office: Rc<Office<P>>,
    task: impl Future<Output = ()>,
) {
    office.closed.run_until_set(task).await;
}

async fn load<P: FleetPlatform>(office: &Office<P>) -> Result<Newest, String> {
    let mut store = office.fleet.platform.store();
    let producer = Producer {
        name: SHARD_PRODUCER,
        epoch: office.epoch,
        sequence: 0,
    };
    let mut wait = APPEND_TIMEOUT;
    loop {
        let limit_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        match store
            .append(
                Keyspace::Jobs,
                AppendGuard::Producer(producer),
                &[],
                limit_ms,
            )
            .await
        {
            Ok(()) => break,
            Err(AppendError::Store(error)) => {
                log::info!(error = error.to_string(); "earlier owners not fenced yet");
                wait = (wait * 2).min(APPEND_TIMEOUT_MAX);
                sleep(READ_RETRY / 4).await;
            }
            Err(error) => return Err(error.to_string()),
        }
    }
    let mut newest = Newest::default();
    loop {
        match store.newest(Keyspace::Jobs, &mut newest).await {
            Ok(()) => return Ok(newest),
            Err(StoreError::Trimmed) => return Ok(Newest::default()),
            Err(error) => {
                log::info!(error = error.to_string(); "records not read yet");
                sleep(READ_RETRY / 4).await;
            }
        }
    }
}

/// Runs the scheduler after events, and now and then without.
async fn conduct<P: FleetPlatform>(office: Rc<Office<P>>) {
    while !office.is_closed() {
        office.pass();
        let waited = timeout(PASS_INTERVAL, office.events.notified());
        if office.closed.run_until_set(waited).await.is_none() {
            return;
        }
        sleep(PASS_GAP).await;
    }
}
