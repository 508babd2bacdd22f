//! The judge of the fleet soak: it passes a clean journal and finds each violation that is planted
//! in it.

use vanillafold_jobs::{JobId, RunNumber, TaskId};
use vanillafold_standin::fleet::{
    AttemptId, CallerRequest, Event, EventKind, JobShape, Journal, Outcome, RunEnd, ViolationKind,
    judge,
};

const SHAPE: JobShape = JobShape {
    tasks: 2,
    cpu_millis: 500,
    work_ms: 100,
};
const SUBMIT: CallerRequest = CallerRequest::Submit(SHAPE);
/// Time between two events.
const STEP_MS: u64 = 50;

/// A journal that is written by hand.
struct Recording {
    attempts: Journal,
    now_ms: u64,
    events: Vec<Event>,
}

impl Recording {
    /// Returns a journal in which a refused job is submitted again and completes, another one
    /// completes at once, and a third is cancelled.
    fn clean() -> Self {
        let mut recording = Self {
            attempts: Journal::default(),
            now_ms: 0,
            events: Vec::new(),
        };
        recording.ask(SUBMIT, 1, answered(503));
        recording.ask(SUBMIT, 1, answered(429));
        recording.ask(SUBMIT, 1, Outcome::Unanswered);
        recording.ask(SUBMIT, 1, answered(200));
        recording.ask(SUBMIT, 2, answered(200));
        for number in [1, 2] {
            recording.run(number, 0, 1);
            recording.run(number, 1, 1);
        }
        recording.ask(SUBMIT, 3, answered(200));
        recording.ask(CallerRequest::Cancel, 3, answered(200));
        recording.ask(CallerRequest::State, 3, state("cancelled"));
        recording.ask(SUBMIT, 4, answered(503));
        recording.add(EventKind::FaultsOver);
        recording.ask(CallerRequest::State, 1, state("completed"));
        recording.ask(CallerRequest::State, 2, state("completed"));
        recording
    }

    fn add(&mut self, kind: EventKind) {
        self.now_ms += STEP_MS;
        let at_ms = self.now_ms;
        self.events.push(Event { at_ms, kind });
    }

    fn send(&mut self, request: CallerRequest, number: u64) -> AttemptId {
        let attempt = self.attempts.next_attempt();
        self.add(EventKind::Sent {
            attempt,
            request,
            job: job(number),
            daemon: 0,
        });
        attempt
    }

    fn end(&mut self, attempt: AttemptId, outcome: Outcome) {
        self.add(EventKind::Over { attempt, outcome });
    }

    fn ask(&mut self, request: CallerRequest, number: u64, outcome: Outcome) {
        let attempt = self.send(request, number);
        self.end(attempt, outcome);
    }

    fn start(&mut self, number: u64, index: u16, run: u64, runner: usize) {
        self.start_with(number, index, run, runner, SHAPE.spec(job(number)));
    }

    fn start_with(&mut self, number: u64, index: u16, run: u64, runner: usize, spec: String) {
        self.add(EventKind::Started {
            runner,
            task: task(number, index),
            run: RunNumber::new(run),
            token: 1,
            lease_ms: 4_500,
            spec,
        });
    }

    /// Adds the request to evacuate the zone of runner 0.
    fn evacuate(&mut self) {
        let zone = "za".to_owned();
        let runner = 0;
        self.add(EventKind::RunnerAdded {
            runner,
            zone: zone.clone(),
        });
        self.add(EventKind::EvacuationRequested { zone });
    }

    /// Adds an order to a runner to start a task of job 1 in `after_ms`.
    fn order_start(&mut self, runner: usize, after_ms: u64) {
        self.now_ms += after_ms - STEP_MS;
        self.add(EventKind::StartOrdered {
            runner,
            task: task(1, 0),
            run: RunNumber::new(1),
            token: 1,
        });
    }

    fn finish(&mut self, number: u64, index: u16, run: u64) {
        self.add(EventKind::Ended {
            runner: 0,
            task: task(number, index),
            run: RunNumber::new(run),
            end: RunEnd::Done,
        });
    }

    fn acknowledge(&mut self, number: u64, index: u16, run: u64) {
        self.add(EventKind::EndAcknowledged {
            task: task(number, index),
            run: RunNumber::new(run),
            end: RunEnd::Done,
        });
    }

    /// Starts a task, whose work is done and whose end is taken note of.
    fn run(&mut self, number: u64, index: u16, run: u64) {
        self.start(number, index, run, 0);
        self.finish(number, index, run);
        self.acknowledge(number, index, run);
    }

    fn kinds(&self) -> Vec<ViolationKind> {
        let mut kinds: Vec<_> = judge(&self.events).iter().map(|found| found.kind).collect();
        kinds.sort_unstable();
        kinds
    }
}

fn job(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("a job id")
}

fn task(number: u64, index: u16) -> TaskId {
    TaskId {
        job: job(number),
        occurrence: 0,
        step: 0,
        index,
    }
}

fn answered(status: u16) -> Outcome {
    Outcome::Answered(status, String::new())
}

