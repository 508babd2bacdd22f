//! Placement advice holds for one incarnation of a worker.

use vanillafold_jobs::{
    Advice, AdviceQuery, Order, OrderAnswer, PollReport, Shard, StepSpec, WorkerEntry,
};

use crate::fixture::{
    accept_start, at, catalogue, job, job_id, poll, report, shard_with_workers, step,
    store_batches, unix, worker, worker_entry,
};

/// Returns a shard with a persistent task on a queue with advice, and the query for it.
fn shard_with_query(workers: &[&str]) -> (Shard, AdviceQuery) {
    let mut shard = shard_with_workers(workers);
    let mut advised = catalogue();
    advised.version = 2;
    advised.queues[0].advised = true;
    shard.set_catalogue(advised);
    let persistent = StepSpec {
        persistent: true,
        ..step(1)
    };
    shard.submit(job_id(1), job(vec![persistent]), at(900), unix(900));
    store_batches(&mut shard);
    let query = next_query(&mut shard, 1_000).expect("a query");
    (shard, query)
}

/// Runs a scheduling pass at `ms` and returns its first query.
fn next_query(shard: &mut Shard, ms: u64) -> Option<AdviceQuery> {
    shard.schedule(at(ms), unix(ms));
    let mut queries = shard.take_queries();
    (!queries.is_empty()).then(|| queries.remove(0))
}

/// Answers a query that was sent and answered at `ms`: these workers may run the step.
fn advise(shard: &mut Shard, query: &AdviceQuery, suitable: &[&str], ms: u64) {
    let tickets = suitable.iter();
    let advice = Advice {
        tickets: tickets
            .map(|name| (worker(name), format!("{name} at {ms}")))
            .collect(),
        valid_ms: 20_000,
        has_unreadable_rows: false,
    };
    shard.advice_answered(query, Some(advice), at(ms), at(ms));
}

/// Runs a scheduling pass at `ms` and returns its first start order with its worker and ticket.
fn next_start(shard: &mut Shard, ms: u64) -> Option<(String, Order, String)> {
    shard.schedule(at(ms), unix(ms));
    for (worker, order) in shard.take_orders() {
        if let Order::Start { ticket, .. } = &order {
            let ticket = ticket.clone();
            return Some((worker.to_string(), order, ticket));
        }
    }
    None
}

fn answer(shard: &mut Shard, name: &str, order: &Order, answer: OrderAnswer, ms: u64) {
    shard.order_answered(&worker(name), order, answer, at(ms), unix(ms));
}

/// Returns a report of the incarnation that started at `started_unix_ms`.
fn report_of(started_unix_ms: u64, clock_ms: u64) -> PollReport {
    PollReport {
        started_unix_ms: Some(started_unix_ms),
        ..report(clock_ms)
    }
}

/// A worker whose ticket was rejected counted as one that the policy rejects, for as long as the
/// owner lived.
#[test]
fn a_worker_that_rejects_a_ticket_is_asked_about_again() {
    let (mut shard, query) = shard_with_query(&["w1"]);
    advise(&mut shard, &query, &["w1"], 1_010);
    let (_, order, _) = next_start(&mut shard, 1_020).expect("a start order");

    answer(&mut shard, "w1", &order, OrderAnswer::BadTicket, 1_030);
    let again = next_query(&mut shard, 1_040).expect("another query");
    advise(&mut shard, &again, &["w1"], 1_050);
    let restarted = next_start(&mut shard, 1_060);

    assert_eq!(again, query);
    let ticket = restarted.map(|row| row.2);
    assert_eq!(ticket, Some("w1 at 1050".to_owned()));
}

/// The same for an order that was repeated because the first got no answer.
#[test]
fn a_repeated_start_whose_ticket_is_rejected_is_asked_about_again() {
    let (mut shard, query) = shard_with_query(&["w1"]);
    advise(&mut shard, &query, &["w1"], 1_010);
    let (_, first, _) = next_start(&mut shard, 1_020).expect("a start order");
    answer(&mut shard, "w1", &first, OrderAnswer::Unknown, 1_500);
    poll(&mut shard, "w1", &report(1_510), 1_510);
    let (_, repeated, ticket) = next_start(&mut shard, 1_520).expect("a repeated order");
    answer(&mut shard, "w1", &repeated, OrderAnswer::BadTicket, 1_530);
    shard.schedule(at(1_540), unix(1_540));
    let (id, stop) = shard.take_orders().remove(0);
    answer(&mut shard, "w1", &stop, OrderAnswer::OldRun, 1_550);
    poll(&mut shard, "w1", &report(1_600), 1_600);

    let again = next_query(&mut shard, 1_610);

    assert_eq!(ticket, "w1 at 1010");
    assert_eq!((id, again), (worker("w1"), Some(query)));
}

