//! One target: its membership, load, health and connections.

use vanillafold_types::{Connections, Millis, VmId};

use super::decayed::Decayed;
use super::health::{Health, Trust};
use super::load::ForeignLoad;
use super::{FailureKind, Member, MemberState, NotRunReason, SendOutcome};
use crate::MonotonicMillis;

/// How long a target that said busy counts as full.
const BUSY_HOLD: Millis = Millis::new(10);
/// Half-life of a target's weight of slowness while it gets no sends.
const LATENCY_HALF_LIFE: Millis = Millis::new(10_000);
/// Part of the difference that one answer moves the mean latency by.
const LATENCY_GAIN: f64 = 0.1;
/// The most that slowness alone multiplies the estimate by.
const MAX_SLOWNESS: f64 = 4.0;
/// What other daemons' load counts for against this daemon's own when targets are compared. The
/// own is exact, the other's is old by about the time of one request.
const FOREIGN_WEIGHT: f64 = 0.3;
/// Costs that differ by less, in slots, are much the same.
const COST_STEP: f64 = 0.5;
/// When an estimate that says full may say otherwise.
const ESTIMATE_RECHECK: Millis = Millis::new(50);

/// What a target may do for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Use {
    Open,
    Probe,
    /// Full by its own word or by this daemon's sends.
    Busy(Millis),
    /// Full by the estimate of what other daemons have there.
    ThoughtFull(Millis),
    Aside(Millis),
    Closed,
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
    pub(crate) told_leaving: bool,
    pub(crate) health_checked_at: Option<MonotonicMillis>,
    pub(crate) outstanding: u32,
    pub(crate) connections: u32,
    pub(crate) connections_allowed: Connections,
    pub(crate) foreign: ForeignLoad,
    pub(crate) health: Health,
    busy_until: Option<MonotonicMillis>,
    latency_ms: Option<f64>,
    slowness: Decayed,
}

impl Target {
    pub(crate) fn new(member: Member, connections_allowed: Connections, salt: u64) -> Self {
        Self {
            health: Health::new(&member.vm, salt),
            member,
            removed: false,
            told_leaving: false,
            health_checked_at: None,
            outstanding: 0,
            connections: 0,
            connections_allowed,
            foreign: ForeignLoad::default(),
            busy_until: None,
            latency_ms: None,
            slowness: Decayed::new(LATENCY_HALF_LIFE),
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
            self.told_leaving = false;
        }
        if self.removed || self.member.address != member.address {
            self.health = Health::new(&member.vm, salt);
            self.foreign = ForeignLoad::default();
            self.told_leaving = false;
        }
        self.removed = false;
        self.member = member;
    }

    /// Whether new work may be sent, its load and health aside.
    pub(crate) fn takes_work(&self) -> bool {
        !self.removed && !self.told_leaving && self.member.state == MemberState::Live
    }

    pub(crate) fn is_assigned(&self) -> bool {
        self.connections_allowed > Connections::ZERO
    }

    /// Whether nothing of this daemon is left at a removed target.
    pub(crate) fn is_spent(&self) -> bool {
        self.removed && self.outstanding == 0 && self.connections == 0
    }

    pub(crate) fn usability(&self, context: &PickContext) -> Use {
        if !self.takes_work() || !self.is_assigned() {
            return Use::Closed;
        }
        let full = self.full_for(context);
        match self
            .health
            .trust(context.now, context.panic, context.idempotent)
        {
            Trust::Aside(until) => Use::Aside(until.since(context.now)),
            Trust::Probing => Use::Aside(ESTIMATE_RECHECK),
            Trust::Probe | Trust::Full if full.is_some() => Use::Busy(full.unwrap_or_default()),
            Trust::Probe => Use::Probe,
            Trust::Full if self.is_thought_full(context) => Use::ThoughtFull(ESTIMATE_RECHECK),
            Trust::Full => Use::Open,
        }
    }

    /// Whether this daemon's sends and those of others fill the target's slots, by estimate.
    fn is_thought_full(&self, context: &PickContext) -> bool {
        let estimate = f64::from(self.outstanding) + self.foreign.get(context.now);
        estimate + 1.0 > f64::from(context.slots)
    }

    /// How long the target is full by its own word or by this daemon's sends, `None` if not.
    fn full_for(&self, context: &PickContext) -> Option<Millis> {
        let own_most = context.slots.min(self.connections_allowed.get());
        match self.busy_until {
            Some(until) if context.now < until => Some(until.since(context.now)),
            _ if self.outstanding >= own_most => Some(ESTIMATE_RECHECK),
            _ => None,
        }
    }

    /// What a send to this target costs, in [`COST_STEP`]; the least is picked.
    ///
    /// In steps, since a penalty that has all but faded would otherwise still lose each
    /// comparison of idle targets.
    pub(crate) fn cost(&self, now: MonotonicMillis) -> u64 {
        let load = f64::from(self.outstanding) + FOREIGN_WEIGHT * self.foreign.get(now);
        let slowness = 1.0 + self.slowness.get(now);
        let slots = (load + 1.0) * slowness / self.health.slow_start(now);
        ((slots + self.health.penalty(now)) / COST_STEP).round() as u64
    }

    /// Notes an answer's latency against the pool's mean. Only answers count: a failure's
    /// latency says nothing good about the target.
    pub(crate) fn answered(&mut self, now: MonotonicMillis, latency_ms: Millis, pool_ms: f64) {
        let latency_ms = latency_ms.get() as f64;
        let mean = self.latency_ms.unwrap_or(latency_ms);
        let mean = mean + LATENCY_GAIN * (latency_ms - mean);
        self.latency_ms = Some(mean);
        let ratio = mean / pool_ms.max(1.0);
        self.slowness.set(now, ratio.clamp(1.0, MAX_SLOWNESS) - 1.0);
    }

    /// Notes everything but health and latency.
    pub(crate) fn ended(&mut self, now: MonotonicMillis, outcome: SendOutcome) {
        self.outstanding -= 1;
        match outcome {
            SendOutcome::Answered { load, .. } | SendOutcome::NotRun { load, .. } => {
                if let Some(load) = load {
                    self.foreign.target_reported(now, load, self.outstanding);
                }
            }
            SendOutcome::Failed {
                kind: FailureKind::Lost | FailureKind::Timeout,
                ..
            }
            | SendOutcome::Abandoned => self.foreign.left_running(now),
            SendOutcome::Failed { .. } => {}
        }
        match outcome {
            SendOutcome::NotRun {
                reason: NotRunReason::Busy,
                ..
            } => self.busy_until = Some(now.after(BUSY_HOLD)),
            SendOutcome::NotRun {
                reason: NotRunReason::Leaving,
                ..
            } => self.told_leaving = true,
            _ => self.busy_until = None,
        }
    }

    /// Whether a failure speaks against the target. A timeout that came sooner than the target
    /// usually answers speaks against the deadline.
    pub(crate) fn is_to_blame(&self, kind: FailureKind, waited_ms: Millis) -> bool {
        let usual_ms = self.latency_ms.unwrap_or_default();
        kind != FailureKind::Timeout || waited_ms.get() as f64 >= usual_ms
    }
}
