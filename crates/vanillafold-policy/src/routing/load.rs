//! Estimate of the load at a target that this daemon does not count as outstanding.

use vanillafold_types::{Millis, Slots};

use crate::MonotonicMillis;

/// Age at which a load report no longer counts.
const LOAD_REPORT_LIFETIME: Millis = Millis::new(1_000);

/// Estimate of the slots of a target that other daemons use, from the latest report of the target
/// or of the peers. Sends that this daemon abandoned count too, because their work may go on.
///
/// The estimate falls linearly to 0 over [`LOAD_REPORT_LIFETIME`], so that a target that is
/// estimated to be full is tried again soon.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ExternalLoad {
    slots: u32,
    reported_at: Option<MonotonicMillis>,
}

impl ExternalLoad {
    /// Sets the estimate from a target's `Vf-Load` header, which includes the `own` sends of this
    /// daemon that are still outstanding.
    pub(crate) fn set_from_target(&mut self, now: MonotonicMillis, load: Slots, own: u32) {
        self.set(now, load.get().saturating_sub(own));
    }

    /// Sets the estimate to the sum of the sends that peers report as outstanding at the target.
    pub(crate) fn set_from_peers(&mut self, now: MonotonicMillis, load: Slots) {
        self.set(now, load.get());
    }

    /// Adds a send that this daemon abandoned while its work may go on at the target.
    pub(crate) fn add_abandoned(&mut self, now: MonotonicMillis) {
        self.set(now, self.get(now).round() as u32 + 1);
    }

    /// Returns the estimate, in slots.
    pub(crate) fn get(&self, now: MonotonicMillis) -> f64 {
        let Some(reported_at) = self.reported_at else {
            return 0.0;
        };
        let age_ms = now.since(reported_at).get().min(LOAD_REPORT_LIFETIME.get());
        f64::from(self.slots) * (1.0 - age_ms as f64 / LOAD_REPORT_LIFETIME.get() as f64)
    }

    fn set(&mut self, now: MonotonicMillis, slots: u32) {
        self.slots = slots;
        self.reported_at = Some(now);
    }
}
