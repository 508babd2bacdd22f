//! The writing half of a connection, and how heads are written.

use std::fmt::Write as _;
use std::io;

use bytes::{BufMut, Bytes, BytesMut};
use http::header::{HeaderName, HeaderValue};
use http::{Method, StatusCode};
use monoio::io::{AsyncWriteRent, AsyncWriteRentExt, OwnedWriteHalf};
use monoio::net::TcpStream;

use super::Framing;

/// What a typical head takes, in bytes.
const TYPICAL_HEAD_BYTES: usize = 512;

/// Up to this size a body's piece is copied behind the head, so that both leave in one write.
const MAX_COPIED_PIECE_BYTES: usize = 16 * 1024;

/// The writing half of a connection.
#[derive(Debug)]
pub struct HttpWriter {
    half: OwnedWriteHalf<TcpStream>,
    buffer: BytesMut,
}

impl HttpWriter {
    /// Wraps the writing half of a connection.
    #[must_use]
    pub fn new(half: OwnedWriteHalf<TcpStream>) -> Self {
        Self {
            half,
            buffer: BytesMut::new(),
        }
    }

    /// Where heads are encoded to; [`HttpWriter::flush`] sends them.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Adds a piece of a body framed as `framing`. Small pieces wait for the next flush.
    ///
    /// # Errors
    ///
    /// Those of the connection.
    pub async fn write_body_piece(&mut self, framing: Framing, piece: Bytes) -> io::Result<()> {
        if framing == Framing::Chunked {
            // Writing to memory can't fail.
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

    /// Adds a piece of a body, unless it is empty: an empty chunk would end the body.
    ///
    /// # Errors
    ///
    /// Those of the connection.
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

    /// Adds the mark of the body's end, if its framing has one.
    pub fn write_body_end(&mut self, framing: Framing) {
        if framing == Framing::Chunked {
            self.buffer.put_slice(b"0\r\n\r\n");
        }
    }

    /// Sends what waits.
    ///
    /// # Errors
    ///
    /// Those of the connection.
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

    /// Frees the buffer if nothing waits in it.
    pub fn shrink(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Ends the sending direction.
    pub async fn close(mut self) {
        // Both may fail on a connection that is gone already, which is what is wanted.
        let _ = self.flush().await;
        let _ = self.half.shutdown().await;
    }
}

/// Encodes the head of a request.
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
    let silent = *method == Method::GET || *method == Method::HEAD;
    encode_framing(buffer, framing, !silent);
    buffer.put_slice(b"\r\n");
}

/// Encodes the head of an answer.
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

/// Encodes the head of an answer to HEAD, which no body follows (RFC 9110, section 9.3.2).
/// `announced` is the framing that the answer to GET has, if it is known.
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

fn encode_framing(buffer: &mut BytesMut, framing: Framing, say_empty: bool) {
    match framing {
        Framing::Empty if say_empty => buffer.put_slice(b"content-length: 0\r\n"),
        Framing::Empty => {}
        Framing::Length(length) => {
            // Writing to memory can't fail.
            let _ = write!(buffer, "content-length: {length}\r\n");
        }
        Framing::Chunked => buffer.put_slice(b"transfer-encoding: chunked\r\n"),
    }
}
