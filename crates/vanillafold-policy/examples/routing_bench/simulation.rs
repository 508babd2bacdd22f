//! A seeded discrete simulation of some daemons that send to one pool.
//!
//! The targets of the pool answer busy when their slots are full, or queue as older servers do.
//! One event queue, no threads, no clock: the same seed gives the same result.

use std::collections::{BinaryHeap, VecDeque};

use vanillafold_policy::baseline::RoutingPolicy;
use vanillafold_policy::{
    AttemptFailure, FailureKind, Member, MemberState, MonotonicMillis, NotRunReason, PickOptions,
    PickRefusal, PickedTarget, RequestAttempts, RequestProperties, RetryAllowance, RetryDecision,
    SendOutcome, SplitMix,
};
use vanillafold_types::{Millis, Slots, VmId};

/// Targets of the pool.
pub(crate) const TARGETS: usize = 12;
/// Slots of a target.
pub(crate) const SLOTS: u32 = 8;
/// Daemons that send to it.
pub(crate) const DAEMONS: usize = 3;
/// Mean time that a request holds its slot.
pub(crate) const SERVICE_MS: u64 = 50;

/// The deadline of each request.
const DEADLINE_US: u64 = 1_000_000;
/// The time left below which a daemon refuses a request that waits.
const MIN_REMAINING_US: u64 = 2 * SERVICE_MS * 1_000;
/// The time that one attempt may take.
const ATTEMPT_US: u64 = 500_000;
/// One way between a daemon and a target.
const HOP_US: u64 = 250;
/// How long a black hole takes to fail.
const BLACK_HOLE_US: u64 = 1_000;
/// How much longer a slow target takes.
const SLOW_FACTOR: u64 = 10;
/// How many requests a target queues where it queues.
const TARGET_QUEUE: usize = 64;
/// Requests that wait at one daemon.
const MAX_WAITING: usize = 600 / DAEMONS;
/// Part of the requests that are idempotent.
const IDEMPOTENT: f64 = 0.8;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Nothing.
    None,
    /// The first target fails everything at once.
    BlackHole,
    /// The first target takes [`SLOW_FACTOR`] times as long.
    Slow,
    /// The first target takes requests and never answers.
    Hang,
    /// All targets queue and stop for a while: what waits meanwhile times out and comes again.
    Stall,
    /// Each request of one kind fails wherever it runs, as often as the number in percent says.
    FailingRequests(u8),
}

/// One run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario {
    /// What goes wrong.
    pub(crate) fault: Fault,
    /// When it starts; it lasts until the end, a stall for a second.
    pub(crate) fault_at_ms: u64,
    /// Offered load as a part of the pool's slots.
    pub(crate) load: f64,
    /// Length of the run.
    pub(crate) run_ms: u64,
    /// The seed.
    pub(crate) seed: u64,
}

/// What a run brought.
#[derive(Debug, Default)]
pub(crate) struct Report {
    /// Requests that came.
    pub(crate) requests: u64,
    /// Requests answered well in time.
    pub(crate) good: u64,
    /// Requests that ended as "not run".
    pub(crate) not_run: u64,
    /// Requests that ended in a server error or as "may have run".
    pub(crate) failed: u64,
    /// Sends, retries and reroutes among them.
    pub(crate) sends: u64,
    /// Sends that a target refused as busy.
    pub(crate) busy: u64,
    /// Sends to the first target from a second after the fault's start.
    pub(crate) sends_to_first: u64,
    /// Sends from a second after the fault's start.
    pub(crate) sends_after: u64,
    /// Latencies of the good ones in microseconds, sorted.
    pub(crate) latencies_us: Vec<u64>,
    /// The most that was running at one target at one time.
    pub(crate) most_running: u32,
    /// Good answers by daemon.
    pub(crate) good_by_daemon: [u64; DAEMONS],
    run_ms: u64,
}

