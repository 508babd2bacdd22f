//! What a routing decision has to do to be measured.

use crate::{
    Member, MonotonicMillis, PickOptions, PickRefusal, PickedTarget, SendOutcome, SplitMix,
    TargetTable,
};

/// A way of choosing targets.
pub trait Route {
    /// Takes the membership list.
    fn set_members(&mut self, members: Vec<Member>);

    /// Picks a target for one send.
    ///
    /// # Errors
    ///
    /// Why none was picked.
    fn pick(
        &mut self,
        now: MonotonicMillis,
        rng: &mut SplitMix,
        options: PickOptions<'_>,
    ) -> Result<PickedTarget, PickRefusal>;

    /// Counts a send as outstanding.
    fn send_started(&mut self, picked: &PickedTarget);

    /// Counts a send as ended.
    fn send_finished(&mut self, picked: PickedTarget, now: MonotonicMillis, outcome: SendOutcome);
}

impl Route for TargetTable {
    fn set_members(&mut self, members: Vec<Member>) {
        Self::set_members(self, members);
    }

    fn pick(
        &mut self,
        now: MonotonicMillis,
        rng: &mut SplitMix,
        options: PickOptions<'_>,
    ) -> Result<PickedTarget, PickRefusal> {
        Self::pick(self, now, rng, options)
    }

    fn send_started(&mut self, picked: &PickedTarget) {
        Self::send_started(self, picked);
    }

    fn send_finished(&mut self, picked: PickedTarget, now: MonotonicMillis, outcome: SendOutcome) {
        Self::send_finished(self, picked, now, outcome);
    }
}
