//! Tests of the decision whether a task waits for a place near its data or its group.

use quickcheck::{Gen, QuickCheck};
use vanillafold_policy::SplitMix;
use vanillafold_policy::jobs::{NearWait, NearWaitInput, expected_remaining_ms, near_wait};

/// Duration of a near run in these tests, in milliseconds.
const NEAR_MS: u64 = 1_000;
/// Remote runs take three times as long.
const FACTOR: u64 = 3;
/// Time between two scheduling passes, in milliseconds.
const PASS_MS: u64 = 10;

/// A task of a job with much time left that has not waited yet.
fn input(expected_wait_ms: u64) -> NearWaitInput {
    NearWaitInput {
        expected_wait_ms: Some(expected_wait_ms),
        near_run_ms: NEAR_MS,
        remote_factor_permille: FACTOR * 1_000,
        waited_ms: 0,
        until_late_ms: 60_000,
        remaining_ms: NEAR_MS,
    }
}

/// Returns how long a task takes from its first chance to run remotely, if its rack has room after
/// `room_after_ms` and `expected` tells what is expected at a time.
fn run_task(room_after_ms: u64, expected: impl Fn(u64) -> u64) -> u64 {
    let mut now_ms = 0;
    while now_ms < room_after_ms {
        let decision = near_wait(NearWaitInput {
            waited_ms: now_ms,
            ..input(expected(now_ms))
        });
        if decision == NearWait::StartRemote {
            return now_ms + FACTOR * NEAR_MS;
        }
        now_ms += PASS_MS;
    }
    now_ms + NEAR_MS
}

/// A busy pool: racks have room after 20 ms to 5 s, and expectations are wrong by up to a half. Tasks
/// that never wait take 3 s each; tasks that always wait take up to 6 s.
#[test]
fn in_a_busy_pool_tasks_complete_earlier_than_with_no_wait_and_with_strict_wait() {
    let mut random = SplitMix::new(1);
    let (mut with_rule_ms, mut strict_ms, mut longest_ms) = (0, 0, 0);
    for _ in 0..1_000 {
        let room_after_ms = 20 + random.below(5_000);
        let error_percent = 50 + random.below(100);
        let expected = |now_ms: u64| (room_after_ms - now_ms) * error_percent / 100;
        let took_ms = run_task(room_after_ms, expected);
        with_rule_ms += took_ms;
        longest_ms = longest_ms.max(took_ms);
        strict_ms += room_after_ms + NEAR_MS;
    }

    let no_wait_ms = 1_000 * FACTOR * NEAR_MS;
    assert!(with_rule_ms < no_wait_ms * 92 / 100, "{with_rule_ms}");
    assert!(
        with_rule_ms < strict_ms * 92 / 100,
        "{with_rule_ms}, {strict_ms}"
    );
    assert!(longest_ms <= 5_000, "{longest_ms}");
}

/// A rack where each run is overdue, so that room is always expected soon.
#[test]
fn the_whole_wait_is_bounded_whatever_is_expected() {
    #[allow(clippy::needless_pass_by_value)] // quickcheck passes arguments by value
    fn is_bounded(expected_ms: Vec<u64>) -> bool {
        let expected = |now_ms: u64| {
            let at = usize::try_from(now_ms / PASS_MS).unwrap_or(0);
            expected_ms.get(at).map_or(1, |ms| ms % 2_000)
        };
        run_task(u64::MAX, expected) <= (FACTOR - 1) * NEAR_MS + FACTOR * NEAR_MS
    }
    QuickCheck::new()
        .tests(300)
        .rng(Gen::from_size_and_seed(300, 1))
        .quickcheck(is_bounded as fn(Vec<u64>) -> bool);
}

/// The near workers were lost, evacuated or cut off, or the rack is too small.
#[test]
fn a_task_does_not_wait_where_no_room_is_expected() {
    let without_room = NearWaitInput {
        expected_wait_ms: None,
        ..input(0)
    };

    assert_eq!(near_wait(input(0)), NearWait::Wait);
    assert_eq!(near_wait(input(1_999)), NearWait::Wait);
    assert_eq!(near_wait(input(2_000)), NearWait::StartRemote);
    assert_eq!(near_wait(without_room), NearWait::StartRemote);
}

/// A burst: the job is late anyway, or would be by the wait. Its capacity is better used at once.
#[test]
fn a_job_that_would_be_late_after_the_wait_does_not_wait() {
    let until_late = |until_late_ms| NearWaitInput {
        until_late_ms,
        ..input(500)
    };

    assert_eq!(near_wait(until_late(1_500)), NearWait::Wait);
    assert_eq!(near_wait(until_late(1_499)), NearWait::StartRemote);
    assert_eq!(near_wait(until_late(-10)), NearWait::StartRemote);
}

/// Deployments whose settings don't say that remote runs are slow are served as before.
#[test]
fn no_task_waits_if_remote_runs_are_not_slower() {
    for remote_factor_permille in [0, 500, 1_000] {
        let off = NearWaitInput {
            remote_factor_permille,
            ..input(0)
        };

        assert_eq!(near_wait(off), NearWait::StartRemote);
    }
}

/// A run that hangs must not promise room for ever.
#[test]
fn an_overdue_run_is_expected_to_last_the_longer_the_longer_it_is_overdue() {
    assert_eq!(expected_remaining_ms(1_000, 300), 700);
    assert_eq!(expected_remaining_ms(1_000, 990), 100);
    assert_eq!(expected_remaining_ms(1_000, 1_000), 100);
    assert_eq!(expected_remaining_ms(1_000, 4_000), 3_000);
    assert_eq!(expected_remaining_ms(0, 0), 1);
}
