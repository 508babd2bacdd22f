//! Outlier ejection: a failing target is set aside and comes back by probes.
//!
//! The shape is the usual one of a circuit breaker (Nygard: Release It!, 2007) with two
//! additions. A target is set aside only if it fails distinctly more than the others of its
//! pool, so requests that fail everywhere empty no pool. And a failure adds a penalty to the
//! load estimate, so a target that fails fast doesn't look idle before it is set aside.

use vanillafold_types::{Millis, VmId};

use super::decaying_value::DecayingValue;
use crate::MonotonicMillis;
use crate::random::{hash_text, mix};

/// Failures in a row that set a target aside.
const MIN_CONSECUTIVE_FAILURES: u32 = 5;
/// Recent failure rate that sets a target aside.
const EJECTION_FAILURE_RATE: f64 = 0.5;
/// Sends below which the rate says nothing.
const RATE_MIN_SENDS: u32 = 20;
/// Part of the difference that one send moves the recent failure rate by.
const FAILURE_RATE_SMOOTHING: f64 = 0.05;
/// The run sets a target aside only if a target that fails as often as the others has one with
/// at most this probability.
const MAX_RUN_PROBABILITY: f64 = 1e-6;
/// How far a target's failure rate must lie above that of the others of its pool.
const OUTLIER_MARGIN: f64 = 0.3;
/// Half-life of the recent failure rate while there are no sends.
const RATE_HALF_LIFE: Millis = Millis::new(10_000);

/// Load, in slots, that each failure adds to the estimate.
const FAILURE_PENALTY_SLOTS: f64 = 4.0;
/// The largest penalty, in slots.
const MAX_PENALTY_SLOTS: f64 = 64.0;
/// Half-life of the penalty.
const PENALTY_HALF_LIFE: Millis = Millis::new(2_000);

/// The first time aside.
const MIN_EJECTION: Millis = Millis::new(1_000);
/// The longest time aside, without its jitter.
const MAX_EJECTION: Millis = Millis::new(30_000);
/// Jitter as a part of the time aside: up to 1 / `JITTER_DIVISOR` is added.
const JITTER_DIVISOR: u64 = 4;
/// Time without an ejection after which the time aside starts again at [`MIN_ASIDE`].
const EJECTION_RESET_AFTER: Millis = Millis::new(120_000);
/// Successful probes that bring a target back.
const PROBE_SUCCESSES: u32 = 3;
/// Time over which a target that came back gets its full share again.
const SLOW_START_PERIOD: Millis = Millis::new(10_000);
/// The part of its share that it starts with.
const SLOW_START_MIN_FACTOR: f64 = 0.1;

/// Share of a pool, in percent, above which set-aside targets are probed early: so many at once
/// are more likely to be judged wrongly, or to recover together.
pub const PANIC_PERCENT: usize = 50;
/// The time aside under panic.
const PANIC_EJECTION: Millis = Millis::new(200);
/// How long a probe waits for an idempotent request before it takes any.
const IDEMPOTENT_PROBE_WAIT: Millis = Millis::new(2_000);

/// Whether a target may be tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthState {
    Healthy,
    /// One request may probe it.
    ProbeDue,
    /// A probe is under way.
    Probing,
    /// Set aside until then.
    Ejected(MonotonicMillis),
}

/// A target's time aside.
#[derive(Debug, Clone, Copy)]
struct Ejection {
    since: MonotonicMillis,
    until: MonotonicMillis,
    probing: bool,
    successes: u32,
}

/// What is known of a target's health.
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
    /// `salt` makes the jitter of two daemons differ.
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

    /// The recent failure rate, from 0 to 1.
    pub(crate) fn failure_rate(&self, now: MonotonicMillis) -> f64 {
        self.failure_rate.get(now)
    }

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

    /// The end of the time aside, if the target is set aside.
    pub(crate) fn ejected_until(&self) -> Option<MonotonicMillis> {
        self.ejection.map(|ejection| ejection.until)
    }

    pub(crate) fn penalty(&self, now: MonotonicMillis) -> f64 {
        self.penalty.get(now)
    }

    /// The part of its full share that a target that came back gets, up to 1.
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

    /// Ends a probe that taught nothing.
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

    /// Notes a failure; `others_rate` is the mean failure rate of the other targets in use,
    /// `None` if there are none.
    pub(crate) fn failed(&mut self, now: MonotonicMillis, probe: bool, others_rate: Option<f64>) {
        self.consecutive_failures += 1;
        self.record_send(now, 1.0);
        let penalty = self.penalty.get(now) + FAILURE_PENALTY_SLOTS;
        self.penalty.set(now, penalty.min(MAX_PENALTY_SLOTS));
        match self.ejection {
            Some(_) if probe => self.probe_failed(now, others_rate),
            None if self.is_outlier(now, others_rate) => self.eject(now),
            _ => {}
        }
    }

    /// Where the others fail as well, a failed probe says little: the time aside does not grow.
    fn probe_failed(&mut self, now: MonotonicMillis, others_rate: Option<f64>) {
        if others_rate.unwrap_or(1.0) >= OUTLIER_MARGIN {
            self.ejections = self.ejections.saturating_sub(1);
        }
        self.eject(now);
    }

    /// Prolongs a time aside after a failed health check, unless a probe is under way.
    pub(crate) fn health_check_failed(&mut self, now: MonotonicMillis) {
        if self.ejection.is_some_and(|ejection| !ejection.probing) {
            self.eject(now);
        }
    }

    /// Starts a time aside, twice as long as the one before.
    fn eject(&mut self, now: MonotonicMillis) {
        if now.since(self.ejected_at) > EJECTION_RESET_AFTER {
            self.ejections = 0;
        }
        let doubled = MIN_EJECTION.get() << self.ejections.min(16);
        let ejection_ms = doubled.min(MAX_EJECTION.get());
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

    /// The last target in use is never one: nothing would be gained by setting it aside.
    fn is_outlier(&self, now: MonotonicMillis, others_rate: Option<f64>) -> bool {
        let Some(others_rate) = others_rate else {
            return false;
        };
        let probability = others_rate.powf(f64::from(self.consecutive_failures));
        let by_run = self.consecutive_failures >= MIN_CONSECUTIVE_FAILURES
            && probability <= MAX_RUN_PROBABILITY;
        let rate_bound = EJECTION_FAILURE_RATE.max(others_rate + OUTLIER_MARGIN);
        let by_rate = self.sends >= RATE_MIN_SENDS && self.failure_rate(now) >= rate_bound;
        by_run || by_rate
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
