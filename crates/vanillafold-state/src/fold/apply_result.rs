//! The result of applying a record.

use vanillafold_types::Offset;

use super::RefusalReason;
use crate::Verdict;

/// The result of applying a record to the state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum ApplyResult {
    /// The record was applied.
    Accepted,
    /// The same record was read before, with this verdict. It was not applied again.
    Repeated(Verdict),
    /// The record was refused for this reason and changed nothing. Its offset counts as read.
    Refused(RefusalReason),
    /// The offset is not the next one of the stream. The state did not change.
    OutOfOrder(OutOfOrder),
}

/// How an offset differs from the next one of the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutOfOrder {
    /// The record at this offset was read before.
    Older {
        /// The stream's next offset.
        expected: Offset,
    },
    /// Records before this offset were not read. They must be read first, or the state must be
    /// restored from a snapshot.
    Gap {
        /// The stream's next offset.
        expected: Offset,
    },
}
