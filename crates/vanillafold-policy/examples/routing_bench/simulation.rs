//! A seeded discrete-event simulation of some daemons that send requests to one pool.
//!
//! A target whose slots are full answers that it is busy. In the [`Fault::Stall`] scenario it
//! queues the request instead, as older targets do. There is one event queue, no thread and no real
//! clock, so that the same seed gives the same result.

use std::collections::{BinaryHeap, VecDeque};

use vanillafold_policy::baseline::RoutingPolicy;
use vanillafold_policy::{
    AttemptFailure, FailureKind, Member, MemberState, MonotonicMillis, NotRunReason, PickOptions,
    PickRefusal, PickedTarget, RequestAttempts, RequestProperties, RetryAllowance, RetryDecision,
    SendOutcome, SplitMix,
};
use vanillafold_types::{Millis, Slots, VmId, ZoneId};

/// Number of targets in the pool.
pub(crate) const TARGETS: usize = 12;
/// Number of slots of each target.
pub(crate) const SLOTS: u32 = 8;
/// Number of daemons that send to the pool.
pub(crate) const DAEMONS: usize = 3;
/// Mean time for which a request uses its slot.
pub(crate) const SERVICE_MS: u64 = 50;

/// Time from the arrival of a request to its deadline.
const DEADLINE_US: u64 = 1_000_000;
/// A daemon refuses a waiting request that has less time than this left.
const MIN_REMAINING_US: u64 = 2 * SERVICE_MS * 1_000;
/// Time limit of one attempt.
const ATTEMPT_TIMEOUT_US: u64 = 500_000;
/// One-way network delay between a daemon and a target.
const NETWORK_DELAY_US: u64 = 250;
/// Time after which a black hole answers with an error.
const BLACK_HOLE_US: u64 = 1_000;
/// Factor by which a slow target takes longer.
const SLOW_FACTOR: u64 = 10;
/// Time for which a zone is evacuated.
const EVACUATION_MS: u64 = 6_000;
/// Maximum number of requests in the queue of a target in scenarios where targets queue.
const MAX_TARGET_QUEUE: usize = 64;
/// Maximum number of requests that wait at one daemon.
const MAX_WAITING: usize = 600 / DAEMONS;
/// Part of the requests that is idempotent.
const IDEMPOTENT_PART: f64 = 0.8;

/// The fault of a scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// No fault.
    None,
    /// The first target answers every request with an error almost immediately.
    BlackHole,
    /// The first target takes [`SLOW_FACTOR`] times as long.
    Slow,
    /// The first target accepts requests and never answers.
    Hang,
    /// All targets queue requests and stop working for a second. Requests that wait meanwhile time
    /// out and are retried.
    Stall,
    /// Targets and daemons are spread over three zones, of which the first is evacuated for
    /// [`EVACUATION_MS`].
    Evacuation,
    /// The given percentage of the requests fails at whichever target they run.
    FailingRequests(u8),
}

/// Parameters of one simulation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario {
    /// The fault to simulate.
    pub(crate) fault: Fault,
    /// Start of the fault. It lasts until the end of the run, except for a stall and an
    /// evacuation.
    pub(crate) fault_at_ms: u64,
    /// Offered load as a multiple of the pool's capacity.
    pub(crate) load: f64,
    /// Time for which requests arrive.
    pub(crate) run_ms: u64,
    /// Seed of the random numbers.
    pub(crate) seed: u64,
}

impl Scenario {
    /// Returns the number of zones over which targets and daemons are spread.
    pub(crate) fn zones(&self) -> usize {
        match self.fault {
            Fault::Evacuation => 3,
            _ => 1,
        }
    }

    /// Returns whether a request that arrived at this time counts in [`Report::good_by_daemon`].
    fn counts_for_daemons(&self, arrived_us: u64) -> bool {
        let evacuation_us = self.evacuation_us();
        self.fault != Fault::Evacuation
            || (evacuation_us.start + 1_000_000..evacuation_us.end).contains(&arrived_us)
    }

