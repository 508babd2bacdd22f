//! The traits and what crosses them.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::str::FromStr;

use bytes::Bytes;
use vanillafold_types::{Millis, Offset, PoolId, RackId, VmId, ZoneId};

/// The platform's append-only log.
///
/// A record takes effect when it is read back: the answer to an append may be lost after the
/// append took effect.
pub trait PlatformLog {
    /// Appends a record to `stream`.
    ///
    /// # Errors
    ///
    /// [`AppendError`] says whether the record may have been appended.
    fn append(
        &self,
        stream: &str,
        record: Bytes,
    ) -> impl Future<Output = Result<Offset, AppendError>>;

    /// Reads at most `most` records of `stream` from offset `from`, waiting up to `wait_ms` for
    /// the first.
    ///
    /// # Errors
    ///
    /// [`ReadError::Dropped`] if retention has dropped `from`, otherwise why nothing was read.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        most: u32,
        wait_ms: Millis,
    ) -> impl Future<Output = Result<LogBatch, ReadError>>;
}

/// The platform's lagging list of VMs.
pub trait VmList {
    /// The VMs of `zone` (of all zones without one) that changed after `since`.
    ///
    /// # Errors
    ///
    /// Why nothing was read.
    fn changes(
        &self,
        zone: Option<&ZoneId>,
        since: ListVersion,
    ) -> impl Future<Output = Result<VmChanges, ReadError>>;
}

/// What the platform does to a VM when asked. Asking twice is harmless.
pub trait VmOperations {
    /// Tells the VM to finish what it has and take nothing new.
    ///
    /// # Errors
    ///
    /// Why the platform did not take the order.
    fn drain(&self, vm: &VmId) -> impl Future<Output = Result<(), ReadError>>;

    /// Reboots the VM.
    ///
    /// # Errors
    ///
    /// Why the platform did not take the order.
    fn reboot(&self, vm: &VmId) -> impl Future<Output = Result<(), ReadError>>;
}

/// A record of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// Its place.
    pub offset: Offset,
    /// What was appended.
    pub data: Bytes,
}

/// What a read gave.
#[derive(Debug, Clone)]
pub struct LogBatch {
    /// The oldest offset that the platform still keeps.
    pub oldest: Offset,
    /// The offset of the next append.
    pub next: Offset,
    /// The records, in the order of their offsets.
    pub records: Vec<LogRecord>,
}

/// A version of the VM list; zero asks for everything.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListVersion(pub u64);

/// The VMs that changed.
#[derive(Debug, Clone)]
pub struct VmChanges {
    /// The version to ask from next.
    pub version: ListVersion,
    /// The VMs, as they are now.
    pub vms: Vec<VmEntry>,
}

/// A VM as the list shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmEntry {
    /// Its name.
    pub vm: VmId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its rack.
    pub rack: RackId,
    /// The pool that it was made for.
    pub home_pool: PoolId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its state.
    pub state: VmState,
}

/// A VM's state in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmState {
    /// It runs.
    Live,
    /// It finishes what it has and takes nothing new.
    Leaving,
    /// It is no more.
    Gone,
}

impl fmt::Display for VmState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        })
    }
}

/// The text names no [`VmState`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected live, leaving or gone, found {found:?}")]
pub struct ParseVmStateError {
    /// What was there.
    pub found: String,
}

impl FromStr for VmState {
    type Err = ParseVmStateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "live" => Ok(Self::Live),
            "leaving" => Ok(Self::Leaving),
            "gone" => Ok(Self::Gone),
            _ => Err(ParseVmStateError {
                found: text.to_owned(),
            }),
        }
    }
}

/// Why an append got no offset.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum AppendError {
    /// The record was not appended.
    #[error("not appended: {reason}; try again later")]
    NotAppended {
        /// What the platform said.
        reason: String,
    },
    /// The record may have been appended.
    #[error("appended or not: {reason}; read the log to know")]
    Unknown {
        /// What went wrong.
        reason: String,
    },
}

/// Why a read or an order got no answer.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ReadError {
    /// The offset was dropped by retention.
    #[error("the oldest offset kept is {oldest}; start from a snapshot")]
    Dropped {
        /// The oldest offset that is kept.
        oldest: Offset,
    },
    /// The platform did not answer, or said that it can't.
    #[error("the platform is not available: {reason}")]
    Unavailable {
        /// What went wrong.
        reason: String,
    },
    /// The platform's answer makes no sense.
    #[error("the platform's answer is malformed: {reason}")]
    Malformed {
        /// What was wrong.
        reason: String,
    },
}
