//! The target table: the targets of one pool as one daemon sees them, and the choice among them.

use vanillafold_types::{Connections, Millis, Slots, VmId, ZoneId};

use super::target::{PickContext, Target, Usability};
use super::{
    DaemonMember, HealthCheck, HealthCheckResult, Member, MemberState, NotRunReason, PANIC_PERCENT,
    PickOptions, PickRefusal, PickedTarget, SendOutcome, TargetLimits, TargetStatus, TargetView,
    connections_allowed,
};
use crate::random::hash_text;
use crate::{MonotonicMillis, SplitMix};

/// Number of targets that are compared for one pick.
///
/// Two already avoid most of the imbalance of a random choice (Mitzenmacher: The power of two
/// choices in randomized load balancing, 2001). The third makes it rare that all sampled targets
/// are suspect.
pub const SAMPLED_TARGETS: usize = 3;

/// Smoothing factor of the pool's mean latency, an exponentially weighted moving average over
/// answers.
const POOL_LATENCY_SMOOTHING: f64 = 0.01;
/// Minimum time between two health checks of one target.
const HEALTH_CHECK_INTERVAL: Millis = Millis::new(5_000);
/// How long before the end of its ejection the health of a target is checked.
const HEALTH_CHECK_LEAD: Millis = Millis::new(500);

/// The targets of one pool, as one daemon sees them: membership, load, health, connections.
#[derive(Debug)]
pub struct TargetTable {
    own: DaemonMember,
    salt: u64,
    limits: TargetLimits,
    daemons: Vec<DaemonMember>,
    own_zone_daemons: u32,
    // Sorted.
    evacuated_zones: Vec<ZoneId>,
    has_evacuated_targets: bool,
    // Sorted by VM id.
    targets: Vec<Target>,
    latency_ms: Option<f64>,
}

impl TargetTable {
    /// Creates an empty table for the daemon `own`.
    #[must_use]
    pub fn new(own: DaemonMember, limits: TargetLimits) -> Self {
        Self {
            salt: hash_text(own.daemon.as_str()),
            daemons: vec![own.clone()],
            own_zone_daemons: 1,
            own,
            limits,
            evacuated_zones: Vec::new(),
            has_evacuated_targets: false,
            targets: Vec::new(),
            latency_ms: None,
        }
    }

    /// Sets the pool's limits from the catalogue.
    pub fn set_limits(&mut self, limits: TargetLimits) {
        if self.limits != limits {
            self.limits = limits;
            self.reassign_connections();
        }
    }

    /// Sets the list of daemons that send to the pool. This daemon is added if it is missing.
    pub fn set_daemons(&mut self, mut daemons: Vec<DaemonMember>) {
        if daemons
            .iter()
            .all(|member| member.daemon != self.own.daemon)
        {
            daemons.push(self.own.clone());
        }
        daemons.sort_by(|a, b| a.daemon.cmp(&b.daemon));
        daemons.dedup_by(|a, b| a.daemon == b.daemon);
        if self.daemons != daemons {
            let own_zone = daemons.iter().filter(|member| member.zone == self.own.zone);
            self.own_zone_daemons = u32::try_from(own_zone.count()).unwrap_or(u32::MAX);
            self.daemons = daemons;
            self.reassign_connections();
        }
    }

    /// Replaces the membership list. Targets that stay keep their counters. Targets that are no
    /// longer listed get no new work from now on and are dropped when their last send has ended and
    /// their last connection is closed.
    pub fn set_members(&mut self, mut members: Vec<Member>) {
        members.sort_by(|a, b| a.vm.cmp(&b.vm));
        for target in &mut self.targets {
            let listed = members.binary_search_by(|member| member.vm.cmp(target.vm()));
            target.removed |= listed.is_err();
        }
        for member in members {
            self.set_member(member);
        }
        self.mark_evacuated();
        self.remove_unused();
    }

    /// Sets the zones that are evacuated: their targets get no new work from now on, and requests
    /// that run there finish. Zones without targets are kept for targets that appear later. Returns
    /// whether the set has changed.
    ///
    /// The load addressed is that of operators who empty a zone while the others are busy: slots of
    /// the zone count neither as free nor as this daemon's share, and a request that no other zone
    /// can take is refused without waiting.
    pub fn set_evacuated_zones(&mut self, zones: &[ZoneId]) -> bool {
        let mut zones = zones.to_vec();
        zones.sort_unstable();
        zones.dedup();
        if self.evacuated_zones == zones {
            return false;
        }
        self.evacuated_zones = zones;
        self.mark_evacuated();
        true
    }

