//! One stream of the log, in memory.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use vanillafold_types::Offset;
use vanillafold_wire::platform::encode_frame;

/// The largest body of a read, in bytes; a read gives fewer records rather than a larger one.
const MAX_READ_BYTES: usize = 4 << 20;

/// One stream.
#[derive(Debug)]
pub(crate) struct LogStream {
    oldest: u64,
    records: VecDeque<Bytes>,
}

impl LogStream {
    pub(crate) const fn new() -> Self {
        Self {
            oldest: 1,
            records: VecDeque::new(),
        }
    }

    /// The oldest offset that is kept; that of the next append if there is none.
    pub(crate) const fn oldest(&self) -> Offset {
        Offset::new(self.oldest)
    }

    /// The offset of the next append.
    pub(crate) fn next(&self) -> Offset {
        Offset::new(self.oldest + self.records.len() as u64)
    }

    pub(crate) fn append(&mut self, record: Bytes) -> Offset {
        let offset = self.next();
        self.records.push_back(record);
        offset
    }

    /// Drops the oldest records beyond this many.
    pub(crate) fn retain(&mut self, most: usize) {
        let dropped = self.records.len().saturating_sub(most);
        self.records.drain(..dropped);
        self.oldest += dropped as u64;
    }

    /// At most `most` records from `from` as a body of frames; empty if there are none yet.
    pub(crate) fn frames(&self, from: Offset, most: usize) -> Bytes {
        let skipped = usize::try_from(from.get() - self.oldest).unwrap_or(usize::MAX);
        let mut body = BytesMut::new();
        let mut offset = from;
        for record in self.records.iter().skip(skipped).take(most) {
            if !body.is_empty() && body.len() + record.len() > MAX_READ_BYTES {
                break;
            }
            encode_frame(&mut body, offset, record);
            offset = offset.next();
        }
        body.freeze()
    }
}
