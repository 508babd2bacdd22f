//! One target: its membership, load, health and connections.

use vanillafold_types::{Connections, Millis, VmId};

use super::decaying_value::DecayingValue;
use super::health::{Health, HealthState};
use super::load::ExternalLoad;
use super::{FailureKind, Member, MemberState, NotRunReason, SendOutcome};
use crate::MonotonicMillis;

/// How long a target that said busy counts as full.
const BUSY_REPORT_LIFETIME: Millis = Millis::new(10);
/// Half-life of a target's weight of slowness while it gets no sends.
const LATENCY_HALF_LIFE: Millis = Millis::new(10_000);
/// Part of the difference that one answer moves the mean latency by.
const LATENCY_SMOOTHING: f64 = 0.1;
/// The most that slowness alone multiplies the estimate by.
const MAX_SLOWNESS: f64 = 4.0;
/// What other daemons' load counts for against this daemon's own when targets are compared. The
/// own is exact, the other's is old by about the time of one request.
const EXTERNAL_LOAD_WEIGHT: f64 = 0.3;
/// Costs that differ by less, in slots, are much the same.
const COST_STEP: f64 = 0.5;
/// When an estimate that says full may say otherwise.
const RECHECK_INTERVAL: Millis = Millis::new(50);

/// What a target may do for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Usability {
    Available,
    ProbeDue,
    /// Full by its own word or by this daemon's sends.
    Busy(Millis),
    /// Full by the estimate of what other daemons have there.
    EstimatedFull(Millis),
    Ejected(Millis),
    Unusable,
}

/// Conditions of a pick that are the same for all targets.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PickContext {
    pub(crate) now: MonotonicMillis,
    pub(crate) slots: u32,
    pub(crate) panic: bool,
    pub(crate) idempotent: bool,
}

#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) member: Member,
    pub(crate) removed: bool,
    pub(crate) reported_leaving: bool,
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

    /// Takes the list's word. A target that itself said leaving stays so until the list has shown
    /// it leaving and then live.
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

    /// Whether new work may be sent, its load and health aside.
    pub(crate) fn takes_work(&self) -> bool {
        !self.removed && !self.reported_leaving && self.member.state == MemberState::Live
    }

    pub(crate) fn is_assigned(&self) -> bool {
        self.connections_allowed > Connections::ZERO
    }

    /// Whether nothing of this daemon is left at a removed target.
    pub(crate) fn is_unused(&self) -> bool {
        self.removed && self.outstanding == 0 && self.connections == 0
    }

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

    /// Whether this daemon's sends and those of others fill the target's slots, by estimate.
    fn is_estimated_full(&self, context: &PickContext) -> bool {
        let estimate = f64::from(self.outstanding) + self.external_load.get(context.now);
        estimate + 1.0 > f64::from(context.slots)
    }

    /// How long the target is full by its own word or by this daemon's sends, `None` if not.
    fn busy_for(&self, context: &PickContext) -> Option<Millis> {
        let own_limit = context.slots.min(self.connections_allowed.get());
        match self.busy_until {
            Some(until) if context.now < until => Some(until.since(context.now)),
            _ if self.outstanding >= own_limit => Some(RECHECK_INTERVAL),
            _ => None,
        }
    }

    /// What a send to this target costs, in [`COST_STEP`]; the least is picked.
    ///
    /// In steps, since a penalty that has all but faded would otherwise still lose each
    /// comparison of idle targets.
    pub(crate) fn cost(&self, now: MonotonicMillis) -> u64 {
        let load = f64::from(self.outstanding) + EXTERNAL_LOAD_WEIGHT * self.external_load.get(now);
        let slowness = 1.0 + self.slowness.get(now);
        let slots = (load + 1.0) * slowness / self.health.slow_start_factor(now);
        ((slots + self.health.penalty(now)) / COST_STEP).round() as u64
    }

    /// Notes an answer's latency against the pool's mean. Only answers count: a failure's
    /// latency says nothing good about the target.
    pub(crate) fn record_latency(
        &mut self,
        now: MonotonicMillis,
        latency_ms: Millis,
        pool_ms: f64,
    ) {
        let latency_ms = latency_ms.get() as f64;
        let mean = self.latency_ms.unwrap_or(latency_ms);
        let mean = mean + LATENCY_SMOOTHING * (latency_ms - mean);
        self.latency_ms = Some(mean);
        let ratio = mean / pool_ms.max(1.0);
        self.slowness.set(now, ratio.clamp(1.0, MAX_SLOWNESS) - 1.0);
    }

    /// Notes everything but health and latency.
    pub(crate) fn send_ended(&mut self, now: MonotonicMillis, outcome: SendOutcome) {
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
            SendOutcome::Failed { .. } => {}
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
            _ => self.busy_until = None,
        }
    }

    /// Whether a failure speaks against the target. A timeout that came sooner than the target
    /// usually answers speaks against the deadline.
    pub(crate) fn counts_against_target(&self, kind: FailureKind, waited_ms: Millis) -> bool {
        let usual_ms = self.latency_ms.unwrap_or_default();
        kind != FailureKind::Timeout || waited_ms.get() as f64 >= usual_ms
    }
}
