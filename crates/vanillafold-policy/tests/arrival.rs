//! The dating of input by ticks of its event loop.

use vanillafold_policy::{ARRIVAL_TICK_MS, ArrivalClock, MonotonicMillis};

/// Returns the clock of an event loop that has run from 0 to `until_ms` without stalls.
fn running_until(until_ms: u64) -> ArrivalClock {
    let mut clock = ArrivalClock::new(MonotonicMillis::ZERO);
    for now_ms in (0..=until_ms).step_by(usize::try_from(ARRIVAL_TICK_MS).expect("small")) {
        clock.tick(MonotonicMillis::new(now_ms));
    }
    clock
}

#[test]
fn input_of_a_running_process_is_a_few_ticks_old_at_most() {
    let clock = running_until(10_000);

    let earliest_ms = clock.earliest_arrival().get();

    assert_eq!(earliest_ms, 10_000 - 2 * ARRIVAL_TICK_MS);
}

#[test]
fn input_read_right_after_a_suspension_may_be_as_old_as_its_beginning() {
    let mut clock = running_until(10_000);

    let before_tick = clock.earliest_arrival();
    clock.tick(MonotonicMillis::new(14_000));
    let after_tick = clock.earliest_arrival();

    assert!(before_tick.get() <= 10_000);
    assert!(after_tick.get() <= 10_000);
}
