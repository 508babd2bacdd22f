//! The reading half of a connection: a small buffer that grows only while a message needs it.

use std::io;

use bytes::{Buf, Bytes, BytesMut};
use monoio::buf::IoBufMut;
use monoio::io::{AsyncReadRent, OwnedReadHalf};
use monoio::net::TcpStream;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::{DecodeError, RequestHeadDecoder, ResponseHeadDecoder};

use super::HeadError;
use super::head::{self, MAX_HEAD_BYTES};

/// What an idle connection keeps for its next head, in bytes.
const IDLE_BUFFER_BYTES: usize = 1024;

/// The head of a request.
pub type RequestHead = http::request::Parts;

/// The head of an answer.
pub type ResponseHead = http::response::Parts;

/// The reading half of a connection.
#[derive(Debug)]
pub struct HttpReader {
    half: OwnedReadHalf<TcpStream>,
    buffer: BytesMut,
}

impl HttpReader {
    /// Wraps the reading half of a connection.
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
    /// [`HeadError::Closed`] if the peer closed between two messages, otherwise what is wrong.
    pub async fn read_request_head(&mut self) -> Result<RequestHead, HeadError> {
        self.head(&mut RequestHeadDecoder).await
    }

    /// Reads the head of the next answer, interim answers (1xx) passed over.
    ///
    /// # Errors
    ///
    /// [`HeadError::Closed`] if the peer closed before its first byte, otherwise what is wrong.
    pub async fn read_response_head(&mut self) -> Result<ResponseHead, HeadError> {
        loop {
            let head = self.head(&mut ResponseHeadDecoder).await?;
            if !head.status.is_informational() {
                return Ok(head);
            }
        }
    }

    /// Waits for the first byte of the next message.
    ///
    /// # Errors
    ///
    /// [`HeadError::Closed`] if the peer closed instead.
    pub async fn wait_for_message(&mut self) -> Result<(), HeadError> {
        if self.buffer.is_empty() && self.fill(IDLE_BUFFER_BYTES).await? == 0 {
            return Err(HeadError::Closed);
        }
        Ok(())
    }

    async fn head<D>(&mut self, decoder: &mut D) -> Result<D::Item, HeadError>
    where
        D: Decoder<Error = DecodeError>,
    {
        loop {
            self.buffer.advance(head::empty_lines(&self.buffer));
            if head::is_whole(&self.buffer)? {
                return match decoder.decode(&mut self.buffer) {
                    Ok(Decoded::Some(head)) => Ok(head),
                    Ok(_) => Err(HeadError::Malformed("it ends early".to_owned())),
                    Err(error) => Err(HeadError::Malformed(error.to_string())),
                };
            }
            let started = !self.buffer.is_empty();
            let room = IDLE_BUFFER_BYTES.max(self.buffer.len()).min(MAX_HEAD_BYTES);
            match self.fill(room).await? {
                0 if started => return Err(HeadError::Truncated),
                0 => return Err(HeadError::Closed),
                _ => {}
            }
        }
    }

    // --- Bytes -----------------------------------------------------------------------------

    /// Takes up to `most` bytes that have been read already.
    pub(crate) fn take(&mut self, most: usize) -> Bytes {
        let length = self.buffer.len().min(most);
        self.buffer.split_to(length).freeze()
    }

    /// The bytes that have been read and not taken.
    pub(crate) fn pending(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Reads once, at most `room` bytes; 0 means that the peer closed.
    ///
    /// Given up in the middle it loses nothing: bytes read before stay in the buffer.
    ///
    /// # Errors
    ///
    /// Those of the connection.
    pub(crate) async fn fill(&mut self, room: usize) -> io::Result<usize> {
        let mut fresh = match self.buffer.is_empty() {
            true => std::mem::take(&mut self.buffer),
            false => BytesMut::new(),
        };
        fresh.reserve(room);
        let (result, slice) = self.half.read(fresh.slice_mut(..room)).await;
        let fresh = slice.into_inner();
        let length = result?;
        match self.buffer.is_empty() {
            true => self.buffer = fresh,
            false => self.buffer.extend_from_slice(&fresh),
        }
        Ok(length)
    }

    /// Whether bytes have been read and not taken.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether a connection that should be silent still is: a byte or an end means it is stale.
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

    /// Waits until the peer closes or breaks the connection, while bytes of a next message that
    /// arrive early are kept up to the size of a head.
    pub async fn closed(&mut self) {
        while self.buffer.len() < MAX_HEAD_BYTES {
            match self.fill(IDLE_BUFFER_BYTES).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending::<()>().await;
    }

    /// Reads over what the peer still sends, until it closes.
    pub async fn discard_until_closed(&mut self) {
        self.buffer.clear();
        while matches!(self.fill(MAX_HEAD_BYTES).await, Ok(length) if length > 0) {
            self.buffer.clear();
        }
    }

    /// Frees the buffer if nothing is left in it.
    pub fn shrink(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }
}
