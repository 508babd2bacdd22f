//! An ownership of the shard: its takeover and end, its tasks, and its answers to requests.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use local_sync::oneshot;
use monoio::time::{sleep, timeout};
use vanillafold_jobs::{
    AdviceQuery, CancelOutcome, DeliveryCheck, Epoch, EvacuationCounts, JobId, JobSpec, LossCounts,
    NearWaitCounts, PredictionCounts, Record, Refusals, Shard, SubmitOutcome, Wave, WorkerId,
};
use vanillafold_policy::MonotonicMillis;
use vanillafold_wire::{Latch, Notify};

use super::config::FleetConfig;
use super::daemon::FleetDaemon;
use super::message::{FleetAnswer, FleetRequest, OwnerTime};
use super::metric;
use super::platform::{
    AppendCondition, AppendError, FleetPlatform, Keyspace, LatestRows, MetadataStore, Producer,
    StoreError,
};
use super::settings::{
    APPEND_TIMEOUT, APPEND_TIMEOUT_MAX, CONFIRM_TIMEOUT, MIN_OWNERSHIP_MS, MIN_SCHEDULE_INTERVAL,
    OWNER_ISOLATION_MS, READ_RETRY_DELAY, RETRY_AFTER_MS, SCHEDULE_INTERVAL, SHARD_PRODUCER,
    STORE_BACKOFF_MS,
};
use super::time::{now, unix_ms};
use super::workers::WorkerLink;
use super::{advise, operator, vms, workers, writer};

/// Time between two checks, during a handover, whether the remaining records have been written.
const FLUSH_CHECK_INTERVAL: std::time::Duration = std::time::Duration::from_millis(5);

/// The record of a job that must be stored before a request is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AwaitedRecord {
    Spec,
    Outcome,
}

/// A request that is answered once a record of its job is stored.
#[derive(Debug)]
pub(crate) struct Waiter {
    job: JobId,
    awaited: AwaitedRecord,
    answer: oneshot::Sender<Resolution>,
}

/// What became of the record that a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Resolution {
    Stored,
    /// The job was dropped before its record was in an append.
    Dropped,
    /// The ownership ended.
    Unknown,
}

/// An ownership of the shard by this daemon, from the start of its takeover to its end.
#[derive(Debug)]
pub(crate) struct ShardOwnership<P: FleetPlatform> {
    pub(crate) daemon: Rc<FleetDaemon<P>>,
    epoch: Epoch,
    opened_at: MonotonicMillis,
    /// State of the shard; `None` until the takeover is complete.
    pub(crate) shard: RefCell<Option<Shard>>,
    waiters: RefCell<Vec<Waiter>>,
    /// Answers that wait until the store has confirmed the ownership after a time.
    unconfirmed: RefCell<Vec<(MonotonicMillis, oneshot::Sender<()>)>>,
    /// Whether the last attempt to confirm the ownership failed.
    confirmation_failed: Cell<bool>,
    /// Jobs that were refused a short time ago.
    refusals: RefCell<Refusals>,
    /// Whether the shard has been told which zones are evacuated.
    evacuations_known: Cell<bool>,
    /// What evacuations had done when the metrics were last updated.
    counted_evacuations: Cell<EvacuationCounts>,
    /// How predictions had come true when the metrics were last updated.
    counted_predictions: Cell<PredictionCounts>,
    /// Links to the known workers, sorted by the workers' ids.
    pub(crate) links: RefCell<Vec<Rc<WorkerLink>>>,
    /// Version of the shard's workers that `links` corresponds to.
    pub(crate) linked_version: Cell<u64>,
    /// Lost workers that the metrics have counted.
    counted_losses: Cell<LossCounts>,
    /// Waits for a near placement that the metrics have counted.
    counted_near_waits: Cell<NearWaitCounts>,
    /// Set when the ownership ends.
    pub(crate) closed: Latch,
    /// Notified by events after which the scheduler should run.
    pub(crate) events: Notify,
    /// Notified when the shard has records to write.
    pub(crate) records_ready: Notify,
    /// Monotonic time until which the store counts as unavailable and submissions are refused.
    pub(crate) store_unavailable_until_ms: Cell<u64>,
    /// Operations on VMs that have not been sent yet.
    pub(crate) vm_operations: RefCell<Vec<vanillafold_jobs::VmOperation>>,
    /// Notified when `vm_operations` has grown.
    pub(crate) vm_operations_ready: Notify,
    /// Queries for placement advice that have not been sent yet.
    pub(crate) queries: RefCell<VecDeque<AdviceQuery>>,
    /// Notified when `queries` has grown.
    pub(crate) advice_queries_ready: Notify,
    /// Notified when the status of a maintenance wave has to be written.
    pub(crate) wave_status_ready: Notify,
}

