//! The runtime state of a pool on this daemon: targets, idle connections and waiting requests.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use monoio::net::TcpStream;
use monoio::time::{Instant, sleep, timeout};
use vanillafold_policy::{
    DaemonMember, MonotonicMillis, PickOptions, PickRefusal, PickedTarget, SendOutcome, SplitMix,
    TargetLimits, TargetTable,
};
use vanillafold_types::{Connections, Millis, Pool, PoolId, Slots, VmId, ZoneId};
use vanillafold_wire::http::split;

use super::connection_store::{ConnectionCount, ConnectionStore, TargetConnection};
use crate::wait::WaitList;

/// How often the first waiting request tries again to take a slot. A slot that is freed by another
/// daemon's request wakes nobody here.
const RECHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A pool's targets, idle connections and waiting requests on this daemon.
#[derive(Debug)]
pub(crate) struct PoolRuntime {
    pub(crate) id: PoolId,
    /// Slots, load and health of the pool's targets.
    pub(crate) table: RefCell<TargetTable>,
    /// Idle connections to the pool's targets.
    pub(crate) connections: RefCell<ConnectionStore>,
    /// Requests that wait for a slot.
    pub(crate) waiters: Rc<WaitList>,
    rechecking: Cell<bool>,
    applied_limits: Cell<(Slots, Connections)>,
}

/// A reserved slot of a target. [`Slot::finish`] releases it with the outcome of the send; dropping
/// it releases it as abandoned.
#[derive(Debug)]
pub(crate) struct Slot {
    pool: Rc<PoolRuntime>,
    picked: Option<PickedTarget>,
    /// When the slot was taken.
    pub(crate) taken_at: Instant,
}

/// Why no connection to a target could be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectError {
    /// This daemon already uses its whole share of the target's connections.
    ShareInUse,
    /// The target refused the connection or did not accept it in time.
    Refused,
}

impl PoolRuntime {
    pub(crate) fn new(pool: &Pool, own: DaemonMember, daemons: Vec<DaemonMember>) -> Rc<Self> {
        let mut table = TargetTable::new(own, limits(pool));
        table.set_daemons(daemons);
        Rc::new(Self {
            id: pool.id.clone(),
            table: RefCell::new(table),
            connections: RefCell::default(),
            waiters: WaitList::new(),
            rechecking: Cell::new(false),
            applied_limits: Cell::new((pool.slots_per_vm, pool.connections_per_vm)),
        })
    }

    /// Applies the pool's limits from the catalogue. Unchanged limits are skipped, because with new
    /// ones the table divides the connections of every target again.
    pub(crate) fn set_limits(&self, pool: &Pool) {
        let new_limits = (pool.slots_per_vm, pool.connections_per_vm);
        if self.applied_limits.replace(new_limits) != new_limits {
            self.table.borrow_mut().set_limits(limits(pool));
        }
    }

    /// Sets the zones that are evacuated. Waiting requests are then tried again: they may have no
    /// target left, or a restored one.
    pub(crate) fn set_evacuated_zones(&self, zones: &[ZoneId]) {
        if self.table.borrow_mut().set_evacuated_zones(zones) {
            self.waiters.wake_first();
        }
    }

    /// Picks the best target and takes one of its slots.
    ///
    /// # Errors
    ///
    /// [`PickRefusal`] if no target can take a request now.
    pub(crate) fn try_take(
        self: &Rc<Self>,
        now: MonotonicMillis,
        rng: &mut SplitMix,
        options: PickOptions<'_>,
    ) -> Result<Slot, PickRefusal> {
        let mut table = self.table.borrow_mut();
        let picked = table.pick(now, rng, options)?;
        table.send_started(&picked);
        Ok(Slot {
            pool: Rc::clone(self),
            picked: Some(picked),
            taken_at: Instant::now(),
        })
    }

