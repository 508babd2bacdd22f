//! Admission by predicted lateness: what is accepted beside waiting work, and when refused callers return.

use vanillafold_policy::MonotonicMillis;
use vanillafold_policy::jobs::{
    Admission, AdmissionInput, ArrivingCpu, PoolRoom, PredictionCorrection, ReturnSchedule,
    WaitingWork, admit, predicted_lateness_ms,
};

/// A pool of 100 cores, all in use by tasks of a second.
fn full_pool() -> PoolRoom {
    PoolRoom {
        cpu_millis: 100_000,
        task_ms: 1_000,
        ..PoolRoom::default()
    }
}

/// Work of 20 core-seconds that has to start within a time.
fn work(latest_start_ms: i64) -> WaitingWork {
    WaitingWork {
        latest_start_ms,
        core_ms: 20_000,
    }
}

fn lateness_ms(room: &PoolRoom, waiting: &[WaitingWork], job: WaitingWork) -> u64 {
    predicted_lateness_ms(room, waiting.iter().copied(), &[job])
}

fn input(lateness_ms: u64, lateness_in_share_ms: u64) -> AdmissionInput {
    AdmissionInput {
        lateness_ms,
        lateness_in_share_ms,
        is_first: false,
        waiting_tasks: 0,
        starts_per_s: None,
        max_useful_latency_ms: 8_000,
    }
}

/// Submits a job every `interval_ms` for four seconds to a pool that starts the work that it has accepted in
/// order, and returns how many were accepted, and how many of these started in time.
fn play_burst(interval_ms: usize) -> (usize, usize) {
    const OBJECTIVE_MS: i64 = 1_500;
    let room = full_pool();
    let (mut waiting, mut accepted, mut in_time): (Vec<i64>, usize, usize) = (Vec::new(), 0, 0);
    let mut started_core_ms = 0.0;
    for now in 0..6_000_i64 {
        if now < 4_000 && (now as usize).is_multiple_of(interval_ms) {
            let left = waiting.iter().map(|due| work(due - now));
            let lateness_ms = predicted_lateness_ms(&room, left, &[work(OBJECTIVE_MS)]);
            if admit(input(lateness_ms, u64::MAX)) == Admission::Admit {
                waiting.push(now + OBJECTIVE_MS);
                accepted += 1;
            }
        }
        // 100 cores are freed and taken again once in a second.
        started_core_ms += 100.0;
        while started_core_ms >= 20_000.0 && !waiting.is_empty() {
            started_core_ms -= 20_000.0;
            in_time += usize::from(waiting.remove(0) >= now);
        }
        if waiting.is_empty() {
            started_core_ms = f64::min(started_core_ms, 20_000.0);
        }
    }
    (accepted, in_time)
}

/// With all callers accepted, half of them were served late in room that others could have used.
#[test]
fn a_burst_of_several_times_the_room_fills_it_with_jobs_that_are_in_time() {
    for interval_ms in [40, 80, 160] {
        let (accepted, in_time) = play_burst(interval_ms);

        // The pool can start five jobs a second over 5.5 s.
        assert!(accepted >= 24, "{accepted} every {interval_ms} ms");
        assert!(in_time + 1 >= accepted, "{in_time} of {accepted}");
    }
}

/// An estimate by share alone turned away callers whom the pool had room for.
#[test]
fn nobody_is_refused_while_the_job_fits_into_the_pool() {
    assert_eq!(lateness_ms(&full_pool(), &[], work(500)), 0);
    assert_eq!(admit(input(0, 5_000)), Admission::Admit);
}

/// A flood of one organisation must not keep out another that is within its share.
#[test]
fn an_organisation_within_its_share_is_accepted_beside_a_flood() {
    let room = full_pool();
    let flood = [work(1_000); 30];
    let share = room.part(1, 2);

    let of_flooding = lateness_ms(&room, &flood, work(1_000));
    let in_share_of_flooding = lateness_ms(&share, &flood, work(1_000));
    let in_share_of_other = lateness_ms(&share, &[], work(1_000));

    let refused = admit(input(of_flooding, in_share_of_flooding));
    assert!(matches!(refused, Admission::Refuse { .. }), "{refused:?}");
    assert_eq!(
        admit(input(of_flooding, in_share_of_other)),
        Admission::Admit
    );
}

/// The job itself would be in time, but an accepted one that has to start later would not.
#[test]
fn a_job_that_makes_an_accepted_one_late_is_refused() {
    let room = full_pool();
    let accepted = [
        work(1_000),
        work(1_000),
        work(1_000),
        work(1_000),
        work(1_000),
    ];

    assert_eq!(lateness_ms(&room, &accepted[1..], work(300)), 0);
    assert_eq!(lateness_ms(&room, &accepted, work(300)), 200);
    // Work that has to start before does not depend on it.
    assert_eq!(lateness_ms(&room, &[work(100); 2], work(900)), 0);
}

