//! What the recovery shares with the rest of the daemon.

use std::cell::{Cell, RefCell};

use vanillafold_state::{BootMillis, Stream};
use vanillafold_types::Millis;

use super::cache::RecordCache;
use super::served::ServedSnapshot;
use super::watch::SnapshotWatch;

/// How long after a read the platform counts as within reach; longer than a long poll.
const REACH_MS: Millis = Millis::new(3_000);

/// What the recovery shares with the rest of the daemon.
#[derive(Debug, Default)]
pub(crate) struct Recovery {
    /// Which snapshot the log holds.
    pub(crate) watch: RefCell<SnapshotWatch>,
    /// The last records of each stream, for peers.
    pub(crate) cache: RefCell<RecordCache>,
    /// The state as peers are given it.
    pub(crate) served: RefCell<Option<ServedSnapshot>>,
    catalogue: StreamReach,
    control: StreamReach,
}

/// Whether the platform gives a stream.
#[derive(Debug, Default)]
struct StreamReach {
    read_at: Cell<Option<BootMillis>>,
    is_out: Cell<bool>,
    is_dropped: Cell<bool>,
}

impl Recovery {
    /// Notes that a read was answered.
    pub(crate) fn note_read(&self, stream: Stream, now: BootMillis) {
        let reach = self.reach(stream);
        reach.read_at.set(Some(now));
        reach.is_out.set(false);
        reach.is_dropped.set(false);
    }

    /// Notes that a read was not answered.
    pub(crate) fn note_out(&self, stream: Stream) {
        self.reach(stream).is_out.set(true);
    }

    /// Notes that the records that are needed next were dropped.
    pub(crate) fn note_dropped(&self, stream: Stream) {
        let reach = self.reach(stream);
        reach.is_out.set(false);
        reach.is_dropped.set(true);
    }

    /// Whether the platform does not answer for `stream`.
    pub(crate) fn is_out(&self, stream: Stream) -> bool {
        self.reach(stream).is_out.get()
    }

    /// Whether the platform does not bring this daemon up to date.
    pub(crate) fn needs_peers(&self) -> bool {
        [&self.catalogue, &self.control]
            .iter()
            .any(|reach| reach.is_out.get() || reach.is_dropped.get())
    }

    /// Whether the platform gave both streams a moment ago.
    pub(crate) fn has_platform(&self, now: BootMillis) -> bool {
        [&self.catalogue, &self.control].iter().all(|reach| {
            let read_at = reach.read_at.get();
            !reach.is_out.get() && read_at.is_some_and(|at| now.since(at) < REACH_MS)
        })
    }

    const fn reach(&self, stream: Stream) -> &StreamReach {
        match stream {
            Stream::Catalogue => &self.catalogue,
            Stream::Control => &self.control,
        }
    }
}
