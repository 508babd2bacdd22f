//! The recovery's state that other tasks of the daemon use.

use std::cell::{Cell, RefCell};

use vanillafold_state::{BootMillis, Stream};
use vanillafold_types::Millis;

use super::cache::RecordCache;
use super::served::ServedSnapshot;
use super::snapshot_tracker::SnapshotTracker;

/// The platform counts as reachable for this time after a read. It must exceed a long poll.
const REACHABLE_MS: Millis = Millis::new(3_000);

/// Availability of the platform, the snapshot tracker, and what is served to peers.
#[derive(Debug, Default)]
pub(crate) struct Recovery {
    /// Decides when the next snapshot is due.
    pub(crate) snapshot_tracker: RefCell<SnapshotTracker>,
    /// The last records of each stream, for peers that request them.
    pub(crate) record_cache: RefCell<RecordCache>,
    /// The snapshot from which peers are sent chunks; `None` until the first request.
    pub(crate) served_snapshot: RefCell<Option<ServedSnapshot>>,
    catalogue: StreamStatus,
    control: StreamStatus,
}

/// Availability of a stream at the platform, as of the last read.
#[derive(Debug, Default)]
struct StreamStatus {
    read_at: Cell<Option<BootMillis>>,
    is_unavailable: Cell<bool>,
    is_dropped: Cell<bool>,
}

impl Recovery {
    /// Records that the platform answered a read.
    pub(crate) fn note_read(&self, stream: Stream, now: BootMillis) {
        let status = self.status(stream);
        status.read_at.set(Some(now));
        status.is_unavailable.set(false);
        status.is_dropped.set(false);
    }

    /// Records that the platform did not answer a read.
    pub(crate) fn note_unavailable(&self, stream: Stream) {
        self.status(stream).is_unavailable.set(true);
    }

    /// Records that the platform has dropped the records that are needed next.
    pub(crate) fn note_dropped(&self, stream: Stream) {
        let status = self.status(stream);
        status.is_unavailable.set(false);
        status.is_dropped.set(true);
    }

    /// Returns whether the platform did not answer the last read of `stream`.
    pub(crate) fn is_unavailable(&self, stream: Stream) -> bool {
        self.status(stream).is_unavailable.get()
    }

    /// Returns whether the platform can't bring this daemon up to date: it does not answer, or has
    /// dropped records needed.
    pub(crate) fn needs_peers(&self) -> bool {
        [&self.catalogue, &self.control]
            .iter()
            .any(|status| status.is_unavailable.get() || status.is_dropped.get())
    }

    /// Returns whether the platform answered reads of both streams within [`REACHABLE_MS`].
    pub(crate) fn is_platform_reachable(&self, now: BootMillis) -> bool {
        [&self.catalogue, &self.control].iter().all(|status| {
            let read_at = status.read_at.get();
            !status.is_unavailable.get() && read_at.is_some_and(|at| now.since(at) < REACHABLE_MS)
        })
    }

    const fn status(&self, stream: Stream) -> &StreamStatus {
        match stream {
            Stream::Catalogue => &self.catalogue,
            Stream::Control => &self.control,
        }
    }
}