/// The turn of a queue begins: its pool has few VMs, but more are moving or can be moved.
#[test]
fn vms_that_arrive_before_the_latest_start_count() {
    let moving = PoolRoom {
        moving: ArrivingCpu {
            in_ms: 800,
            cpu_millis: 100_000,
        },
        ..full_pool()
    };
    let movable = PoolRoom {
        movable: ArrivingCpu {
            in_ms: 1_800,
            cpu_millis: 100_000,
        },
        ..full_pool()
    };
    let waiting = [work(1_000); 6];

    assert!(lateness_ms(&full_pool(), &waiting, work(1_000)) > 0);
    assert_eq!(lateness_ms(&moving, &waiting, work(1_000)), 0);
    assert!(lateness_ms(&movable, &waiting, work(1_000)) > 0);
    assert_eq!(lateness_ms(&movable, &[work(2_000); 12], work(2_000)), 0);
}

/// A caller that returns too late to be in time is served in room that is free, and displaces nobody.
#[test]
fn a_job_that_cannot_be_in_time_any_more_takes_only_room_that_is_free_now() {
    let nearly_idle = PoolRoom {
        free_cpu_millis: 40_000,
        ..full_pool()
    };

    assert_eq!(lateness_ms(&nearly_idle, &[], work(-700)), 0);
    assert_eq!(lateness_ms(&nearly_idle, &[work(300); 2], work(-700)), 0);
    assert!(lateness_ms(&nearly_idle, &[work(0); 2], work(-700)) > 0);
    assert!(lateness_ms(&full_pool(), &[], work(-700)) > 0);
    assert_eq!(
        admit(input(700, 700)),
        Admission::Refuse {
            retry_after_ms: 700
        }
    );
}

/// A large job fits into no prediction; it must not be refused for ever.
#[test]
fn the_first_job_of_an_organisation_is_accepted_whatever_its_size() {
    let large = AdmissionInput {
        is_first: true,
        ..input(60_000, 90_000)
    };

    assert_eq!(admit(large), Admission::Admit);
}

/// All queues together ask for five times the starts that the owner's link carries: 3,000 tasks wait
/// at 150 starts a second, and the result of a job is of no use after 8 s.
#[test]
fn a_job_that_the_owner_cannot_start_in_time_is_refused_at_once() {
    let overloaded = AdmissionInput {
        waiting_tasks: 3_000,
        starts_per_s: Some(150),
        is_first: true,
        ..input(0, 0)
    };
    let usual = AdmissionInput {
        starts_per_s: None,
        ..overloaded
    };
    let nearly_drained = AdmissionInput {
        waiting_tasks: 900,
        ..overloaded
    };

    let refused = Admission::Refuse {
        retry_after_ms: 20_000 - 4_000,
    };
    assert_eq!(admit(overloaded), refused);
    assert_eq!(admit(usual), Admission::Admit);
    assert_eq!(admit(nearly_drained), Admission::Admit);
}

/// Estimates are half of what tasks take: the room that predictions count on has to shrink until jobs are
/// in time, and grow again when they are.
#[test]
fn predictions_follow_actual_outcomes_within_limits() {
    let mut correction = PredictionCorrection::default();

    correction.record(false);
    let after_one = correction.permille();
    for _ in 0..10 {
        correction.record(true);
    }
    let recovered = correction.permille();
    for _ in 0..1_000 {
        correction.record(false);
    }
    let lowest = correction.permille();
    for _ in 0..1_000 {
        correction.record(true);
    }

    assert_eq!((after_one, recovered), (960, 980));
    assert_eq!((lowest, correction.permille()), (500, 1_200));
    assert_eq!(correction.apply(full_pool()).cpu_millis, 120_000);
}

/// Hundreds of refused callers returned at the same moment, and were refused again.
#[test]
fn refused_callers_return_one_after_the_other() {
    let at = MonotonicMillis::new;
    let mut schedule = ReturnSchedule::default();

    let first = schedule.promise(20_000, 100_000, 300, at(1_000));
    let second = schedule.promise(20_000, 100_000, 300, at(1_000));
    let third = schedule.promise(20_000, 100_000, 300, at(1_100));
    let after_a_pause = schedule.promise(20_000, 100_000, 300, at(60_000));

    assert_eq!((first, second, third), (300, 500, 600));
    assert_eq!(after_a_pause, 300);
    for _ in 0..1_000 {
        schedule.promise(20_000, 100_000, 300, at(60_000));
    }
    assert_eq!(schedule.promise(20_000, 100_000, 300, at(60_000)), 15_000);
}

#[test]
fn no_number_makes_a_prediction_overflow() {
    let numbers = [0, 1, 1_000, u64::MAX / 2, u64::MAX];
    for number in numbers {
        for latest_start_ms in [i64::MIN, -1, 0, 1, i64::MAX] {
            let room = PoolRoom {
                free_cpu_millis: number,
                cpu_millis: number,
                moving: ArrivingCpu {
                    in_ms: number,
                    cpu_millis: number,
                },
                movable: ArrivingCpu::default(),
                task_ms: number,
            };
            let extreme = WaitingWork {
                latest_start_ms,
                core_ms: number,
            };
            let lateness_ms = lateness_ms(&room.part(number, 3), &[extreme], extreme);
            let mut schedule = ReturnSchedule::default();
            let now = MonotonicMillis::new(number);

            assert!(schedule.promise(number, number, lateness_ms, now) <= 15_000);
        }
    }
}
