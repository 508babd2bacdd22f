//! Messages that daemons exchange to lend, recall and return units.

use bincode::{Decode, Encode};
use vanillafold_types::{DaemonId, Incarnation, TeamId};

/// A message to a peer. The protocol tolerates that it is lost, repeated, delayed or reordered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The peer that receives the message.
    pub to: DaemonId,
    /// The message itself.
    pub message: EscrowMessage,
}

/// A message from one incarnation of a daemon to one incarnation of a peer.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct EscrowMessage {
    /// The receiver's incarnation; any other incarnation ignores the message.
    pub to_incarnation: Incarnation,
    /// Borrow requests and reports on loans, in the order in which they are processed.
    pub lines: Vec<EscrowLine>,
}

/// One line of a message: an entry on one team.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct EscrowLine {
    /// The team whose units are concerned.
    pub team: TeamId,
    /// The request or the report on a loan.
    pub entry: EscrowEntry,
}

/// A borrow request or a report on a loan. Totals count from the first message between the two
/// incarnations and never decrease, so the larger of two totals is the later one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum EscrowEntry {
    /// The sender wants to borrow units.
    BorrowRequest {
        /// How many units; 0 cancels an earlier request.
        units: u32,
        /// Whether the sender has no unit, neither free nor in use.
        is_starved: bool,
    },
    /// The lender reports the state of a loan.
    Lent {
        /// Version of the report; increases with each change of `granted_total`, `return_target`
        /// and `home`.
        serial: u64,
        /// Units lent in total.
        granted_total: u64,
        /// Units known to have been returned in total.
        returned_total: u64,
        /// The value that `returned_total` must reach: the lender recalls the difference.
        return_target: u64,
        /// The lender's home units under the limit that it knows.
        home: u32,
        /// Whether the lender has no acknowledgement of this report yet.
        needs_ack: bool,
    },
    /// The borrower reports the state of a loan.
    Borrowed {
        /// The largest `serial` that the borrower has received: acknowledges that report.
        serial: u64,
        /// Units returned in total.
        returned_total: u64,
        /// Whether the borrower has no acknowledgement of this report yet.
        needs_ack: bool,
    },
}
