//! What daemons tell each other about units.

use bincode::{Decode, Encode};
use vanillafold_types::{DaemonId, Incarnation, TeamId};

/// A message to a peer. It may be lost, repeated, delayed or overtaken without harm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The peer.
    pub to: DaemonId,
    /// What it is told.
    pub message: EscrowMessage,
}

/// What one start of a daemon tells one start of a peer.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct EscrowMessage {
    /// The start that is meant; any other ignores the message.
    pub to_incarnation: Incarnation,
    /// The lines.
    pub lines: Vec<EscrowLine>,
}

/// One line of a message.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct EscrowLine {
    /// The team.
    pub team: TeamId,
    /// What is said of it.
    pub entry: EscrowEntry,
}

/// What is said of a team. Totals count from the first message between the two starts and never
/// go back, so the larger one is the later one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum EscrowEntry {
    /// The sender wants to borrow.
    BorrowRequest {
        /// How many units; 0 takes an earlier ask back.
        units: u32,
        /// Whether it has no unit at all.
        is_starved: bool,
    },
    /// The sender, as lender, tells where the loan stands.
    Lent {
        /// Grows with each change of `granted_total`, `return_target` and `home`.
        serial: u64,
        /// Units lent since the beginning.
        granted_total: u64,
        /// Units known to have come back since the beginning.
        returned_total: u64,
        /// The lender wants `returned_total` to reach this.
        return_target: u64,
        /// The lender's home units under the limit that it knows.
        home: u32,
        /// Whether the lender doesn't know yet that the borrower has read this.
        needs_ack: bool,
    },
    /// The sender, as borrower, tells where the loan stands.
    Borrowed {
        /// The largest serial read.
        serial: u64,
        /// Units given back since the beginning.
        returned_total: u64,
        /// Whether the borrower doesn't know yet that the lender has read this.
        needs_ack: bool,
    },
}