    fn evacuation_us(&self) -> std::ops::Range<u64> {
        let from_ms = self.fault_at_ms;
        from_ms * 1_000..(from_ms + EVACUATION_MS) * 1_000
    }
}

/// Results of a simulation.
#[derive(Debug, Default)]
pub(crate) struct Report {
    /// Number of requests that arrived.
    pub(crate) requests: u64,
    /// Number of requests that were answered successfully within their deadline.
    pub(crate) good: u64,
    /// Number of requests that ended as "not run".
    pub(crate) not_run: u64,
    /// Number of requests that ended with a server error or as "may have run".
    pub(crate) failed: u64,
    /// Number of sends, including retries and reroutes.
    pub(crate) sends: u64,
    /// Number of sends that a target refused because it was busy.
    pub(crate) busy: u64,
    /// Number of sends to the first target from one second after the start of the fault.
    pub(crate) sends_to_first: u64,
    /// Number of sends from one second after the start of the fault.
    pub(crate) sends_after_fault: u64,
    /// Number of sends to the first zone while it was evacuated.
    pub(crate) sends_to_evacuated: u64,
    /// Number of sends to the first zone from the end of its evacuation.
    pub(crate) sends_to_restored: u64,
    /// Latencies of the successful requests in microseconds, sorted after the run.
    pub(crate) latencies_us: Vec<u64>,
    /// Maximum number of requests that ran at one target at the same time.
    pub(crate) most_running: u32,
    /// Number of successful requests of each daemon; in an evacuation, of those that arrived from
    /// one second after its start to its end.
    pub(crate) good_by_daemon: [u64; DAEMONS],
    run_ms: u64,
}

impl Report {
    /// Returns the number of successful requests per second.
    pub(crate) fn goodput(&self) -> f64 {
        self.good as f64 * 1_000.0 / self.run_ms as f64
    }

    /// Returns the successful requests of the worst-served daemon as a part of the mean.
    pub(crate) fn least_served(&self) -> f64 {
        let least = self
            .good_by_daemon
            .iter()
            .min()
            .copied()
            .unwrap_or_default();
        let sum: u64 = self.good_by_daemon.iter().sum();
        least as f64 * DAEMONS as f64 / sum.max(1) as f64
    }

    /// Returns the latency in milliseconds that `part` of the successful requests stay below.
    pub(crate) fn latency_ms(&self, part: f64) -> f64 {
        let rank = (self.latencies_us.len() as f64 * part) as usize;
        let latency_us = self.latencies_us.get(rank).or(self.latencies_us.last());
        latency_us.copied().unwrap_or_default() as f64 / 1_000.0
    }

    /// Returns the part of the sends, from one second after the start of the fault, that went to
    /// the first target.
    pub(crate) fn share_of_first(&self) -> f64 {
        self.sends_to_first as f64 / self.sends_after_fault.max(1) as f64
    }
}

/// Returns the id of the target with this index.
pub(crate) fn vm(index: usize) -> VmId {
    format!("vm-{index:03}").parse().expect("a valid id")
}

/// Returns the zone of the target or daemon with this index, of `zones` zones.
pub(crate) fn zone(index: usize, zones: usize) -> ZoneId {
    let name = ["a", "b", "c"][index % zones];
    name.parse().expect("a valid id")
}

/// Returns a membership list of `count` VMs, all live, in `zones` zones.
pub(crate) fn members(count: usize, zones: usize) -> Vec<Member> {
    (0..count)
        .map(|index| Member {
            vm: vm(index),
            address: ([10, 0, 0, index as u8], 8080).into(),
            zone: zone(index, zones),
            state: MemberState::Live,
        })
        .collect()
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Dispatch { daemon: usize },
    Requeue { request: usize },
    ArrivalAtTarget { attempt: usize },
    WorkDone { target: usize, attempt: usize },
    StallEnd,
    SetEvacuated { evacuated: bool },
    AnswerAtDaemon { attempt: usize, answer: Answer },
    AttemptTimeout { attempt: usize },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Answer {
    Good { load: u32 },
    ServerError,
    Busy { load: u32 },
}

/// An event in the queue. The earliest compares greatest, because `BinaryHeap` is a max-heap.
#[derive(Debug, PartialEq, Eq)]
struct Scheduled {
    at_us: u64,
    sequence: u64,
    event: Event,
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at_us, other.sequence).cmp(&(self.at_us, self.sequence))
    }
}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

