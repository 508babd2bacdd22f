//! The first words on a connection.

use std::fmt;

use bincode::{Decode, Encode};
use vanillafold_types::{DaemonId, Incarnation, Millis, ZoneId};

use super::frame::{FrameError, decode, decode_prefix};

/// The version of the protocol that this crate speaks.
pub const PROTOCOL_VERSION: u16 = 1;

const MAGIC: [u8; 4] = *b"vfpr";

/// The part of a hello that stays the same in all versions.
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

/// Who dials, and whom.
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

/// Why a hello could not be read.
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
    /// Reads a hello; the version is checked before the fields that depend on it.
    pub(crate) fn read(frame: &[u8]) -> Result<Self, HelloError> {
        let prefix: HelloPrefix = decode_prefix(frame)?;
        match prefix {
            HelloPrefix { magic, .. } if magic != MAGIC => Err(HelloError::Malformed),
            HelloPrefix { version, .. } if version != PROTOCOL_VERSION => Err(HelloError::Version),
            _ => Ok(decode(frame)?),
        }
    }
}

/// Who answers.
#[derive(Debug, Encode, Decode)]
pub(crate) struct Welcome {
    pub(crate) incarnation: Incarnation,
}

/// The answer to a hello.
#[derive(Debug, Encode, Decode)]
pub(crate) enum HelloReply {
    Welcome(Welcome),
    Refused(RefusalReason),
}

/// Why a daemon refuses a connection from another.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[non_exhaustive]
pub enum RefusalReason {
    /// It speaks another version of the protocol.
    ProtocolVersion {
        /// The version that the refusing daemon speaks.
        supported: u16,
    },
    /// It belongs to another cluster.
    ClusterName,
    /// Its shared token is another one.
    Token,
    /// It looked for another daemon at this address.
    WrongDaemon {
        /// The daemon that is at this address.
        found: DaemonId,
    },
    /// A later start of the same daemon has been seen.
    StaleIncarnation {
        /// The latest incarnation seen.
        latest: Incarnation,
    },
    /// The hello could not be read.
    Malformed,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ProtocolVersion { supported } => {
                write!(f, "the peer speaks protocol version {supported} only")
            }
            Self::ClusterName => f.write_str("the peer belongs to another cluster"),
            Self::Token => f.write_str("the peer has another shared token"),
            Self::WrongDaemon { found } => write!(f, "the address belongs to daemon {found}"),
            Self::StaleIncarnation { latest } => {
                write!(f, "the peer has seen the later incarnation {latest}")
            }
            Self::Malformed => f.write_str("the peer could not read the hello"),
        }
    }
}
