//! Each team's share of full pools, and percentiles of latency.

use vanillafold_standin::trace::{ReceivedOutcome, TraceEvent};

use crate::events::{call, pool_size, renamed};
use crate::run::audit;

#[test]
fn shares_count_slot_time_of_full_pools_only() {
    let (long, short) = (call("x1", "ka:a"), call("x2", "kb:b"));
    let events = [
        pool_size(0, 2, 0),
        long.start(100, "v1"),
        short.start(100, "v2"),
        short.end(200, "v2"),
        // Half of the slots are in use, so the pool is not full.
        long.end(900, "v1"),
        short.start(1_000, "v1"),
        long.start(1_000, "v2"),
        long.end(1_200, "v2"),
        short.end(1_200, "v1"),
        call("x3", "ka:a").start(2_000, "v1"),
        call("x4", "ka:a").start(2_000, "v2"),
        // With twice the slots, the pool is only half full.
        pool_size(2_100, 4, 0),
        call("x3", "ka:a").end(2_200, "v1"),
        call("x4", "ka:a").end(2_200, "v2"),
    ];

    let report = audit("shares", &events);

    let teams: Vec<String> = report
        .summary
        .teams
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        teams,
        [
            "team a most_running=2 share_when_full=62.5%",
            "team b most_running=1 share_when_full=37.5%",
        ]
    );
}

#[test]
fn percentiles_do_not_depend_on_the_order_of_requests() {
    let call = call("", "ka:a");
    // Latencies of 1 to 100 ms; in the order of request ids the longest comes first.
    let exchanges = (1..=100).flat_map(|ms| {
        let events = [
            call.sent(1_000),
            call.received(1_000 + ms, ReceivedOutcome::Answer, Some(0)),
        ];
        events.map(|event| renamed(event, &format!("x{:03}", 100 - ms)))
    });
    let events: Vec<TraceEvent> = exchanges.collect();

    let report = audit("latency", &events);

    let latency = report.summary.answer_latency.unwrap();
    assert_eq!(latency.to_string(), "p50_us=50000 p99_us=99000");
}