struct Request {
    daemon: usize,
    arrived_us: u64,
    fails_always: bool,
    service_us: u64,
    attempts: RequestAttempts,
    failed_at: Vec<VmId>,
    properties: RequestProperties,
    first_sent: bool,
}

struct Attempt {
    request: usize,
    sent_us: u64,
    target: usize,
    picked: Option<PickedTarget>,
}

struct Daemon<R, B> {
    policy: R,
    budget: B,
    rng: SplitMix,
    waiting: VecDeque<usize>,
    recheck_us: u64,
}

#[derive(Default)]
struct TargetModel {
    running: u32,
    queue: VecDeque<usize>,
}

/// State of a simulation.
pub(crate) struct Simulation<R, B> {
    scenario: Scenario,
    now_us: u64,
    sequence: u64,
    rng: SplitMix,
    events: BinaryHeap<Scheduled>,
    daemons: Vec<Daemon<R, B>>,
    targets: Vec<TargetModel>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    report: Report,
}

impl<R: RoutingPolicy, B: RetryAllowance> Simulation<R, B> {
    /// Creates a simulation. `make` returns the routing policy and the retry budget of the daemon
    /// with the given index.
    pub(crate) fn new(scenario: Scenario, make: impl Fn(usize) -> (R, B)) -> Self {
        let daemons = (0..DAEMONS).map(|index| {
            let (mut policy, budget) = make(index);
            policy.set_members(members(TARGETS, scenario.zones()));
            Daemon {
                policy,
                budget,
                rng: SplitMix::new(scenario.seed + 1 + index as u64),
                waiting: VecDeque::new(),
                recheck_us: 0,
            }
        });
        Self {
            scenario,
            now_us: 0,
            sequence: 0,
            rng: SplitMix::new(scenario.seed),
            events: BinaryHeap::new(),
            daemons: daemons.collect(),
            targets: (0..TARGETS).map(|_| TargetModel::default()).collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            report: Report {
                run_ms: scenario.run_ms,
                ..Report::default()
            },
        }
    }

