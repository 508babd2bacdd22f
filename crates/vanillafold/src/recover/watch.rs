//! Which snapshot the log holds, and whether it is time for the next.

use vanillafold_state::{BootMillis, SnapshotChunk, SnapshotId, Stream};
use vanillafold_types::{Millis, Offset};

/// The most unfinished snapshots that are watched.
const MAX_PARTIALS: usize = 4;
/// A snapshot is due when this part of the records that the platform keeps is newer than the
/// last one: a quarter.
const KEPT_PART: u64 = 4;
/// The least number of records between two snapshots, however few the platform keeps.
const MIN_RECORDS: u64 = 16;
/// Records between two snapshots for each piece of one, so that snapshots don't displace
/// themselves.
const RECORDS_PER_PIECE: u64 = 4;
/// How long a snapshot that somebody has begun keeps others from beginning theirs, and the
/// least time between two.
const GAP_MS: Millis = Millis::new(10_000);
/// How old a snapshot may become, so that a platform that keeps records by age keeps one.
const MAX_AGE_MS: Millis = Millis::new(1_800_000);

/// Which snapshot the log holds, and whether it is time for the next.
#[derive(Debug, Default)]
pub(crate) struct SnapshotWatch {
    catalogue: Kept,
    control: Kept,
    partials: Vec<Partial>,
    newest: Option<Newest>,
}

/// What the platform keeps of a stream.
#[derive(Debug, Clone, Copy, Default)]
struct Kept {
    oldest: Offset,
    next: Offset,
}

/// A snapshot that was seen whole, or a state that was adopted.
#[derive(Debug, Clone, Copy)]
struct Newest {
    catalogue_next: Offset,
    control_next: Offset,
    pieces: u32,
    seen_at: BootMillis,
}

/// A snapshot of which some pieces were seen.
#[derive(Debug)]
struct Partial {
    id: SnapshotId,
    is_seen: Vec<bool>,
    begun_at: BootMillis,
}

impl SnapshotWatch {
    /// Notes what the platform keeps of `stream`.
    pub(crate) fn note_kept(&mut self, stream: Stream, oldest: Offset, next: Offset) {
        let kept = Kept { oldest, next };
        match stream {
            Stream::Catalogue => self.catalogue = kept,
            Stream::Control => self.control = kept,
        }
    }

    /// Notes a piece that the control stream has brought.
    pub(crate) fn note_piece(&mut self, piece: &SnapshotChunk, now: BootMillis) {
        let known = self.partials.iter().position(|part| part.id == piece.id);
        let index = known.unwrap_or_else(|| self.begin(piece, now));
        let partial = &mut self.partials[index];
        if let Some(is_seen) = partial.is_seen.get_mut(piece.index as usize) {
            *is_seen = true;
        }
        if !partial.is_seen.contains(&false) {
            self.partials.remove(index);
            self.note_whole(piece.id, piece.count, now);
        }
    }

    /// Notes that the state was taken over: until a snapshot is seen, the next one is due as if
    /// there were one of this state.
    pub(crate) fn note_adopted(&mut self, catalogue: Offset, control: Offset, now: BootMillis) {
        self.newest.get_or_insert(Newest {
            catalogue_next: catalogue,
            control_next: control,
            pieces: 1,
            seen_at: now,
        });
    }

    /// The offset of `stream` from which the newest snapshot goes on.
    pub(crate) fn latest_snapshot_next(&self, stream: Stream) -> Option<Offset> {
        self.newest.map(|newest| match stream {
            Stream::Catalogue => newest.catalogue_next,
            Stream::Control => newest.control_next,
        })
    }

    /// Whether a snapshot should be written; `most_records` is the most that may follow one.
    pub(crate) fn is_due(&self, most_records: u64, now: BootMillis) -> bool {
        let is_begun = self
            .partials
            .iter()
            .any(|partial| now.since(partial.begun_at) < GAP_MS);
        match self.newest {
            _ if is_begun => false,
            Some(newest) => self.is_outdated(newest, most_records, now),
            None => [self.catalogue, self.control]
                .iter()
                .any(|kept| kept.has_dropped() || kept.next.get() > most_records),
        }
    }

    fn is_outdated(&self, newest: Newest, most_records: u64, now: BootMillis) -> bool {
        let age_ms = now.since(newest.seen_at);
        let is_late = |kept: Kept, from: Offset| {
            let limit = kept.limit(most_records, newest.pieces);
            from < kept.oldest
                || kept.next.get().saturating_sub(from.get()) > limit
                || kept.has_dropped() && age_ms >= MAX_AGE_MS
        };
        age_ms >= GAP_MS
            && (is_late(self.catalogue, newest.catalogue_next)
                || is_late(self.control, newest.control_next))
    }

    fn begin(&mut self, piece: &SnapshotChunk, now: BootMillis) -> usize {
        if self.partials.len() >= MAX_PARTIALS {
            self.partials.remove(0);
        }
        self.partials.push(Partial {
            id: piece.id,
            // A count beyond the bound is refused by the builder; here it just has no end.
            is_seen: vec![false; piece.count.clamp(1, vanillafold_state::MAX_CHUNKS) as usize],
            begun_at: now,
        });
        self.partials.len() - 1
    }

    fn note_whole(&mut self, id: SnapshotId, pieces: u32, now: BootMillis) {
        let is_older = self
            .newest
            .is_some_and(|newest| newest.control_next > id.control_next);
        if is_older {
            return;
        }
        self.newest = Some(Newest {
            catalogue_next: id.catalogue_next,
            control_next: id.control_next,
            pieces,
            seen_at: now,
        });
    }
}

impl Kept {
    fn has_dropped(self) -> bool {
        self.oldest > Offset::new(1)
    }

    /// How many records may follow a snapshot before the next one is due.
    fn limit(self, most_records: u64, pieces: u32) -> u64 {
        let kept = self.next.get().saturating_sub(self.oldest.get());
        let least = MIN_RECORDS.max(u64::from(pieces) * RECORDS_PER_PIECE);
        match self.has_dropped() {
            true => most_records.min(kept / KEPT_PART).max(least),
            false => most_records.max(least),
        }
    }
}