impl<P: FleetPlatform> ShardOwnership<P> {
    /// Starts to take the shard over. Requests are answered once the takeover is complete.
    pub(crate) fn open(daemon: &Rc<FleetDaemon<P>>, epoch: Epoch) -> Rc<Self> {
        log::info!(epoch = epoch.get(); "taking the shard over");
        let ownership = Rc::new(Self {
            daemon: Rc::clone(daemon),
            epoch,
            opened_at: now(),
            shard: RefCell::new(None),
            waiters: RefCell::new(Vec::new()),
            unconfirmed: RefCell::default(),
            confirmation_failed: Cell::new(false),
            refusals: RefCell::default(),
            evacuations_known: Cell::new(false),
            counted_evacuations: Cell::new(EvacuationCounts::default()),
            counted_predictions: Cell::new(PredictionCounts::default()),
            links: RefCell::new(Vec::new()),
            linked_version: Cell::new(0),
            counted_losses: Cell::new(LossCounts::default()),
            counted_near_waits: Cell::new(NearWaitCounts::default()),
            closed: Latch::default(),
            events: Notify::default(),
            records_ready: Notify::default(),
            store_unavailable_until_ms: Cell::new(0),
            vm_operations: RefCell::new(Vec::new()),
            vm_operations_ready: Notify::default(),
            queries: RefCell::new(VecDeque::new()),
            advice_queries_ready: Notify::default(),
            wave_status_ready: Notify::default(),
        });
        monoio::spawn(take_over(Rc::clone(&ownership)));
        ownership
    }

    pub(crate) const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns whether the takeover is complete and the ownership has not ended.
    pub(crate) fn is_open(&self) -> bool {
        !self.closed.is_set() && self.shard.borrow().is_some()
    }

    /// Returns whether the ownership has lasted long enough for a handover to a larger daemon.
    pub(crate) fn is_settled(&self) -> bool {
        now().since(self.opened_at).get() >= MIN_OWNERSHIP_MS
    }

