//! Timeouts of a process that stalls.

use std::time::Duration;

use monoio::time::{sleep, timeout};
use vanillafold_wire::{TimedOut, timeout_awake};

const LIMIT: Duration = Duration::from_millis(100);

fn run<T>(test: impl Future<Output = T>) -> T {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime")
        .block_on(test)
}

/// Takes three turns of the event loop, each of which the process spends on other work for most of
/// [`LIMIT`]. An exchange with a server that answers at once takes about as many.
async fn answer_of_a_stalled_process() {
    for _ in 0..3 {
        sleep(Duration::from_millis(1)).await;
        std::thread::sleep(Duration::from_millis(80));
    }
}

#[test]
fn a_stall_of_the_process_is_not_taken_for_a_missing_answer() {
    let plain = run(async { timeout(LIMIT, answer_of_a_stalled_process()).await });
    let awake = run(async { timeout_awake(LIMIT, answer_of_a_stalled_process()).await });

    assert!(plain.is_err());
    assert_eq!(awake, Ok(()));
}

#[test]
fn an_answer_that_never_comes_times_out() {
    let answer = run(async { timeout_awake(LIMIT, std::future::pending::<()>()).await });

    assert_eq!(answer, Err(TimedOut));
}