impl Report {
    /// Good answers a second.
    pub(crate) fn goodput(&self) -> f64 {
        self.good as f64 * 1_000.0 / self.run_ms as f64
    }

    /// The good answers of the worst-served daemon as a part of the mean.
    pub(crate) fn least_served(&self) -> f64 {
        let least = self
            .good_by_daemon
            .iter()
            .min()
            .copied()
            .unwrap_or_default();
        least as f64 * DAEMONS as f64 / self.good.max(1) as f64
    }

    /// The latency in milliseconds that `part` of the good answers stay below.
    pub(crate) fn latency_ms(&self, part: f64) -> f64 {
        let rank = (self.latencies_us.len() as f64 * part) as usize;
        let latency_us = self.latencies_us.get(rank).or(self.latencies_us.last());
        latency_us.copied().unwrap_or_default() as f64 / 1_000.0
    }

    /// The part of the sends, after the fault's first second, that went to the first target.
    pub(crate) fn share_of_first(&self) -> f64 {
        self.sends_to_first as f64 / self.sends_after.max(1) as f64
    }
}

/// The name of a target by its number.
pub(crate) fn vm(index: usize) -> VmId {
    format!("vm-{index:03}").parse().expect("a valid id")
}

/// The membership list, all live in zone `a`.
pub(crate) fn members(count: usize) -> Vec<Member> {
    (0..count)
        .map(|index| Member {
            vm: vm(index),
            address: ([10, 0, 0, index as u8], 8080).into(),
            zone: "a".parse().expect("a valid id"),
            state: MemberState::Live,
        })
        .collect()
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Dispatch { daemon: usize },
    Requeue { request: usize },
    AtTarget { attempt: usize },
    WorkEnds { target: usize, attempt: usize },
    Unstall,
    BackAtDaemon { attempt: usize, answer: Answer },
    TimesOut { attempt: usize },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Answer {
    Good { load: u32 },
    ServerError,
    Busy { load: u32 },
}

/// An event in the queue; the earliest is the greatest.
#[derive(Debug, PartialEq, Eq)]
struct Scheduled {
    at_us: u64,
    order: u64,
    event: Event,
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at_us, other.order).cmp(&(self.at_us, self.order))
    }
}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

struct Request {
    daemon: usize,
    came_us: u64,
    poisoned: bool,
    service_us: u64,
    attempts: RequestAttempts,
    failed_at: Vec<VmId>,
    terms: RequestProperties,
    first_sent: bool,
}

struct Attempt {
    request: usize,
    sent_us: u64,
    target: usize,
    picked: Option<PickedTarget>,
}

