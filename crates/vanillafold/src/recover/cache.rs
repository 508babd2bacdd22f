//! The last records of each stream, for peers that the platform does not reach.

use std::collections::VecDeque;

use vanillafold_state::Stream;
use vanillafold_types::Offset;

/// The most records that are kept of a stream.
const MAX_RECORDS: usize = 4_096;
/// The most bytes of records that are kept of a stream.
const MAX_BYTES: usize = 2 << 20;

/// The last records of each stream, as the platform gave them.
#[derive(Debug, Default)]
pub(crate) struct RecordCache {
    catalogue: StreamCache,
    control: StreamCache,
}

#[derive(Debug, Default)]
struct StreamCache {
    first: Offset,
    held_bytes: usize,
    records: VecDeque<Vec<u8>>,
}

impl RecordCache {
    /// Keeps a record; one that doesn't follow the last drops what is there.
    pub(crate) fn push(&mut self, stream: Stream, offset: Offset, record: &[u8]) {
        self.stream_mut(stream).push(offset, record);
    }

    /// The records from `from` on, at most `most_records` of `most_bytes` together, but at least
    /// one if there is one; `None` if `from` is not among them.
    pub(crate) fn read(
        &self,
        stream: Stream,
        from: Offset,
        most_records: usize,
        most_bytes: usize,
    ) -> Option<Vec<Vec<u8>>> {
        let cache = match stream {
            Stream::Catalogue => &self.catalogue,
            Stream::Control => &self.control,
        };
        cache.read(from, most_records, most_bytes)
    }

    const fn stream_mut(&mut self, stream: Stream) -> &mut StreamCache {
        match stream {
            Stream::Catalogue => &mut self.catalogue,
            Stream::Control => &mut self.control,
        }
    }
}

impl StreamCache {
    fn next(&self) -> u64 {
        self.first.get() + self.records.len() as u64
    }

    fn push(&mut self, offset: Offset, record: &[u8]) {
        if offset.get() != self.next() {
            self.records.clear();
            self.held_bytes = 0;
            self.first = offset;
        }
        self.records.push_back(record.to_vec());
        self.held_bytes += record.len();
        while self.records.len() > MAX_RECORDS || self.held_bytes > MAX_BYTES {
            let Some(oldest) = self.records.pop_front() else {
                return;
            };
            self.held_bytes -= oldest.len();
            self.first = self.first.next();
        }
    }

    fn read(&self, from: Offset, most_records: usize, most_bytes: usize) -> Option<Vec<Vec<u8>>> {
        let skipped = from.get().checked_sub(self.first.get())?;
        if from.get() >= self.next() {
            return None;
        }
        let mut left_bytes = most_bytes;
        let mut records = Vec::new();
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        for record in self.records.iter().skip(skipped).take(most_records) {
            if !records.is_empty() && record.len() > left_bytes {
                break;
            }
            left_bytes = left_bytes.saturating_sub(record.len());
            records.push(record.clone());
        }
        Some(records)
    }
}
