//! Idle connections to targets, kept open for the next request.

use std::rc::Weak;
use std::time::Duration;

use monoio::time::Instant;
use vanillafold_types::VmId;
use vanillafold_wire::http::{BodyReader, HttpReader, HttpWriter};

use super::PoolRuntime;

/// Idle connections are closed after this time.
const MAX_IDLE: Duration = Duration::from_secs(30);

/// A connection to a target. It counts towards the target's connection limit until it is dropped.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    /// The receiving side.
    pub(crate) incoming: Incoming,
    /// The sending side.
    pub(crate) writer: HttpWriter,
    /// When the connection was opened or last carried a whole answer, which shows that the target
    /// was at the other end.
    pub(crate) last_alive_at: Instant,
    count: ConnectionCount,
}

/// The receiving side of a connection to a target.
#[derive(Debug)]
pub(crate) struct Incoming {
    /// Reads answers from the connection.
    pub(crate) reader: HttpReader,
    /// The answer's body while it is being read.
    pub(crate) body: Option<BodyReader>,
}

/// Removes a connection from the count in the pool's table when it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionCount {
    pub(crate) pool: Weak<PoolRuntime>,
    pub(crate) vm: VmId,
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        if let Some(pool) = self.pool.upgrade() {
            pool.table.borrow_mut().connection_closed(&self.vm);
        }
    }
}

impl TargetConnection {
    pub(crate) fn new((reader, writer): (HttpReader, HttpWriter), count: ConnectionCount) -> Self {
        Self {
            incoming: Incoming { reader, body: None },
            writer,
            last_alive_at: Instant::now(),
            count,
        }
    }

    /// Returns the target.
    pub(crate) fn vm(&self) -> &VmId {
        &self.count.vm
    }
}

/// Idle connections of a pool, sorted by target.
#[derive(Debug, Default)]
pub(crate) struct ConnectionStore {
    targets: Vec<IdleTarget>,
}

#[derive(Debug)]
struct IdleTarget {
    vm: VmId,
    connections: Vec<TargetConnection>,
}

impl ConnectionStore {
    /// Takes the most recently used idle connection to `vm`.
    pub(crate) fn take(&mut self, vm: &VmId) -> Option<TargetConnection> {
        let index = self.find(vm).ok()?;
        self.targets[index].connections.pop()
    }

    /// Stores an idle connection.
    pub(crate) fn put(&mut self, connection: TargetConnection) {
        let index = match self.find(connection.vm()) {
            Ok(index) => index,
            Err(index) => {
                let idle = IdleTarget {
                    vm: connection.vm().clone(),
                    connections: Vec::new(),
                };
                self.targets.insert(index, idle);
                index
            }
        };
        self.targets[index].connections.push(connection);
    }

    /// Removes and returns the connections that were idle for too long or whose target takes no
    /// more requests. The caller drops them once the store is no longer borrowed.
    pub(crate) fn take_stale(
        &mut self,
        takes_work: impl Fn(&VmId) -> bool,
    ) -> Vec<TargetConnection> {
        let mut stale = Vec::new();
        for target in &mut self.targets {
            let is_usable = takes_work(&target.vm);
            let connections = std::mem::take(&mut target.connections);
            let (keep, drop): (Vec<_>, Vec<_>) = connections
                .into_iter()
                .partition(|connection| is_usable && connection.last_alive_at.elapsed() < MAX_IDLE);
            target.connections = keep;
            stale.extend(drop);
        }
        self.targets.retain(|target| !target.connections.is_empty());
        stale
    }

    /// Removes and returns all connections.
    pub(crate) fn take_all(&mut self) -> Vec<TargetConnection> {
        self.take_stale(|_| false)
    }

    fn find(&self, vm: &VmId) -> Result<usize, usize> {
        self.targets.binary_search_by(|target| target.vm.cmp(vm))
    }
}
