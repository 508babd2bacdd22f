//! The interface between the fold of a stream and the state that its records change.

use bincode::{Decode, Encode};
use vanillafold_types::Revision;

use super::RefusalReason;
use crate::digest::LaneSum;

/// The state that the records of one stream change. It has no access to the other stream, because
/// daemons that read the two streams at different speeds must accept and refuse the same records.
pub(crate) trait StreamState: Default {
    type Change: Encode + Decode<()>;

    /// Returns whether repeats of the change are detected by the author's sequence. A change that
    /// has no effect on the state needs no such detection, and its outcome isn't kept.
    fn is_deduplicated(change: &Self::Change) -> bool;

    /// Applies the whole change and updates the digest `sum`.
    ///
    /// # Errors
    ///
    /// Returns the reason why the change is refused; the state and `sum` are then unchanged.
    fn apply(
        &mut self,
        change: Self::Change,
        revision: Revision,
        sum: &mut LaneSum,
    ) -> Result<(), RefusalReason>;

    /// Adds every item of the state to the digest `sum`.
    fn add_to(&self, sum: &mut LaneSum);
}
