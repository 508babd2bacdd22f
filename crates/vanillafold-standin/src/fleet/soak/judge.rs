//! Checks a journal against what the platform's pages promise callers.

use std::fmt;

use vanillafold_jobs::{RunNumber, TaskId};

use super::evacuation::{StartInEvacuatedZone, starts_in_evacuated_zones};
use super::history::{Attempt, History, JobHistory};
use crate::fleet::journal::{CallerRequest, Event, EventKind, RunEnd};

/// Time after the end of all faults within which an answer may still be wrong about a job.
const SETTLE_MS: u64 = 10_000;
/// Time after the end of a cancel, or of the faults, after which no task of the job may start.
const CANCEL_MS: u64 = 6_000;
/// The same without regard to faults: an order that was held up has expired by then.
const CANCEL_MAX_MS: u64 = 12_000;
/// Time after the request to evacuate a zone, or after the end of the faults, after which its runners get
/// no more start orders.
const EVACUATION_MS: u64 = 5_000;
/// The same without regard to faults, which extend both bounds alike.
const EVACUATION_MAX_MS: u64 = EVACUATION_MS + (CANCEL_MAX_MS - CANCEL_MS);

/// The promise that is broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ViolationKind {
    /// A task started after a refusal, and no caller had submitted the job again.
    RefusedStrict,
    /// A task started, and all tries to submit the job were refused.
    RefusedLiteral,
    /// A job was refused that was accepted or had started before.
    RefusedKnown,
    /// An accepted job is unknown or does not complete.
    Lost,
    /// Two runs of a task at the same time, or a start after its end was taken note of.
    Twice,
    /// A start of what no caller has submitted, or long after a cancel.
    Unasked,
    /// A start order to a runner in a zone long after its evacuation was requested.
    Evacuated,
    /// An answer that does not fit its request or what has happened.
    WrongAnswer,
    /// A daemon has ended by itself or has panicked.
    DaemonFailed,
}

impl ViolationKind {
    /// Returns the name that reports use.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::RefusedStrict => "REFUSED-strict",
            Self::RefusedLiteral => "REFUSED-literal",
            Self::RefusedKnown => "REFUSED-known",
            Self::Lost => "LOST",
            Self::Twice => "TWICE",
            Self::Unasked => "UNASKED",
            Self::Evacuated => "EVACUATED",
            Self::WrongAnswer => "ANSWER",
            Self::DaemonFailed => "DAEMON",
        }
    }
}

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub kind: ViolationKind,
    /// When it was seen, in the time of the journal.
    pub at_ms: u64,
    /// What was seen.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self.kind.name();
        write!(f, "{:>7} ms  {name}: {}", self.at_ms, self.text)
    }
}

/// Returns the violations in the events of a world that has settled after its faults.
#[must_use]
pub fn judge(events: &[Event]) -> Vec<Violation> {
    let history = History::new(events);
    let mut judge = Judge {
        events,
        faults_over_ms: history.faults_over_ms,
        violations: Vec::new(),
    };
    for job in &history.jobs {
        judge.check_refusals(job);
        judge.check_starts(job);
        judge.check_answers(job);
        judge.check_completion(job);
    }
    judge.check_runs();
    judge.check_evacuations();
    judge.violations.sort_by_key(|violation| violation.at_ms);
    judge.violations
}

#[derive(Debug)]
struct Judge<'a> {
    events: &'a [Event],
    faults_over_ms: u64,
    violations: Vec<Violation>,
}

