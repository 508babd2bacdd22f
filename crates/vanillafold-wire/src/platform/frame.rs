//! The encoding of log records in an HTTP body: for each record a frame of the offset as big-endian
//! u64, the length as big-endian u32, and the record's bytes.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use vanillafold_types::Offset;

use super::LogRecord;

/// The size of the offset and the length before each record, in bytes.
const FRAME_HEADER_BYTES: usize = 12;

/// The error of decoding a body that ends in the middle of a frame.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected a complete frame of a log record, found its first {found_bytes} bytes")]
pub struct TruncatedFrameError {
    /// The size of the incomplete frame, in bytes.
    pub found_bytes: usize,
}

/// Appends the frame of one record to `body`.
pub fn encode_frame(body: &mut BytesMut, offset: Offset, record: &[u8]) {
    // The length always fits: a record has at most 65,536 bytes.
    let length = u32::try_from(record.len()).unwrap_or(u32::MAX);
    body.reserve(FRAME_HEADER_BYTES + record.len());
    body.put_u64(offset.get());
    body.put_u32(length);
    body.put_slice(record);
}

/// Decodes the records of a body of frames.
///
/// # Errors
///
/// Returns a [`TruncatedFrameError`] if the body ends in the middle of a frame.
pub fn decode_frames(mut body: Bytes) -> Result<Vec<LogRecord>, TruncatedFrameError> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let truncated = TruncatedFrameError {
            found_bytes: body.len(),
        };
        if body.len() < FRAME_HEADER_BYTES {
            return Err(truncated);
        }
        let offset = Offset::new(body.get_u64());
        let length = body.get_u32() as usize;
        if body.len() < length {
            return Err(truncated);
        }
        let data = body.split_to(length);
        records.push(LogRecord { offset, data });
    }
    Ok(records)
}
