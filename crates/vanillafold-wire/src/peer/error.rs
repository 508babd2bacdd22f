//! Errors of a peer set's operations, and why links between daemons end.

use std::io;
use std::net::SocketAddr;

use vanillafold_types::{DaemonId, Millis};

use super::frame::FrameError;
use super::hello::RefusalReason;

/// Why an operation on a [`PeerSet`](crate::PeerSet) failed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum PeerError {
    /// The listener could not be bound to the peer address.
    #[error("cannot listen for peers on {address}: {source}; is another daemon using it?")]
    Bind {
        /// The address in [`PeerSettings::listen`](crate::PeerSettings::listen).
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A setting is out of range, or two settings contradict each other.
    #[error("invalid peer settings: {problem}")]
    Settings {
        /// The value that was expected and the value found.
        problem: String,
    },
    /// More members than [`MAX_MEMBERS`](crate::MAX_MEMBERS).
    #[error("expected at most {limit} members, found {found}; the members are unchanged")]
    TooManyMembers {
        /// Maximum number of members.
        limit: usize,
        /// Number of members given, without this daemon.
        found: usize,
    },
    /// The daemon is not a member.
    #[error("daemon {daemon} is not a member of the peer set; set the members first")]
    UnknownPeer {
        /// The peer that the operation was for.
        daemon: DaemonId,
    },
    /// No link to the peer is up at present.
    #[error("no connection to daemon {daemon}; dialling is retried, use another peer meanwhile")]
    NotConnected {
        /// The peer that the operation was for.
        daemon: DaemonId,
    },
    /// The outbox of the peer has no room for another message.
    #[error("the message queue to daemon {daemon} is full; retry when it has drained")]
    QueueFull {
        /// The peer that the operation was for.
        daemon: DaemonId,
    },
    /// Too many requests to the peer are outstanding.
    #[error("{limit} requests to daemon {daemon} are outstanding, the maximum; retry later")]
    Busy {
        /// The peer that the operation was for.
        daemon: DaemonId,
        /// Maximum number of outstanding requests to one peer.
        limit: usize,
    },
    /// More withdrawals than the settings allow are not yet in the folded log.
    #[error("{limit} withdrawals are not yet in the log; write them to the log before adding more")]
    TooManyWithdrawals {
        /// Maximum number of withdrawals that are not yet in the folded log.
        limit: usize,
    },
    /// The message or request exceeds the size limit.
    #[error("expected a message of at most {limit_bytes} bytes; split it")]
    TooLarge {
        /// Maximum size in bytes.
        limit_bytes: usize,
    },
    /// The peer did not answer within the request timeout.
    #[error("daemon {daemon} did not answer within {timeout}; it may have acted on the request")]
    Timeout {
        /// The peer that the operation was for.
        daemon: DaemonId,
        /// The request timeout of the settings.
        timeout: Millis,
    },
    /// The connection ended before the answer, or the answer could not be decoded.
    #[error("the request to daemon {daemon} failed: {end}; the peer may have acted on it")]
    Link {
        /// The peer that the operation was for.
        daemon: DaemonId,
        /// Why the request failed.
        end: LinkEnd,
    },
    /// The set was closed or dropped.
    #[error("the peer set is closed")]
    Closed,
}

/// Why a connection to or from a peer ended.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum LinkEnd {
    /// The TCP connection could not be established or set up.
    #[error("TCP connection failed: {0}")]
    Connect(io::ErrorKind),
    /// The TCP connection was not established within the connect timeout.
    #[error("TCP connection not established within the connect timeout")]
    ConnectTimeout,
    /// The peer did not finish the HTTP/2 and hello handshake within the handshake timeout.
    #[error("handshake not completed within the handshake timeout")]
    HandshakeTimeout,
    /// The peer refused the hello.
    #[error("hello refused: {0}")]
    Refused(RefusalReason),
    /// The peer's incarnation is earlier than one seen before.
    #[error("the peer answered with an earlier incarnation than seen before")]
    StaleIncarnation,
    /// Nothing was received within the silence timeout or the request's time limit.
    #[error("nothing received from the peer in time")]
    Silent,
    /// A frame is longer than [`MAX_MESSAGE_BYTES`](crate::MAX_MESSAGE_BYTES).
    #[error("a frame exceeds the size limit of a message")]
    Oversized,
    /// A frame could not be decoded.
    #[error("a frame could not be decoded")]
    Malformed,
    /// The HTTP/2 layer or the socket below it failed.
    #[error("HTTP/2 error: {0}")]
    Http2(String),
    /// The peer answered with an unexpected HTTP status.
    #[error("expected HTTP status 200, found {0}")]
    HttpStatus(u16),
    /// The peer closed the connection gracefully.
    #[error("the peer closed the connection")]
    PeerClosed,
    /// The peer opened a newer connection, which replaced this one.
    #[error("replaced by a newer connection from the same peer")]
    Replaced,
    /// This daemon closed the connection, because its set closes or the peer is no longer a member.
    #[error("closed by this daemon")]
    Closed,
}

impl From<h2::Error> for LinkEnd {
    fn from(error: h2::Error) -> Self {
        Self::Http2(error.to_string())
    }
}

impl From<FrameError> for LinkEnd {
    fn from(error: FrameError) -> Self {
        match error {
            FrameError::Oversized => Self::Oversized,
            FrameError::Malformed => Self::Malformed,
        }
    }
}
