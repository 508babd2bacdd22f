//! HTTP/1.1 messages, a client and a server, with bounded memory.
//!
//! `monoio-http` parses the heads. Its body decoders hold a whole body of fixed length, or a whole
//! chunk, in memory and accept conflicting framing headers. Therefore this module determines the
//! framing itself and reads bodies in pieces of bounded size (see `docs/design/0005-http.md`).

mod body;
mod client;
mod error;
mod framing;
mod head;
mod header;
mod reader;
mod reset;
mod server;
mod writer;

pub use body::{BodyReader, MAX_PIECE_BYTES};
pub use client::{Client, ClientError};
pub use error::{BodyError, FramingError, HeadError};
pub use framing::{Framing, declared_framing, request_framing, response_framing};
pub use head::{MAX_HEAD_BYTES, MAX_HEADERS};
pub use header::{HopByHop, asks_to_close};
pub use reader::{HttpReader, RequestHead, ResponseHead};
pub use server::{Service, serve_connection};
pub use writer::{
    HttpWriter, encode_request_head, encode_response_head, encode_response_to_head_request,
};

use monoio::io::Splitable;
use monoio::net::TcpStream;

/// Splits a connection into an HTTP reader and writer and sets `TCP_NODELAY`.
pub fn split(stream: TcpStream) -> (HttpReader, HttpWriter) {
    // This fails if the peer has already closed; the first read reports that more clearly.
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    (HttpReader::new(read), HttpWriter::new(write))
}
