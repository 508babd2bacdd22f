//! Connections to targets, kept open between requests.

use std::rc::Weak;
use std::time::Duration;

use monoio::time::Instant;
use vanillafold_types::VmId;
use vanillafold_wire::http::{BodyReader, HttpReader, HttpWriter};

use super::PoolRuntime;

/// How long a connection is kept without a request.
const MAX_IDLE: Duration = Duration::from_secs(30);

/// A connection to a target; it counts against the target's limit until it is dropped.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    /// What comes from the target.
    pub(crate) incoming: Incoming,
    /// What goes to it.
    pub(crate) writer: HttpWriter,
    /// When the target last proved that it is at the other end.
    pub(crate) proven_at: Instant,
    count: ConnectionCount,
}

/// The receiving side of a connection to a target.
#[derive(Debug)]
pub(crate) struct Incoming {
    /// Reads the answer.
    pub(crate) reader: HttpReader,
    /// The answer's body while it is being read.
    pub(crate) body: Option<BodyReader>,
}

/// Counts a connection in the pool's table.
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
            proven_at: Instant::now(),
            count,
        }
    }

    /// The target.
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
    /// Takes the connection to `vm` that was used last.
    pub(crate) fn take(&mut self, vm: &VmId) -> Option<TargetConnection> {
        let index = self.find(vm).ok()?;
        self.targets[index].connections.pop()
    }

    /// Keeps a connection for the next request.
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

    /// Takes out the connections that idled too long or whose target `is_served` no more; the
    /// caller drops them when the store is no longer borrowed.
    pub(crate) fn take_stale(
        &mut self,
        is_served: impl Fn(&VmId) -> bool,
    ) -> Vec<TargetConnection> {
        let mut stale = Vec::new();
        for target in &mut self.targets {
            let served = is_served(&target.vm);
            let connections = std::mem::take(&mut target.connections);
            let (keep, drop): (Vec<_>, Vec<_>) = connections
                .into_iter()
                .partition(|connection| served && connection.proven_at.elapsed() < MAX_IDLE);
            target.connections = keep;
            stale.extend(drop);
        }
        self.targets.retain(|target| !target.connections.is_empty());
        stale
    }

    /// Takes out every connection.
    pub(crate) fn take_all(&mut self) -> Vec<TargetConnection> {
        self.take_stale(|_| false)
    }

    fn find(&self, vm: &VmId) -> Result<usize, usize> {
        self.targets.binary_search_by(|target| target.vm.cmp(vm))
    }
}
