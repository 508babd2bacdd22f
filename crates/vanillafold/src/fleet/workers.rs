//! The tasks of each worker: one looks, one sends orders.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use monoio::time::{sleep, timeout};
use vanillafold_jobs::{HoldPlan, Order, OrderAnswer, WorkerId};
use vanillafold_wire::{Notice, Signal};

use super::metric;
use super::ownership::ShardOwnership;
use super::platform::{
    FleetPlatform, KeyedRow, Keyspace, LatestRows, MetadataStore, OrderSender, StoreError,
    WorkerPoller,
};
use super::settings::{READ_RETRY_DELAY, WORKER_LIST_FAST_INTERVAL, WORKER_LIST_INTERVAL};
use super::time::{now, unix_ms};

/// What the office has of one worker.
#[derive(Debug)]
pub(crate) struct WorkerLink {
    pub(crate) id: WorkerId,
    address: SocketAddr,
    orders: RefCell<Vec<Order>>,
    orders_ready: Notice,
    pub(crate) poll_now: Notice,
    retired: Signal,
}

impl WorkerLink {
    pub(crate) fn push(&self, order: Order) {
        self.orders.borrow_mut().push(order);
        self.orders_ready.give();
    }
}

/// Starts the tasks of workers that are new, and ends those of workers that are gone or moved.
pub(crate) fn update_links<P: FleetPlatform>(ownership: &Rc<ShardOwnership<P>>) {
    let wanted = ownership
        .with(|shard| shard.worker_addresses())
        .unwrap_or_default();
    let mut links = ownership.links.borrow_mut();
    links.retain(|link| {
        let found = wanted.binary_search_by(|row| row.0.cmp(&link.id));
        let stays = found.is_ok_and(|at| wanted[at].1 == link.address);
        if !stays {
            link.retired.raise();
        }
        stays
    });
    for (id, address) in wanted {
        let Err(at) = links.binary_search_by(|link| link.id.cmp(&id)) else {
            continue;
        };
        let link = Rc::new(WorkerLink {
            id,
            address,
            orders: RefCell::new(Vec::new()),
            orders_ready: Notice::default(),
            poll_now: Notice::default(),
            retired: Signal::default(),
        });
        links.insert(at, Rc::clone(&link));
        monoio::spawn(run_while_linked(
            Rc::clone(ownership),
            Rc::clone(&link),
            look(Rc::clone(ownership), Rc::clone(&link)),
        ));
        monoio::spawn(run_while_linked(
            Rc::clone(ownership),
            Rc::clone(&link),
            order(Rc::clone(ownership), link),
        ));
    }
}

async fn run_while_linked<P: FleetPlatform>(
    ownership: Rc<ShardOwnership<P>>,
    link: Rc<WorkerLink>,
    task: impl Future<Output = ()>,
) {
    let task = link.retired.cancel(task);
    ownership.closed.cancel(task).await;
}

/// Looks at a worker as the shard plans it.
async fn look<P: FleetPlatform>(ownership: Rc<ShardOwnership<P>>, link: Rc<WorkerLink>) {
    let mut looks = ownership.daemon.platform.poller(&link.id, link.address);
    loop {
        if !ownership.may_send_orders() {
            sleep(READ_RETRY_DELAY).await;
            continue;
        }
        let plan = ownership.with(|shard| shard.plan_hold(&link.id, now()));
        match plan.unwrap_or(HoldPlan::Gone) {
            HoldPlan::Gone => return,
            HoldPlan::Idle => link.poll_now.take().await,
            HoldPlan::Later(at) => {
                // Ends early if there is a reason to look sooner.
                let _ = timeout(at.since(now()).duration(), link.poll_now.take()).await;
            }
            HoldPlan::Look {
                deadline_ms,
                last_seen,
                wait_ms,
            } => {
                let sent_at = now();
                let looked = looks
                    .poll(ownership.epoch(), deadline_ms, last_seen, wait_ms)
                    .await;
                metric::poll(looked.is_ok());
                match looked {
                    Ok(report) => ownership.with(|shard| {
                        shard.hold_answered(&link.id, &report, sent_at, now(), unix_ms());
                    }),
                    Err(answer) => ownership.with(|shard| {
                        shard.hold_failed(&link.id, answer, now(), unix_ms());
                    }),
                };
                ownership.events.give();
            }
        }
    }
}

/// Sends a worker its orders, all that wait together.
async fn order<P: FleetPlatform>(ownership: Rc<ShardOwnership<P>>, link: Rc<WorkerLink>) {
    let mut sender = ownership
        .daemon
        .platform
        .order_sender(&link.id, link.address);
    loop {
        link.orders_ready.take().await;
        let orders = link.orders.take();
        if orders.is_empty() {
            continue;
        }
        let sent_at = now();
        let answered = |at: usize, answer: OrderAnswer| {
            metric::order(&orders[at], answer, sent_at);
            ownership.with(|shard| {
                shard.order_answered(&link.id, &orders[at], answer, now(), unix_ms());
            });
        };
        sender.send(ownership.epoch(), &orders, answered).await;
        link.poll_now.give();
        ownership.events.give();
    }
}

/// Reads the list of workers again and again.
pub(crate) async fn list_workers<P: FleetPlatform>(ownership: Rc<ShardOwnership<P>>) {
    let mut store = ownership.daemon.platform.store();
    let mut rows: Vec<KeyedRow> = Vec::new();
    let mut next = None;
    loop {
        let read = match next {
            None => {
                let mut newest = LatestRows::default();
                let read = store.read_latest(Keyspace::Workers, &mut newest).await;
                read.map(|()| {
                    rows.clear();
                    (newest.rows, newest.next_offset.unwrap_or(0))
                })
            }
            Some(from) => store
                .read_changes(Keyspace::Workers, from, 0)
                .await
                .map(|tail| (tail.rows, tail.next_offset)),
        };
        match read {
            Ok((changes, end)) => {
                next = Some(end);
                for change in changes {
                    merge(&mut rows, change);
                }
                take_in(&ownership, &rows);
                let expected = ownership.with(|shard| shard.expects_workers());
                sleep(match expected {
                    Some(true) => WORKER_LIST_FAST_INTERVAL,
                    _ => WORKER_LIST_INTERVAL,
                })
                .await;
            }
            Err(StoreError::Trimmed) => next = None,
            Err(error) => {
                log::debug!(error = error.to_string(); "list of workers not read");
                sleep(READ_RETRY_DELAY).await;
            }
        }
    }
}

fn merge(rows: &mut Vec<KeyedRow>, change: KeyedRow) {
    match rows.binary_search_by(|row| row.key.cmp(&change.key)) {
        Ok(at) if change.value.is_empty() => {
            rows.remove(at);
        }
        Ok(at) => rows[at] = change,
        Err(_) if change.value.is_empty() => {}
        Err(at) => rows.insert(at, change),
    }
}

fn take_in<P: FleetPlatform>(ownership: &Rc<ShardOwnership<P>>, rows: &[KeyedRow]) {
    let mut entries = Vec::with_capacity(rows.len());
    for row in rows {
        match ownership.daemon.platform.worker_entry(row) {
            Ok(entry) => entries.push(entry),
            Err(error) => {
                log::debug!(key = row.key.as_str(), error = error; "registration passed over");
            }
        }
    }
    ownership.with(|shard| shard.set_workers(entries, now()));
    ownership.events.give();
}