    /// Returns whether the ownership has ended.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.is_set()
    }

    /// Ends the ownership. Waiting requests are answered with [`FleetAnswer::Undecided`].
    pub(crate) fn close(&self, reason: &str) {
        if self.closed.is_set() {
            return;
        }
        log::info!(epoch = self.epoch.get(), reason = reason; "ownership of the shard ends");
        metric::ownership_ended();
        self.closed.set();
        self.unconfirmed.take();
        for waiter in self.waiters.take() {
            // The request may have been abandoned in the meantime.
            let _ = waiter.answer.send(Resolution::Unknown);
        }
    }

    /// Waits until the remaining records are written, for at most [`APPEND_TIMEOUT`], then ends the
    /// ownership.
    pub(crate) async fn hand_over(&self) {
        let has_unwritten = || {
            let shard = self.shard.borrow();
            shard.as_ref().is_some_and(Shard::has_records) || !self.waiters.borrow().is_empty()
        };
        let flushed = async {
            while has_unwritten() && !self.closed.is_set() {
                sleep(FLUSH_CHECK_INTERVAL).await;
            }
        };
        if timeout(APPEND_TIMEOUT, flushed).await.is_err() {
            log::info!("the remaining records were not stored in time; handing the shard over");
        }
        self.close("handed over");
    }

    /// Runs `act` on the shard; returns `None` without running it if the takeover is not complete
    /// or the ownership has ended.
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

    /// Gives the shard the evacuated zones if they have changed, or if it has none yet and they are
    /// known from a read that was sent during this ownership: what the operator wrote before the
    /// takeover is then known.
    pub(crate) fn update_evacuated_zones(&self, is_changed: bool) {
        let is_current = self.daemon.evacuations_read_at.get() >= self.opened_at;
        let is_informed = self.evacuations_known.get();
        if !is_current || (is_informed && !is_changed) {
            return;
        }
        let known = self.daemon.evacuated_zones.borrow();
        if let Some(known) = known.as_ref() {
            self.evacuations_known.set(true);
            self.with(|shard| shard.set_evacuated_zones(known.zones(), now()));
            if !is_informed {
                log::info!(
                    epoch = self.epoch.get(), zones = known.zones().join(", "),
                    after_ms = now().since(self.opened_at).get();
                    "evacuated zones are known to the owner; tasks may start in all others"
                );
            }
            self.events.notify_one();
        }
    }

    pub(crate) fn add_wave(&self, wave: Wave) {
        self.with(|shard| shard.add_wave(wave, now()));
        self.events.notify_one();
    }

    // --- Requests --------------------------------------------------------------------------

    /// Answers a request of a caller; answers others with [`FleetAnswer::NotOwner`]. The
    /// request had surely not arrived at its daemon before `received_at`; `delivery` counts the
    /// daemon's attempts to deliver it.
    pub(crate) async fn answer(
        &self,
        request: FleetRequest,
        received_at: OwnerTime,
        delivery: u32,
    ) -> FleetAnswer {
        match request {
            FleetRequest::Submit(id, spec) => self.submit(id, spec, received_at, delivery).await,
            FleetRequest::Cancel(id) => self.cancel(id).await,
            FleetRequest::State(id) => match self.with(|shard| shard.state(id)) {
                Some(Some(state)) => FleetAnswer::State(state.to_string()),
                Some(None) => self.answer_unknown_job().await,
                None => FleetAnswer::NotOwner,
            },
            FleetRequest::Pending(queue) => self
                .with(|shard| FleetAnswer::Pending(shard.pending(&queue) as u64))
                .unwrap_or(FleetAnswer::NotOwner),
            FleetRequest::Ping { .. }
            | FleetRequest::Config(_)
            | FleetRequest::OfferConfig(_)
            | FleetRequest::Evacuations
            | FleetRequest::OfferEvacuations(..) => FleetAnswer::NotOwner,
        }
    }

    async fn submit(
        &self,
        id: JobId,
        spec: JobSpec,
        received_at: OwnerTime,
        delivery: u32,
    ) -> FleetAnswer {
        let known = self.is_known(id);
        if let Some(answer) = self.reject_stale(id, received_at, delivery)
            && !known
        {
            return answer;
        }
        if !known && now().get() < self.store_unavailable_until_ms.get() {
            return self.refuse(id, "store_away", RETRY_AFTER_MS, false).await;
        }
        // The daemon that took the request may run another version.
        if let Err(error) = spec.check_submission()
            && !known
        {
            log::warn!(job = id.to_string(), error = error.to_string(); "submission of an invalid job");
            return self.refuse(id, "invalid", RETRY_AFTER_MS, false).await;
        }
        match self.with(|shard| shard.submit(id, spec, now(), unix_ms())) {
            None => FleetAnswer::NotOwner,
            Some(SubmitOutcome::Stored) => FleetAnswer::Accepted,
            Some(SubmitOutcome::Storing) => self.wait(id, AwaitedRecord::Spec).await,
            Some(SubmitOutcome::Refused { retry_after_ms }) => {
                self.refuse(id, "load", retry_after_ms, true).await
            }
        }
    }

    fn is_known(&self, id: JobId) -> bool {
        self.with(|shard| shard.is_known(id)).unwrap_or(false)
    }

    /// Returns the answer to a submission that may have been refused since it was received, by this
    /// owner or an earlier one; `None` if it may be acted on.
    fn reject_stale(
        &self,
        id: JobId,
        received_at: OwnerTime,
        delivery: u32,
    ) -> Option<FleetAnswer> {
        if received_at.epoch != self.epoch.get() {
            // The daemon dates the request again once it has reached this owner.
            return Some(FleetAnswer::NotOwner);
        }
        let received_at = MonotonicMillis::new(received_at.clock_ms);
        let check = match received_at >= self.opened_at {
            true => self.refusals.borrow().check(id, received_at, now()),
            false => DeliveryCheck::Outdated,
        };
        if check == DeliveryCheck::Current {
            return None;
        }
        metric::stale_submission();
        log::info!(
            job = id.to_string(), check = format!("{check:?}"), delivery = delivery,
            epoch = self.epoch.get(), age_ms = now().since(received_at).get();
            "submission not acted on: its job may have been refused since it was received"
        );
        Some(FleetAnswer::Unconfirmed {
            retry_after_ms: None,
        })
    }

    /// Returns the refusal of a job that this owner does not know. It holds for all submissions
    /// that were received before: the owner does not act on them any more, nor does a later owner.
    /// An owner that may have been replaced refuses nothing, as its successor may have the job.
    async fn refuse(
        &self,
        id: JobId,
        reason: &'static str,
        retry_after_ms: u64,
        overload: bool,
    ) -> FleetAnswer {
        self.refusals.borrow_mut().add(id, now());
        if !self.confirm_now().await {
            log::info!(
                job = id.to_string(), reason = reason, retry_after_ms = retry_after_ms,
                epoch = self.epoch.get();
                "job not accepted; not refused, as the store has not confirmed the ownership"
            );
            return FleetAnswer::Unconfirmed {
                retry_after_ms: Some(retry_after_ms),
            };
        }
        if self.is_known(id) {
            // A later submission was taken in the meantime.
            return FleetAnswer::Unconfirmed {
                retry_after_ms: None,
            };
        }
        self.refusals.borrow_mut().add(id, now());
        metric::refusal(reason);
        log::info!(
            job = id.to_string(), reason = reason, retry_after_ms = retry_after_ms,
            epoch = self.epoch.get();
            "job refused"
        );
        FleetAnswer::Refused {
            retry_after_ms,
            overload,
        }
    }

    /// Waits until the store has confirmed, after now, that no other daemon has owned the shard
    /// since this ownership began. Returns false if it does not soon, or if the last attempt failed.
    async fn confirm_now(&self) -> bool {
        let superseded = self.daemon.latest_epoch.get() > self.epoch.get();
        if superseded || self.closed.is_set() || self.confirmation_failed.get() {
            return false;
        }
        let (confirmed, confirmation) = oneshot::channel();
        self.unconfirmed.borrow_mut().push((now(), confirmed));
        self.daemon.join_wanted.notify_one();
        matches!(timeout(CONFIRM_TIMEOUT, confirmation).await, Ok(Ok(())))
    }

    /// Notes that no other daemon has owned the shard from the beginning of this ownership until
    /// after `at`.
    pub(crate) fn confirm(&self, at: MonotonicMillis) {
        self.confirmation_failed.set(false);
        let mut unconfirmed = self.unconfirmed.borrow_mut();
        let mut index = 0;
        while index < unconfirmed.len() {
            match unconfirmed[index].0 <= at {
                true => {
                    // The answer may not wait any more.
                    let _ = unconfirmed.swap_remove(index).1.send(());
                }
                false => index += 1,
            }
        }
        if !unconfirmed.is_empty() {
            self.daemon.join_wanted.notify_one();
        }
    }

    /// Notes that the store did not confirm the ownership: nothing is refused until it does.
    pub(crate) fn confirmation_failed(&self) {
        self.confirmation_failed.set(true);
        self.unconfirmed.borrow_mut().clear();
    }

    async fn cancel(&self, id: JobId) -> FleetAnswer {
        match self.with(|shard| shard.cancel(id, now(), unix_ms())) {
            None => FleetAnswer::NotOwner,
            Some(CancelOutcome::Unknown) => self.cancel_unknown_job(id).await,
            Some(CancelOutcome::Finished) => FleetAnswer::Cancelled,
            Some(CancelOutcome::Storing) => {
                self.events.notify_one();
                self.wait(id, AwaitedRecord::Outcome).await
            }
        }
    }

    /// Answers the cancellation of a job that this owner does not know. Submissions of the job that
    /// were received before are not acted on any more.
    async fn cancel_unknown_job(&self, id: JobId) -> FleetAnswer {
        self.refusals.borrow_mut().add(id, now());
        self.answer_unknown_job().await
    }

    /// Returns the answer for a job that this owner does not know. If the store does not confirm
    /// the owner, another daemon may have taken the shard over and know the job.
    async fn answer_unknown_job(&self) -> FleetAnswer {
        match self.confirm_now().await {
            true => FleetAnswer::NoJob,
            false => FleetAnswer::NotOwner,
        }
    }

    /// Waits until a record of a job is stored, and returns the answer to the request.
    async fn wait(&self, job: JobId, awaited: AwaitedRecord) -> FleetAnswer {
        let (answer, answered) = oneshot::channel();
        self.waiters.borrow_mut().push(Waiter {
            job,
            awaited,
            answer,
        });
        self.records_ready.notify_one();
        match (answered.await.unwrap_or(Resolution::Unknown), awaited) {
            (Resolution::Stored, AwaitedRecord::Spec) => FleetAnswer::Accepted,
            (Resolution::Stored, AwaitedRecord::Outcome) => FleetAnswer::Cancelled,
            (Resolution::Dropped, AwaitedRecord::Spec) => {
                self.refuse(job, "store_refused", RETRY_AFTER_MS, false)
                    .await
            }
            (Resolution::Dropped, AwaitedRecord::Outcome) => self.cancel_unknown_job(job).await,
            (Resolution::Unknown, _) => FleetAnswer::Undecided,
        }
    }

    /// Answers the requests whose awaited record is stored now.
    pub(crate) fn notify_stored(&self) {
        let mut waiters = self.waiters.borrow_mut();
        let mut index = 0;
        while index < waiters.len() {
            let waiter = &waiters[index];
            let (spec_stored, outcome_stored) = self
                .with(|shard| shard.is_stored(waiter.job))
                .unwrap_or((false, false));
            let is_stored = match waiter.awaited {
                AwaitedRecord::Spec => spec_stored,
                AwaitedRecord::Outcome => outcome_stored,
            };
            if !is_stored {
                index += 1;
                continue;
            }
            let waiter = waiters.swap_remove(index);
            if waiter.awaited == AwaitedRecord::Spec {
                log::info!(job = waiter.job.to_string(), epoch = self.epoch.get(); "job accepted");
            }
            // The request may have been abandoned in the meantime.
            let _ = waiter.answer.send(Resolution::Stored);
        }
    }

    /// Resolves the requests about jobs that were dropped before they were stored.
    pub(crate) fn notify_dropped(&self, dropped: &[JobId]) {
        let mut waiters = self.waiters.borrow_mut();
        let mut index = 0;
        while index < waiters.len() {
            if !dropped.contains(&waiters[index].job) {
                index += 1;
                continue;
            }
            // The request may have been abandoned in the meantime.
            let _ = waiters.swap_remove(index).answer.send(Resolution::Dropped);
        }
    }

    /// Refuses submissions for [`STORE_BACKOFF_MS`], and drops the jobs of which no record has been
    /// sent to the store.
    pub(crate) fn handle_store_failure(&self) {
        self.store_unavailable_until_ms
            .set(now().get() + STORE_BACKOFF_MS);
        let dropped = self.with(Shard::drop_unwritten).unwrap_or_default();
        self.notify_dropped(&dropped);
    }

    // --- Orders ----------------------------------------------------------------------------

    /// Returns whether this owner may still send orders: the store has confirmed it recently, or,
    /// while the store is unavailable, daemons of other zones still reach it and none knows a later
    /// owner.
    pub(crate) fn may_send_orders(&self) -> bool {
        let now = now();
        let unconfirmed_ms = now.since(self.daemon.confirmed_at.get()).get();
        let other_zone_ms = now.since(self.daemon.other_zone_seen_at.get()).get();
        let superseded = self.daemon.latest_epoch.get() > self.epoch.get();
        unconfirmed_ms < OWNER_ISOLATION_MS || (!superseded && other_zone_ms < OWNER_ISOLATION_MS)
    }

    /// Returns whether this owner may still send operations on VMs. The platform accepts them from any
    /// daemon, so they are sent only while no other one can own the shard: for the time to live of a
    /// membership that the store has confirmed.
    pub(crate) fn may_send_vm_operations(&self) -> bool {
        let unconfirmed_ms = now().since(self.daemon.confirmed_at.get()).get();
        unconfirmed_ms < self.daemon.settings.member_ttl_ms && self.may_send_orders()
    }

    /// Runs the scheduler and passes its orders, VM operations, queries and records to the tasks
    /// that send them; does nothing while this owner must not send orders.
    fn run_scheduling_pass(self: &Rc<Self>) {
        if !self.may_send_orders() {
            return;
        }
        let may_send_vm_operations = self.may_send_vm_operations();
        self.with(|shard| {
            shard.set_may_operate_vms(may_send_vm_operations);
            shard.schedule(now(), unix_ms());
        });
        if let Some(losses) = self.with(|shard| shard.loss_counts()) {
            metric::worker_losses(self.counted_losses.replace(losses), losses);
        }
        if let Some(counts) = self.with(|shard| shard.evacuation_counts()) {
            metric::evacuations(self.counted_evacuations.replace(counts), counts);
        }
        if let Some(counts) = self.with(|shard| shard.prediction_counts()) {
            metric::predictions(self.counted_predictions.replace(counts), counts);
        }
        if let Some(waits) = self.with(|shard| shard.near_wait_counts()) {
            metric::near_waits(self.counted_near_waits.replace(waits), waits);
        }
        let fenced = self.with(|shard| shard.is_fenced()).unwrap_or(false);
        if fenced {
            self.close("a worker has received a request of a later owner");
            return;
        }
        let orders = self.with(Shard::take_orders).unwrap_or_default();
        for (worker, order) in orders {
            match self.link(&worker) {
                Some(link) => link.push(order),
                None => {
                    let not_sent = vanillafold_jobs::OrderAnswer::NotSent;
                    self.with(|shard| {
                        shard.order_answered(&worker, &order, not_sent, now(), unix_ms());
                    });
                }
            }
        }
        let vm_operations = self.with(Shard::take_vm_operations).unwrap_or_default();
        if !vm_operations.is_empty() {
            self.vm_operations.borrow_mut().extend(vm_operations);
            self.vm_operations_ready.notify_one();
        }
        let queries = self.with(Shard::take_queries).unwrap_or_default();
        if !queries.is_empty() {
            self.queries.borrow_mut().extend(queries);
            self.advice_queries_ready.notify_one();
        }
        if self
            .with(|shard| shard.next_wave_status().is_some())
            .unwrap_or(false)
        {
            self.wave_status_ready.notify_one();
        }
        if self.with(|shard| shard.has_records()).unwrap_or(false) {
            self.records_ready.notify_one();
        }
        workers::update_links(self);
    }

    /// Returns the link to a worker, or `None` if there is none.
    pub(crate) fn link(&self, id: &WorkerId) -> Option<Rc<WorkerLink>> {
        let links = self.links.borrow();
        let index = links.binary_search_by(|link| link.id.cmp(id)).ok()?;
        Some(Rc::clone(&links[index]))
    }
}

