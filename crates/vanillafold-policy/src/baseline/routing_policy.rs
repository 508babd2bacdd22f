//! The interface that benchmarks use to run a routing policy.

use crate::{
    Member, MonotonicMillis, PickOptions, PickRefusal, PickedTarget, SendOutcome, SplitMix,
    TargetTable,
};
use vanillafold_types::ZoneId;

/// A policy that chooses targets for sends.
pub trait RoutingPolicy {
    /// Replaces the membership list.
    fn set_members(&mut self, members: Vec<Member>);

    /// Sets the zones that are evacuated. The baselines know no zones.
    fn set_evacuated_zones(&mut self, _zones: &[ZoneId]) {}

    /// Picks a target for one send.
    ///
    /// # Errors
    ///
    /// Returns a [`PickRefusal`] that says why no target was picked.
    fn pick(
        &mut self,
        now: MonotonicMillis,
        rng: &mut SplitMix,
        options: PickOptions<'_>,
    ) -> Result<PickedTarget, PickRefusal>;

    /// Counts a send to the picked target as outstanding.
    fn send_started(&mut self, picked: &PickedTarget);

    /// Counts a send as ended and passes on its outcome.
    fn send_finished(&mut self, picked: PickedTarget, now: MonotonicMillis, outcome: SendOutcome);
}

impl RoutingPolicy for TargetTable {
    fn set_members(&mut self, members: Vec<Member>) {
        Self::set_members(self, members);
    }

    fn set_evacuated_zones(&mut self, zones: &[ZoneId]) {
        Self::set_evacuated_zones(self, zones);
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
