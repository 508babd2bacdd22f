//! What a stream's records change.

use bincode::{Decode, Encode};
use vanillafold_types::Revision;

use super::RefusalReason;
use crate::digest::LaneSum;

/// What the records of one stream change. It sees nothing of the other stream, because two
/// daemons that read the streams at different paces must decide alike.
pub(crate) trait StreamState: Default {
    type Change: Encode + Decode<()>;

    /// Whether a repeat of the change would do anything; if not, its sequence isn't counted.
    fn is_deduplicated(change: &Self::Change) -> bool;

    /// Makes the whole change and brings `sum` up to it, or else refuses and changes nothing.
    fn apply(
        &mut self,
        change: Self::Change,
        revision: Revision,
        sum: &mut LaneSum,
    ) -> Result<(), RefusalReason>;

    /// Adds every item to `sum`.
    fn add_to(&self, sum: &mut LaneSum);
}
