//! What a daemon tells its peers without waiting for an answer.

use std::fmt;

use bincode::{Decode, Encode};
use vanillafold_types::{KeyId, Millis, Offset, VmId};

/// Most bytes in a [`PeerMessage::Custom`] and in the custom requests and responses.
pub const MAX_CUSTOM_BYTES: usize = 64 * 1024;

/// A stream of the platform's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum LogStream {
    /// What operators publish.
    Catalogue,
    /// What the daemons write.
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

/// How far a daemon has folded the log, and the digest of what came out.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct StateSummary {
    /// Last offset folded of the catalogue stream.
    pub catalogue_offset: Offset,
    /// Last offset folded of the control stream.
    pub control_offset: Offset,
    /// Digest of the state at these offsets.
    pub digest: [u8; 32],
}

/// What a daemon has outstanding at one VM.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct LoadEntry {
    /// The VM.
    pub vm: VmId,
    /// Requests sent to it and not yet answered.
    pub outstanding: u32,
}

/// What changed in a daemon's outstanding requests since its last report.
///
/// A report that waits for a slow peer is merged with the next one, VM by VM. A peer that
/// has been out of touch has missed reports: when [`PeerHandler::on_status`] says that its
/// link is up, send it all entries.
///
/// [`PeerHandler::on_status`]: crate::PeerHandler::on_status
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct LoadReport {
    /// The VMs whose number changed.
    pub entries: Vec<LoadEntry>,
}

/// A key that no longer counts.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Withdrawal {
    /// The key.
    pub key: KeyId,
}

/// Consecutive records of one stream.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct RecordBatch {
    /// The stream.
    pub stream: LogStream,
    /// The offset of the first record.
    pub first_offset: Offset,
    /// The records, as the platform gave them.
    pub records: Vec<Vec<u8>>,
    /// The offset that the sender folds next; the answer may stop short of it.
    pub next_offset: Offset,
    /// How long ago the read began that last brought the sender up to the stream's tail; `None`
    /// if none did.
    pub fresh_age: Option<Millis>,
}

/// What one daemon tells another. Delivery is at most once, except for withdrawals, which
/// are sent until they are acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[non_exhaustive]
pub enum PeerMessage {
    /// How far the sender has folded the log; a newer one replaces one that still waits.
    State(StateSummary),
    /// What changed in the sender's outstanding requests; merged with one that still waits.
    LoadReport(LoadReport),
    /// A withdrawn key; each daemon passes on what it did not know.
    Withdrawal(Withdrawal),
    /// Records, for a peer that the platform does not reach.
    Records(RecordBatch),
    /// Bytes whose meaning the two daemons know, at most [`MAX_CUSTOM_BYTES`].
    Custom(Vec<u8>),
}