impl Judge<'_> {
    /// Adds a violation that shows in the event `at`.
    fn add(&mut self, kind: ViolationKind, at: usize, text: String) {
        let at_ms = self.at_ms(at);
        self.violations.push(Violation { kind, at_ms, text });
    }

    fn at_ms(&self, event: usize) -> u64 {
        self.events.get(event).map_or(0, |event| event.at_ms)
    }

    /// Checks that no task starts after a refusal, and that no accepted or started job is refused.
    fn check_refusals(&mut self, job: &JobHistory) {
        let id = job.id;
        for refusal in job.submissions().filter(|attempt| attempt.is_refused()) {
            let next = job.submissions().find(|other| other.sent > refusal.over);
            let next_sent = next.map_or(usize::MAX, |next| next.sent);
            let accepted = job
                .submissions()
                .any(|other| other.is_accepted() && other.over < refusal.sent);
            let first = job.starts.first().copied();
            let late = job
                .starts
                .iter()
                .find(|start| (refusal.over..next_sent).contains(start));
            match (late, first) {
                _ if accepted => {
                    let text = format!("{id} is refused after it was accepted");
                    self.add(ViolationKind::RefusedKnown, refusal.over, text);
                }
                (_, Some(first)) if first < refusal.over => {
                    let text = format!("{id} is refused after it has started");
                    self.add(ViolationKind::RefusedKnown, refusal.over, text);
                }
                (Some(late), _) => {
                    let refused_ms = self.at_ms(refusal.over);
                    let text = format!("{id} starts after its refusal at {refused_ms} ms");
                    self.add(ViolationKind::RefusedStrict, *late, text);
                }
                _ => {}
            }
        }
        let mut sent = job.submissions().filter(|attempt| attempt.was_sent());
        if let Some(start) = job.starts.first()
            && sent.all(Attempt::is_rejected)
            && job.submissions().any(Attempt::was_sent)
        {
            let text = format!("{id} starts, and all its submissions were refused");
            self.add(ViolationKind::RefusedLiteral, *start, text);
        }
    }

    /// Checks that the starts of a job are of what was submitted, and not long after a cancel.
    fn check_starts(&mut self, job: &JobHistory) {
        let shape = job.submissions().find_map(Attempt::shape);
        let cancelled = job
            .attempts
            .iter()
            .find(|attempt| attempt.request == CallerRequest::Cancel && attempt.is_accepted());
        for start in &job.starts {
            let EventKind::Started { task, spec, .. } = &self.events[*start].kind else {
                continue;
            };
            let is_submitted = shape.is_some_and(|shape| {
                job.is_submitted(*start)
                    && (task.occurrence, task.step) == (0, 0)
                    && u32::from(task.index) < shape.tasks
                    && *spec == shape.spec(job.id)
            });
            if !is_submitted {
                let text = format!("{task} starts with {spec:?}, which no caller has submitted");
                self.add(ViolationKind::Unasked, *start, text);
            }
            let Some(cancelled) = cancelled else {
                continue;
            };
            let (cancelled_ms, at_ms) = (self.at_ms(cancelled.over), self.at_ms(*start));
            let calm_ms = cancelled_ms.max(self.faults_over_ms) + CANCEL_MS;
            if at_ms > calm_ms.min(cancelled_ms + CANCEL_MAX_MS) {
                let text = format!("{task} starts after its cancel at {cancelled_ms} ms");
                self.add(ViolationKind::Unasked, *start, text);
            }
        }
    }

    fn check_answers(&mut self, job: &JobHistory) {
        for attempt in &job.attempts {
            let Some((status, body)) = attempt.answer() else {
                continue;
            };
            let is_cancelled = job
                .attempts
                .iter()
                .any(|other| other.request == CallerRequest::Cancel && other.sent < attempt.over);
            let problem = match (attempt.request, status) {
                (_, 502..=504) | (CallerRequest::Submit(_), 429) => None,
                (CallerRequest::Submit(_) | CallerRequest::Cancel, 200) => {
                    (!body.is_empty()).then_some("has a body")
                }
                (CallerRequest::Cancel | CallerRequest::State, 410) => None,
                (CallerRequest::State, 200) => match state_of(body) {
                    _ if !job.is_submitted(attempt.over) => {
                        Some("tells of a job that was not submitted")
                    }
                    Some("queued" | "running") => None,
                    Some("completed") if job.done_tasks(attempt.over) >= job.tasks() => None,
                    Some("cancelled") if is_cancelled => None,
                    _ => Some("is not true"),
                },
                _ => Some("is unexpected"),
            };
            if let Some(problem) = problem {
                let (id, request) = (job.id, attempt.request);
                let text = format!("{request:?} of {id}: {status} {body:?} {problem}");
                self.add(ViolationKind::WrongAnswer, attempt.over, text);
            }
        }
    }

    /// Checks that an accepted job that nobody has cancelled is known and completed.
    fn check_completion(&mut self, job: &JobHistory) {
        if !job.must_complete() {
            return;
        }
        let settled_ms = self.faults_over_ms + SETTLE_MS;
        let mut states = job
            .attempts
            .iter()
            .filter(|attempt| attempt.request == CallerRequest::State);
        let unknown = states.clone().find(|attempt| {
            attempt.answer().is_some_and(|(status, _)| status == 410)
                && self.at_ms(attempt.sent) > settled_ms
        });
        let completed = states.any(|attempt| {
            let answer = attempt.answer();
            answer.is_some_and(|(_, body)| state_of(body) == Some("completed"))
        });
        let id = job.id;
        match unknown {
            Some(unknown) => {
                let text = format!("{id} was accepted and is unknown");
                self.add(ViolationKind::Lost, unknown.over, text);
            }
            None if !completed => {
                let text = format!("{id} was accepted and does not complete");
                self.add(ViolationKind::Lost, self.events.len() - 1, text);
            }
            None => {}
        }
    }

    /// Checks that no two runs of a task overlap, and that none begins after an end that counts.
    fn check_runs(&mut self) {
        let mut running: Vec<(usize, TaskId, RunNumber)> = Vec::new();
        let mut done = DoneEnds::default();
        for (at, event) in self.events.iter().enumerate() {
            match &event.kind {
                EventKind::Started {
                    runner, task, run, ..
                } => {
                    if let Some((other, _, other_run)) = running.iter().find(|row| row.1 == *task) {
                        let text = format!(
                            "{task} runs on runner {other} (run {other_run}) and {runner} ({run})"
                        );
                        self.add(ViolationKind::Twice, at, text);
                    }
                    running.push((*runner, *task, *run));
                }
                EventKind::Ended {
                    runner,
                    task,
                    run,
                    end,
                } => {
                    running.retain(|row| *row != (*runner, *task, *run));
                    if *end == RunEnd::Done {
                        done.add(*runner, *task, *run, at);
                    }
                }
                EventKind::EndAcknowledged { task, run, .. } => done.acknowledge(*task, *run),
                EventKind::LeaseExpired { runner } => done.expire(*runner),
                EventKind::RunnerLost { runner } => {
                    running.retain(|row| row.0 != *runner);
                    done.expire(*runner);
                }
                EventKind::DaemonFailed { daemon, reason } => {
                    let text = format!("daemon {daemon} {reason}");
                    self.add(ViolationKind::DaemonFailed, at, text);
                }
                _ => {}
            }
        }
        for (at, event) in self.events.iter().enumerate() {
            match &event.kind {
                EventKind::Started { task, run, .. } if done.before(*task, at) => {
                    let text = format!("{task} run {run} starts after a run was done");
                    self.add(ViolationKind::Twice, at, text);
                }
                _ => {}
            }
        }
    }

    /// Checks that the runners of an evacuated zone get no start orders, also no repeated ones.
    fn check_evacuations(&mut self) {
        for start in starts_in_evacuated_zones(self.events) {
            let (requested_ms, at_ms) = (start.requested_ms, self.at_ms(start.at));
            let calm_ms = requested_ms.max(self.faults_over_ms) + EVACUATION_MS;
            if at_ms > calm_ms.min(requested_ms + EVACUATION_MAX_MS) {
                let StartInEvacuatedZone { task, zone, .. } = start;
                let text = format!(
                    "a runner in {zone} is told to start {task}; evacuation requested at {requested_ms} ms"
                );
                self.add(ViolationKind::Evacuated, start.at, text);
            }
        }
    }
}