/// Fences earlier owners, reads the shard's records, then runs the tasks of the ownership until it
/// ends.
async fn take_over<P: FleetPlatform>(ownership: Rc<ShardOwnership<P>>) {
    let loaded = ownership.closed.run_until_set(load(&ownership)).await;
    let latest = match loaded {
        Some(Ok(latest)) => latest,
        Some(Err(reason)) => return ownership.close(&reason),
        None => return,
    };
    let mut records = Vec::with_capacity(latest.rows.len());
    for row in &latest.rows {
        match Record::decode(&row.key, &row.value) {
            Ok(record) => records.push(record),
            Err(error) => log::warn!(error = error.to_string(); "malformed record ignored"),
        }
    }
    let settings = ownership.daemon.settings.shard.clone();
    let mut shard = Shard::load(settings, ownership.epoch, records, now(), unix_ms());
    let config = ownership.daemon.config();
    if let Some(config) = &config {
        shard.set_catalogue(config.catalogue.clone());
    }
    for wave in ownership.daemon.waves.borrow().iter() {
        shard.add_wave(wave.clone(), now());
    }
    log::info!(
        epoch = ownership.epoch.get(), open_jobs = shard.open_jobs(), configured = config.is_some();
        "shard taken over"
    );
    metric::takeover(ownership.opened_at);
    *ownership.shard.borrow_mut() = Some(shard);
    ownership.update_evacuated_zones(false);
    ownership.daemon.owner_seen_at.set(Some(now()));
    monoio::spawn(run_until_closed(
        Rc::clone(&ownership),
        writer::write_records(Rc::clone(&ownership)),
    ));
    monoio::spawn(run_until_closed(
        Rc::clone(&ownership),
        workers::list_workers(Rc::clone(&ownership)),
    ));
    monoio::spawn(run_until_closed(
        Rc::clone(&ownership),
        vms::list_vms(Rc::clone(&ownership)),
    ));
    monoio::spawn(run_until_closed(
        Rc::clone(&ownership),
        vms::run_vm_operations(Rc::clone(&ownership)),
    ));
    monoio::spawn(run_until_closed(
        Rc::clone(&ownership),
        advise::fetch_advice(Rc::clone(&ownership)),
    ));
    monoio::spawn(run_until_closed(
        Rc::clone(&ownership),
        vms::report_waves(Rc::clone(&ownership)),
    ));
    run_scheduler(ownership).await;
}

