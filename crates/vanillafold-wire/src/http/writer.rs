//! The writing half of an HTTP connection, and the encoding of heads.

use std::fmt::Write as _;
use std::io;

use bytes::{BufMut, Bytes, BytesMut};
use http::header::{HeaderName, HeaderValue};
use http::{Method, StatusCode};
use monoio::io::{AsyncWriteRent, AsyncWriteRentExt, OwnedWriteHalf};
use monoio::net::TcpStream;

use super::Framing;

/// The size of a typical head, in bytes; reserved before a head is encoded.
const TYPICAL_HEAD_BYTES: usize = 512;

/// Maximum size of a piece of a body that is copied into the buffer, in bytes, so that it is
/// sent together with the head in one write.
const MAX_COPIED_PIECE_BYTES: usize = 16 * 1024;

/// The writing half of an HTTP connection.
#[derive(Debug)]
pub struct HttpWriter {
    half: OwnedWriteHalf<TcpStream>,
    buffer: BytesMut,
}

impl HttpWriter {
    /// Creates a writer to a connection, with an empty buffer.
    #[must_use]
    pub fn new(half: OwnedWriteHalf<TcpStream>) -> Self {
        Self {
            half,
            buffer: BytesMut::new(),
        }
    }

    /// Returns the buffer that heads are encoded into; [`HttpWriter::flush`] sends it.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Writes a piece of a body with this framing. Pieces of up to 16 KiB are buffered until the
    /// next flush; for a larger one the buffer and the piece are sent at once.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection.
    pub async fn write_body_piece(&mut self, framing: Framing, piece: Bytes) -> io::Result<()> {
        if framing == Framing::Chunked {
            // Writing to memory does not fail.
            let _ = write!(self.buffer, "{:x}\r\n", piece.len());
        }
        if piece.len() <= MAX_COPIED_PIECE_BYTES {
            self.buffer.put_slice(&piece);
        } else {
            self.flush().await?;
            self.half.write_all(piece).await.0?;
        }
        if framing == Framing::Chunked {
            self.buffer.put_slice(b"\r\n");
        }
        Ok(())
    }

    /// Writes a piece of a body, or nothing if it is empty, because an empty chunk would end the
    /// body.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection.
    pub async fn write_body_piece_unless_empty(
        &mut self,
        framing: Framing,
        piece: Bytes,
    ) -> io::Result<()> {
        match piece.is_empty() {
            true => Ok(()),
            false => self.write_body_piece(framing, piece).await,
        }
    }

    /// Writes the last chunk, which ends a chunked body; other framings have no end marker. It is
    /// buffered until the next flush.
    pub fn write_body_end(&mut self, framing: Framing) {
        if framing == Framing::Chunked {
            self.buffer.put_slice(b"0\r\n\r\n");
        }
    }

    /// Sends the buffer.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection.
    pub async fn flush(&mut self) -> io::Result<()> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        let buffer = std::mem::take(&mut self.buffer);
        let (result, mut buffer) = self.half.write_all(buffer).await;
        buffer.clear();
        self.buffer = buffer;
        result.map(|_| ())
    }

    /// Frees the buffer's memory if the buffer is empty.
    pub fn shrink(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Sends the buffer and shuts down the sending direction of the connection.
    pub async fn close(mut self) {
        // Both calls may fail if the peer has already closed the connection; it ends either way.
        let _ = self.flush().await;
        let _ = self.half.shutdown().await;
    }
}

/// Encodes the head of a request with this framing of its body.
pub fn encode_request_head<'a>(
    buffer: &mut BytesMut,
    method: &Method,
    path: &str,
    headers: impl Iterator<Item = (&'a HeaderName, &'a HeaderValue)>,
    framing: Framing,
) {
    buffer.reserve(TYPICAL_HEAD_BYTES);
    buffer.put_slice(method.as_str().as_bytes());
    buffer.put_u8(b' ');
    buffer.put_slice(path.as_bytes());
    buffer.put_slice(b" HTTP/1.1\r\n");
    encode_headers(buffer, headers);
    let omits_empty_length = *method == Method::GET || *method == Method::HEAD;
    encode_framing(buffer, framing, !omits_empty_length);
    buffer.put_slice(b"\r\n");
}

/// Encodes the head of a response with this framing of its body.
pub fn encode_response_head<'a>(
    buffer: &mut BytesMut,
    status: StatusCode,
    headers: impl Iterator<Item = (&'a HeaderName, &'a HeaderValue)>,
    framing: Framing,
) {
    encode_status_line(buffer, status);
    encode_headers(buffer, headers);
    let bodyless = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    encode_framing(buffer, framing, !bodyless);
    buffer.put_slice(b"\r\n");
}

/// Encodes the head of a response to a HEAD request, which has no body (RFC 9110, section 9.3.2).
/// `announced` is the framing that the response to GET would have, if it is known.
pub fn encode_response_to_head_request<'a>(
    buffer: &mut BytesMut,
    status: StatusCode,
    headers: impl Iterator<Item = (&'a HeaderName, &'a HeaderValue)>,
    announced: Option<Framing>,
) {
    encode_status_line(buffer, status);
    encode_headers(buffer, headers);
    if let Some(framing) = announced {
        encode_framing(buffer, framing, true);
    }
    buffer.put_slice(b"\r\n");
}

fn encode_status_line(buffer: &mut BytesMut, status: StatusCode) {
    buffer.reserve(TYPICAL_HEAD_BYTES);
    buffer.put_slice(b"HTTP/1.1 ");
    buffer.put_slice(status.as_str().as_bytes());
    buffer.put_u8(b' ');
    buffer.put_slice(status.canonical_reason().unwrap_or("Status").as_bytes());
    buffer.put_slice(b"\r\n");
}

fn encode_headers<'a>(
    buffer: &mut BytesMut,
    headers: impl Iterator<Item = (&'a HeaderName, &'a HeaderValue)>,
) {
    for (name, value) in headers {
        buffer.put_slice(name.as_str().as_bytes());
        buffer.put_slice(b": ");
        buffer.put_slice(value.as_bytes());
        buffer.put_slice(b"\r\n");
    }
}

fn encode_framing(buffer: &mut BytesMut, framing: Framing, writes_zero_length: bool) {
    match framing {
        Framing::Empty if writes_zero_length => buffer.put_slice(b"content-length: 0\r\n"),
        Framing::Empty => {}
        Framing::Length(length) => {
            // Writing to memory does not fail.
            let _ = write!(buffer, "content-length: {length}\r\n");
        }
        Framing::Chunked => buffer.put_slice(b"transfer-encoding: chunked\r\n"),
    }
}
