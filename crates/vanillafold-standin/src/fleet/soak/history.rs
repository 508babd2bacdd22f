//! The events of a journal, arranged by job.

use vanillafold_jobs::{JobId, TaskId};

use crate::fleet::caller::JobShape;
use crate::fleet::journal::{AttemptId, CallerRequest, Event, EventKind, Outcome, RunEnd};

/// How much later than another answer of a daemon an earlier one may arrive.
const ANSWER_DELAY_MS: u64 = 100;

/// A request of a caller.
#[derive(Debug)]
pub(super) struct Attempt<'a> {
    id: AttemptId,
    pub(super) request: CallerRequest,
    daemon: usize,
    /// The event of the request.
    pub(super) sent: usize,
    /// The event of its outcome; `usize::MAX` if there is none.
    pub(super) over: usize,
    outcome: Option<&'a Outcome>,
    /// Whether the daemon may have had no configuration when it answered.
    unconfigured: bool,
}

impl<'a> Attempt<'a> {
    pub(super) const fn shape(&self) -> Option<JobShape> {
        match self.request {
            CallerRequest::Submit(shape) => Some(shape),
            CallerRequest::Cancel | CallerRequest::State => None,
        }
    }

    pub(super) fn answer(&self) -> Option<(u16, &'a str)> {
        match self.outcome? {
            Outcome::Answered(status, body) => Some((*status, body)),
            Outcome::NotSent | Outcome::Unanswered => None,
        }
    }

    /// Returns whether the request may have reached a daemon.
    pub(super) fn was_sent(&self) -> bool {
        self.outcome != Some(&Outcome::NotSent)
    }

    pub(super) fn is_rejected(&self) -> bool {
        matches!(self.answer(), Some((429 | 503, _)))
    }

    /// Returns whether the answer tells that the job does not run. A daemon without a configuration
    /// must answer any request with 503, and knows nothing of the job's other tries.
    pub(super) fn is_refused(&self) -> bool {
        self.is_rejected() && !self.unconfigured
    }

    pub(super) fn is_accepted(&self) -> bool {
        matches!(self.answer(), Some((200..=299, _)))
    }
}

/// What happened to a job.
#[derive(Debug)]
pub(super) struct JobHistory<'a> {
    pub(super) id: JobId,
    pub(super) attempts: Vec<Attempt<'a>>,
    /// The events of its tasks' starts.
    pub(super) starts: Vec<usize>,
    /// Its tasks whose work was done, with the events.
    done: Vec<(TaskId, usize)>,
}

impl<'a> JobHistory<'a> {
    pub(super) fn submissions(&self) -> impl Iterator<Item = &Attempt<'a>> + Clone {
        let attempts = self.attempts.iter();
        attempts.filter(|attempt| attempt.shape().is_some())
    }

    /// Returns whether the job was submitted before an event.
    pub(super) fn is_submitted(&self, before: usize) -> bool {
        self.submissions().any(|attempt| attempt.sent < before)
    }

    /// Returns whether the job was accepted and nobody has cancelled it.
    pub(super) fn must_complete(&self) -> bool {
        let mut attempts = self.attempts.iter();
        let is_cancelled = attempts.any(|attempt| attempt.request == CallerRequest::Cancel);
        !is_cancelled && self.submissions().any(Attempt::is_accepted)
    }

    /// Returns the number of tasks, or 0 for a job that was not submitted.
    pub(super) fn tasks(&self) -> usize {
        let shape = self.submissions().find_map(Attempt::shape);
        shape.map_or(0, |shape| usize::try_from(shape.tasks).unwrap_or(0))
    }

    /// Returns the number of tasks whose work was done before an event.
    pub(super) fn done_tasks(&self, before: usize) -> usize {
        let done = self.done.iter().filter(|(_, at)| *at < before);
        let mut tasks: Vec<TaskId> = done.map(|(task, _)| *task).collect();
        tasks.sort_unstable();
        tasks.dedup();
        tasks.len()
    }
}

/// Starts of daemons, and when they were first seen to have a configuration: event and time.
#[derive(Debug, Default)]
struct Configurations(Vec<(usize, Option<(usize, u64)>)>);

impl Configurations {
    /// Returns whether a daemon may have had no configuration when it gave an answer that arrives
    /// now, to a request that was sent in the event `sent`.
    fn may_be_missing(&self, daemon: usize, sent: usize, now_ms: u64) -> bool {
        let mut latest_first = self.0.iter().rev();
        match latest_first.find(|row| row.0 == daemon) {
            None => false,
            Some((_, None)) => true,
            Some((_, Some((at, at_ms)))) => sent < *at && now_ms <= at_ms + ANSWER_DELAY_MS,
        }
    }
}

/// The events of a journal.
#[derive(Debug, Default)]
pub(super) struct History<'a> {
    /// Sorted by id.
    pub(super) jobs: Vec<JobHistory<'a>>,
    /// When the last fault ended.
    pub(super) faults_over_ms: u64,
}

impl<'a> History<'a> {
    pub(super) fn new(events: &'a [Event]) -> Self {
        let mut history = Self::default();
        // Attempts are numbered in the order in which they are sent.
        let mut jobs_of_attempts: Vec<(AttemptId, JobId)> = Vec::new();
        let mut configurations = Configurations::default();
        for (at, event) in events.iter().enumerate() {
            match &event.kind {
                EventKind::Sent {
                    attempt,
                    request,
                    job,
                    daemon,
                } => {
                    jobs_of_attempts.push((*attempt, *job));
                    history.job(*job).attempts.push(Attempt {
                        id: *attempt,
                        request: *request,
                        daemon: *daemon,
                        sent: at,
                        over: usize::MAX,
                        outcome: None,
                        unconfigured: false,
                    });
                }
                EventKind::Over { attempt, outcome } => {
                    let found = jobs_of_attempts.binary_search_by_key(attempt, |row| row.0);
                    let Ok(index) = found else { continue };
                    let job = history.job(jobs_of_attempts[index].1);
                    let mut attempts = job.attempts.iter_mut();
                    if let Some(known) = attempts.find(|known| known.id == *attempt) {
                        known.over = at;
                        known.outcome = Some(outcome);
                        known.unconfigured =
                            configurations.may_be_missing(known.daemon, known.sent, event.at_ms);
                    }
                }
                EventKind::Started { task, .. } => history.job(task.job).starts.push(at),
                EventKind::Ended {
                    task,
                    end: RunEnd::Done,
                    ..
                } => history.job(task.job).done.push((*task, at)),
                EventKind::DaemonStarted { daemon } => configurations.0.push((*daemon, None)),
                EventKind::DaemonConfigured { daemon } => {
                    configurations.0.push((*daemon, Some((at, event.at_ms))));
                }
                EventKind::FaultsOver => history.faults_over_ms = event.at_ms,
                _ => {}
            }
        }
        history
    }

    fn job(&mut self, id: JobId) -> &mut JobHistory<'a> {
        let found = self.jobs.binary_search_by(|job| job.id.cmp(&id));
        let index = found.unwrap_or_else(|index| {
            self.jobs.insert(
                index,
                JobHistory {
                    id,
                    attempts: Vec::new(),
                    starts: Vec::new(),
                    done: Vec::new(),
                },
            );
            index
        });
        &mut self.jobs[index]
    }
}