    /// Picks a target for one send.
    ///
    /// Targets in this daemon's zone come first; others are used only when each of those is full,
    /// leaving, ejected or excluded. Of [`SAMPLED_TARGETS`] sampled targets, the one of least cost
    /// is picked.
    ///
    /// # Errors
    ///
    /// Returns a [`PickRefusal`] that says why no target was picked and when to pick again.
    pub fn pick(
        &self,
        now: MonotonicMillis,
        rng: &mut SplitMix,
        options: PickOptions<'_>,
    ) -> Result<PickedTarget, PickRefusal> {
        let context = self.context(now, options.idempotent);
        let mut refusals = Refusals::default();
        let mut estimated_full = Reservoir::default();
        for in_own_zone in [true, false] {
            let zone_targets = self
                .targets
                .iter()
                .filter(|target| self.is_in_own_zone(target) == in_own_zone);
            let mut sample = ZoneSample::default();
            for target in zone_targets {
                match target.usability(&context) {
                    Usability::Unusable => {}
                    _ if options.exclude.contains(target.vm()) => refusals.excluded = true,
                    Usability::Available => sample.available.offer(target, rng),
                    Usability::ProbeDue => sample.probe_due.offer(target, rng),
                    Usability::Busy(wait) => refusals.record_busy(wait),
                    Usability::EstimatedFull(wait) => {
                        refusals.record_busy(wait);
                        if in_own_zone || self.has_evacuated_targets {
                            estimated_full.offer(target, rng);
                        }
                    }
                    Usability::Ejected(wait) => refusals.record_ejected(wait),
                }
            }
            if let Some(picked) = sample.choose(&context, rng) {
                return Ok(picked);
            }
        }
        // If the estimate alone decided, the daemons that came first would keep all slots of a full
        // pool. A daemon below its fair share may therefore send to a target estimated to be full,
        // in its own zone or, while a zone is evacuated, in any.
        match estimated_full.least_cost(now, rng) {
            Some(target) if self.outstanding() < self.fair_share() => Ok(picked(target, false)),
            _ => Err(refusals.refusal()),
        }
    }

    /// Counts a send to the picked target as outstanding.
    ///
    /// # Panics
    ///
    /// Panics if the target is not in the table, which can happen if there was an await point after
    /// the pick.
    pub fn send_started(&mut self, picked: &PickedTarget) {
        let target = self.expect_mut(&picked.vm);
        target.outstanding += 1;
        if picked.probe {
            target.health.probe_started();
        }
    }