/// The next incarnation of a worker may be of another kind, and no earlier ticket is valid there.
#[test]
fn a_worker_that_has_started_again_is_asked_about_again() {
    // Arrange: w1 is suitable and w2 is not. w1 runs the task.
    let (mut shard, query) = shard_with_query(&["w1", "w2"]);
    advise(&mut shard, &query, &["w1"], 1_010);
    let (name, order, _) = next_start(&mut shard, 1_020).expect("a start order");
    let Order::Start { task, run, .. } = order else {
        panic!("expected a start order, found {order:?}");
    };
    accept_start(&mut shard, &name, task, run.get(), 1_030);

    // Act: both start again.
    poll(&mut shard, "w1", &report_of(2, 10), 2_000);
    poll(&mut shard, "w2", &report_of(2, 10), 2_000);
    let again = next_query(&mut shard, 2_010);

    // Assert
    let workers = again.map(|query| query.workers);
    assert_eq!(workers, Some(vec![worker("w1"), worker("w2")]));
}

/// An answer about the earlier incarnation says nothing about the one that has begun meanwhile.
#[test]
fn advice_that_was_asked_for_before_a_restart_is_not_used_after_it() {
    for suitable in [&["w1"][..], &[][..]] {
        let (mut shard, query) = shard_with_query(&["w1"]);

        poll(&mut shard, "w1", &report_of(2, 10), 1_005);
        advise(&mut shard, &query, suitable, 1_010);
        let again = next_query(&mut shard, 1_020);
        let started = shard.take_orders().len();

        assert_eq!((again, started), (Some(query), 0));
    }
}

/// An idle worker is not polled, so that only its registration shows a restart.
#[test]
fn a_worker_that_registers_again_gets_no_task_before_it_answers_a_poll() {
    let (mut shard, query) = shard_with_query(&["w1"]);
    advise(&mut shard, &query, &["w1"], 1_010);
    let entry = WorkerEntry {
        started_unix_ms: Some(2),
        ..worker_entry("w1")
    };

    shard.update_worker(entry, at(1_015));
    let before = next_start(&mut shard, 1_020);
    poll(&mut shard, "w1", &report_of(2, 10), 1_030);
    let again = next_query(&mut shard, 1_040);

    assert!(before.is_none(), "found {before:?}");
    assert_eq!(again, Some(query));
}

/// The ticket of a worker may be in a row that can't be read.
#[test]
fn a_worker_that_is_missing_in_unreadable_advice_is_asked_about_again() {
    let (mut shard, query) = shard_with_query(&["w1"]);
    let unreadable = Advice {
        tickets: Vec::new(),
        valid_ms: 20_000,
        has_unreadable_rows: true,
    };

    shard.advice_answered(&query, Some(unreadable), at(1_010), at(1_010));
    let at_once = next_query(&mut shard, 1_020);
    let later = next_query(&mut shard, 1_600);

    assert_eq!((at_once, later), (None, Some(query)));
}

/// A worker that the policy rejects is not asked about again.
#[test]
fn an_unsuitable_worker_is_asked_about_once() {
    let (mut shard, query) = shard_with_query(&["w1"]);

    advise(&mut shard, &query, &[], 1_010);
    let again = next_query(&mut shard, 9_000);

    assert_eq!(again, None);
}

/// A worker that rejects each ticket gets no tasks for a while; each rejected start has its price.
#[test]
fn a_worker_that_rejects_all_tickets_is_backed_off() {
    let (mut shard, mut query) = shard_with_query(&["w1"]);
    let mut rejections = 0;
    for round in 0..20 {
        let ms = 1_010 + 50 * round;
        advise(&mut shard, &query, &["w1"], ms);
        let Some((_, order, _)) = next_start(&mut shard, ms + 10) else {
            break;
        };
        answer(&mut shard, "w1", &order, OrderAnswer::BadTicket, ms + 20);
        rejections += 1;
        match next_query(&mut shard, ms + 30) {
            Some(next) => query = next,
            None => break,
        }
    }

    assert!(rejections <= 4, "{rejections} rejected starts in a second");
}