    /// Returns a connection to the slot's target: an idle one whose target answered within
    /// `max_alive_age` (of any age if `None`), otherwise a new one, opened within `limit`.
    ///
    /// # Errors
    ///
    /// [`ConnectError`] if there is no idle connection and none can be opened; nothing was sent.
    pub(crate) async fn connect(
        self: &Rc<Self>,
        slot: &Slot,
        max_alive_age: Option<Duration>,
        limit: Duration,
    ) -> Result<TargetConnection, ConnectError> {
        let picked = slot.picked.as_ref().ok_or(ConnectError::Refused)?;
        let vm = picked.vm();
        while let Some(mut idle) = self.take_idle(vm) {
            let is_recent = max_alive_age.is_none_or(|age| idle.last_alive_at.elapsed() <= age);
            if is_recent && idle.incoming.reader.is_reusable().await {
                return Ok(idle);
            }
        }
        if !self.table.borrow().may_connect(vm) {
            return Err(ConnectError::ShareInUse);
        }
        self.table.borrow_mut().connection_opened(vm);
        let count = ConnectionCount {
            pool: Rc::downgrade(self),
            vm: vm.clone(),
        };
        match timeout(limit, TcpStream::connect_addr(picked.address())).await {
            Ok(Ok(stream)) => Ok(TargetConnection::new(split(stream), count)),
            Ok(Err(_)) | Err(_) => Err(ConnectError::Refused),
        }
    }

    /// Puts a connection back among the idle ones. Its last answer must have been read to the end.
    pub(crate) fn return_connection(&self, mut connection: TargetConnection) {
        connection.last_alive_at = Instant::now();
        connection.incoming.body = None;
        connection.incoming.reader.shrink();
        connection.writer.shrink();
        self.connections.borrow_mut().put(connection);
    }

    /// Closes connections that were idle for too long or whose target takes no more requests.
    pub(crate) fn close_stale(&self) {
        let stale = {
            let table = self.table.borrow();
            self.connections
                .borrow_mut()
                .take_stale(|vm| table.takes_work(vm))
        };
        drop(stale);
    }

    /// Closes all idle connections.
    pub(crate) fn close_idle(&self) {
        let connections = self.connections.borrow_mut().take_all();
        drop(connections);
    }

    /// Wakes the first waiting request every [`RECHECK_INTERVAL`] until none waits. Does nothing if
    /// that is running already.
    pub(crate) fn wake_waiters_periodically(self: &Rc<Self>) {
        if self.rechecking.replace(true) {
            return;
        }
        let pool = Rc::clone(self);
        monoio::spawn(async move {
            while !pool.waiters.is_empty() {
                sleep(RECHECK_INTERVAL).await;
                pool.waiters.wake_first();
            }
            pool.rechecking.set(false);
        });
    }

    fn take_idle(&self, vm: &VmId) -> Option<TargetConnection> {
        self.connections.borrow_mut().take(vm)
    }
}

impl Slot {
    /// Returns the target; `None` once the slot has been released.
    pub(crate) fn vm(&self) -> Option<&VmId> {
        self.picked.as_ref().map(PickedTarget::vm)
    }

    /// Returns whether a request may still be sent to the target.
    pub(crate) fn takes_work(&self) -> bool {
        self.vm()
            .is_some_and(|vm| self.pool.table.borrow().takes_work(vm))
    }

    /// Returns the time since the slot was taken.
    pub(crate) fn waited_ms(&self) -> Millis {
        self.taken_at.elapsed().into()
    }

    /// Releases the slot and records the outcome of the send for the target.
    pub(crate) fn finish(mut self, now: MonotonicMillis, outcome: SendOutcome) {
        self.end(now, outcome);
    }

    fn end(&mut self, now: MonotonicMillis, outcome: SendOutcome) {
        if let Some(picked) = self.picked.take() {
            self.pool
                .table
                .borrow_mut()
                .send_finished(picked, now, outcome);
            self.pool.waiters.wake_first();
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        // An abandoned send says nothing about the target, so the table does not need the time.
        self.end(MonotonicMillis::ZERO, SendOutcome::Abandoned);
    }
}

fn limits(pool: &Pool) -> TargetLimits {
    TargetLimits {
        slots_per_vm: pool.slots_per_vm,
        connections_per_vm: pool.connections_per_vm,
    }
}