    /// Counts a started send as ended and updates load, latency and health from its outcome.
    ///
    /// # Panics
    ///
    /// Panics if the send was not started.
    #[allow(
        clippy::needless_pass_by_value,
        reason = "a pick can be finished only once"
    )]
    pub fn send_finished(
        &mut self,
        picked: PickedTarget,
        now: MonotonicMillis,
        outcome: SendOutcome,
    ) {
        let others_failure_rate = match outcome {
            SendOutcome::Failed { .. } | SendOutcome::NotRun { .. } => {
                self.others_failure_rate(&picked.vm, now)
            }
            SendOutcome::Answered { .. } | SendOutcome::Unsent | SendOutcome::Abandoned => None,
        };
        let pool_latency_ms = self.update_mean_latency(outcome);
        let probe = picked.probe;
        let target = self.expect_mut(&picked.vm);
        assert!(
            target.outstanding > 0,
            "a send to {} was finished but not started",
            picked.vm
        );
        target.update_after_send(now, outcome);
        match outcome {
            SendOutcome::Answered { latency_ms, .. } => {
                target.record_latency(now, latency_ms, pool_latency_ms);
                target.health.succeeded(now, probe);
            }
            SendOutcome::Failed { kind, waited_ms }
                if target.counts_against_target(kind, waited_ms) =>
            {
                target.health.failed(now, probe, others_failure_rate);
            }
            SendOutcome::NotRun {
                reason: NotRunReason::Refused,
                ..
            } => {
                target.health.failed(now, probe, others_failure_rate);
            }
            _ if probe => target.health.probe_ended(),
            _ => {}
        }
        self.remove_unused();
    }

    /// Returns whether new work may still be written to the target. Callers check this between the
    /// pick and the write.
    #[must_use]
    pub fn takes_work(&self, vm: &VmId) -> bool {
        self.find(vm).is_some_and(Target::takes_work)
    }

    /// Returns whether this daemon may open one more connection to the target.
    #[must_use]
    pub fn may_connect(&self, vm: &VmId) -> bool {
        self.find(vm).is_some_and(|target| {
            target.takes_work() && target.connections < target.connections_allowed.get()
        })
    }

    /// Counts a connection to the target. Callers do this before they open it.
    ///
    /// # Panics
    ///
    /// Panics if the target is not in the table.
    pub fn connection_opened(&mut self, vm: &VmId) {
        self.expect_mut(vm).connections += 1;
    }

    /// Counts a connection as closed. Callers do this also when opening the connection failed.
    ///
    /// # Panics
    ///
    /// Panics if no connection to the target is counted.
    pub fn connection_closed(&mut self, vm: &VmId) {
        let target = self.expect_mut(vm);
        assert!(target.connections > 0, "{vm} has no connection to close");
        target.connections -= 1;
        self.remove_unused();
    }

    /// Sets how many sends all peers together have outstanding at the target.
    pub fn set_peer_load(&mut self, vm: &VmId, now: MonotonicMillis, load: Slots) {
        if let Some(target) = self.find_mut(vm) {
            target.external_load.set_from_peers(now, load);
        }
    }

    /// Returns the health checks that are due now: of targets that reported that they are leaving
    /// while the membership list shows them as live, and of targets whose ejection is about to end.
    /// Each target is returned at most once in five seconds.
    pub fn due_health_checks(&mut self, now: MonotonicMillis) -> Vec<HealthCheck> {
        let mut due = Vec::new();
        for target in &mut self.targets {
            if is_health_check_due(target, now) {
                target.health_checked_at = Some(now);
                due.push(HealthCheck {
                    vm: target.vm().clone(),
                    address: target.member.address,
                });
            }
        }
        due
    }

    /// Records the result of a health check.
    pub fn health_checked(&mut self, vm: &VmId, now: MonotonicMillis, result: HealthCheckResult) {
        let Some(target) = self.find_mut(vm) else {
            return;
        };
        match result {
            HealthCheckResult::Live { load } => {
                target.reported_leaving = false;
                if let Some(load) = load {
                    target
                        .external_load
                        .set_from_target(now, load, target.outstanding);
                }
            }
            HealthCheckResult::Leaving => target.reported_leaving = true,
            HealthCheckResult::Failed => target.health.health_check_failed(now),
        }
    }

    /// Returns the mean latency of the pool's answers, `None` before the first one. A request with
    /// less time left is unlikely to be answered in time.
    #[must_use]
    pub fn mean_latency(&self) -> Option<Millis> {
        self.latency_ms
            .map(|latency_ms| Millis::new(latency_ms as u64))
    }

    /// Returns the number of sends of this daemon to the pool that have not ended.
    #[must_use]
    pub fn outstanding(&self) -> Slots {
        Slots::new(self.targets.iter().map(|target| target.outstanding).sum())
    }

    /// Returns the state of each target at `now`.
    pub fn views(&self, now: MonotonicMillis) -> impl Iterator<Item = TargetView<'_>> {
        let context = self.context(now, true);
        self.targets.iter().map(move |target| TargetView {
            vm: target.vm(),
            zone: &target.member.zone,
            status: target_status(target, &context),
            outstanding: Slots::new(target.outstanding),
            external_load: Slots::new(target.external_load.get(now).round() as u32),
            connections: Connections::new(target.connections),
            connections_allowed: target.connections_allowed,
        })
    }

    fn is_in_own_zone(&self, target: &Target) -> bool {
        target.member.zone == self.own.zone
    }

    fn context(&self, now: MonotonicMillis, idempotent: bool) -> PickContext {
        PickContext {
            now,
            slots: self.limits.slots_per_vm.get(),
            panic: self.is_panic(),
            idempotent,
        }
    }

    /// Returns this daemon's part of the slots in its zone. Work that spills over to other zones
    /// has no share.
    ///
    /// While a zone of the pool is evacuated, the part is that of all other zones' slots between
    /// all daemons: the daemons of the evacuated zone have no slots of their own, and their work
    /// would otherwise take those of some zones and not of others.
    fn fair_share(&self) -> Slots {
        let daemons = match self.has_evacuated_targets {
            true => u32::try_from(self.daemons.len()).unwrap_or(u32::MAX),
            false => self.own_zone_daemons,
        };
        let shared_targets = self
            .targets
            .iter()
            .filter(|target| self.has_evacuated_targets || self.is_in_own_zone(target))
            .filter(|target| target.takes_work())
            .count();
        let slots =
            u32::try_from(shared_targets).unwrap_or(u32::MAX) * self.limits.slots_per_vm.get();
        Slots::new(slots / daemons)
    }

    /// Returns whether the pool is in panic mode: more than [`PANIC_PERCENT`] of the usable targets
    /// are ejected.
    fn is_panic(&self) -> bool {
        let usable = || {
            self.targets
                .iter()
                .filter(|target| target.takes_work() && target.is_assigned())
        };
        let ejected = usable().filter(|target| target.health.is_ejected()).count();
        ejected * 100 > usable().count() * PANIC_PERCENT
    }

    /// Returns the mean failure rate of the other targets in use, `None` if there are none.
    fn others_failure_rate(&self, vm: &VmId, now: MonotonicMillis) -> Option<f64> {
        let others = || {
            self.targets
                .iter()
                .filter(|target| target.takes_work() && target.is_assigned())
                .filter(|target| target.vm() != vm && !target.health.is_ejected())
        };
        let sum: f64 = others().map(|target| target.health.failure_rate(now)).sum();
        match others().count() {
            0 => None,
            count => Some(sum / count as f64),
        }
    }

    /// Updates the pool's mean latency, if the send was answered, and returns it in milliseconds.
    fn update_mean_latency(&mut self, outcome: SendOutcome) -> f64 {
        if let SendOutcome::Answered { latency_ms, .. } = outcome {
            let latency_ms = latency_ms.get() as f64;
            let mean = self.latency_ms.unwrap_or(latency_ms);
            self.latency_ms = Some(mean + POOL_LATENCY_SMOOTHING * (latency_ms - mean));
        }
        self.latency_ms.unwrap_or_default()
    }

    fn set_member(&mut self, member: Member) {
        let zone = self.find(&member.vm).map(|target| &target.member.zone);
        let same_zone = zone == Some(&member.zone);
        match self.position(&member.vm) {
            Ok(index) if same_zone => self.targets[index].update(member, self.salt),
            Ok(index) => {
                self.targets[index].connections_allowed =
                    self.connections_allowed_to(&member.vm, &member.zone);
                self.targets[index].update(member, self.salt);
            }
            Err(index) => {
                let allowed = self.connections_allowed_to(&member.vm, &member.zone);
                let target = Target::new(member, allowed, self.salt);
                self.targets.insert(index, target);
            }
        }
    }

    fn mark_evacuated(&mut self) {
        for target in &mut self.targets {
            let evacuated = self.evacuated_zones.binary_search(&target.member.zone);
            target.set_evacuated(evacuated.is_ok(), self.salt);
        }
        let mut listed = self.targets.iter().filter(|target| !target.removed);
        self.has_evacuated_targets = listed.any(Target::is_evacuated);
    }

    fn reassign_connections(&mut self) {
        let mut targets = std::mem::take(&mut self.targets);
        for target in &mut targets {
            target.connections_allowed =
                self.connections_allowed_to(target.vm(), &target.member.zone);
        }
        self.targets = targets;
    }

    fn connections_allowed_to(&self, vm: &VmId, zone: &ZoneId) -> Connections {
        connections_allowed(&self.own, vm, zone, &self.daemons, self.limits)
    }

    fn remove_unused(&mut self) {
        self.targets.retain(|target| !target.is_unused());
    }

    fn position(&self, vm: &VmId) -> Result<usize, usize> {
        self.targets.binary_search_by(|target| target.vm().cmp(vm))
    }

    fn find(&self, vm: &VmId) -> Option<&Target> {
        self.position(vm).ok().map(|index| &self.targets[index])
    }

    fn find_mut(&mut self, vm: &VmId) -> Option<&mut Target> {
        self.position(vm).ok().map(|index| &mut self.targets[index])
    }

    fn expect_mut(&mut self, vm: &VmId) -> &mut Target {
        match self.find_mut(vm) {
            Some(target) => target,
            None => {
                panic!("{vm} is not in the table: call send_started before the next await point")
            }
        }
    }
}

