//! Outlier ejection: a failing target gets no requests until probes to it succeed.
//!
//! This is a circuit breaker (Nygard: Release It!, 2007) with two additions. A target is ejected
//! only if it fails distinctly more often than the other targets of its pool, so that requests that
//! fail everywhere do not empty the pool. And each failure adds a penalty to the load estimate, so
//! that a target that fails fast does not look idle before it is ejected.

use vanillafold_types::{Millis, VmId};

use super::decaying_value::DecayingValue;
use crate::MonotonicMillis;
use crate::random::{hash_text, mix};

/// Minimum number of consecutive failures that eject a target.
const MIN_CONSECUTIVE_FAILURES: u32 = 5;
/// Minimum recent failure rate that ejects a target.
const EJECTION_FAILURE_RATE: f64 = 0.5;
/// Minimum number of sends for the failure rate to count.
const RATE_MIN_SENDS: u32 = 20;
/// Smoothing factor of the recent failure rate, an exponentially weighted moving average over
/// sends.
const FAILURE_RATE_SMOOTHING: f64 = 0.05;
/// A streak of consecutive failures ejects a target only if a target that fails as often as the
/// other targets would have such a streak with at most this probability.
const MAX_STREAK_PROBABILITY: f64 = 1e-6;
/// Minimum difference between the failure rate of an ejected target and that of the other targets
/// of its pool.
const OUTLIER_MARGIN: f64 = 0.3;
/// Half-life of the recent failure rate while the target gets no sends.
const RATE_HALF_LIFE: Millis = Millis::new(10_000);

/// Load that each failure adds to the load estimate, in slots.
const FAILURE_PENALTY_SLOTS: f64 = 4.0;
/// Upper bound of the penalty for failures, in slots.
const MAX_PENALTY_SLOTS: f64 = 64.0;
/// Half-life of the penalty for failures.
const PENALTY_HALF_LIFE: Millis = Millis::new(2_000);

/// Duration of the first ejection, without jitter.
const MIN_EJECTION: Millis = Millis::new(1_000);
/// Maximum duration of an ejection, without jitter.
const MAX_EJECTION: Millis = Millis::new(30_000);
/// An ejection is prolonged by a jitter of up to 1 / `JITTER_DIVISOR` of its duration.
const JITTER_DIVISOR: u64 = 4;
/// Time without an ejection after which the next one lasts [`MIN_EJECTION`] again.
const EJECTION_RESET_AFTER: Millis = Millis::new(120_000);
/// Number of successful probes that reinstate a target.
const PROBE_SUCCESSES: u32 = 3;
/// Time over which a reinstated target returns to its full share of requests.
const SLOW_START_PERIOD: Millis = Millis::new(10_000);
/// Part of its full share that a reinstated target starts with.
const SLOW_START_MIN_FACTOR: f64 = 0.1;

/// Percentage of ejected targets in a pool above which the pool is in panic mode, in which ejected
/// targets are probed early. When so many targets are ejected at once, it is more likely that the
/// ejections are wrong or that the targets recover together.
pub const PANIC_PERCENT: usize = 50;
/// Time from an ejection to the first probe in panic mode.
const PANIC_EJECTION: Millis = Millis::new(200);
/// Time for which a due probe waits for an idempotent request before any request may be the probe.
const IDEMPOTENT_PROBE_WAIT: Millis = Millis::new(2_000);

/// Whether a target may get a request, as far as its health is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthState {
    /// The target is not ejected.
    Healthy,
    /// The target is ejected, and one request may probe it now.
    ProbeDue,
    /// The target is ejected, and a probe of it is outstanding.
    Probing,
    /// The target is ejected and may not be probed before this time.
    Ejected(MonotonicMillis),
}

/// The current ejection of a target.
#[derive(Debug, Clone, Copy)]
struct Ejection {
    since: MonotonicMillis,
    until: MonotonicMillis,
    probing: bool,
    successes: u32,
}

/// Health of one target: its recent failures and its ejection, if any.
#[derive(Debug)]
pub(crate) struct Health {
    jitter_seed: u64,
    consecutive_failures: u32,
    sends: u32,
    failure_rate: DecayingValue,
    penalty: DecayingValue,
    ejection: Option<Ejection>,
    ejections: u32,
    ejected_at: MonotonicMillis,
    reinstated_at: Option<MonotonicMillis>,
}

