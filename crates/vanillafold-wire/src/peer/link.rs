//! The streams and HTTP/2 parameters of a connection between two daemons.

use bincode::{Decode, Encode};
use vanillafold_types::KeyId;

use super::error::LinkEnd;
use super::message::PeerMessage;

/// Path of the long-lived stream, on which the dialler sends frames and gets replies. There is one
/// on each connection.
pub(crate) const LINK_PATH: &str = "/link";
/// Path of a request; each request has its own stream.
pub(crate) const REQUEST_PATH: &str = "/request";

/// HTTP/2 flow-control window of a stream, in bytes: room for one message of the largest size.
const STREAM_WINDOW_BYTES: u32 = 128 * 1024;
/// HTTP/2 flow-control window of a connection, in bytes; bounds the unread data that a peer can
/// make this daemon buffer.
const CONNECTION_WINDOW_BYTES: u32 = 128 * 1024;
/// Maximum number of bytes that the HTTP/2 layer buffers for sending, per stream.
const SEND_BUFFER_BYTES: usize = 32 * 1024;
/// Maximum size of an HTTP/2 header list that is accepted from a peer, in bytes.
const HEADER_LIST_BYTES: u32 = 4 * 1024;
/// Maximum number of streams that a peer may have open: the link, its outstanding requests, and
/// some to spare for streams that were abandoned.
const MAX_STREAMS: u32 = 20;

/// A frame that the dialler sends on the link stream after the hello.
#[derive(Debug, Encode, Decode)]
pub(crate) enum LinkFrame {
    Heartbeat { sequence: u64 },
    Message(PeerMessage),
}

/// A reply of the dialled daemon on the link stream.
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

/// Returns the request head of a stream that the dialler opens.
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

/// Returns the body of a response whose status is 200, and an error for any other status.
pub(crate) fn response_body(
    response: http::Response<h2::RecvStream>,
) -> Result<h2::RecvStream, LinkEnd> {
    match response.status() {
        http::StatusCode::OK => Ok(response.into_body()),
        status => Err(LinkEnd::HttpStatus(status.as_u16())),
    }
}
