//! The state of one target: membership, load, health and connections.

use vanillafold_types::{Connections, Millis, VmId};

use super::decaying_value::DecayingValue;
use super::health::{Health, HealthState};
use super::load::ExternalLoad;
use super::{FailureKind, Member, MemberState, NotRunReason, SendOutcome};
use crate::MonotonicMillis;

/// Time for which a target counts as full after it answered that it is busy.
const BUSY_REPORT_LIFETIME: Millis = Millis::new(10);
/// Half-life of a target's slowness while it gets no sends.
const LATENCY_HALF_LIFE: Millis = Millis::new(10_000);
/// Smoothing factor of the mean latency, an exponentially weighted moving average over answers.
const LATENCY_SMOOTHING: f64 = 0.1;
/// Maximum factor by which slowness alone multiplies the cost of a target.
const MAX_SLOWNESS: f64 = 4.0;
/// Weight of external load in the cost of a target; this daemon's own load has weight 1. The own
/// load is exact, while reports of other daemons are old by about the duration of one request.
const EXTERNAL_LOAD_WEIGHT: f64 = 0.3;
/// Step to which costs are rounded, in slots. Smaller differences do not matter.
const COST_STEP: f64 = 0.5;
/// Time until the next pick when a target is full by an estimate or by this daemon's own sends, or
/// a probe of it is outstanding.
const RECHECK_INTERVAL: Millis = Millis::new(50);

/// Whether a target can take a request, with the time after which it may if it cannot now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Usability {
    /// The target can take the request.
    Available,
    /// The target is ejected, and the request may probe it.
    ProbeDue,
    /// The target is full by its own report or by this daemon's sends.
    Busy(Millis),
    /// The target is full by the estimate of external load.
    EstimatedFull(Millis),
    /// The target is ejected and may not be probed yet.
    Ejected(Millis),
    /// The target takes no new work, or this daemon has no connections to it.
    Unusable,
}

/// Inputs of a pick that are the same for all targets of the pool.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PickContext {
    pub(crate) now: MonotonicMillis,
    pub(crate) slots: u32,
    pub(crate) panic: bool,
    pub(crate) idempotent: bool,
}

/// The state of one target as this daemon sees it.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) member: Member,
    pub(crate) removed: bool,
    pub(crate) reported_leaving: bool,
    evacuated: bool,
    pub(crate) health_checked_at: Option<MonotonicMillis>,
    pub(crate) outstanding: u32,
    pub(crate) connections: u32,
    pub(crate) connections_allowed: Connections,
    pub(crate) external_load: ExternalLoad,
    pub(crate) health: Health,
    busy_until: Option<MonotonicMillis>,
    latency_ms: Option<f64>,
    slowness: DecayingValue,
}

impl Target {
    pub(crate) fn new(member: Member, connections_allowed: Connections, salt: u64) -> Self {
        Self {
            health: Health::new(&member.vm, salt),
            member,
            removed: false,
            reported_leaving: false,
            evacuated: false,
            health_checked_at: None,
            outstanding: 0,
            connections: 0,
            connections_allowed,
            external_load: ExternalLoad::default(),
            busy_until: None,
            latency_ms: None,
            slowness: DecayingValue::new(LATENCY_HALF_LIFE),
        }
    }

    pub(crate) fn vm(&self) -> &VmId {
        &self.member.vm
    }

    /// Updates the target from the membership list. A target that itself reported that it is
    /// leaving stays so until the list has shown it first as leaving or absent and then as live. A
    /// target that returns after it was removed, or with another address, starts with no recorded
    /// failures.
    pub(crate) fn update(&mut self, member: Member, salt: u64) {
        let came_back = self.removed || self.member.state == MemberState::Leaving;
        if member.state == MemberState::Live && came_back {
            self.reported_leaving = false;
        }
        if self.removed || self.member.address != member.address {
            self.health = Health::new(&member.vm, salt);
            self.external_load = ExternalLoad::default();
            self.reported_leaving = false;
        }
        self.removed = false;
        self.member = member;
    }

    /// Sets whether the target's zone is evacuated. When that ends, the target starts with no
    /// recorded failures, as one that returns after it was removed. What is known of its work stays,
    /// because requests may still be running there.
    pub(crate) fn set_evacuated(&mut self, evacuated: bool, salt: u64) {
        if self.evacuated && !evacuated {
            self.health = Health::new(&self.member.vm, salt);
        }
        self.evacuated = evacuated;
    }

    pub(crate) fn is_evacuated(&self) -> bool {
        self.evacuated
    }

    /// Returns whether the target finishes its current work, by the membership list or its own
    /// report.
    pub(crate) fn is_leaving(&self) -> bool {
        self.reported_leaving || self.member.state == MemberState::Leaving
    }

    /// Returns whether the target takes new work, regardless of its load and health.
    pub(crate) fn takes_work(&self) -> bool {
        !self.removed && !self.evacuated && !self.is_leaving()
    }