/// Ends of runs whose work was done.
#[derive(Debug, Default)]
struct DoneEnds {
    /// Ends that an owner may still take note of: runner, task, run and event.
    listed: Vec<(usize, TaskId, RunNumber, usize)>,
    /// Ends that an owner has taken note of: task and event.
    acknowledged: Vec<(TaskId, usize)>,
}

impl DoneEnds {
    fn add(&mut self, runner: usize, task: TaskId, run: RunNumber, at: usize) {
        self.listed.push((runner, task, run, at));
    }

    fn acknowledge(&mut self, task: TaskId, run: RunNumber) {
        let found = self
            .listed
            .iter()
            .position(|row| (row.1, row.2) == (task, run));
        if let Some(index) = found {
            let (_, task, _, at) = self.listed.swap_remove(index);
            self.acknowledged.push((task, at));
        }
    }

    /// Forgets the ends of a runner that nobody has taken note of while it had a lease.
    fn expire(&mut self, runner: usize) {
        self.listed.retain(|row| row.0 != runner);
    }

    fn before(&self, task: TaskId, at: usize) -> bool {
        let mut ends = self.acknowledged.iter();
        ends.any(|(ended, end)| *ended == task && *end < at)
    }
}

fn state_of(body: &str) -> Option<&str> {
    body.strip_prefix("{\"state\":\"")?.strip_suffix("\"}")
}
