//! What the fold says of a record.

use vanillafold_types::Offset;

use super::RefusalReason;
use crate::Verdict;

/// What the fold says of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum Applied {
    /// The record took effect.
    Accepted,
    /// The record was read before and has the same outcome as then.
    Repeated(Verdict),
    /// The record changed nothing.
    Refused(RefusalReason),
    /// The offset is not the next one; the state is as before.
    OutOfOrder(OutOfOrder),
}

/// Why an offset is not the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutOfOrder {
    /// The offset was read before.
    Older {
        /// The next offset.
        expected: Offset,
    },
    /// Records are missing before this offset: read them, or start again from a snapshot.
    Gap {
        /// The next offset.
        expected: Offset,
    },
}