fn state(name: &str) -> Outcome {
    Outcome::Answered(200, format!("{{\"state\":\"{name}\"}}"))
}

#[test]
fn a_clean_journal_passes() {
    let recording = Recording::clean();

    assert_eq!(recording.kinds(), []);
}

#[test]
fn a_start_after_all_tries_were_refused_is_found() {
    let mut recording = Recording::clean();

    recording.start(4, 0, 1, 0);

    let expected = [ViolationKind::RefusedStrict, ViolationKind::RefusedLiteral];
    assert_eq!(recording.kinds(), expected);
}

#[test]
fn an_earlier_try_that_takes_effect_after_a_refusal_is_found() {
    let mut recording = Recording::clean();
    recording.ask(SUBMIT, 5, Outcome::Unanswered);
    recording.ask(SUBMIT, 5, answered(503));

    recording.start(5, 0, 1, 0);

    assert_eq!(recording.kinds(), [ViolationKind::RefusedStrict]);
}

#[test]
fn a_start_between_a_refusal_and_the_next_try_is_found() {
    let mut recording = Recording::clean();
    recording.ask(SUBMIT, 5, Outcome::Unanswered);
    recording.ask(SUBMIT, 5, answered(429));

    recording.run(5, 0, 1);
    recording.ask(SUBMIT, 5, answered(200));
    recording.run(5, 1, 1);
    recording.ask(CallerRequest::State, 5, state("completed"));

    assert_eq!(recording.kinds(), [ViolationKind::RefusedStrict]);
}

#[test]
fn a_refusal_of_a_job_that_has_started_is_found() {
    let mut recording = Recording::clean();
    recording.ask(SUBMIT, 5, Outcome::Unanswered);
    recording.run(5, 0, 1);

    recording.ask(SUBMIT, 5, answered(503));

    assert_eq!(recording.kinds(), [ViolationKind::RefusedKnown]);
}

#[test]
fn a_refusal_of_an_accepted_job_is_found() {
    let mut recording = Recording::clean();

    recording.ask(SUBMIT, 2, answered(503));

    assert_eq!(recording.kinds(), [ViolationKind::RefusedKnown]);
}

#[test]
fn a_daemon_without_a_configuration_may_answer_503_and_knows_no_job() {
    let mut recording = Recording::clean();
    recording.add(EventKind::DaemonStarted { daemon: 0 });

    recording.ask(SUBMIT, 2, answered(503));
    recording.add(EventKind::DaemonConfigured { daemon: 0 });

    assert_eq!(recording.kinds(), []);
}

#[test]
fn a_refusal_after_a_daemon_got_its_configuration_is_found() {
    let mut recording = Recording::clean();
    recording.add(EventKind::DaemonStarted { daemon: 0 });
    recording.add(EventKind::DaemonConfigured { daemon: 0 });

    recording.ask(SUBMIT, 2, answered(503));

    assert_eq!(recording.kinds(), [ViolationKind::RefusedKnown]);
}

#[test]
fn a_start_after_all_tries_were_answered_with_503_is_found_also_without_a_configuration() {
    let mut recording = Recording::clean();
    recording.add(EventKind::DaemonStarted { daemon: 0 });
    recording.ask(SUBMIT, 5, answered(503));

    recording.start(5, 0, 1, 0);

    assert_eq!(recording.kinds(), [ViolationKind::RefusedLiteral]);
}

#[test]
fn an_accepted_job_that_does_not_complete_is_found() {
    let mut recording = Recording::clean();
    recording.ask(SUBMIT, 5, answered(200));

    recording.ask(CallerRequest::State, 5, state("queued"));

    assert_eq!(recording.kinds(), [ViolationKind::Lost]);
}

#[test]
fn an_accepted_job_that_a_settled_system_does_not_know_is_found() {
    let mut recording = Recording::clean();
    recording.now_ms += 60_000;

    recording.ask(CallerRequest::State, 2, answered(410));

    assert_eq!(recording.kinds(), [ViolationKind::Lost]);
}

#[test]
fn an_unknown_job_is_no_loss_while_the_system_settles() {
    let mut recording = Recording::clean();

    recording.ask(CallerRequest::State, 2, answered(410));

    assert_eq!(recording.kinds(), []);
}

#[test]
fn two_runs_at_the_same_time_are_found() {
    let mut recording = Recording::clean();
    recording.ask(SUBMIT, 5, Outcome::Unanswered);

    recording.start(5, 0, 1, 0);
    recording.start(5, 0, 2, 1);

    assert_eq!(recording.kinds(), [ViolationKind::Twice]);
}

#[test]
fn a_run_ends_with_its_runner() {
    let mut recording = Recording::clean();
    recording.ask(SUBMIT, 5, Outcome::Unanswered);

    recording.start(5, 0, 1, 0);
    recording.add(EventKind::RunnerLost { runner: 0 });
    recording.start(5, 0, 2, 1);

    assert_eq!(recording.kinds(), []);
}

#[test]
fn a_start_after_an_end_that_was_acknowledged_is_found() {
    let mut recording = Recording::clean();

    recording.start(2, 0, 2, 1);

    assert_eq!(recording.kinds(), [ViolationKind::Twice]);
}