fn is_health_check_due(target: &Target, now: MonotonicMillis) -> bool {
    let listed_live = !target.removed && target.member.state == MemberState::Live;
    let interval_passed = match target.health_checked_at {
        Some(checked_at) => now >= checked_at.after(HEALTH_CHECK_INTERVAL),
        None => true,
    };
    let ejection_ending = match target.health.ejected_until() {
        Some(until) => now.after(HEALTH_CHECK_LEAD) >= until,
        None => false,
    };
    listed_live && interval_passed && (target.reported_leaving || ejection_ending)
}

fn target_status(target: &Target, context: &PickContext) -> TargetStatus {
    match target.usability(context) {
        _ if target.removed => TargetStatus::Removed,
        _ if target.is_leaving() => TargetStatus::Leaving,
        _ if target.is_evacuated() => TargetStatus::Evacuated,
        Usability::Unusable => TargetStatus::Unassigned,
        Usability::Available => TargetStatus::Available,
        Usability::Busy(_) | Usability::EstimatedFull(_) => TargetStatus::Busy,
        Usability::Ejected(_) => TargetStatus::Ejected,
        Usability::ProbeDue => TargetStatus::ProbeDue,
    }
}

/// A uniform sample of up to [`SAMPLED_TARGETS`] of the targets offered (reservoir sampling).
#[derive(Default)]
struct Reservoir<'a> {
    offered: u64,
    kept: [Option<&'a Target>; SAMPLED_TARGETS],
}

