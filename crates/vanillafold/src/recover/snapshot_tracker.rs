//! Tracks the snapshots in the log and decides when the next one is due.

use vanillafold_state::{BootMillis, SnapshotChunk, SnapshotId, Stream};
use vanillafold_types::{Millis, Offset};

/// Maximum number of incomplete snapshots that are tracked; the oldest is forgotten first.
const MAX_PARTIALS: usize = 4;
/// A snapshot is due when a quarter of the records that the platform retains is newer than the last
/// one.
const RETAINED_DIVISOR: u64 = 4;
/// Minimum number of records between two snapshots, however few the platform retains.
const MIN_RECORDS: u64 = 16;
/// Minimum number of records between two snapshots per chunk, so that the chunks of snapshots do
/// not push a snapshot out of the retained log.
const RECORDS_PER_CHUNK: u64 = 4;
/// A snapshot started by any daemon keeps the others from starting one for this time. It is also
/// the minimum time between two snapshots.
const MIN_INTERVAL_MS: Millis = Millis::new(10_000);
/// Maximum age of the latest snapshot, so that a platform that drops records by age always retains
/// one.
const MAX_AGE_MS: Millis = Millis::new(1_800_000);

/// The snapshots seen in the log and the retained range of each stream.
#[derive(Debug, Default)]
pub(crate) struct SnapshotTracker {
    catalogue: Retained,
    control: Retained,
    partials: Vec<PartialSnapshot>,
    latest: Option<LatestSnapshot>,
}

/// The range of offsets that the platform retains of a stream; `next` is not written yet.
#[derive(Debug, Clone, Copy, Default)]
struct Retained {
    oldest: Offset,
    next: Offset,
}

/// The latest snapshot seen complete, or a state that was merged.
#[derive(Debug, Clone, Copy)]
struct LatestSnapshot {
    catalogue_next: Offset,
    control_next: Offset,
    chunks: u32,
    seen_at: BootMillis,
}

/// A snapshot of which some chunks have been seen.
#[derive(Debug)]
struct PartialSnapshot {
    id: SnapshotId,
    seen_chunks: Vec<bool>,
    started_at: BootMillis,
}

impl SnapshotTracker {
    /// Sets the range of offsets that the platform retains of `stream`.
    pub(crate) fn set_retained(&mut self, stream: Stream, oldest: Offset, next: Offset) {
        let retained = Retained { oldest, next };
        match stream {
            Stream::Catalogue => self.catalogue = retained,
            Stream::Control => self.control = retained,
        }
    }

    /// Records a chunk read from the control stream.
    pub(crate) fn note_chunk(&mut self, chunk: &SnapshotChunk, now: BootMillis) {
        let known = self
            .partials
            .iter()
            .position(|partial| partial.id == chunk.id);
        let index = known.unwrap_or_else(|| self.start_partial(chunk, now));
        let partial = &mut self.partials[index];
        if let Some(is_seen) = partial.seen_chunks.get_mut(chunk.index as usize) {
            *is_seen = true;
        }
        if !partial.seen_chunks.contains(&false) {
            self.partials.remove(index);
            self.note_complete(chunk.id, chunk.count, now);
        }
    }

    /// Records that a state with these next offsets was merged. Until a snapshot is seen in the
    /// log, the next one is due as if the log held one of this state.
    pub(crate) fn note_merged(&mut self, catalogue: Offset, control: Offset, now: BootMillis) {
        self.latest.get_or_insert(LatestSnapshot {
            catalogue_next: catalogue,
            control_next: control,
            chunks: 1,
            seen_at: now,
        });
    }

    /// Returns the offset of the first record of `stream` that is not in the latest snapshot;
    /// `None` if no snapshot is known.
    pub(crate) fn latest_snapshot_next(&self, stream: Stream) -> Option<Offset> {
        self.latest.map(|latest| match stream {
            Stream::Catalogue => latest.catalogue_next,
            Stream::Control => latest.control_next,
        })
    }

    /// Returns whether a snapshot should be written; `max_records` limits the records of a stream
    /// between two snapshots.
    pub(crate) fn is_due(&self, max_records: u64, now: BootMillis) -> bool {
        let is_started = self
            .partials
            .iter()
            .any(|partial| now.since(partial.started_at) < MIN_INTERVAL_MS);
        match self.latest {
            _ if is_started => false,
            Some(latest) => self.is_outdated(latest, max_records, now),
            None => [self.catalogue, self.control].iter().any(|retained| {
                retained.has_dropped_records() || retained.next.get() > max_records
            }),
        }
    }

    fn is_outdated(&self, latest: LatestSnapshot, max_records: u64, now: BootMillis) -> bool {
        let age_ms = now.since(latest.seen_at);
        let is_overdue = |retained: Retained, from: Offset| {
            let limit = retained.limit(max_records, latest.chunks);
            from < retained.oldest
                || retained.next.get().saturating_sub(from.get()) > limit
                || retained.has_dropped_records() && age_ms >= MAX_AGE_MS
        };
        age_ms >= MIN_INTERVAL_MS
            && (is_overdue(self.catalogue, latest.catalogue_next)
                || is_overdue(self.control, latest.control_next))
    }

    fn start_partial(&mut self, chunk: &SnapshotChunk, now: BootMillis) -> usize {
        if self.partials.len() >= MAX_PARTIALS {
            self.partials.remove(0);
        }
        self.partials.push(PartialSnapshot {
            id: chunk.id,
            // The builder refuses a greater count; here such a snapshot just never completes.
            seen_chunks: vec![false; chunk.count.clamp(1, vanillafold_state::MAX_CHUNKS) as usize],
            started_at: now,
        });
        self.partials.len() - 1
    }

    fn note_complete(&mut self, id: SnapshotId, chunks: u32, now: BootMillis) {
        let is_older = self
            .latest
            .is_some_and(|latest| latest.control_next > id.control_next);
        if is_older {
            return;
        }
        self.latest = Some(LatestSnapshot {
            catalogue_next: id.catalogue_next,
            control_next: id.control_next,
            chunks,
            seen_at: now,
        });
    }
}

impl Retained {
    fn has_dropped_records(self) -> bool {
        self.oldest > Offset::new(1)
    }

    /// Returns the number of records after a snapshot of `chunks` chunks at which the next is due.
    fn limit(self, max_records: u64, chunks: u32) -> u64 {
        let retained = self.next.get().saturating_sub(self.oldest.get());
        let min_records = MIN_RECORDS.max(u64::from(chunks) * RECORDS_PER_CHUNK);
        match self.has_dropped_records() {
            true => max_records
                .min(retained / RETAINED_DIVISOR)
                .max(min_records),
            false => max_records.max(min_records),
        }
    }
}