impl Health {
    /// Creates the health of a target without failures. `salt` makes the jitter of two daemons
    /// differ.
    pub(crate) fn new(vm: &VmId, salt: u64) -> Self {
        Self {
            jitter_seed: mix(hash_text(vm.as_str()) ^ salt),
            consecutive_failures: 0,
            sends: 0,
            failure_rate: DecayingValue::new(RATE_HALF_LIFE),
            penalty: DecayingValue::new(PENALTY_HALF_LIFE),
            ejection: None,
            ejections: 0,
            ejected_at: MonotonicMillis::ZERO,
            reinstated_at: None,
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Returns the recent failure rate, from 0 to 1.
    pub(crate) fn failure_rate(&self, now: MonotonicMillis) -> f64 {
        self.failure_rate.get(now)
    }

    /// Returns whether the target may get a request now. `panic` says whether the pool is in panic
    /// mode, `idempotent` whether the request may run twice.
    pub(crate) fn state(&self, now: MonotonicMillis, panic: bool, idempotent: bool) -> HealthState {
        let Some(ejection) = self.ejection else {
            return HealthState::Healthy;
        };
        let until = match panic {
            true => ejection.until.min(ejection.since.after(PANIC_EJECTION)),
            false => ejection.until,
        };
        let probe_at = match idempotent || panic {
            true => until,
            false => until.after(IDEMPOTENT_PROBE_WAIT),
        };
        match now {
            _ if ejection.probing => HealthState::Probing,
            now if now >= probe_at => HealthState::ProbeDue,
            _ => HealthState::Ejected(probe_at),
        }
    }

    /// Returns the end of the ejection, or `None` if the target is not ejected.
    pub(crate) fn ejected_until(&self) -> Option<MonotonicMillis> {
        self.ejection.map(|ejection| ejection.until)
    }

    /// Returns the load that recent failures add to the load estimate, in slots.
    pub(crate) fn penalty(&self, now: MonotonicMillis) -> f64 {
        self.penalty.get(now)
    }

    /// Returns the part of its full share that the target gets after it was reinstated, at most 1.
    pub(crate) fn slow_start_factor(&self, now: MonotonicMillis) -> f64 {
        let Some(reinstated_at) = self.reinstated_at else {
            return 1.0;
        };
        let part = now.since(reinstated_at).get() as f64 / SLOW_START_PERIOD.get() as f64;
        part.clamp(SLOW_START_MIN_FACTOR, 1.0)
    }

    pub(crate) fn probe_started(&mut self) {
        if let Some(ejection) = &mut self.ejection {
            ejection.probing = true;
        }
    }

    /// Ends the outstanding probe without a verdict on the target.
    pub(crate) fn probe_ended(&mut self) {
        if let Some(ejection) = &mut self.ejection {
            ejection.probing = false;
        }
    }

    pub(crate) fn succeeded(&mut self, now: MonotonicMillis, probe: bool) {
        self.consecutive_failures = 0;
        self.record_send(now, 0.0);
        if !probe {
            return;
        }
        self.probe_ended();
        let Some(ejection) = &mut self.ejection else {
            return;
        };
        ejection.successes += 1;
        if ejection.successes >= PROBE_SUCCESSES {
            self.reinstate(now);
        }
    }

    /// Records a failure. `others_failure_rate` is the mean failure rate of the other targets in
    /// use, or `None` if there are none.
    pub(crate) fn failed(
        &mut self,
        now: MonotonicMillis,
        probe: bool,
        others_failure_rate: Option<f64>,
    ) {
        self.consecutive_failures += 1;
        self.record_send(now, 1.0);
        let penalty = self.penalty.get(now) + FAILURE_PENALTY_SLOTS;
        self.penalty.set(now, penalty.min(MAX_PENALTY_SLOTS));
        match self.ejection {
            Some(_) if probe => self.probe_failed(now, others_failure_rate),
            None if self.is_outlier(now, others_failure_rate) => self.eject(now),
            _ => {}
        }
    }

    /// Ejects the target again after a failed probe. If the other targets fail as well, the probe
    /// says little about this one, and the ejection does not get longer.
    fn probe_failed(&mut self, now: MonotonicMillis, others_failure_rate: Option<f64>) {
        if others_failure_rate.unwrap_or(1.0) >= OUTLIER_MARGIN {
            self.ejections = self.ejections.saturating_sub(1);
        }
        self.eject(now);
    }

    /// Prolongs an ejection after a failed health check, unless a probe is outstanding.
    pub(crate) fn health_check_failed(&mut self, now: MonotonicMillis) {
        if self.ejection.is_some_and(|ejection| !ejection.probing) {
            self.eject(now);
        }
    }

    /// Ejects the target for twice as long as at the previous ejection, up to [`MAX_EJECTION`].
    fn eject(&mut self, now: MonotonicMillis) {
        if now.since(self.ejected_at) > EJECTION_RESET_AFTER {
            self.ejections = 0;
        }
        let doubled_ms = MIN_EJECTION.get() << self.ejections.min(16);
        let ejection_ms = doubled_ms.min(MAX_EJECTION.get());
        let jitter_ms =
            mix(self.jitter_seed ^ u64::from(self.ejections)) % (ejection_ms / JITTER_DIVISOR);
        self.ejections += 1;
        self.ejected_at = now;
        self.ejection = Some(Ejection {
            since: now,
            until: now.after(Millis::new(ejection_ms + jitter_ms)),
            probing: false,
            successes: 0,
        });
    }

    fn record_send(&mut self, now: MonotonicMillis, failed: f64) {
        let rate = self.failure_rate.get(now);
        self.failure_rate
            .set(now, rate + FAILURE_RATE_SMOOTHING * (failed - rate));
        self.sends = self.sends.saturating_add(1);
    }

    /// Returns whether the target fails distinctly more often than the others. The last target in
    /// use is never an outlier, because ejecting it would leave nothing to send to.
    fn is_outlier(&self, now: MonotonicMillis, others_failure_rate: Option<f64>) -> bool {
        let Some(others_failure_rate) = others_failure_rate else {
            return false;
        };
        let probability = others_failure_rate.powf(f64::from(self.consecutive_failures));
        let by_streak = self.consecutive_failures >= MIN_CONSECUTIVE_FAILURES
            && probability <= MAX_STREAK_PROBABILITY;
        let rate_bound = EJECTION_FAILURE_RATE.max(others_failure_rate + OUTLIER_MARGIN);
        let by_rate = self.sends >= RATE_MIN_SENDS && self.failure_rate(now) >= rate_bound;
        by_streak || by_rate
    }

    fn reinstate(&mut self, now: MonotonicMillis) {
        self.ejection = None;
        self.consecutive_failures = 0;
        self.sends = 0;
        self.failure_rate.set(now, 0.0);
        self.penalty.set(now, 0.0);
        self.reinstated_at = Some(now);
    }
}
