//! The tasks of each worker: one looks, one sends orders.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use monoio::time::{sleep, timeout};
use vanillafold_jobs::{Order, OrderAnswer, PollPlan, WorkerId};
use vanillafold_wire::{Latch, Notify};

use super::metric;
use super::office::Office;
use super::platform::{
    FleetPlatform, KeyedRow, Keyspace, Looks, MetadataStore, Newest, Orders, StoreError,
};
use super::settings::{READ_RETRY, WORKER_LIST_HURRY, WORKER_LIST_INTERVAL};
use super::time::{now, unix_ms};

/// What the office has of one worker.
#[derive(Debug)]
pub(crate) struct WorkerLink {
    pub(crate) id: WorkerId,
    address: SocketAddr,
    orders: RefCell<Vec<Order>>,
    ordered: Notify,
    pub(crate) look: Notify,
    retired: Latch,
}

impl WorkerLink {
    pub(crate) fn push(&self, order: Order) {
        self.orders.borrow_mut().push(order);
        self.ordered.notify_one();
    }
}

/// Starts the tasks of workers that are new, and ends those of workers that are gone or moved.
pub(crate) fn keep_links<P: FleetPlatform>(office: &Rc<Office<P>>) {
    let wanted = office
        .with(|shard| shard.worker_addresses())
        .unwrap_or_default();
    let mut links = office.links.borrow_mut();
    links.retain(|link| {
        let found = wanted.binary_search_by(|row| row.0.cmp(&link.id));
        let stays = found.is_ok_and(|at| wanted[at].1 == link.address);
        if !stays {
            link.retired.set();
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
            ordered: Notify::default(),
            look: Notify::default(),
            retired: Latch::default(),
        });
        links.insert(at, Rc::clone(&link));
        monoio::spawn(while_linked(
            Rc::clone(office),
            Rc::clone(&link),
            look(Rc::clone(office), Rc::clone(&link)),
        ));
        monoio::spawn(while_linked(
            Rc::clone(office),
            Rc::clone(&link),
            order(Rc::clone(office), link),
        ));
    }
}

async fn while_linked<P: FleetPlatform>(
    office: Rc<Office<P>>,
    link: Rc<WorkerLink>,
    task: impl Future<Output = ()>,
) {
    let task = link.retired.run_until_set(task);
    office.closed.run_until_set(task).await;
}

/// Looks at a worker as the shard plans it.
async fn look<P: FleetPlatform>(office: Rc<Office<P>>, link: Rc<WorkerLink>) {
    let mut looks = office.fleet.platform.looks(&link.id, link.address);
    loop {
        if !office.may_order() {
            sleep(READ_RETRY).await;
            continue;
        }
        let plan = office.with(|shard| shard.plan_poll(&link.id, now()));
        match plan.unwrap_or(PollPlan::Gone) {
            PollPlan::Gone => return,
            PollPlan::Idle => link.look.notified().await,
            PollPlan::Later(at) => {
                // Ends early if there is a reason to look sooner.
                let _ = timeout(at.since(now()).duration(), link.look.notified()).await;
            }
            PollPlan::Poll {
                deadline_ms,
                acknowledged_end: last_seen,
                wait_ms,
            } => {
                let sent_at = now();
                let looked = looks
                    .look(office.epoch(), deadline_ms, last_seen, wait_ms)
                    .await;
                metric::look(looked.is_ok());
                match looked {
                    Ok(report) => office.with(|shard| {
                        shard.poll_answered(&link.id, &report, sent_at, now(), unix_ms());
                    }),
                    Err(answer) => office.with(|shard| {
                        shard.poll_failed(&link.id, answer, now(), unix_ms());
                    }),
                };
                office.events.notify_one();
            }
        }
    }
}

/// Sends a worker its orders, all that wait together.
async fn order<P: FleetPlatform>(office: Rc<Office<P>>, link: Rc<WorkerLink>) {
    let mut sender = office.fleet.platform.orders(&link.id, link.address);
    loop {
        link.ordered.notified().await;
        let orders = link.orders.take();
        if orders.is_empty() {
            continue;
        }
        let sent_at = now();
        let answered = |at: usize, answer: OrderAnswer| {
            metric::order(&orders[at], answer, sent_at);
            office.with(|shard| {
                shard.order_answered(&link.id, &orders[at], answer, now(), unix_ms());
            });
        };
        sender.send(office.epoch(), &orders, answered).await;
        link.look.notify_one();
        office.events.notify_one();
    }
}

/// Reads the list of workers again and again.
pub(crate) async fn list_workers<P: FleetPlatform>(office: Rc<Office<P>>) {
    let mut store = office.fleet.platform.store();
    let mut rows: Vec<KeyedRow> = Vec::new();
    let mut next = None;
    loop {
        let read = match next {
            None => {
                let mut newest = Newest::default();
                let read = store.newest(Keyspace::Workers, &mut newest).await;
                read.map(|()| {
                    rows.clear();
                    (newest.rows, newest.end.unwrap_or(0))
                })
            }
            Some(from) => store
                .follow(Keyspace::Workers, from, 0)
                .await
                .map(|tail| (tail.rows, tail.next)),
        };
        match read {
            Ok((changes, end)) => {
                next = Some(end);
                for change in changes {
                    merge(&mut rows, change);
                }
                take_in(&office, &rows);
                let expected = office.with(|shard| shard.expects_workers());
                sleep(match expected {
                    Some(true) => WORKER_LIST_HURRY,
                    _ => WORKER_LIST_INTERVAL,
                })
                .await;
            }
            Err(StoreError::Trimmed) => next = None,
            Err(error) => {
                log::debug!(error = error.to_string(); "list of workers not read");
                sleep(READ_RETRY).await;
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

fn take_in<P: FleetPlatform>(office: &Rc<Office<P>>, rows: &[KeyedRow]) {
    let mut entries = Vec::with_capacity(rows.len());
    for row in rows {
        match office.fleet.platform.worker_entry(row) {
            Ok(entry) => entries.push(entry),
            Err(error) => {
                log::debug!(key = row.key.as_str(), error = error; "registration passed over");
            }
        }
    }
    office.with(|shard| shard.set_workers(entries, now()));
    office.events.notify_one();
}
