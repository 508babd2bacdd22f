//! A stream of the platform's log, kept in memory.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use vanillafold_types::Offset;
use vanillafold_wire::platform::encode_frame;

/// The largest body of a read's answer, in bytes. A read returns fewer records than it may rather
/// than a larger body, but at least one.
const MAX_READ_BYTES: usize = 4 << 20;

/// The records of a stream at consecutive offsets, without those that retention has dropped.
#[derive(Debug)]
pub(crate) struct LogStream {
    oldest_offset: u64,
    records: VecDeque<Bytes>,
}

impl LogStream {
    pub(crate) const fn new() -> Self {
        Self {
            oldest_offset: 1,
            records: VecDeque::new(),
        }
    }

    /// Returns the offset of the oldest record that is kept; that of the next append if none is.
    pub(crate) const fn oldest_offset(&self) -> Offset {
        Offset::new(self.oldest_offset)
    }

    /// Returns the offset that the next append gets.
    pub(crate) fn next_offset(&self) -> Offset {
        Offset::new(self.oldest_offset + self.records.len() as u64)
    }

    pub(crate) fn append(&mut self, record: Bytes) -> Offset {
        let offset = self.next_offset();
        self.records.push_back(record);
        offset
    }

    /// Drops the oldest records until at most `max_records` are left.
    pub(crate) fn truncate_to(&mut self, max_records: usize) {
        let dropped = self.records.len().saturating_sub(max_records);
        self.records.drain(..dropped);
        self.oldest_offset += dropped as u64;
    }

    /// Returns at most `max_records` records from the offset `from`, encoded as frames; empty if
    /// there are none yet. `from` must not be below the oldest offset.
    pub(crate) fn encode_frames(&self, from: Offset, max_records: usize) -> Bytes {
        let skipped = usize::try_from(from.get() - self.oldest_offset).unwrap_or(usize::MAX);
        let mut body = BytesMut::new();
        let mut offset = from;
        for record in self.records.iter().skip(skipped).take(max_records) {
            if !body.is_empty() && body.len() + record.len() > MAX_READ_BYTES {
                break;
            }
            encode_frame(&mut body, offset, record);
            offset = offset.next();
        }
        body.freeze()
    }
}
