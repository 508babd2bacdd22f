//! Frames in the data of an HTTP/2 stream: a length prefix and a bincode value.

use std::future::poll_fn;

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bincode::{Decode, Encode};
use bytes::{Buf, Bytes, BytesMut};
use h2::{RecvStream, SendStream};

use super::error::LinkEnd;

/// Maximum size of an encoded message, in bytes, without its length prefix.
pub const MAX_MESSAGE_BYTES: usize = 128 * 1024;

/// Size of the big-endian length prefix of each message, in bytes.
const LENGTH_BYTES: usize = 4;

type WireConfig = Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE_BYTES>>;

const WIRE_CONFIG: WireConfig = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();

/// Why a value could not be encoded or a frame could not be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FrameError {
    Oversized,
    Malformed,
}

/// Appends a value as a frame, with its length prefix. On an error `out` is as it was before.
pub(crate) fn encode<T: Encode>(value: &T, out: &mut Vec<u8>) -> Result<(), FrameError> {
    let start = out.len();
    out.extend_from_slice(&[0; LENGTH_BYTES]);
    let written = bincode::encode_into_std_write(value, out, WIRE_CONFIG);
    let bytes = match written {
        Ok(bytes) if bytes <= MAX_MESSAGE_BYTES => bytes,
        _ => {
            out.truncate(start);
            return Err(FrameError::Oversized);
        }
    };
    let length = u32::try_from(bytes).map_err(|_| FrameError::Oversized)?;
    out[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(())
}

/// Decodes a value that must take up the whole frame.
pub(crate) fn decode<T: Decode<()>>(frame: &[u8]) -> Result<T, FrameError> {
    match bincode::decode_from_slice(frame, WIRE_CONFIG) {
        Ok((value, used)) if used == frame.len() => Ok(value),
        _ => Err(FrameError::Malformed),
    }
}

/// Decodes a value at the start of a frame and ignores the rest.
pub(crate) fn decode_prefix<T: Decode<()>>(frame: &[u8]) -> Result<T, FrameError> {
    bincode::decode_from_slice(frame, WIRE_CONFIG)
        .map(|(value, _)| value)
        .map_err(|_| FrameError::Malformed)
}

/// Reads frames from the data of a stream.
///
/// It buffers at most one message and one HTTP/2 frame.
#[derive(Debug)]
pub(crate) struct FrameReader {
    stream: RecvStream,
    buffer: BytesMut,
}

impl FrameReader {
    pub(crate) fn new(stream: RecvStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Returns the next frame, without its length prefix; `None` at the end of the stream. The
    /// future may be dropped without losing data.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, LinkEnd> {
        loop {
            if let Some(frame) = self.split_frame()? {
                return Ok(Some(frame));
            }
            match self.stream.data().await {
                Some(data) => self.buffer_data(&data?)?,
                None if self.buffer.is_empty() => return Ok(None),
                None => return Err(LinkEnd::Malformed),
            }
        }
    }

    /// Returns the next frame; the end of the stream is the error [`LinkEnd::PeerClosed`].
    pub(crate) async fn expect(&mut self) -> Result<Bytes, LinkEnd> {
        self.next().await?.ok_or(LinkEnd::PeerClosed)
    }

    fn buffer_data(&mut self, data: &Bytes) -> Result<(), LinkEnd> {
        self.buffer.extend_from_slice(data);
        self.stream.flow_control().release_capacity(data.len())?;
        Ok(())
    }

    fn split_frame(&mut self) -> Result<Option<Bytes>, LinkEnd> {
        let Some(prefix) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        match length {
            _ if length > MAX_MESSAGE_BYTES => Err(LinkEnd::Oversized),
            _ if self.buffer.len() < LENGTH_BYTES + length => Ok(None),
            _ => {
                self.buffer.advance(LENGTH_BYTES);
                Ok(Some(self.buffer.split_to(length).freeze()))
            }
        }
    }
}

/// Writes frames to the data of a stream.
///
/// Dropping a write before it completes leaves the stream unusable.
#[derive(Debug)]
pub(crate) struct FrameWriter {
    stream: SendStream<Bytes>,
}

impl FrameWriter {
    pub(crate) const fn new(stream: SendStream<Bytes>) -> Self {
        Self { stream }
    }

    /// Writes one value as a frame.
    pub(crate) async fn write<T: Encode>(&mut self, value: &T) -> Result<(), LinkEnd> {
        let mut frame = Vec::new();
        encode(value, &mut frame)?;
        self.write_encoded(frame).await
    }

    /// Writes encoded frames, waiting for the peer's flow-control window.
    pub(crate) async fn write_encoded(&mut self, frames: Vec<u8>) -> Result<(), LinkEnd> {
        let mut data = Bytes::from(frames);
        while !data.is_empty() {
            self.stream.reserve_capacity(data.len());
            let capacity = self.capacity().await?;
            let chunk = data.split_to(capacity.min(data.len()));
            self.stream.send_data(chunk, false)?;
        }
        Ok(())
    }

    /// Ends the stream gracefully.
    pub(crate) fn finish(&mut self) -> Result<(), LinkEnd> {
        self.stream.send_data(Bytes::new(), true)?;
        Ok(())
    }

    async fn capacity(&mut self) -> Result<usize, LinkEnd> {
        while self.stream.capacity() == 0 {
            match poll_fn(|cx| self.stream.poll_capacity(cx)).await {
                Some(granted) => granted?,
                None => return Err(LinkEnd::PeerClosed),
            };
        }
        Ok(self.stream.capacity())
    }
}
