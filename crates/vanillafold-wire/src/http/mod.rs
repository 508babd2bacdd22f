//! HTTP/1.1 with bounded memory.
//!
//! `monoio-http` parses the heads. Its body decoders hold a whole body of fixed length, or a
//! whole chunk, in memory and take conflicting framing headers, so framing and bodies are read
//! here, piece by piece (see `docs/design/0005-http.md`).

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

/// Splits a connection into its HTTP halves and turns off delayed sending.
pub fn split(stream: TcpStream) -> (HttpReader, HttpWriter) {
    // A peer that is already gone makes this fail; the first read says so better.
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    (HttpReader::new(read), HttpWriter::new(write))
}
