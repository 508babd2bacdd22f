//! What a target is thought to have running.

use vanillafold_types::{Millis, Slots};

use crate::MonotonicMillis;

/// Age at which a report about other daemons' load counts for nothing.
const LOAD_REPORT_LIFETIME: Millis = Millis::new(1_000);

/// What other daemons have at a target, from its own word or from peers, whichever is younger.
///
/// The report fades linearly to nothing over [`LOAD_STALE`], so that a target thought full is
/// tried again soon.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ExternalLoad {
    slots: u32,
    reported_at: Option<MonotonicMillis>,
}

impl ExternalLoad {
    /// Notes `Vf-Load`, which counts this daemon's own other sends too.
    pub(crate) fn set_from_target(&mut self, now: MonotonicMillis, load: Slots, own: u32) {
        self.set(now, load.get().saturating_sub(own));
    }

    /// Notes the sum of what peers say that they have there.
    pub(crate) fn set_from_peers(&mut self, now: MonotonicMillis, load: Slots) {
        self.set(now, load.get());
    }

    /// Notes that a send of this daemon was given up while its work may go on.
    pub(crate) fn add_abandoned(&mut self, now: MonotonicMillis) {
        self.set(now, self.get(now).round() as u32 + 1);
    }

    /// The estimate in slots.
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
