//! The owner's tasks for workers: reading their registrations, and for each worker polling it and
//! sending it orders.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use monoio::time::{sleep, timeout};
use vanillafold_jobs::{Epoch, Order, OrderAnswer, PollPlan, WorkerEntry, WorkerId};
use vanillafold_policy::MonotonicMillis;
use vanillafold_wire::{Latch, Notify};

use super::ignored::IgnoredInput;
use super::metric;
use super::ownership::ShardOwnership;
use super::platform::{
    FleetPlatform, KeyedRow, Keyspace, LatestRows, MetadataStore, StoreError, WorkerConnection,
};
use super::settings::{
    POLL_TIMEOUT_MARGIN_MS, READ_RETRY_DELAY, WORKER_LIST_FAST_INTERVAL, WORKER_LIST_INTERVAL,
};
use super::time::{now, unix_ms};

/// Link from the ownership to one worker, served by a task that polls the worker and one that sends
/// it orders.
#[derive(Debug)]
pub(crate) struct WorkerLink {
    pub(crate) id: WorkerId,
    address: SocketAddr,
    /// Orders that have not been sent yet.
    orders: RefCell<Vec<Order>>,
    /// Orders taken from `orders` that have no answer yet, with their positions in the call.
    unanswered: RefCell<Vec<(usize, Order)>>,
    /// Whether the unanswered orders may have been sent.
    is_sending: Cell<bool>,
    /// Notified when `orders` has grown.
    orders_ready: Notify,
    /// Notified when there is a reason to poll earlier than planned.
    pub(crate) poll_now: Notify,
    /// Set when the worker is gone or has another address, which ends the link's tasks.
    retired: Latch,
}

impl WorkerLink {
    /// Queues an order for the task that sends orders.
    pub(crate) fn push(&self, order: Order) {
        self.orders.borrow_mut().push(order);
        self.orders_ready.notify_one();
    }

    /// Takes the queued orders to be sent; they wait for their answers from now on.
    fn take_orders(&self) -> Vec<Order> {
        let orders = self.orders.take();
        self.is_sending.set(false);
        self.await_answers(&orders);
        orders
    }

    fn await_answers(&self, orders: &[Order]) {
        let unanswered = orders.iter().cloned().enumerate().collect();
        self.unanswered.replace(unanswered);
    }

    /// Ends the link's tasks. The orders whose answer they waited for get none any more, and those that
    /// are queued are not sent.
    fn retire<P: FleetPlatform>(&self, ownership: &ShardOwnership<P>) {
        self.retired.set();
        let unanswered = self.unanswered.take();
        let queued = self.orders.take();
        if !(unanswered.is_empty() && queued.is_empty()) {
            log::info!(
                worker = self.id.as_str(), unanswered = unanswered.len(), queued = queued.len();
                "worker has another address or is gone; its orders get no answer"
            );
        }
        let answer = match self.is_sending.get() {
            true => OrderAnswer::Unknown,
            false => OrderAnswer::NotSent,
        };
        let unanswered = unanswered.into_iter().map(|row| (row.1, answer));
        let queued = queued
            .into_iter()
            .map(|order| (order, OrderAnswer::NotSent));
        for (order, answer) in unanswered.chain(queued) {
            ownership.with(|shard| {
                shard.order_answered(&self.id, &order, answer, now(), unix_ms());
            });
        }
    }
}