/// Runs a task until it ends or the ownership does.
pub(crate) async fn run_until_closed<P: FleetPlatform>(
    ownership: Rc<ShardOwnership<P>>,
    task: impl Future<Output = ()>,
) {
    ownership.closed.run_until_set(task).await;
}

/// Fences earlier owners, reads the operator's records and then the shard's; repeats the first and the
/// last step until the store answers. Returns an error text if the store rejects the epoch, as it does after a later owner
/// has written.
async fn load<P: FleetPlatform>(ownership: &ShardOwnership<P>) -> Result<LatestRows, String> {
    let mut store = ownership.daemon.platform.store();
    let producer = Producer {
        name: SHARD_PRODUCER,
        epoch: ownership.epoch,
        sequence: 0,
    };
    let mut append_timeout = APPEND_TIMEOUT;
    loop {
        let timeout_ms = u64::try_from(append_timeout.as_millis()).unwrap_or(u64::MAX);
        match store
            .append(
                Keyspace::Jobs,
                AppendCondition::Producer(producer),
                &[],
                timeout_ms,
            )
            .await
        {
            Ok(()) => break,
            Err(AppendError::Store(error)) => {
                log::info!(error = error.to_string(); "fencing earlier owners failed; retrying");
                append_timeout = (append_timeout * 2).min(APPEND_TIMEOUT_MAX);
                sleep(READ_RETRY_DELAY / 4).await;
            }
            Err(error) => return Err(error.to_string()),
        }
    }
    // Once is enough: if it fails, the daemon's own reads or another daemon tell what it would have.
    if let Err(error) = operator::read_latest(&ownership.daemon, &mut store).await {
        log::info!(error = error.to_string(); "reading the operator's records at the takeover failed; no task starts until they are known");
    }
    let mut latest = LatestRows::default();
    loop {
        match store.read_latest(Keyspace::Jobs, &mut latest).await {
            Ok(()) => return Ok(latest),
            Err(StoreError::Trimmed) => return Ok(LatestRows::default()),
            Err(error) => {
                log::info!(error = error.to_string(); "reading the shard's records failed; retrying");
                sleep(READ_RETRY_DELAY / 4).await;
            }
        }
    }
}

/// Runs the scheduler after events, and at least every [`SCHEDULE_INTERVAL`], until the ownership
/// ends.
async fn run_scheduler<P: FleetPlatform>(ownership: Rc<ShardOwnership<P>>) {
    while !ownership.is_closed() {
        ownership.run_scheduling_pass();
        let waited = timeout(SCHEDULE_INTERVAL, ownership.events.notified());
        if ownership.closed.run_until_set(waited).await.is_none() {
            return;
        }
        sleep(MIN_SCHEDULE_INTERVAL).await;
    }
}
