//! Metrics of a fleet daemon, as listed in docs/METRICS.md.

use metrics::{counter, gauge, histogram};
use vanillafold_jobs::{
    EvacuationCounts, LossCounts, NearWaitCounts, Order, OrderAnswer, PredictionCounts,
};
use vanillafold_policy::MonotonicMillis;

use super::time::now;

const MILLIS_PER_SECOND: f64 = 1_000.0;

#[allow(clippy::cast_precision_loss)] // durations are far below 2^53 ms
fn seconds(ms: u64) -> f64 {
    ms as f64 / MILLIS_PER_SECOND
}

/// Records the answer to a caller's request and the time that it took.
pub(crate) fn request(kind: &'static str, outcome: &'static str, began: MonotonicMillis) {
    counter!("vanillafold_requests_total", "kind" => kind, "outcome" => outcome).increment(1);
    let elapsed = seconds(now().since(began).get());
    histogram!("vanillafold_request_seconds", "kind" => kind).record(elapsed);
}

/// Counts a repeated attempt to forward a request to the owner.
pub(crate) fn request_retried() {
    counter!("vanillafold_request_retries_total").increment(1);
}

/// Counts a refused request, by reason.
pub(crate) fn refusal(reason: &'static str) {
    counter!("vanillafold_refusals_total", "reason" => reason).increment(1);
}

/// Counts a submission of an unknown job that may have been refused since a daemon received it.
pub(crate) fn stale_submission() {
    counter!("vanillafold_stale_submissions_total").increment(1);
}

/// Records a completed takeover of the shard and the time that it took.
pub(crate) fn takeover(began: MonotonicMillis) {
    counter!("vanillafold_takeovers_total").increment(1);
    histogram!("vanillafold_takeover_seconds").record(seconds(now().since(began).get()));
}

/// Counts an ownership of the shard that has ended.
pub(crate) fn ownership_ended() {
    counter!("vanillafold_ownerships_ended_total").increment(1);
}

/// Counts the loss of a dependency that answered before.
pub(crate) fn dependency_lost(name: &'static str) {
    counter!("vanillafold_dependency_losses_total", "dependency" => name).increment(1);
}

/// Records the outcome of an attempt to append and the time since its batch was first sent.
pub(crate) fn append(outcome: &'static str, began: MonotonicMillis) {
    counter!("vanillafold_appends_total", "outcome" => outcome).increment(1);
    histogram!("vanillafold_append_seconds").record(seconds(now().since(began).get()));
}

/// Counts a poll of a worker, by whether it was answered.
pub(crate) fn poll(answered: bool) {
    let outcome = match answered {
        true => "answered",
        false => "failed",
    };
    counter!("vanillafold_looks_total", "outcome" => outcome).increment(1);
}

/// Records the outcome of an order to a worker and the time that it took; for the start of a task
/// also the time that the task spent in the queue.
pub(crate) fn order(order: &Order, answer: OrderAnswer, sent_at: MonotonicMillis) {
    let kind = match order {
        Order::Start { waited_ms, .. } => {
            histogram!("vanillafold_queue_seconds").record(seconds(*waited_ms));
            "start"
        }
        Order::Stop { .. } => "stop",
        Order::Pace { .. } => "pace",
    };
    let outcome = match answer {
        OrderAnswer::Accepted => "accepted",
        OrderAnswer::Unknown | OrderAnswer::ConnectionLost => "unanswered",
        OrderAnswer::NotSent => "not_sent",
        OrderAnswer::Fenced => "fenced",
        _ => "rejected",
    };
    counter!("vanillafold_orders_total", "kind" => kind, "outcome" => outcome).increment(1);
    histogram!("vanillafold_order_seconds").record(seconds(now().since(sent_at).get()));
}

/// Counts an operation on a VM, by whether the platform accepted it.
pub(crate) fn vm_operation(accepted: bool) {
    let outcome = match accepted {
        true => "accepted",
        false => "failed",
    };
    counter!("vanillafold_machine_orders_total", "outcome" => outcome).increment(1);
}

/// Counts the workers that were lost with runs, and the tasks given up for that, between two readings.
pub(crate) fn worker_losses(before: LossCounts, after: LossCounts) {
    let rows = [
        ("restarted", after.restarted - before.restarted),
        ("replaced", after.replaced - before.replaced),
        (
            "leases_expired",
            after.leases_expired - before.leases_expired,
        ),
    ];
    for (evidence, count) in rows.into_iter().filter(|row| row.1 > 0) {
        counter!("vanillafold_worker_losses_total", "evidence" => evidence).increment(count);
    }
    let given_up = after.tasks_given_up - before.tasks_given_up;
    if given_up > 0 {
        counter!("vanillafold_tasks_given_up_total").increment(given_up);
    }
}

/// Records the zones that are being evacuated and what is left in them, and counts the runs that were
/// moved out of them between two readings.
#[allow(clippy::cast_precision_loss)] // counts far below 2^53
pub(crate) fn evacuations(before: EvacuationCounts, after: EvacuationCounts) {
    if before == after {
        return;
    }
    gauge!("vanillafold_evacuated_zones").set(after.zones as f64);
    gauge!("vanillafold_evacuated_zone_runs").set(after.runs as f64);
    let rows = [
        ("replaced", after.replaced - before.replaced),
        ("resumed", after.resumed - before.resumed),
    ];
    for (how, count) in rows.into_iter().filter(|row| row.1 > 0) {
        counter!("vanillafold_evacuated_runs_total", "how" => how).increment(count);
    }
}

/// Counts the jobs that were accepted while others waited, by whether they completed in time, between two
/// readings.
pub(crate) fn predictions(before: PredictionCounts, after: PredictionCounts) {
    let rows = [
        ("in_time", after.in_time - before.in_time),
        ("late", after.late - before.late),
    ];
    for (outcome, count) in rows.into_iter().filter(|row| row.1 > 0) {
        counter!("vanillafold_predicted_jobs_total", "outcome" => outcome).increment(count);
    }
}

/// Counts the waits for a near placement that began and ended between two readings.
pub(crate) fn near_waits(before: NearWaitCounts, after: NearWaitCounts) {
    let rows = [
        ("begun", after.begun - before.begun),
        ("ended_near", after.ended_near - before.ended_near),
        ("ended_remote", after.ended_remote - before.ended_remote),
    ];
    for (event, count) in rows.into_iter().filter(|row| row.1 > 0) {
        counter!("vanillafold_near_waits_total", "event" => event).increment(count);
    }
}
