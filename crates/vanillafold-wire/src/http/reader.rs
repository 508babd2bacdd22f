//! The reading half of an HTTP connection, with a small buffer that grows only during a message.

use std::io;

use bytes::{Buf, Bytes, BytesMut};
use monoio::buf::IoBufMut;
use monoio::io::{AsyncReadRent, OwnedReadHalf};
use monoio::net::TcpStream;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::{DecodeError, RequestHeadDecoder, ResponseHeadDecoder};

use super::HeadError;
use super::head::{self, MAX_HEAD_BYTES};

/// The buffer of an idle connection that waits for its next head, in bytes.
const IDLE_BUFFER_BYTES: usize = 1024;

/// The head of a request: method, path and headers.
pub type RequestHead = http::request::Parts;

/// The head of a response: status and headers.
pub type ResponseHead = http::response::Parts;

/// The reading half of an HTTP connection.
#[derive(Debug)]
pub struct HttpReader {
    half: OwnedReadHalf<TcpStream>,
    buffer: BytesMut,
}

impl HttpReader {
    /// Creates a reader of a connection, with an empty buffer.
    #[must_use]
    pub fn new(half: OwnedReadHalf<TcpStream>) -> Self {
        Self {
            half,
            buffer: BytesMut::new(),
        }
    }

    // --- Heads -----------------------------------------------------------------------------

    /// Reads the head of the next request.
    ///
    /// # Errors
    ///
    /// Returns [`HeadError::Closed`] if the peer closed the connection between two messages, and
    /// another [`HeadError`] if the head is truncated, too large or malformed or the connection
    /// failed.
    pub async fn read_request_head(&mut self) -> Result<RequestHead, HeadError> {
        self.read_head(&mut RequestHeadDecoder).await
    }

    /// Reads the head of the next response and skips interim responses (1xx).
    ///
    /// # Errors
    ///
    /// Returns [`HeadError::Closed`] if the peer closed the connection before the first byte of the
    /// response, and another [`HeadError`] if the head is truncated, too large or malformed or the
    /// connection failed.
    pub async fn read_response_head(&mut self) -> Result<ResponseHead, HeadError> {
        loop {
            let head = self.read_head(&mut ResponseHeadDecoder).await?;
            if !head.status.is_informational() {
                return Ok(head);
            }
        }
    }

    /// Waits for the first byte of the next message.
    ///
    /// # Errors
    ///
    /// Returns [`HeadError::Closed`] if the peer closed the connection instead, and
    /// [`HeadError::Io`] if it failed.
    pub async fn wait_for_message(&mut self) -> Result<(), HeadError> {
        if self.buffer.is_empty() && self.read_more(IDLE_BUFFER_BYTES).await? == 0 {
            return Err(HeadError::Closed);
        }
        Ok(())
    }

    async fn read_head<D>(&mut self, decoder: &mut D) -> Result<D::Item, HeadError>
    where
        D: Decoder<Error = DecodeError>,
    {
        loop {
            self.buffer
                .advance(head::leading_empty_lines_len(&self.buffer));
            if head::is_complete(&self.buffer)? {
                return match decoder.decode(&mut self.buffer) {
                    Ok(Decoded::Some(head)) => Ok(head),
                    Ok(_) => Err(HeadError::Malformed("the head is incomplete".to_owned())),
                    Err(error) => Err(HeadError::Malformed(error.to_string())),
                };
            }
            let started = !self.buffer.is_empty();
            let max_bytes = IDLE_BUFFER_BYTES.max(self.buffer.len()).min(MAX_HEAD_BYTES);
            match self.read_more(max_bytes).await? {
                0 if started => return Err(HeadError::Truncated),
                0 => return Err(HeadError::Closed),
                _ => {}
            }
        }
    }

    // --- Bytes -----------------------------------------------------------------------------

    /// Takes up to `max_bytes` bytes out of the buffer, without reading from the connection.
    pub(crate) fn take(&mut self, max_bytes: usize) -> Bytes {
        let length = self.buffer.len().min(max_bytes);
        self.buffer.split_to(length).freeze()
    }

    /// Returns the buffer of bytes that have been read and not taken.
    pub(crate) fn pending(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Reads once from the connection, at most `max_bytes` bytes, and appends them to the buffer.
    /// Returns their number; 0 means that the peer closed the connection.
    ///
    /// If the future is dropped before it completes, the bytes in the buffer are kept.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection.
    pub(crate) async fn read_more(&mut self, max_bytes: usize) -> io::Result<usize> {
        let mut read_buffer = match self.buffer.is_empty() {
            true => std::mem::take(&mut self.buffer),
            false => BytesMut::new(),
        };
        read_buffer.reserve(max_bytes);
        let (result, slice) = self.half.read(read_buffer.slice_mut(..max_bytes)).await;
        let read_buffer = slice.into_inner();
        let length = result?;
        match self.buffer.is_empty() {
            true => self.buffer = read_buffer,
            false => self.buffer.extend_from_slice(&read_buffer),
        }
        Ok(length)
    }

    /// Returns whether the buffer has bytes that have not been taken.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether an idle connection can be used for another request: the peer has neither
    /// sent unexpected bytes nor closed it.
    pub async fn is_reusable(&mut self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        monoio::select! {
            biased;
            _ = self.half.read(vec![0_u8; 1]) => false,
            () = std::future::ready(()) => true,
        }
    }

    /// Waits until the peer closes the connection or it fails. Bytes of a next message that
    /// arrive meanwhile are buffered up to [`MAX_HEAD_BYTES`]; when the buffer is full, this
    /// never returns.
    pub async fn closed(&mut self) {
        while self.buffer.len() < MAX_HEAD_BYTES {
            match self.read_more(IDLE_BUFFER_BYTES).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending::<()>().await;
    }

    /// Reads and discards all bytes until the peer closes the connection or it fails.
    pub async fn discard_until_closed(&mut self) {
        self.buffer.clear();
        while matches!(self.read_more(MAX_HEAD_BYTES).await, Ok(length) if length > 0) {
            self.buffer.clear();
        }
    }

    /// Frees the buffer's memory if the buffer is empty.
    pub fn shrink(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }
}
