//! What callers, runners and faults have done, in the order in which it was seen.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::time::Instant;

use vanillafold_jobs::{JobId, RunNumber, TaskId};

use super::caller::JobShape;

/// A request of a caller, numbered from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId(usize);

/// What a caller asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerRequest {
    /// Submit a job of this shape.
    Submit(JobShape),
    /// Cancel the job.
    Cancel,
    /// Ask for the job's state.
    State,
}

/// What came of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// An answer with this status and body.
    Answered(u16, String),
    /// No connection could be opened, so nothing was sent.
    NotSent,
    /// The connection ended without an answer, or none came in time.
    Unanswered,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The work is done.
    Done,
    /// It was ordered to stop.
    Stopped,
    /// The runner's lease expired.
    Lapsed,
}

/// Something that was seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EventKind {
    /// A caller has sent a request to a daemon.
    Sent {
        /// The number of the request.
        attempt: AttemptId,
        /// What it asks for.
        request: CallerRequest,
        /// The job that it is about.
        job: JobId,
        /// Index of the daemon.
        daemon: usize,
    },
    /// The request is over for the caller.
    Over {
        /// The number of the request.
        attempt: AttemptId,
        /// What came of it.
        outcome: Outcome,
    },
    /// A runner takes part from now on.
    RunnerAdded {
        /// Index of the runner.
        runner: usize,
        /// Its zone.
        zone: String,
    },
    /// A runner has got an order to start a run, which it may start, reject or act upon later.
    StartOrdered {
        /// Index of the runner.
        runner: usize,
        /// The task.
        task: TaskId,
        /// The run's number.
        run: RunNumber,
        /// The epoch of the owner that gave the order.
        token: u64,
    },
    /// A runner has started a run.
    Started {
        /// Index of the runner.
        runner: usize,
        /// The task.
        task: TaskId,
        /// The run's number.
        run: RunNumber,
        /// The epoch of the owner that gave the order.
        token: u64,
        /// How long the runner's lease lasts from the start, without being renewed.
        lease_ms: u64,
        /// The text that the order gave the task.
        spec: String,
    },
    /// A run has ended.
    Ended {
        /// Index of the runner.
        runner: usize,
        /// The task.
        task: TaskId,
        /// The run's number.
        run: RunNumber,
        /// How it ended.
        end: RunEnd,
    },
    /// An owner has taken note of the end of a run.
    EndAcknowledged {
        /// The task.
        task: TaskId,
        /// The run's number.
        run: RunNumber,
        /// How it ended.
        end: RunEnd,
    },
    /// The lease of a runner has expired.
    LeaseExpired {
        /// Index of the runner.
        runner: usize,
    },
    /// A runner has crashed with all that ran on it.
    RunnerLost {
        /// Index of the runner.
        runner: usize,
    },
    /// The operator has requested the evacuation of a zone, and the store has acknowledged that.
    EvacuationRequested {
        /// The zone.
        zone: String,
    },
    /// The operator has withdrawn the request.
    EvacuationWithdrawn {
        /// The zone.
        zone: String,
    },
    /// A fault begins or ends.
    Fault(String),
    /// A daemon has been started again, without a configuration.
    DaemonStarted {
        /// Index of the daemon.
        daemon: usize,
    },
    /// The daemon has a configuration now.
    DaemonConfigured {
        /// Index of the daemon.
        daemon: usize,
    },
    /// All faults have ended, and no further one comes.
    FaultsOver,
    /// A daemon has ended though nothing told it to, or has panicked.
    DaemonFailed {
        /// Index of the daemon.
        daemon: usize,
        /// What has happened.
        reason: String,
    },
}

/// An event with its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Time since the journal began, in milliseconds.
    pub at_ms: u64,
    /// What was seen.
    pub kind: EventKind,
}

/// All events.
#[derive(Debug)]
pub struct Journal {
    began: Instant,
    events: RefCell<Vec<Event>>,
    attempts: Cell<usize>,
}

impl Default for Journal {
    fn default() -> Self {
        Self {
            began: Instant::now(),
            events: RefCell::default(),
            attempts: Cell::default(),
        }
    }
}

impl Journal {
    /// Returns the time since the journal began, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the number of the next request.
    pub fn next_attempt(&self) -> AttemptId {
        AttemptId(self.attempts.replace(self.attempts.get() + 1))
    }

    /// Adds an event.
    pub fn add(&self, kind: EventKind) {
        let at_ms = self.now_ms();
        self.events.borrow_mut().push(Event { at_ms, kind });
    }

    /// Adds the begin or end of a fault.
    pub fn fault(&self, text: impl Into<String>) {
        self.add(EventKind::Fault(text.into()));
    }

    /// Returns the events so far.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        self.events.borrow().clone()
    }

    /// Returns whether a task of a job has started.
    #[must_use]
    pub fn has_started(&self, job: JobId) -> bool {
        self.events
            .borrow()
            .iter()
            .any(|event| matches!(&event.kind, EventKind::Started { task, .. } if task.job == job))
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>7} ms  ", self.at_ms)?;
        match &self.kind {
            EventKind::Sent {
                attempt,
                request,
                job,
                daemon,
            } => write!(
                f,
                "try {} of {job} at daemon {daemon}: {request:?}",
                attempt.0
            ),
            EventKind::Over { attempt, outcome } => write!(f, "try {}: {outcome:?}", attempt.0),
            EventKind::RunnerAdded { runner, zone } => write!(f, "runner {runner} is in {zone}"),
            EventKind::StartOrdered {
                runner,
                task,
                run,
                token,
            } => write!(
                f,
                "runner {runner} is told to start {task} run {run}, token {token}"
            ),
            EventKind::EvacuationRequested { zone } => write!(f, "{zone} is to be evacuated"),
            EventKind::EvacuationWithdrawn { zone } => {
                write!(f, "the evacuation of {zone} is withdrawn")
            }
            EventKind::Started {
                runner,
                task,
                run,
                token,
                lease_ms,
                spec,
            } => write!(
                f,
                "runner {runner} starts {task} run {run}, token {token}, lease {lease_ms} ms: {spec}"
            ),
            EventKind::Ended {
                runner,
                task,
                run,
                end,
            } => write!(f, "runner {runner} ends {task} run {run}: {end:?}"),
            EventKind::EndAcknowledged { task, run, end } => {
                write!(f, "the end of {task} run {run} is acknowledged: {end:?}")
            }
            EventKind::LeaseExpired { runner } => write!(f, "the lease of runner {runner} expires"),
            EventKind::RunnerLost { runner } => write!(f, "runner {runner} crashes"),
            EventKind::Fault(text) => f.write_str(text),
            EventKind::DaemonStarted { daemon } => write!(f, "daemon {daemon} is started"),
            EventKind::DaemonConfigured { daemon } => write!(f, "daemon {daemon} is configured"),
            EventKind::FaultsOver => f.write_str("all faults are over"),
            EventKind::DaemonFailed { daemon, reason } => write!(f, "daemon {daemon} {reason}"),
        }
    }
}