struct Daemon<R, B> {
    route: R,
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

/// The state of a run.
pub(crate) struct Simulation<R, B> {
    scenario: Scenario,
    now_us: u64,
    order: u64,
    rng: SplitMix,
    events: BinaryHeap<Scheduled>,
    daemons: Vec<Daemon<R, B>>,
    targets: Vec<TargetModel>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    report: Report,
}

impl<R: RoutingPolicy, B: RetryAllowance> Simulation<R, B> {
    /// A run with a route and a budget for each daemon.
    pub(crate) fn new(scenario: Scenario, make: impl Fn(usize) -> (R, B)) -> Self {
        let daemons = (0..DAEMONS).map(|index| {
            let (mut route, budget) = make(index);
            route.set_members(members(TARGETS));
            Daemon {
                route,
                budget,
                rng: SplitMix::new(scenario.seed + 1 + index as u64),
                waiting: VecDeque::new(),
                recheck_us: 0,
            }
        });
        Self {
            scenario,
            now_us: 0,
            order: 0,
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

    /// Runs to the end of the scenario and until the last request has ended.
    pub(crate) fn run(mut self) -> Report {
        self.schedule(0, Event::Arrival);
        if self.scenario.fault == Fault::Stall {
            self.schedule((self.scenario.fault_at_ms + 1_000) * 1_000, Event::Unstall);
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
            "each request has one end"
        );
        report
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrival(),
            Event::Dispatch { daemon } => self.dispatch(daemon),
            Event::Requeue { request } => self.requeue(request),
            Event::AtTarget { attempt } => self.at_target(attempt),
            Event::WorkEnds { target, attempt } => self.work_ends(target, attempt),
            Event::Unstall => self.unstall(),
            Event::BackAtDaemon { attempt, answer } => self.back_at_daemon(attempt, answer),
            Event::TimesOut { attempt } => self.times_out(attempt),
        }
    }

    fn arrival(&mut self) {
        let offered = self.scenario.load * TARGETS as f64 * f64::from(SLOTS);
        let gap_us = self.exponential(SERVICE_MS as f64 * 1_000.0 / offered);
        if self.now_us + gap_us < self.scenario.run_ms * 1_000 {
            self.schedule(self.now_us + gap_us, Event::Arrival);
        }
        let daemon = self.rng.below(DAEMONS as u64) as usize;
        let terms = RequestProperties {
            idempotent: self.rng.fraction() < IDEMPOTENT,
            body_replayable: true,
        };
        let poisoned = match self.scenario.fault {
            Fault::FailingRequests(percent) => self.rng.below(100) < u64::from(percent),
            _ => false,
        };
        let half_us = SERVICE_MS as f64 * 500.0;
        let service_us = half_us as u64 + self.exponential(half_us);
        self.report.requests += 1;
        self.requests.push(Request {
            daemon,
            came_us: self.now_us,
            poisoned,
            service_us,
            attempts: RequestAttempts::new(terms),
            failed_at: Vec::new(),
            terms,
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
            if self.now_us + MIN_REMAINING_US >= self.requests[request].came_us + DEADLINE_US {
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
                    self.recheck(daemon, recheck_after_ms);
                    return;
                }
                Err(PickRefusal::NoTarget) => {
                    self.daemons[daemon].waiting.pop_front();
                    self.refuse(request);
                }
            }
        }
    }

    fn recheck(&mut self, daemon: usize, after_ms: Millis) {
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
            idempotent: request.terms.idempotent,
            exclude: &request.failed_at,
        };
        let daemon = &mut self.daemons[daemon];
        let picked = daemon.route.pick(now, &mut daemon.rng, options)?;
        daemon.route.send_started(&picked);
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
            self.report.sends_after += 1;
            self.report.sends_to_first += u64::from(target == 0);
        }
        let attempt = self.attempts.len();
        let deadline_us = state.came_us + DEADLINE_US;
        self.attempts.push(Attempt {
            request,
            sent_us: self.now_us,
            target,
            picked: Some(picked),
        });
        self.schedule(self.now_us + HOP_US, Event::AtTarget { attempt });
        let timeout_us = deadline_us.min(self.now_us + ATTEMPT_US);
        self.schedule(timeout_us, Event::TimesOut { attempt });
    }

    fn at_target(&mut self, attempt: usize) {
        let index = self.attempts[attempt].target;
        let faulty = index == 0 && self.fault_is_on();
        match self.scenario.fault {
            Fault::BlackHole if faulty => {
                self.answer(attempt, BLACK_HOLE_US, Answer::ServerError);
                return;
            }
            Fault::Hang if faulty => return,
            _ => {}
        }
        let queues = self.scenario.fault == Fault::Stall;
        let stalled = self.is_stalled();
        let target = &mut self.targets[index];
        match target.running {
            running if running < SLOTS && !stalled => self.start(index, attempt),
            _ if queues && target.queue.len() < TARGET_QUEUE => target.queue.push_back(attempt),
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
            Event::WorkEnds { target, attempt },
        );
    }

