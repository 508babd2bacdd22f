//! What can go wrong with peers.

use std::io;
use std::net::SocketAddr;

use vanillafold_types::{DaemonId, Millis};

use super::frame::FrameError;
use super::hello::RefusalReason;

/// Why a call on a [`PeerSet`](crate::PeerSet) failed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum PeerError {
    /// The peer address could not be listened on.
    #[error("cannot listen for peers on {address}: {source}; is another daemon using it?")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The settings contradict each other.
    #[error("wrong peer settings: {problem}")]
    Settings {
        /// What is wrong and what was expected.
        problem: String,
    },
    /// More members than [`MAX_MEMBERS`](crate::MAX_MEMBERS).
    #[error("expected at most {limit} members, found {found}")]
    TooManyMembers {
        /// The limit.
        limit: usize,
        /// How many there were.
        found: usize,
    },
    /// The daemon is not a member.
    #[error("daemon {daemon} is not a member; set the members first")]
    UnknownPeer {
        /// The daemon.
        daemon: DaemonId,
    },
    /// There is no connection to the peer now.
    #[error("no connection to daemon {daemon}; it is dialled again, try another peer")]
    NotConnected {
        /// The daemon.
        daemon: DaemonId,
    },
    /// Too many messages wait for the peer.
    #[error("the queue to daemon {daemon} is full; try again when it has caught up")]
    QueueFull {
        /// The daemon.
        daemon: DaemonId,
    },
    /// Too many requests to the peer are unanswered.
    #[error("daemon {daemon} has {limit} unanswered requests; try again later")]
    Busy {
        /// The daemon.
        daemon: DaemonId,
        /// The limit.
        limit: usize,
    },
    /// More withdrawals than the settings allow are not yet in the folded log.
    #[error("{limit} withdrawals wait for the log; book them before adding more")]
    TooManyWithdrawals {
        /// The limit.
        limit: usize,
    },
    /// The message does not fit.
    #[error("expected a message of at most {limit_bytes} bytes; split it")]
    TooLarge {
        /// The limit in bytes.
        limit_bytes: usize,
    },
    /// The peer did not answer in time.
    #[error("daemon {daemon} did not answer within {timeout}; it may have acted on the request")]
    Timeout {
        /// The daemon.
        daemon: DaemonId,
        /// How long was waited.
        timeout: Millis,
    },
    /// The connection ended, or the answer could not be read.
    #[error("the request to daemon {daemon} failed: {end}; the peer may have acted on it")]
    Link {
        /// The daemon.
        daemon: DaemonId,
        /// Why.
        end: LinkEnd,
    },
    /// The set was closed.
    #[error("the peer set is closed")]
    Closed,
}

/// Why a connection to or from a peer ended.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum LinkEnd {
    /// The address did not take the connection.
    #[error("connecting failed: {0}")]
    Connect(io::ErrorKind),
    /// The connection was not open in time.
    #[error("connecting took too long")]
    ConnectTimeout,
    /// The peer accepted and then did not finish the handshake in time.
    #[error("the handshake took too long")]
    HandshakeTimeout,
    /// The peer refused the hello.
    #[error("refused: {0}")]
    Refused(RefusalReason),
    /// The peer's incarnation is older than one seen before.
    #[error("an older incarnation of the peer answered")]
    StaleIncarnation,
    /// Nothing was heard within the silence timeout.
    #[error("the connection went silent")]
    Silent,
    /// A frame was longer than a message may be.
    #[error("a frame was longer than allowed")]
    Oversized,
    /// A frame could not be decoded.
    #[error("a frame could not be read")]
    Malformed,
    /// The HTTP/2 layer or the socket below failed.
    #[error("HTTP/2 failed: {0}")]
    Http2(String),
    /// The peer answered with an unexpected HTTP status.
    #[error("expected HTTP status 200, found {0}")]
    HttpStatus(u16),
    /// The peer ended the connection in order.
    #[error("the peer closed the connection")]
    PeerClosed,
    /// A newer connection from the same peer took its place.
    #[error("a newer connection replaced it")]
    Replaced,
    /// This daemon closes, or the peer is no longer a member.
    #[error("closed on this side")]
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
