//! Tests of retry decisions and of the retry budget.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use vanillafold_policy::baseline::UnlimitedRetries;
use vanillafold_policy::{
    AttemptFailure, MAX_REROUTES, MAX_SENDS, MIN_RETRIES_PER_SECOND, MIN_RETRY_REMAINING,
    MonotonicMillis, NotRunReason, RETRY_BURST, RequestAttempts, RequestProperties, RetryAllowance,
    RetryBudget, RetryDecision, RetryReason, SplitMix, StopReason,
};
use vanillafold_types::{Millis, Outcome, Percent, ResultCode};

const SEED: u64 = 0x5eed_0f1e;
const AMPLE_TIME: Millis = Millis::new(10_000);
const NOW: MonotonicMillis = MonotonicMillis::new(1_000);
const FAILURES: [AttemptFailure; 9] = [
    AttemptFailure::Connect,
    AttemptFailure::NothingWritten,
    AttemptFailure::NotRun(NotRunReason::Busy),
    AttemptFailure::NotRun(NotRunReason::Leaving),
    AttemptFailure::NotRun(NotRunReason::Refused),
    AttemptFailure::Lost,
    AttemptFailure::Timeout,
    AttemptFailure::Malformed,
    AttemptFailure::ServerError,
];

fn attempts(idempotent: bool) -> RequestAttempts {
    RequestAttempts::new(RequestProperties {
        idempotent,
        body_replayable: true,
    })
}

fn fail(attempts: &mut RequestAttempts, failure: AttemptFailure) -> RetryDecision {
    fail_with(attempts, failure, AMPLE_TIME)
}

fn fail_with(
    attempts: &mut RequestAttempts,
    failure: AttemptFailure,
    remaining_ms: Millis,
) -> RetryDecision {
    let mut rng = SplitMix::new(SEED);
    attempts.attempt_failed(failure, remaining_ms, NOW, &mut UnlimitedRetries, &mut rng)
}

fn code(decision: RetryDecision) -> Option<ResultCode> {
    match decision {
        RetryDecision::GiveUp { code, .. } => Some(code),
        _ => None,
    }
}

/// A request with the failures of its attempts, each with the milliseconds left until the deadline.
#[derive(Debug, Clone)]
struct FailureSequence {
    idempotent: bool,
    body_replayable: bool,
    failures: Vec<(AttemptFailure, u64)>,
}

impl Arbitrary for FailureSequence {
    fn arbitrary(g: &mut Gen) -> Self {
        let failures = (0..20).map(|_| {
            let failure = *g.choose(&FAILURES).unwrap();
            (failure, u64::arbitrary(g) % 100)
        });
        Self {
            failures: failures.collect(),
            idempotent: bool::arbitrary(g),
            body_replayable: bool::arbitrary(g),
        }
    }
}

#[test]
fn a_request_that_may_have_run_is_retried_only_if_idempotent_and_never_reported_as_not_run() {
    fn property(sequence: FailureSequence) -> bool {
        let mut attempts = RequestAttempts::new(RequestProperties {
            idempotent: sequence.idempotent,
            body_replayable: sequence.body_replayable,
        });
        let mut may_have_run = false;
        for (failure, remaining_ms) in sequence.failures {
            may_have_run |= failure.may_have_run();
            let remaining_ms = Millis::new(remaining_ms);
            match fail_with(&mut attempts, failure, remaining_ms) {
                RetryDecision::Retry { after_ms, .. } => {
                    assert!(sequence.idempotent || !may_have_run);
                    assert!(after_ms < remaining_ms);
                    assert!(remaining_ms >= MIN_RETRY_REMAINING);
                }
                RetryDecision::PassAnswer { .. } => return failure == AttemptFailure::ServerError,
                RetryDecision::GiveUp { code, .. } => {
                    let reported_not_run = code.outcome() == Outcome::NotRun;
                    return reported_not_run != may_have_run;
                }
            }
        }
        false // The attempts did not end.
    }

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, SEED))
        .tests(5_000)
        .quickcheck(property as fn(FailureSequence) -> bool);
}

#[test]
fn a_non_idempotent_request_is_retried_if_the_work_did_not_start() {
    for failure in FAILURES {
        let decision = fail(&mut attempts(false), failure);
        let retried = matches!(decision, RetryDecision::Retry { .. });
        assert_eq!(retried, !failure.may_have_run(), "{failure:?}");
    }
}

#[test]
fn the_result_code_says_what_is_known_about_the_last_attempt() {
    let result_code = |failure| code(fail(&mut attempts(false), failure));
    assert_eq!(
        result_code(AttemptFailure::Lost),
        Some(ResultCode::ConnectionLost)
    );
    assert_eq!(
        result_code(AttemptFailure::Timeout),
        Some(ResultCode::DeadlineAfterSend)
    );
    assert_eq!(
        result_code(AttemptFailure::Malformed),
        Some(ResultCode::MalformedAnswer)
    );

    let late = fail_with(&mut attempts(false), AttemptFailure::Connect, Millis::ZERO);
    assert_eq!(code(late), Some(ResultCode::DeadlineBeforeStart));
}

#[test]
fn a_refusal_after_an_attempt_that_may_have_run_reports_that() {
    let mut attempts = attempts(true);
    let first = fail(&mut attempts, AttemptFailure::Lost);
    assert!(matches!(first, RetryDecision::Retry { .. }));

    let second = fail_with(&mut attempts, AttemptFailure::Connect, Millis::ZERO);

    assert_eq!(code(second), Some(ResultCode::DeadlineAfterSend));
    assert_eq!(
        attempts.refusal_code(ResultCode::NoTarget),
        ResultCode::ConnectionLost
    );
}