/// Starts the tasks of new workers, and ends those of workers that are gone or have another
/// address.
pub(crate) fn update_links<P: FleetPlatform>(ownership: &Rc<ShardOwnership<P>>) {
    let version = ownership.with(|shard| shard.workers_version()).unwrap_or(0);
    if ownership.linked_version.replace(version) == version {
        return;
    }
    let wanted = ownership
        .with(|shard| shard.worker_addresses())
        .unwrap_or_default();
    let mut links = ownership.links.borrow_mut();
    links.retain(|link| {
        let found = wanted.binary_search_by(|row| row.0.cmp(&link.id));
        let stays = found.is_ok_and(|index| wanted[index].1 == link.address);
        if !stays {
            link.retire(ownership);
        }
        stays
    });
    for (id, address) in wanted {
        let Err(index) = links.binary_search_by(|link| link.id.cmp(&id)) else {
            continue;
        };
        let link = Rc::new(WorkerLink {
            id,
            address,
            orders: RefCell::new(Vec::new()),
            unanswered: RefCell::new(Vec::new()),
            is_sending: Cell::new(false),
            orders_ready: Notify::default(),
            poll_now: Notify::default(),
            retired: Latch::default(),
        });
        links.insert(index, Rc::clone(&link));
        monoio::spawn(run_while_linked(
            Rc::clone(ownership),
            Rc::clone(&link),
            poll_worker(Rc::clone(ownership), Rc::clone(&link)),
        ));
        monoio::spawn(run_while_linked(
            Rc::clone(ownership),
            Rc::clone(&link),
            send_orders(Rc::clone(ownership), link),
        ));
    }
}

/// Runs a task until it ends, its link is retired or the ownership ends.
async fn run_while_linked<P: FleetPlatform>(
    ownership: Rc<ShardOwnership<P>>,
    link: Rc<WorkerLink>,
    task: impl Future<Output = ()>,
) {
    let task = link.retired.run_until_set(task);
    ownership.closed.run_until_set(task).await;
}

/// Polls a worker at the times that the shard plans, but not while this owner must not send orders.
async fn poll_worker<P: FleetPlatform>(ownership: Rc<ShardOwnership<P>>, link: Rc<WorkerLink>) {
    let mut connection = ownership.daemon.platform.worker(&link.id, link.address);
    loop {
        if !ownership.may_send_orders() {
            sleep(READ_RETRY_DELAY).await;
            continue;
        }
        let is_open = connection.is_open().await;
        if !is_open {
            ownership.with(|shard| shard.poll_connection_closed(&link.id, now()));
        }
        let plan = ownership.with(|shard| shard.plan_poll(&link.id, now()));
        match plan.unwrap_or(PollPlan::Gone) {
            PollPlan::Gone => return,
            PollPlan::Idle => link.poll_now.notified().await,
            PollPlan::Later(at) => {
                // Ends early if there is a reason to poll sooner.
                let _ = timeout(at.since(now()).duration(), link.poll_now.notified()).await;
            }
            PollPlan::Poll {
                deadline_ms,
                acknowledged_end,
                wait_ms,
            } => {
                let sent_at = now();
                let timeout_ms = ownership
                    .with(|shard| shard.order_timeout_ms())
                    .unwrap_or_default();
                // A poll that was planned for an open connection is not sent on another one.
                let opened = match is_open {
                    true => Ok(()),
                    false => connection.open(timeout_ms).await,
                };
                let polled = match opened {
                    Ok(()) => {
                        let timeout_ms = timeout_ms + POLL_TIMEOUT_MARGIN_MS;
                        let epoch = ownership.epoch();
                        connection
                            .poll(epoch, deadline_ms, acknowledged_end, wait_ms, timeout_ms)
                            .await
                    }
                    Err(answer) => Err(answer),
                };
                metric::poll(polled.is_ok());
                match polled {
                    Ok(report) => ownership.with(|shard| {
                        shard.poll_answered(&link.id, &report, sent_at, now(), unix_ms());
                    }),
                    Err(answer) => ownership.with(|shard| {
                        shard.poll_failed(&link.id, answer, now(), unix_ms());
                    }),
                };
                ownership.events.notify_one();
            }
        }
    }
}

