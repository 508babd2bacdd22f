//! The handshake of a link: the hello of the dialler and the reply to it.

use std::fmt;

use bincode::{Decode, Encode};
use vanillafold_types::{DaemonId, Incarnation, Millis, ZoneId};

use super::frame::{FrameError, decode, decode_prefix};

/// Version of the peer protocol that this crate implements; both daemons must have the same.
pub const PROTOCOL_VERSION: u16 = 1;

const MAGIC: [u8; 4] = *b"vfpr";

/// The start of a hello, whose encoding is the same in all protocol versions.
#[derive(Debug, Encode, Decode)]
pub(crate) struct HelloPrefix {
    magic: [u8; 4],
    version: u16,
}

impl HelloPrefix {
    pub(crate) const fn current() -> Self {
        Self {
            magic: MAGIC,
            version: PROTOCOL_VERSION,
        }
    }
}

/// The first frame on a link: the dialler, its credentials, and the daemon that it expects to
/// reach.
#[derive(Debug, Encode, Decode)]
pub(crate) struct Hello {
    pub(crate) prefix: HelloPrefix,
    pub(crate) cluster: String,
    pub(crate) token: String,
    pub(crate) daemon: DaemonId,
    pub(crate) zone: ZoneId,
    pub(crate) incarnation: Incarnation,
    pub(crate) expected: DaemonId,
    pub(crate) heartbeat_interval: Millis,
}

/// Why a hello could not be decoded.
#[derive(Debug)]
pub(crate) enum HelloError {
    Version,
    Malformed,
}

impl From<FrameError> for HelloError {
    fn from(_: FrameError) -> Self {
        Self::Malformed
    }
}

impl Hello {
    /// Decodes a hello; checks the version before it decodes the fields that depend on it.
    pub(crate) fn read(frame: &[u8]) -> Result<Self, HelloError> {
        let prefix: HelloPrefix = decode_prefix(frame)?;
        match prefix {
            HelloPrefix { magic, .. } if magic != MAGIC => Err(HelloError::Malformed),
            HelloPrefix { version, .. } if version != PROTOCOL_VERSION => Err(HelloError::Version),
            _ => Ok(decode(frame)?),
        }
    }
}

/// The reply that accepts a hello, with the incarnation of the daemon that was dialled.
#[derive(Debug, Encode, Decode)]
pub(crate) struct Welcome {
    pub(crate) incarnation: Incarnation,
}

/// The reply to a hello.
#[derive(Debug, Encode, Decode)]
pub(crate) enum HelloReply {
    Welcome(Welcome),
    Refused(RefusalReason),
}

/// Why a daemon refuses a link from another daemon.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[non_exhaustive]
pub enum RefusalReason {
    /// The dialler has another version of the protocol.
    ProtocolVersion {
        /// The version of the refusing daemon.
        supported: u16,
    },
    /// The dialler has another cluster name.
    ClusterName,
    /// The dialler has another shared token.
    Token,
    /// The dialler expected another daemon at this address.
    WrongDaemon {
        /// The daemon that listens at this address.
        found: DaemonId,
    },
    /// A later incarnation of the dialling daemon has been seen.
    StaleIncarnation {
        /// The latest incarnation seen.
        latest: Incarnation,
    },
    /// The hello could not be decoded.
    Malformed,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ProtocolVersion { supported } => {
                write!(f, "the peer only supports protocol version {supported}")
            }
            Self::ClusterName => f.write_str("the peer has another cluster name"),
            Self::Token => f.write_str("the peer has another shared token"),
            Self::WrongDaemon { found } => write!(f, "daemon {found} listens at this address"),
            Self::StaleIncarnation { latest } => {
                write!(
                    f,
                    "the peer has seen the later incarnation {latest} of this daemon"
                )
            }
            Self::Malformed => f.write_str("the peer could not decode the hello"),
        }
    }
}