    /// Runs until the end of the scenario and until the last request has ended, and returns the
    /// results.
    pub(crate) fn run(mut self) -> Report {
        self.schedule(0, Event::Arrival);
        if self.scenario.fault == Fault::Stall {
            self.schedule((self.scenario.fault_at_ms + 1_000) * 1_000, Event::StallEnd);
        }
        if self.scenario.fault == Fault::Evacuation {
            for (at_ms, evacuated) in [(0, true), (EVACUATION_MS, false)] {
                let at_us = (self.scenario.fault_at_ms + at_ms) * 1_000;
                self.schedule(at_us, Event::SetEvacuated { evacuated });
            }
        }
        while let Some(next) = self.events.pop() {
            self.now_us = next.at_us;
            self.handle(next.event);
        }
        self.report.latencies_us.sort_unstable();
        let report = self.report;
        assert_eq!(
            report.requests,
            report.good + report.not_run + report.failed,
            "each request ends exactly once"
        );
        report
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrival(),
            Event::Dispatch { daemon } => self.dispatch(daemon),
            Event::Requeue { request } => self.requeue(request),
            Event::ArrivalAtTarget { attempt } => self.arrival_at_target(attempt),
            Event::WorkDone { target, attempt } => self.work_done(target, attempt),
            Event::StallEnd => self.stall_ended(),
            Event::SetEvacuated { evacuated } => self.set_evacuated(evacuated),
            Event::AnswerAtDaemon { attempt, answer } => self.answer_at_daemon(attempt, answer),
            Event::AttemptTimeout { attempt } => self.attempt_timed_out(attempt),
        }
    }

    fn arrival(&mut self) {
        let offered_slots = self.scenario.load * TARGETS as f64 * f64::from(SLOTS);
        let gap_us = self.exponential(SERVICE_MS as f64 * 1_000.0 / offered_slots);
        if self.now_us + gap_us < self.scenario.run_ms * 1_000 {
            self.schedule(self.now_us + gap_us, Event::Arrival);
        }
        let daemon = self.rng.below(DAEMONS as u64) as usize;
        let properties = RequestProperties {
            idempotent: self.rng.fraction() < IDEMPOTENT_PART,
            body_replayable: true,
        };
        let fails_always = match self.scenario.fault {
            Fault::FailingRequests(percent) => self.rng.below(100) < u64::from(percent),
            _ => false,
        };
        let half_us = SERVICE_MS as f64 * 500.0;
        let service_us = half_us as u64 + self.exponential(half_us);
        self.report.requests += 1;
        self.requests.push(Request {
            daemon,
            arrived_us: self.now_us,
            fails_always,
            service_us,
            attempts: RequestAttempts::new(properties),
            failed_at: Vec::new(),
            properties,
            first_sent: false,
        });
        if self.daemons[daemon].waiting.len() >= MAX_WAITING {
            self.report.not_run += 1;
            return;
        }
        self.daemons[daemon]
            .waiting
            .push_back(self.requests.len() - 1);
        self.dispatch(daemon);
    }

    fn requeue(&mut self, request: usize) {
        let daemon = self.requests[request].daemon;
        self.daemons[daemon].waiting.push_front(request);
        self.dispatch(daemon);
    }

    fn dispatch(&mut self, daemon: usize) {
        while let Some(request) = self.daemons[daemon].waiting.front().copied() {
            if self.now_us + MIN_REMAINING_US >= self.requests[request].arrived_us + DEADLINE_US {
                self.daemons[daemon].waiting.pop_front();
                self.refuse(request);
                continue;
            }
            match self.pick(daemon, request) {
                Ok(picked) => {
                    self.daemons[daemon].waiting.pop_front();
                    self.send(request, picked);
                }
                Err(PickRefusal::AllExcluded) => self.requests[request].failed_at.clear(),
                Err(
                    PickRefusal::AllBusy { recheck_after_ms }
                    | PickRefusal::AllEjected { recheck_after_ms },
                ) => {
                    self.schedule_recheck(daemon, recheck_after_ms);
                    return;
                }
                Err(PickRefusal::NoTarget) => {
                    self.daemons[daemon].waiting.pop_front();
                    self.refuse(request);
                }
            }
        }
    }

    fn schedule_recheck(&mut self, daemon: usize, after_ms: Millis) {
        let at_us = self.now_us + after_ms.get().max(1) * 1_000;
        let pending_us = self.daemons[daemon].recheck_us;
        if pending_us <= self.now_us || at_us < pending_us {
            self.daemons[daemon].recheck_us = at_us;
            self.schedule(at_us, Event::Dispatch { daemon });
        }
    }

    fn pick(&mut self, daemon: usize, request: usize) -> Result<PickedTarget, PickRefusal> {
        let now = self.now();
        let request = &self.requests[request];
        let options = PickOptions {
            idempotent: request.properties.idempotent,
            exclude: &request.failed_at,
        };
        let daemon = &mut self.daemons[daemon];
        let picked = daemon.policy.pick(now, &mut daemon.rng, options)?;
        daemon.policy.send_started(&picked);
        Ok(picked)
    }

    fn send(&mut self, request: usize, picked: PickedTarget) {
        let now = self.now();
        let state = &mut self.requests[request];
        if !state.first_sent {
            state.first_sent = true;
            self.daemons[state.daemon].budget.first_sent(now);
        }
        let target = target_index(&picked);
        self.report.sends += 1;
        if self.now_us >= (self.scenario.fault_at_ms + 1_000) * 1_000 {
            self.report.sends_after_fault += 1;
            self.report.sends_to_first += u64::from(target == 0);
        }
        let evacuation_us = self.scenario.evacuation_us();
        if self.scenario.fault == Fault::Evacuation && zone(target, 3) == zone(0, 1) {
            self.report.sends_to_evacuated += u64::from(evacuation_us.contains(&self.now_us));
            self.report.sends_to_restored += u64::from(self.now_us >= evacuation_us.end);
        }
        let attempt = self.attempts.len();
        let deadline_us = state.arrived_us + DEADLINE_US;
        self.attempts.push(Attempt {
            request,
            sent_us: self.now_us,
            target,
            picked: Some(picked),
        });
        self.schedule(
            self.now_us + NETWORK_DELAY_US,
            Event::ArrivalAtTarget { attempt },
        );
        let timeout_us = deadline_us.min(self.now_us + ATTEMPT_TIMEOUT_US);
        self.schedule(timeout_us, Event::AttemptTimeout { attempt });
    }

    fn arrival_at_target(&mut self, attempt: usize) {
        let index = self.attempts[attempt].target;
        let has_fault = index == 0 && self.fault_is_on();
        match self.scenario.fault {
            Fault::BlackHole if has_fault => {
                self.answer(attempt, BLACK_HOLE_US, Answer::ServerError);
                return;
            }
            Fault::Hang if has_fault => return,
            _ => {}
        }
        let queues = self.scenario.fault == Fault::Stall;
        let stalled = self.is_stalled();
        let target = &mut self.targets[index];
        match target.running {
            running if running < SLOTS && !stalled => self.start(index, attempt),
            _ if queues && target.queue.len() < MAX_TARGET_QUEUE => target.queue.push_back(attempt),
            load => self.answer(attempt, 0, Answer::Busy { load }),
        }
    }

    fn start(&mut self, target: usize, attempt: usize) {
        let mut service_us = self.requests[self.attempts[attempt].request].service_us;
        if target == 0 && self.scenario.fault == Fault::Slow && self.fault_is_on() {
            service_us *= SLOW_FACTOR;
        }
        let model = &mut self.targets[target];
        model.running += 1;
        self.report.most_running = self.report.most_running.max(model.running);
        self.schedule(
            self.now_us + service_us,
            Event::WorkDone { target, attempt },
        );
    }

    fn work_done(&mut self, target: usize, attempt: usize) {
        let model = &mut self.targets[target];
        model.running -= 1;
        let load = model.running + model.queue.len() as u32;
        let answer = match self.requests[self.attempts[attempt].request].fails_always {
            true => Answer::ServerError,
            false => Answer::Good { load },
        };
        self.answer(attempt, 0, answer);
        self.start_queued(target);
    }

    fn start_queued(&mut self, target: usize) {
        while self.targets[target].running < SLOTS && !self.is_stalled() {
            match self.targets[target].queue.pop_front() {
                Some(attempt) => self.start(target, attempt),
                None => return,
            }
        }
    }

    fn stall_ended(&mut self) {
        for target in 0..TARGETS {
            self.start_queued(target);
        }
    }

    fn set_evacuated(&mut self, evacuated: bool) {
        for daemon in 0..DAEMONS {
            let zones: Vec<ZoneId> = evacuated.then(|| zone(0, 1)).into_iter().collect();
            self.daemons[daemon].policy.set_evacuated_zones(&zones);
            self.dispatch(daemon);
        }
    }

    fn answer(&mut self, attempt: usize, after_us: u64, answer: Answer) {
        let at_us = self.now_us + after_us + NETWORK_DELAY_US;
        self.schedule(at_us, Event::AnswerAtDaemon { attempt, answer });
    }

    fn answer_at_daemon(&mut self, attempt: usize, answer: Answer) {
        let elapsed_us = self.now_us - self.attempts[attempt].sent_us;
        let latency_ms = Millis::new(elapsed_us / 1_000);
        let (outcome, failure) = match answer {
            Answer::Good { load } => {
                let load = Some(Slots::new(load));
                (SendOutcome::Answered { latency_ms, load }, None)
            }
            Answer::ServerError => {
                let kind = FailureKind::ServerError;
                let waited_ms = latency_ms;
                let outcome = SendOutcome::Failed { kind, waited_ms };
                (outcome, Some(AttemptFailure::ServerError))
            }
            Answer::Busy { load } => {
                self.report.busy += 1;
                let reason = NotRunReason::Busy;
                let load = Some(Slots::new(load));
                let outcome = SendOutcome::NotRun { reason, load };
                (outcome, Some(AttemptFailure::NotRun(reason)))
            }
        };
        self.attempt_ended(attempt, outcome, failure);
    }

    fn attempt_timed_out(&mut self, attempt: usize) {
        let kind = FailureKind::Timeout;
        let elapsed_us = self.now_us - self.attempts[attempt].sent_us;
        let waited_ms = Millis::new(elapsed_us / 1_000);
        let outcome = SendOutcome::Failed { kind, waited_ms };
        self.attempt_ended(attempt, outcome, Some(AttemptFailure::Timeout));
    }

    fn attempt_ended(
        &mut self,
        attempt: usize,
        outcome: SendOutcome,
        failure: Option<AttemptFailure>,
    ) {
        let now = self.now();
        // Without a pick the attempt has already ended, and this is a late answer or timeout.
        let Some(picked) = self.attempts[attempt].picked.take() else {
            return;
        };
        let request = self.attempts[attempt].request;
        let daemon = self.requests[request].daemon;
        let vm = picked.vm().clone();
        self.daemons[daemon]
            .policy
            .send_finished(picked, now, outcome);
        match failure {
            None => {
                self.report.good += 1;
                let arrived_us = self.requests[request].arrived_us;
                if self.scenario.counts_for_daemons(arrived_us) {
                    self.report.good_by_daemon[daemon] += 1;
                }
                let latency_us = self.now_us - arrived_us;
                self.report.latencies_us.push(latency_us);
            }
            Some(failure) => {
                self.requests[request].failed_at.push(vm);
                self.attempt_failed(request, failure);
            }
        }
        self.dispatch(daemon);
    }

    fn attempt_failed(&mut self, request: usize, failure: AttemptFailure) {
        let now = self.now();
        let deadline_us = self.requests[request].arrived_us + DEADLINE_US;
        let remaining_ms = Millis::new(deadline_us.saturating_sub(self.now_us) / 1_000);
        let daemon = &mut self.daemons[self.requests[request].daemon];
        let decision = self.requests[request].attempts.attempt_failed(
            failure,
            remaining_ms,
            now,
            &mut daemon.budget,
            &mut daemon.rng,
        );
        match decision {
            RetryDecision::Retry { after_ms, .. } => {
                let at_us = self.now_us + after_ms.get() * 1_000;
                self.schedule(at_us, Event::Requeue { request });
            }
            RetryDecision::PassAnswer { .. } => self.report.failed += 1,
            RetryDecision::GiveUp { code, .. } => self.count_result(code),
        }
    }

    fn refuse(&mut self, request: usize) {
        let code = vanillafold_types::ResultCode::DeadlineBeforeStart;
        let code = self.requests[request].attempts.refusal_code(code);
        self.count_result(code);
    }

    fn count_result(&mut self, code: vanillafold_types::ResultCode) {
        match code.outcome() {
            vanillafold_types::Outcome::NotRun => self.report.not_run += 1,
            _ => self.report.failed += 1,
        }
    }

    fn fault_is_on(&self) -> bool {
        self.now_us >= self.scenario.fault_at_ms * 1_000
    }

    fn is_stalled(&self) -> bool {
        let stall_end_us = (self.scenario.fault_at_ms + 1_000) * 1_000;
        self.scenario.fault == Fault::Stall && self.fault_is_on() && self.now_us < stall_end_us
    }

    fn exponential(&mut self, mean_us: f64) -> u64 {
        (-(1.0 - self.rng.fraction()).ln() * mean_us) as u64
    }

    fn now(&self) -> MonotonicMillis {
        MonotonicMillis::new(self.now_us / 1_000)
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Scheduled {
            at_us,
            sequence: self.sequence,
            event,
        });
    }
}

fn target_index(picked: &PickedTarget) -> usize {
    let digits = picked.vm().as_str().trim_start_matches("vm-");
    digits.parse().expect("a number behind vm-")
}