impl<'a> Reservoir<'a> {
    fn offer(&mut self, target: &'a Target, rng: &mut SplitMix) {
        let position = match self.offered {
            offered if offered < SAMPLED_TARGETS as u64 => offered,
            offered => rng.below(offered + 1),
        };
        self.offered += 1;
        if let Some(kept) = self.kept.get_mut(position as usize) {
            *kept = Some(target);
        }
    }

    /// Returns the sampled target of least cost. The comparison starts at a random position, so
    /// that no target wins all ties.
    fn least_cost(&self, now: MonotonicMillis, rng: &mut SplitMix) -> Option<&'a Target> {
        let offset = rng.below(SAMPLED_TARGETS as u64) as usize;
        let (before, from) = self.kept.split_at(offset);
        from.iter()
            .chain(before)
            .flatten()
            .copied()
            .min_by_key(|target| target.cost(now))
    }
}

/// Samples of the targets in this daemon's zone, or of those in all other zones.
#[derive(Default)]
struct ZoneSample<'a> {
    available: Reservoir<'a>,
    probe_due: Reservoir<'a>,
}

impl ZoneSample<'_> {
    /// Chooses a target for a request. An idempotent request takes a due probe first; any other
    /// request takes one only if no other target is available.
    fn choose(&self, context: &PickContext, rng: &mut SplitMix) -> Option<PickedTarget> {
        let available = self.available.least_cost(context.now, rng);
        let probe_due = self.probe_due.least_cost(context.now, rng);
        let (target, is_probe) = match (available, probe_due) {
            (_, Some(probe)) if context.idempotent => (probe, true),
            (Some(available), _) => (available, false),
            (None, Some(probe)) => (probe, true),
            (None, None) => return None,
        };
        Some(picked(target, is_probe))
    }
}

fn picked(target: &Target, probe: bool) -> PickedTarget {
    PickedTarget {
        vm: target.vm().clone(),
        address: target.member.address,
        probe,
    }
}

/// Reasons why targets were not picked, with the shortest wait for each.
#[derive(Default)]
struct Refusals {
    excluded: bool,
    busy: Option<Millis>,
    ejected: Option<Millis>,
}

impl Refusals {
    fn record_busy(&mut self, wait: Millis) {
        self.busy = Some(self.busy.map_or(wait, |least| least.min(wait)));
    }

    fn record_ejected(&mut self, wait: Millis) {
        self.ejected = Some(self.ejected.map_or(wait, |least| least.min(wait)));
    }

    fn refusal(&self) -> PickRefusal {
        match (self.busy, self.ejected) {
            (Some(recheck_after_ms), _) => PickRefusal::AllBusy { recheck_after_ms },
            _ if self.excluded => PickRefusal::AllExcluded,
            (None, Some(recheck_after_ms)) => PickRefusal::AllEjected { recheck_after_ms },
            (None, None) => PickRefusal::NoTarget,
        }
    }
}