/// Sends a worker its queued orders. All that are queued by then go out in one call.
///
/// An order is sent only to the incarnation of the worker for which it was issued: another one would
/// hold its lease under a deadline on a clock that is not its own.
async fn send_orders<P: FleetPlatform>(ownership: Rc<ShardOwnership<P>>, link: Rc<WorkerLink>) {
    let mut connection = ownership.daemon.platform.worker(&link.id, link.address);
    // The incarnation that the open connection reaches; `None` until that is known.
    let mut reached: Option<Option<u64>> = None;
    let mut opened_at = now();
    loop {
        link.orders_ready.notified().await;
        let orders = link.take_orders();
        if orders.is_empty() {
            continue;
        }
        let answered = |order: &Order, answer: OrderAnswer, sent_at: MonotonicMillis| {
            metric::order(order, answer, sent_at);
            ownership.with(|shard| {
                shard.order_answered(&link.id, order, answer, now(), unix_ms());
            });
        };
        // The permission may have run out while the process was suspended or the orders waited.
        if !ownership.may_send_orders() {
            link.unanswered.borrow_mut().clear();
            for order in &orders {
                answered(order, OrderAnswer::NotSent, now());
            }
            continue;
        }
        let timeout_ms = ownership
            .with(|shard| shard.order_timeout_ms())
            .unwrap_or_default();
        let answered_and_timed = |order: &Order, answer: OrderAnswer, sent_at: MonotonicMillis| {
            let latency_ms = now().since(sent_at).get();
            ownership.with(|shard| shard.order_took(latency_ms, answer, now()));
            answered(order, answer, sent_at);
        };
        let opening_at = now();
        let epoch = ownership.epoch();
        let opened = match connection.is_open().await {
            true => Ok(()),
            false => {
                reached = None;
                let opened = connection.open(timeout_ms).await;
                opened_at = now();
                opened
            }
        };
        if reached.is_none() {
            let shown = ownership.with(|shard| shard.incarnation_after(&link.id, opened_at));
            reached = shown.flatten();
        }
        let identified = match (opened, reached) {
            (Err(answer), _) => Err(answer),
            (Ok(()), Some(incarnation)) => Ok(Some(incarnation)),
            (Ok(()), None) if orders.iter().all(Order::is_for_any) => Ok(None),
            (Ok(()), None) => identify(&mut connection, epoch, timeout_ms).await.map(Some),
        };
        reached = identified.ok().flatten();
        match identified {
            Ok(_) => {
                let is_current = |order: &Order| {
                    order.is_for_any() || reached.is_some_and(|reached| order.is_for(reached))
                };
                let (current, outdated): (Vec<Order>, Vec<Order>) =
                    orders.into_iter().partition(is_current);
                if !outdated.is_empty() {
                    log::info!(
                        worker = link.id.as_str(), orders = outdated.len(),
                        started_unix_ms = reached.flatten();
                        "orders not sent: the worker has restarted since they were issued"
                    );
                }
                for order in &outdated {
                    answered(order, OrderAnswer::NotSent, now());
                }
                let sent_at = now();
                link.await_answers(&current);
                link.is_sending.set(true);
                connection
                    .send(epoch, &current, timeout_ms, |index, answer| {
                        link.unanswered.borrow_mut().retain(|row| row.0 != index);
                        answered_and_timed(&current[index], answer, sent_at);
                    })
                    .await;
            }
            Err(answer) => {
                for order in &orders {
                    answered_and_timed(order, answer, opening_at);
                }
            }
        }
        link.unanswered.borrow_mut().clear();
        if !connection.is_open().await {
            // The next answer to a poll, without which the worker gets no orders, then identifies the
            // connection too. If it can't be opened, it is with the next order.
            reached = None;
            let _ = connection.open(timeout_ms).await;
            opened_at = now();
        }
        link.poll_now.notify_one();
        ownership.events.notify_one();
    }
}

/// Returns when the incarnation of the worker that an open connection reaches started, in milliseconds
/// since 1970. The poll that asks for it renews and acknowledges nothing.
async fn identify(
    connection: &mut impl WorkerConnection,
    epoch: Epoch,
    timeout_ms: u64,
) -> Result<Option<u64>, OrderAnswer> {
    let poll_timeout_ms = timeout_ms + POLL_TIMEOUT_MARGIN_MS;
    let polled = connection.poll(epoch, None, 0, 0, poll_timeout_ms).await;
    metric::poll(polled.is_ok());
    match polled {
        Ok(report) => Ok(report.started_unix_ms),
        Err(answer @ (OrderAnswer::Fenced | OrderAnswer::Replaced)) => Err(answer),
        Err(_) => Err(OrderAnswer::NotSent),
    }
}