    fn work_ends(&mut self, target: usize, attempt: usize) {
        let model = &mut self.targets[target];
        model.running -= 1;
        let load = model.running + model.queue.len() as u32;
        let answer = match self.requests[self.attempts[attempt].request].poisoned {
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

    fn unstall(&mut self) {
        for target in 0..TARGETS {
            self.start_queued(target);
        }
    }

    fn answer(&mut self, attempt: usize, after_us: u64, answer: Answer) {
        let at_us = self.now_us + after_us + HOP_US;
        self.schedule(at_us, Event::BackAtDaemon { attempt, answer });
    }

    fn back_at_daemon(&mut self, attempt: usize, answer: Answer) {
        let elapsed_us = self.now_us - self.attempts[attempt].sent_us;
        let latency_ms = Millis::new(elapsed_us / 1_000);
        let (finish, failure) = match answer {
            Answer::Good { load } => {
                let load = Some(Slots::new(load));
                (SendOutcome::Answered { latency_ms, load }, None)
            }
            Answer::ServerError => {
                let kind = FailureKind::ServerError;
                let waited_ms = latency_ms;
                let finish = SendOutcome::Failed { kind, waited_ms };
                (finish, Some(AttemptFailure::ServerError))
            }
            Answer::Busy { load } => {
                self.report.busy += 1;
                let reason = NotRunReason::Busy;
                let load = Some(Slots::new(load));
                let finish = SendOutcome::NotRun { reason, load };
                (finish, Some(AttemptFailure::NotRun(reason)))
            }
        };
        self.attempt_ends(attempt, finish, failure);
    }

    fn times_out(&mut self, attempt: usize) {
        let kind = FailureKind::Timeout;
        let elapsed_us = self.now_us - self.attempts[attempt].sent_us;
        let waited_ms = Millis::new(elapsed_us / 1_000);
        let finish = SendOutcome::Failed { kind, waited_ms };
        self.attempt_ends(attempt, finish, Some(AttemptFailure::Timeout));
    }

    fn attempt_ends(
        &mut self,
        attempt: usize,
        finish: SendOutcome,
        failure: Option<AttemptFailure>,
    ) {
        let now = self.now();
        // An attempt that has ended has given its pick back: this is a late answer or timeout.
        let Some(picked) = self.attempts[attempt].picked.take() else {
            return;
        };
        let request = self.attempts[attempt].request;
        let daemon = self.requests[request].daemon;
        let vm = picked.vm().clone();
        self.daemons[daemon]
            .route
            .send_finished(picked, now, finish);
        match failure {
            None => {
                self.report.good += 1;
                self.report.good_by_daemon[daemon] += 1;
                let latency_us = self.now_us - self.requests[request].came_us;
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
        let deadline_us = self.requests[request].came_us + DEADLINE_US;
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
            RetryDecision::GiveUp { code, .. } => self.end(code),
        }
    }

    fn refuse(&mut self, request: usize) {
        let code = vanillafold_types::ResultCode::DeadlineBeforeStart;
        let code = self.requests[request].attempts.refusal_code(code);
        self.end(code);
    }

    fn end(&mut self, code: vanillafold_types::ResultCode) {
        match code.outcome() {
            vanillafold_types::Outcome::NotRun => self.report.not_run += 1,
            _ => self.report.failed += 1,
        }
    }

    fn fault_is_on(&self) -> bool {
        self.now_us >= self.scenario.fault_at_ms * 1_000
    }

    fn is_stalled(&self) -> bool {
        let over_us = (self.scenario.fault_at_ms + 1_000) * 1_000;
        self.scenario.fault == Fault::Stall && self.fault_is_on() && self.now_us < over_us
    }

    fn exponential(&mut self, mean_us: f64) -> u64 {
        (-(1.0 - self.rng.fraction()).ln() * mean_us) as u64
    }

    fn now(&self) -> MonotonicMillis {
        MonotonicMillis::new(self.now_us / 1_000)
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.order += 1;
        self.events.push(Scheduled {
            at_us,
            order: self.order,
            event,
        });
    }
}

fn target_index(picked: &PickedTarget) -> usize {
    let digits = picked.vm().as_str().trim_start_matches("vm-");
    digits.parse().expect("a number behind vm-")
}
