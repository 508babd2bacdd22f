//! The traits of the platform's API, with the types and errors that they use.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::str::FromStr;

use bytes::Bytes;
use vanillafold_types::{Millis, Offset, PoolId, RackId, VmId, ZoneId};

/// The platform's append-only log, which has several streams of records.
///
/// A record takes effect when it is read back from the log, not when its append is answered: the
/// answer may be lost although the record was appended.
pub trait PlatformLog {
    /// Appends a record to `stream` and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns an [`AppendError`], which says whether the record may have been appended.
    fn append(
        &self,
        stream: &str,
        record: Bytes,
    ) -> impl Future<Output = Result<Offset, AppendError>>;

    /// Reads at most `max_records` records of `stream` from offset `from`. If there are none yet,
    /// waits up to `wait_ms` for the first.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Dropped`] if retention has dropped the record at `from`, and another
    /// [`ReadError`] if the platform gave no valid answer.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        max_records: u32,
        wait_ms: Millis,
    ) -> impl Future<Output = Result<LogBatch, ReadError>>;
}

/// The platform's list of VMs. It lags behind the VMs' real state.
pub trait VmList {
    /// Returns the VMs of `zone`, or of all zones if it is `None`, that changed after version
    /// `since`.
    ///
    /// # Errors
    ///
    /// Returns a [`ReadError`] if the platform gave no valid answer.
    fn changes(
        &self,
        zone: Option<&ZoneId>,
        since: ListVersion,
    ) -> impl Future<Output = Result<VmChanges, ReadError>>;
}

/// The operations on a VM that the platform carries out on request. They are idempotent.
pub trait VmOperations {
    /// Drains the VM: it finishes the requests that it has and accepts no new ones.
    ///
    /// # Errors
    ///
    /// Returns a [`ReadError`] if the platform did not confirm the operation.
    fn drain(&self, vm: &VmId) -> impl Future<Output = Result<(), ReadError>>;

    /// Reboots the VM.
    ///
    /// # Errors
    ///
    /// Returns a [`ReadError`] if the platform did not confirm the operation.
    fn reboot(&self, vm: &VmId) -> impl Future<Output = Result<(), ReadError>>;
}

/// A record of a stream of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// The position of the record in its stream.
    pub offset: Offset,
    /// The bytes that were appended.
    pub data: Bytes,
}

/// The result of a read from the log.
#[derive(Debug, Clone)]
pub struct LogBatch {
    /// The oldest offset of the stream that the platform retains.
    pub oldest: Offset,
    /// The offset that the next appended record will get.
    pub next: Offset,
    /// The records, with consecutive offsets; empty if there are none yet.
    pub records: Vec<LogRecord>,
}

/// A version of the VM list. As the start of a query, zero means all VMs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListVersion(pub u64);

/// The VMs that changed since a version of the list.
#[derive(Debug, Clone)]
pub struct VmChanges {
    /// The version from which the next query continues.
    pub version: ListVersion,
    /// The current entries of the VMs that changed.
    pub vms: Vec<VmEntry>,
}

/// The entry of a VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmEntry {
    /// The name of the VM.
    pub vm: VmId,
    /// The availability zone that the VM is in.
    pub zone: ZoneId,
    /// The rack that the VM is in.
    pub rack: RackId,
    /// The pool that the VM was created for; it may serve another one later.
    pub home_pool: PoolId,
    /// The address at which the VM accepts requests.
    pub address: SocketAddr,
    /// The state of the VM.
    pub state: VmState,
}

/// A VM's state in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM is draining: it finishes the requests that it has and accepts no new ones.
    Leaving,
    /// The VM no longer exists.
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

/// The error of parsing a text that is no [`VmState`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected live, leaving or gone, found {found:?}")]
pub struct ParseVmStateError {
    /// The text that was found.
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

/// Why an append returned no offset.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum AppendError {
    /// The record was certainly not appended.
    #[error("the record was not appended: {reason}; try again later")]
    NotAppended {
        /// The platform's refusal, or the error of the connection.
        reason: String,
    },
    /// The record may or may not have been appended.
    #[error("it is unknown whether the record was appended: {reason}; read the log to find out")]
    Unknown {
        /// The error of the connection, or the answer's status or fault.
        reason: String,
    },
}

/// Why a read from the platform or an operation on a VM failed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ReadError {
    /// Retention has dropped the record at the offset to read from.
    #[error(
        "the record was dropped, the oldest retained offset is {oldest}; start from a snapshot"
    )]
    Dropped {
        /// The oldest offset of the stream that the platform retains.
        oldest: Offset,
    },
    /// The platform did not answer, or answered with an error.
    #[error("the platform is not available: {reason}")]
    Unavailable {
        /// The error of the connection, or the answer's status or fault.
        reason: String,
    },
    /// The platform's answer lacks a header or can't be parsed.
    #[error("the platform's answer is malformed: {reason}")]
    Malformed {
        /// What is malformed in the answer.
        reason: String,
    },
}