/// A worker's registration in the store.
#[derive(Debug)]
struct Registration {
    /// Key of the record.
    key: String,
    /// `None` if the record is malformed.
    entry: Option<WorkerEntry>,
}

/// Reads the workers' registrations, then periodically their changes, and passes them to the
/// shard. Changes are passed at once, and the whole list every [`WORKER_LIST_INTERVAL`].
pub(crate) async fn list_workers<P: FleetPlatform>(ownership: Rc<ShardOwnership<P>>) {
    let mut store = ownership.daemon.platform.store();
    let mut registrations: Vec<Registration> = Vec::new();
    let mut ignored = IgnoredInput::new("registration of a worker");
    let mut next = None;
    let mut listed_at = None;
    loop {
        let read = match next {
            None => {
                let mut latest = LatestRows::default();
                let read = store.read_latest(Keyspace::Workers, &mut latest).await;
                read.map(|()| {
                    registrations.clear();
                    (latest.rows, latest.next_offset.unwrap_or(0))
                })
            }
            Some(from) => store
                .read_changes(Keyspace::Workers, from, 0)
                .await
                .map(|changes| (changes.rows, changes.next_offset)),
        };
        match read {
            Ok((changes, end)) => {
                next = Some(end);
                let mut changed = false;
                for change in changes {
                    changed |= apply_change(&ownership, &mut registrations, &change, &mut ignored);
                }
                let is_recent =
                    |at: MonotonicMillis| now().since(at).duration() < WORKER_LIST_INTERVAL;
                if !listed_at.is_some_and(is_recent) {
                    listed_at = Some(now());
                    let entries = registrations.iter().filter_map(|row| row.entry.clone());
                    let entries = entries.collect();
                    ownership.with(|shard| shard.set_workers(entries, now()));
                    changed = true;
                }
                if changed {
                    ownership.events.notify_one();
                }
                let expected = ownership.with(|shard| shard.expects_workers());
                sleep(match expected {
                    Some(true) => WORKER_LIST_FAST_INTERVAL,
                    _ => WORKER_LIST_INTERVAL,
                })
                .await;
            }
            Err(StoreError::Trimmed | StoreError::Unreadable(_)) => next = None,
            Err(error) => {
                log::debug!(error = error.to_string(); "reading the workers' registrations failed; retrying");
                sleep(READ_RETRY_DELAY).await;
            }
        }
    }
}

/// Applies a change to the registrations, which are sorted by key, and passes a new or changed entry
/// to the shard. Returns whether it did.
fn apply_change<P: FleetPlatform>(
    ownership: &Rc<ShardOwnership<P>>,
    registrations: &mut Vec<Registration>,
    change: &KeyedRow,
    ignored: &mut IgnoredInput,
) -> bool {
    let found = registrations.binary_search_by(|row| row.key.cmp(&change.key));
    if change.value.is_empty() {
        ignored.resolve(&change.key);
        if let Ok(index) = found {
            registrations.remove(index);
        }
        return false;
    }
    let entry = match ownership.daemon.platform.worker_entry(change) {
        Ok(entry) => {
            ignored.resolve(&change.key);
            Some(entry)
        }
        Err(error) => {
            ignored.report(&change.key, &error);
            None
        }
    };
    let is_changed = match found {
        Ok(index) => {
            let before = std::mem::replace(&mut registrations[index].entry, entry.clone());
            before != entry
        }
        Err(index) => {
            let registration = Registration {
                key: change.key.clone(),
                entry: entry.clone(),
            };
            registrations.insert(index, registration);
            true
        }
    };
    match entry {
        Some(entry) if is_changed => {
            let id = entry.id.clone();
            ownership.with(|shard| shard.update_worker(entry, now()));
            // An idle worker is polled only if there is a reason, for example a restart.
            if let Some(link) = ownership.link(&id) {
                link.poll_now.notify_one();
            }
            true
        }
        _ => false,
    }
}
