//! One-way messages between daemons.

use std::fmt;

use bincode::{Decode, Encode};
use vanillafold_types::{KeyId, Millis, Offset, VmId};

/// Maximum size of the payload of a [`PeerMessage::Custom`] and of custom requests and responses,
/// in bytes.
pub const MAX_CUSTOM_BYTES: usize = 64 * 1024;

/// A stream of the platform's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum LogStream {
    /// The records that operators publish.
    Catalogue,
    /// The records that the daemons write.
    Control,
}

impl fmt::Display for LogStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Catalogue => "catalogue",
            Self::Control => "control",
        })
    }
}

/// How far a daemon has folded the log into its state, and the digest of that state.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct StateSummary {
    /// Offset of the last folded record of the catalogue stream.
    pub catalogue_offset: Offset,
    /// Offset of the last folded record of the control stream.
    pub control_offset: Offset,
    /// Digest of the state at these offsets.
    pub digest: [u8; 32],
}

/// The number of requests that a daemon has outstanding at one VM.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct LoadEntry {
    /// The VM that the requests were sent to.
    pub vm: VmId,
    /// Requests sent to it and not yet answered.
    pub outstanding: u32,
}

/// The VMs at which a daemon's number of outstanding requests changed since its last report.
///
/// A report that waits for a slow peer is merged with the next one, VM by VM. A disconnected peer
/// misses reports: when [`PeerHandler::on_status`] says that its link is up, send it all entries.
///
/// [`PeerHandler::on_status`]: crate::PeerHandler::on_status
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct LoadReport {
    /// The new number for each VM at which it changed.
    pub entries: Vec<LoadEntry>,
}

/// The withdrawal of a team key, which is no longer valid.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Withdrawal {
    /// The withdrawn key.
    pub key: KeyId,
}

/// Consecutive records of one stream of the log.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct RecordBatch {
    /// The stream that the records come from.
    pub stream: LogStream,
    /// The offset of the first record.
    pub first_offset: Offset,
    /// The encoded records, as read from the platform.
    pub records: Vec<Vec<u8>>,
    /// The next offset that the sender will fold; the batch may end before it.
    pub next_offset: Offset,
    /// Time since the start of the read that last brought the sender up to the tail of the stream;
    /// `None` if no read has done so.
    pub fresh_age: Option<Millis>,
}

/// A one-way message from one daemon to another. Messages are delivered at most once, except for
/// withdrawals, which are resent until they are acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[non_exhaustive]
pub enum PeerMessage {
    /// How far the sender has folded the log; a newer summary replaces one that is not sent yet.
    State(StateSummary),
    /// Changes in the sender's outstanding requests; merged with a report that is not sent yet.
    LoadReport(LoadReport),
    /// A withdrawn key; each daemon forwards a withdrawal that is new to it.
    Withdrawal(Withdrawal),
    /// Records of the log, for a peer that cannot reach the platform.
    Records(RecordBatch),
    /// An application-defined payload of at most [`MAX_CUSTOM_BYTES`].
    Custom(Vec<u8>),
}