#[test]
fn a_start_before_the_acknowledgement_of_an_end_is_found() {
    let mut recording = Recording::clean();
    recording.ask(SUBMIT, 5, Outcome::Unanswered);
    recording.start(5, 0, 1, 0);
    recording.finish(5, 0, 1);

    recording.start(5, 0, 2, 1);
    recording.acknowledge(5, 0, 1);

    assert_eq!(recording.kinds(), [ViolationKind::Twice]);
}

#[test]
fn an_end_does_not_count_if_the_lease_expires_before_it_is_acknowledged() {
    let mut recording = Recording::clean();
    recording.ask(SUBMIT, 5, Outcome::Unanswered);
    recording.start(5, 0, 1, 0);
    recording.finish(5, 0, 1);

    recording.add(EventKind::LeaseExpired { runner: 0 });
    recording.start(5, 0, 2, 1);
    recording.acknowledge(5, 0, 1);

    assert_eq!(recording.kinds(), []);
}

#[test]
fn a_start_of_a_job_that_was_not_submitted_is_found() {
    let mut recording = Recording::clean();

    recording.start(6, 0, 1, 0);

    assert_eq!(recording.kinds(), [ViolationKind::Unasked]);
}

#[test]
fn a_start_with_another_text_or_of_a_task_beyond_the_count_is_found() {
    let mut recording = Recording::clean();
    recording.ask(SUBMIT, 5, Outcome::Unanswered);

    recording.start_with(5, 0, 1, 0, SHAPE.spec(job(2)));
    recording.start(5, 2, 1, 0);

    let expected = [ViolationKind::Unasked, ViolationKind::Unasked];
    assert_eq!(recording.kinds(), expected);
}

#[test]
fn a_start_long_after_a_cancel_is_found() {
    let mut recording = Recording::clean();
    recording.now_ms += 20_000;

    recording.start(3, 0, 1, 0);

    assert_eq!(recording.kinds(), [ViolationKind::Unasked]);
}

#[test]
fn answers_that_do_not_fit_the_request_are_found() {
    let cases = [
        (SUBMIT, 2, state("queued")),
        (SUBMIT, 2, answered(404)),
        (CallerRequest::State, 2, answered(200)),
        (CallerRequest::State, 2, state("failed")),
        (CallerRequest::State, 2, state("cancelled")),
        (CallerRequest::State, 6, state("queued")),
        (CallerRequest::Cancel, 3, state("completed")),
    ];
    for (request, number, outcome) in cases {
        let mut recording = Recording::clean();

        recording.ask(request, number, outcome.clone());

        let found = recording.kinds();
        assert_eq!(found, [ViolationKind::WrongAnswer], "{outcome:?}");
    }
}

#[test]
fn a_job_shown_as_completed_before_its_last_task_is_done_is_found() {
    let mut recording = Recording::clean();
    recording.ask(SUBMIT, 5, answered(200));
    recording.run(5, 0, 1);

    recording.ask(CallerRequest::State, 5, state("completed"));

    assert_eq!(recording.kinds(), [ViolationKind::WrongAnswer]);
}

#[test]
fn a_daemon_that_fails_is_found() {
    let mut recording = Recording::clean();

    recording.add(EventKind::DaemonFailed {
        daemon: 1,
        reason: "has panicked".to_owned(),
    });

    assert_eq!(recording.kinds(), [ViolationKind::DaemonFailed]);
}

#[test]
fn a_start_order_to_a_zone_that_has_been_evacuated_for_long_is_found() {
    let mut recording = Recording::clean();
    recording.evacuate();

    recording.order_start(0, 5_000);
    assert_eq!(recording.kinds(), []);
    recording.order_start(0, 100);

    assert_eq!(recording.kinds(), [ViolationKind::Evacuated]);
}

#[test]
fn a_repeated_request_to_evacuate_a_zone_allows_no_further_start_orders() {
    let mut recording = Recording::clean();
    recording.evacuate();
    recording.now_ms += 4_000;
    recording.evacuate();

    recording.order_start(0, 2_000);

    assert_eq!(recording.kinds(), [ViolationKind::Evacuated]);
}

#[test]
fn start_orders_may_be_late_while_there_are_faults_but_not_longer() {
    let mut recording = Recording {
        events: Vec::new(),
        ..Recording::clean()
    };
    recording.evacuate();
    recording.order_start(0, 11_000);
    recording.order_start(0, 1_000);
    recording.add(EventKind::FaultsOver);

    assert_eq!(recording.kinds(), [ViolationKind::Evacuated]);
}

#[test]
fn start_orders_to_other_zones_or_after_the_withdrawal_are_no_fault() {
    let mut recording = Recording::clean();
    let (runner, zone) = (1, "zb".to_owned());
    recording.add(EventKind::RunnerAdded { runner, zone });
    recording.evacuate();

    recording.order_start(1, 20_000);
    let zone = "za".to_owned();
    recording.add(EventKind::EvacuationWithdrawn { zone });
    recording.order_start(0, 20_000);

    assert_eq!(recording.kinds(), []);
}