#[test]
fn a_server_error_of_a_non_idempotent_request_is_passed_on() {
    let decision = fail(&mut attempts(false), AttemptFailure::ServerError);

    let reason = StopReason::NotIdempotent;
    assert_eq!(decision, RetryDecision::PassAnswer { reason });
}

#[test]
fn a_request_without_its_body_is_not_sent_again() {
    let properties = RequestProperties {
        idempotent: true,
        body_replayable: false,
    };
    for failure in FAILURES {
        let decision = fail(&mut RequestAttempts::new(properties), failure);
        let untouched = matches!(
            failure,
            AttemptFailure::Connect | AttemptFailure::NothingWritten
        );
        let retried = matches!(decision, RetryDecision::Retry { .. });
        assert_eq!(retried, untouched, "{failure:?}");
    }
}

/// A reroute runs nothing twice, so it must succeed also when the budget allows no retries. Without
/// a bound, a request could circulate between full targets.
#[test]
fn reroutes_do_not_use_the_budget_and_are_bounded() {
    let mut budget = RetryBudget::new(Percent::ZERO);
    let mut rng = SplitMix::new(SEED);
    let mut attempts = attempts(false);
    let busy = AttemptFailure::NotRun(NotRunReason::Busy);

    let mut reroutes = 0;
    let last = loop {
        match attempts.attempt_failed(busy, AMPLE_TIME, NOW, &mut budget, &mut rng) {
            RetryDecision::Retry { after_ms, reason } => {
                assert_eq!((after_ms, reason), (Millis::ZERO, RetryReason::TargetBusy));
                reroutes += 1;
            }
            last => break last,
        }
    };

    assert_eq!(reroutes, MAX_REROUTES);
    assert_eq!(code(last), Some(ResultCode::SendFailed));
}

#[test]
fn sends_are_bounded() {
    let mut attempts = attempts(true);
    for _ in 1..MAX_SENDS {
        let decision = fail(&mut attempts, AttemptFailure::Malformed);
        assert!(matches!(decision, RetryDecision::Retry { .. }));
    }

    let last = fail(&mut attempts, AttemptFailure::Malformed);

    let reason = StopReason::MaxSends;
    let code = ResultCode::MalformedAnswer;
    assert_eq!(last, RetryDecision::GiveUp { code, reason });
    assert_eq!(attempts.next_number(), MAX_SENDS + 1);
}

/// A request that crashes its targets took a third one with it.
#[test]
fn a_request_under_which_two_targets_broke_the_connection_is_not_sent_to_a_third() {
    let mut attempts = attempts(true);
    let first = fail(&mut attempts, AttemptFailure::Lost);
    let between = fail(&mut attempts, AttemptFailure::NotRun(NotRunReason::Busy));
    let second = fail(&mut attempts, AttemptFailure::Lost);

    let reason = StopReason::MaxLostConnections;
    let code = ResultCode::ConnectionLost;
    assert!(matches!(first, RetryDecision::Retry { .. }));
    assert!(matches!(between, RetryDecision::Retry { .. }));
    assert_eq!(second, RetryDecision::GiveUp { code, reason });
}

/// First sends (`true`) and requests for a retry (`false`), each some milliseconds after the event
/// before it.
#[derive(Debug, Clone)]
struct Traffic {
    percent: u8,
    events: Vec<(u64, bool)>,
}

impl Arbitrary for Traffic {
    fn arbitrary(g: &mut Gen) -> Self {
        let gap_ms = [0, 0, 0, 1, 1, 5, 40, 700];
        // First sends and retries alternate in blocks, so that retries are saved up in between.
        let block = 1 + usize::arbitrary(g) % 100;
        let events = (0..200).map(|index| (*g.choose(&gap_ms).unwrap(), index / block % 2 == 0));
        Self {
            events: events.collect(),
            percent: u8::arbitrary(g) % 101,
        }
    }
}

#[test]
fn in_any_window_retries_stay_within_the_budget() {
    fn property(traffic: Traffic) -> bool {
        let mut budget = RetryBudget::new(Percent::new(traffic.percent));
        let mut now_ms = 0;
        let mut sends = Vec::new();
        let mut retries = Vec::new();
        for (gap_ms, is_send) in traffic.events {
            now_ms += gap_ms;
            let now = MonotonicMillis::new(now_ms);
            if is_send {
                budget.first_sent(now);
                sends.push(now_ms);
            } else if budget.try_spend(now) {
                retries.push(now_ms);
            }
        }
        let within = |times: &[u64], from: u64, to: u64| {
            times.iter().filter(|at| (from..=to).contains(*at)).count() as u64
        };
        retries.iter().enumerate().all(|(index, from)| {
            retries[index..].iter().all(|to| {
                let sends = within(&sends, *from, *to);
                let by_percent = sends * u64::from(traffic.percent) * 10;
                let by_time = (to - from) * MIN_RETRIES_PER_SECOND;
                within(&retries, *from, *to) * 1_000 <= by_percent + by_time + RETRY_BURST * 1_000
            })
        })
    }

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, SEED))
        .tests(300)
        .quickcheck(property as fn(Traffic) -> bool);
}

#[test]
fn a_queue_with_little_traffic_may_retry_but_not_at_zero_percent() {
    let mut quiet = RetryBudget::new(Percent::new(10));
    let mut zero_percent = RetryBudget::new(Percent::ZERO);
    quiet.first_sent(NOW);
    zero_percent.first_sent(NOW);

    assert!(quiet.try_spend(NOW));
    assert!(!quiet.try_spend(NOW));
    assert!(quiet.try_spend(NOW.after(Millis::new(1_000))));
    assert!(!zero_percent.try_spend(NOW.after(Millis::new(60_000))));
}