    /// Returns whether the split of connections gives this daemon any to the target.
    pub(crate) fn is_assigned(&self) -> bool {
        self.connections_allowed > Connections::ZERO
    }

    /// Returns whether the target is removed and has no sends and connections of this daemon left.
    pub(crate) fn is_unused(&self) -> bool {
        self.removed && self.outstanding == 0 && self.connections == 0
    }

    /// Returns whether the target can take the request of `context`.
    pub(crate) fn usability(&self, context: &PickContext) -> Usability {
        if !self.takes_work() || !self.is_assigned() {
            return Usability::Unusable;
        }
        let full = self.busy_for(context);
        match self
            .health
            .state(context.now, context.panic, context.idempotent)
        {
            HealthState::Ejected(until) => Usability::Ejected(until.since(context.now)),
            HealthState::Probing => Usability::Ejected(RECHECK_INTERVAL),
            HealthState::ProbeDue | HealthState::Healthy if full.is_some() => {
                Usability::Busy(full.unwrap_or_default())
            }
            HealthState::ProbeDue => Usability::ProbeDue,
            HealthState::Healthy if self.is_estimated_full(context) => {
                Usability::EstimatedFull(RECHECK_INTERVAL)
            }
            HealthState::Healthy => Usability::Available,
        }
    }

    /// Returns whether this daemon's sends and the estimated external load fill the target's slots.
    fn is_estimated_full(&self, context: &PickContext) -> bool {
        let estimate = f64::from(self.outstanding) + self.external_load.get(context.now);
        estimate + 1.0 > f64::from(context.slots)
    }

    /// Returns how long the target stays full by its own report or by this daemon's sends, or
    /// `None` if it is not full.
    fn busy_for(&self, context: &PickContext) -> Option<Millis> {
        let own_limit = context.slots.min(self.connections_allowed.get());
        match self.busy_until {
            Some(until) if context.now < until => Some(until.since(context.now)),
            _ if self.outstanding >= own_limit => Some(RECHECK_INTERVAL),
            _ => None,
        }
    }

    /// Returns the cost of a send to this target, in units of [`COST_STEP`]; the target of least
    /// cost is picked.
    ///
    /// The cost is rounded because otherwise an idle target with a penalty that has almost decayed
    /// would still lose every comparison with other idle targets.
    pub(crate) fn cost(&self, now: MonotonicMillis) -> u64 {
        let load = f64::from(self.outstanding) + EXTERNAL_LOAD_WEIGHT * self.external_load.get(now);
        let slowness = 1.0 + self.slowness.get(now);
        let slots = (load + 1.0) * slowness / self.health.slow_start_factor(now);
        ((slots + self.health.penalty(now)) / COST_STEP).round() as u64
    }

    /// Updates the mean latency and, compared with the pool's mean of `pool_latency_ms`, the
    /// slowness. Only answers are recorded, because a fast failure does not mean that the target is
    /// fast.
    pub(crate) fn record_latency(
        &mut self,
        now: MonotonicMillis,
        latency_ms: Millis,
        pool_latency_ms: f64,
    ) {
        let latency_ms = latency_ms.get() as f64;
        let mean = self.latency_ms.unwrap_or(latency_ms);
        let mean = mean + LATENCY_SMOOTHING * (latency_ms - mean);
        self.latency_ms = Some(mean);
        let ratio = mean / pool_latency_ms.max(1.0);
        self.slowness.set(now, ratio.clamp(1.0, MAX_SLOWNESS) - 1.0);
    }

    /// Updates everything but health and latency after a send has ended.
    pub(crate) fn update_after_send(&mut self, now: MonotonicMillis, outcome: SendOutcome) {
        self.outstanding -= 1;
        match outcome {
            SendOutcome::Answered { load, .. } | SendOutcome::NotRun { load, .. } => {
                if let Some(load) = load {
                    self.external_load
                        .set_from_target(now, load, self.outstanding);
                }
            }
            SendOutcome::Failed {
                kind: FailureKind::Lost | FailureKind::Timeout,
                ..
            }
            | SendOutcome::Abandoned => self.external_load.add_abandoned(now),
            SendOutcome::Failed { .. } | SendOutcome::Unsent => {}
        }
        match outcome {
            SendOutcome::NotRun {
                reason: NotRunReason::Busy,
                ..
            } => self.busy_until = Some(now.after(BUSY_REPORT_LIFETIME)),
            SendOutcome::NotRun {
                reason: NotRunReason::Leaving,
                ..
            } => self.reported_leaving = true,
            SendOutcome::Unsent => {}
            _ => self.busy_until = None,
        }
    }

    /// Returns whether a failure counts against the target. A timeout after less than the target's
    /// mean latency does not: the deadline was too short.
    pub(crate) fn counts_against_target(&self, kind: FailureKind, waited_ms: Millis) -> bool {
        let usual_ms = self.latency_ms.unwrap_or_default();
        kind != FailureKind::Timeout || waited_ms.get() as f64 >= usual_ms
    }
}
