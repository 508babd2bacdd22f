//! Decisions of an evacuation: which runs move, and how fast work returns.

use vanillafold_policy::jobs::{CheckpointedRun, is_resumed_elsewhere, usable_permille};

fn run(remaining_ms: u64, slack_ms: i64) -> CheckpointedRun {
    CheckpointedRun {
        remaining_ms,
        interruption_ms: 500,
        slack_ms,
    }
}

/// A long task keeps its zone in use while all others have left.
#[test]
fn a_long_run_moves_and_a_short_one_ends_where_it_runs() {
    assert!(is_resumed_elsewhere(run(10_000, 5_000)));
    assert!(!is_resumed_elsewhere(run(1_500, 5_000)));
    assert!(!is_resumed_elsewhere(run(2_000, 5_000)));
}

/// The interruption must not cost the caller the answer in time.
#[test]
fn a_run_whose_job_would_become_late_by_the_interruption_stays() {
    assert!(!is_resumed_elsewhere(run(10_000, 400)));
    assert!(is_resumed_elsewhere(run(10_000, 500)));
    assert!(is_resumed_elsewhere(run(10_000, -1)));
}

#[test]
fn no_number_makes_the_decision_overflow() {
    for value in [0, 1, u64::MAX / 4, u64::MAX] {
        for slack_ms in [i64::MIN, -1, 0, i64::MAX] {
            let extreme = CheckpointedRun {
                remaining_ms: value,
                interruption_ms: value,
                slack_ms,
            };
            assert!(!is_resumed_elsewhere(extreme));
        }
    }
}

/// All waiting work of a queue in its turn would start on the returned workers at once.
#[test]
fn the_usable_part_grows_evenly_to_all() {
    let parts: Vec<u64> = (0..=5)
        .map(|step| usable_permille(step * 500, false))
        .collect();

    assert_eq!(parts, [250, 437, 625, 812, 1_000, 1_000]);
    assert_eq!(usable_permille(u64::MAX, false), 1_000);
}

#[test]
fn a_cold_worker_keeps_the_smallest_part() {
    assert_eq!(usable_permille(60_000, true), 250);
}
