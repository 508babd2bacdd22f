//! Caches the last records of each stream for peers that can't reach the platform.

use std::collections::VecDeque;

use vanillafold_state::Stream;
use vanillafold_types::Offset;

/// Maximum number of cached records of a stream.
const MAX_RECORDS: usize = 4_096;
/// Maximum number of cached bytes of a stream.
const MAX_BYTES: usize = 2 << 20;

/// The last records of each stream, in their encoded form.
#[derive(Debug, Default)]
pub(crate) struct RecordCache {
    catalogue: StreamCache,
    control: StreamCache,
}

#[derive(Debug, Default)]
struct StreamCache {
    first: Offset,
    total_bytes: usize,
    records: VecDeque<Vec<u8>>,
}

impl RecordCache {
    /// Adds a record. If it does not follow the last one, the stream's cache is emptied first.
    pub(crate) fn push(&mut self, stream: Stream, offset: Offset, record: &[u8]) {
        self.stream_mut(stream).push(offset, record);
    }

    /// Returns the records from `from` on: at most `max_records` with at most `max_bytes` in total,
    /// but always the first one. Returns `None` if `from` is not in the cache.
    pub(crate) fn read(
        &self,
        stream: Stream,
        from: Offset,
        max_records: usize,
        max_bytes: usize,
    ) -> Option<Vec<Vec<u8>>> {
        let cache = match stream {
            Stream::Catalogue => &self.catalogue,
            Stream::Control => &self.control,
        };
        cache.read(from, max_records, max_bytes)
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
            self.total_bytes = 0;
            self.first = offset;
        }
        self.records.push_back(record.to_vec());
        self.total_bytes += record.len();
        while self.records.len() > MAX_RECORDS || self.total_bytes > MAX_BYTES {
            let Some(oldest) = self.records.pop_front() else {
                return;
            };
            self.total_bytes -= oldest.len();
            self.first = self.first.next();
        }
    }

    fn read(&self, from: Offset, max_records: usize, max_bytes: usize) -> Option<Vec<Vec<u8>>> {
        let skipped = from.get().checked_sub(self.first.get())?;
        if from.get() >= self.next() {
            return None;
        }
        let mut remaining_bytes = max_bytes;
        let mut records = Vec::new();
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        for record in self.records.iter().skip(skipped).take(max_records) {
            if !records.is_empty() && record.len() > remaining_bytes {
                break;
            }
            remaining_bytes = remaining_bytes.saturating_sub(record.len());
            records.push(record.clone());
        }
        Some(records)
    }
}
