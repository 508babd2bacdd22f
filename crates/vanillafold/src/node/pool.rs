//! A pool as this daemon runs it: its targets, connections and waiting requests.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use monoio::net::TcpStream;
use monoio::time::{Instant, sleep, timeout};
use vanillafold_policy::{
    DaemonMember, MonotonicMillis, PickOptions, PickRefusal, PickedTarget, SendOutcome, SplitMix,
    TargetLimits, TargetTable,
};
use vanillafold_types::{Connections, Millis, Pool, PoolId, Slots, VmId};
use vanillafold_wire::http::split;

use super::connection_store::{ConnectionCount, ConnectionStore, TargetConnection};
use crate::wait::WaitList;

/// How often waiting requests look for a slot that another daemon's request has freed.
const RECHECK: Duration = Duration::from_millis(5);

/// A pool's targets as this daemon sees them.
#[derive(Debug)]
pub(crate) struct PoolRuntime {
    /// The pool.
    pub(crate) id: PoolId,
    /// Its targets.
    pub(crate) table: RefCell<TargetTable>,
    /// Idle connections to them.
    pub(crate) connections: RefCell<ConnectionStore>,
    /// Requests that wait for a slot.
    pub(crate) waiters: Rc<WaitList>,
    rechecking: Cell<bool>,
    told_limits: Cell<(Slots, Connections)>,
}

/// A slot of a target, in use until it is finished or dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    pool: Rc<PoolRuntime>,
    picked: Option<PickedTarget>,
    /// When it was taken.
    pub(crate) taken_at: Instant,
}

/// Why there is no connection to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectError {
    /// This daemon's share of the target's connections is in use.
    ShareInUse,
    /// The target did not take the connection.
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
            told_limits: Cell::new((pool.slots_per_vm, pool.connections_per_vm)),
        })
    }

    /// Takes the pool's limits from the catalogue. Unchanged ones cost nothing: the table splits
    /// connections anew for each target.
    pub(crate) fn set_limits(&self, pool: &Pool) {
        let told = (pool.slots_per_vm, pool.connections_per_vm);
        if self.told_limits.replace(told) != told {
            self.table.borrow_mut().set_limits(limits(pool));
        }
    }

    /// Takes a slot of the best target.
    ///
    /// # Errors
    ///
    /// Why there is none now.
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

    /// A connection to the slot's target: a kept one, if it proved itself alive within
    /// `max_proof_age`, otherwise a new one.
    ///
    /// # Errors
    ///
    /// [`ConnectError`]; nothing was sent.
    pub(crate) async fn connect(
        self: &Rc<Self>,
        slot: &Slot,
        max_proof_age: Option<Duration>,
        limit: Duration,
    ) -> Result<TargetConnection, ConnectError> {
        let picked = slot.picked.as_ref().ok_or(ConnectError::Refused)?;
        let vm = picked.vm();
        while let Some(mut kept) = self.take_kept(vm) {
            let proven = max_proof_age.is_none_or(|age| kept.proven_at.elapsed() <= age);
            if proven && kept.incoming.reader.is_reusable().await {
                return Ok(kept);
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

    /// Keeps a connection whose last answer was read whole.
    pub(crate) fn keep(&self, mut connection: TargetConnection) {
        connection.proven_at = Instant::now();
        connection.incoming.body = None;
        connection.incoming.reader.shrink();
        connection.writer.shrink();
        self.connections.borrow_mut().put(connection);
    }

    /// Closes connections that idled too long or whose target is gone.
    pub(crate) fn sweep(&self) {
        let stale = {
            let table = self.table.borrow();
            self.connections
                .borrow_mut()
                .take_stale(|vm| table.takes_work(vm))
        };
        drop(stale);
    }

    /// Closes every idle connection.
    pub(crate) fn close_idle(&self) {
        let connections = self.connections.borrow_mut().take_all();
        drop(connections);
    }

    /// Looks for freed slots again and again while requests wait.
    pub(crate) fn recheck(self: &Rc<Self>) {
        if self.rechecking.replace(true) {
            return;
        }
        let pool = Rc::clone(self);
        monoio::spawn(async move {
            while !pool.waiters.is_empty() {
                sleep(RECHECK).await;
                pool.waiters.wake_first();
            }
            pool.rechecking.set(false);
        });
    }

    fn take_kept(&self, vm: &VmId) -> Option<TargetConnection> {
        self.connections.borrow_mut().take(vm)
    }
}

impl Slot {
    /// The target.
    pub(crate) fn vm(&self) -> Option<&VmId> {
        self.picked.as_ref().map(PickedTarget::vm)
    }

    /// Whether new work may still be written to the target.
    pub(crate) fn takes_work(&self) -> bool {
        self.vm()
            .is_some_and(|vm| self.pool.table.borrow().takes_work(vm))
    }

    /// The time since the slot was taken.
    pub(crate) fn waited_ms(&self) -> Millis {
        self.taken_at.elapsed().into()
    }

    /// Gives the slot back with what was learned about the target.
    pub(crate) fn finish(mut self, now: MonotonicMillis, finish: SendOutcome) {
        self.end(now, finish);
    }

    fn end(&mut self, now: MonotonicMillis, finish: SendOutcome) {
        if let Some(picked) = self.picked.take() {
            self.pool
                .table
                .borrow_mut()
                .send_finished(picked, now, finish);
            self.pool.waiters.wake_first();
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        // Abandoned sends teach nothing, so the table does not need the time.
        self.end(MonotonicMillis::ZERO, SendOutcome::Abandoned);
    }
}

fn limits(pool: &Pool) -> TargetLimits {
    TargetLimits {
        slots_per_vm: pool.slots_per_vm,
        connections_per_vm: pool.connections_per_vm,
    }
}
