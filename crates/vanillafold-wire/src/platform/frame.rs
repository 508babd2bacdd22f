//! Records of the log as the platform frames them: the offset as u64 big-endian, the length as
//! u32 big-endian, then the record.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use vanillafold_types::Offset;

use super::LogRecord;

/// An offset and a length.
const FRAME_HEAD_BYTES: usize = 12;

/// A body of frames that ends inside a frame.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected a whole frame, found its first {found_bytes} bytes")]
pub struct TruncatedFrameError {
    /// What was left, in bytes.
    pub found_bytes: usize,
}

/// Adds one record's frame to a body.
pub fn encode_frame(body: &mut BytesMut, offset: Offset, record: &[u8]) {
    // A record has at most 65,536 bytes.
    let length = u32::try_from(record.len()).unwrap_or(u32::MAX);
    body.reserve(FRAME_HEAD_BYTES + record.len());
    body.put_u64(offset.get());
    body.put_u32(length);
    body.put_slice(record);
}

/// The records of a body of frames.
///
/// # Errors
///
/// [`TruncatedFrameError`] if the body ends inside a frame.
pub fn decode_frames(mut body: Bytes) -> Result<Vec<LogRecord>, TruncatedFrameError> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let cut_short = TruncatedFrameError {
            found_bytes: body.len(),
        };
        if body.len() < FRAME_HEAD_BYTES {
            return Err(cut_short);
        }
        let offset = Offset::new(body.get_u64());
        let length = body.get_u32() as usize;
        if body.len() < length {
            return Err(cut_short);
        }
        let data = body.split_to(length);
        records.push(LogRecord { offset, data });
    }
    Ok(records)
}
