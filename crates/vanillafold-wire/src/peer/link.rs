//! What goes over a connection between two daemons.

use bincode::{Decode, Encode};
use vanillafold_types::KeyId;

use super::error::LinkEnd;
use super::message::PeerMessage;

/// The path of the one long stream: the dialler's frames one way, replies the other.
pub(crate) const LINK_PATH: &str = "/link";
/// The path of a request; each has a stream of its own.
pub(crate) const REQUEST_PATH: &str = "/request";

/// HTTP/2 flow-control window of a stream, in bytes: one whole message.
const STREAM_WINDOW_BYTES: u32 = 128 * 1024;
/// HTTP/2 flow-control window of a connection, in bytes: what a peer can make this daemon
/// hold unread.
const CONNECTION_WINDOW_BYTES: u32 = 128 * 1024;
/// Most bytes that wait in the HTTP/2 layer for the socket, for each stream.
const SEND_BUFFER_BYTES: usize = 32 * 1024;
/// Most bytes of headers that are taken from a peer.
const HEADER_LIST_BYTES: u32 = 4 * 1024;
/// Most streams that a peer may have open: the link, its requests, and some to spare for
/// streams that were given up.
const MAX_STREAMS: u32 = 20;

/// What the dialler sends on the long stream after the hello.
#[derive(Debug, Encode, Decode)]
pub(crate) enum LinkFrame {
    Heartbeat { sequence: u64 },
    Message(PeerMessage),
}

/// What the dialled daemon sends back.
#[derive(Debug, Encode, Decode)]
pub(crate) enum LinkReply {
    HeartbeatAck { sequence: u64 },
    WithdrawalAck { key: KeyId },
}

pub(crate) fn client_builder() -> h2::client::Builder {
    let mut builder = h2::client::Builder::new();
    builder
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_send_buffer_size(SEND_BUFFER_BYTES)
        .max_header_list_size(HEADER_LIST_BYTES)
        .max_concurrent_streams(0)
        .enable_push(false);
    builder
}

pub(crate) fn server_builder() -> h2::server::Builder {
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_send_buffer_size(SEND_BUFFER_BYTES)
        .max_header_list_size(HEADER_LIST_BYTES)
        .max_concurrent_streams(MAX_STREAMS);
    builder
}

/// The head of a stream that the dialler opens.
pub(crate) fn request_head(path: &str) -> http::Request<()> {
    let mut head = http::Request::new(());
    *head.method_mut() = http::Method::POST;
    let uri = http::Uri::builder()
        .scheme("http")
        .authority("peer")
        .path_and_query(path);
    *head.uri_mut() = uri.build().unwrap_or_default();
    head
}

/// The data of a response that is in order.
pub(crate) fn response_body(
    response: http::Response<h2::RecvStream>,
) -> Result<h2::RecvStream, LinkEnd> {
    match response.status() {
        http::StatusCode::OK => Ok(response.into_body()),
        status => Err(LinkEnd::HttpStatus(status.as_u16())),
    }
}
