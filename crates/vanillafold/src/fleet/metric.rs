//! Counters and histograms of a fleet daemon, for the metrics page (docs/METRICS.md).

use metrics::{counter, histogram};
use vanillafold_jobs::{Order, OrderAnswer};
use vanillafold_policy::MonotonicMillis;

use super::time::now;

const MILLIS_PER_SECOND: f64 = 1_000.0;

#[allow(clippy::cast_precision_loss)] // times of seconds
fn seconds(ms: u64) -> f64 {
    ms as f64 / MILLIS_PER_SECOND
}

/// A caller's request was answered.
pub(crate) fn request(kind: &'static str, outcome: &'static str, began: MonotonicMillis) {
    counter!("vanillafold_requests_total", "kind" => kind, "outcome" => outcome).increment(1);
    let took = seconds(now().since(began).get());
    histogram!("vanillafold_request_seconds", "kind" => kind).record(took);
}

/// A request was sent to the owner once more.
pub(crate) fn request_retried() {
    counter!("vanillafold_request_retries_total").increment(1);
}

/// A job was not taken.
pub(crate) fn refusal(reason: &'static str) {
    counter!("vanillafold_refusals_total", "reason" => reason).increment(1);
}

/// This daemon has taken the shard over.
pub(crate) fn takeover(began: MonotonicMillis) {
    counter!("vanillafold_takeovers_total").increment(1);
    histogram!("vanillafold_takeover_seconds").record(seconds(now().since(began).get()));
}

/// An ownership has ended.
pub(crate) fn ownership_ended() {
    counter!("vanillafold_ownerships_ended_total").increment(1);
}

/// A dependency does not answer any more.
pub(crate) fn dependency_lost(name: &'static str) {
    counter!("vanillafold_dependency_losses_total", "dependency" => name).increment(1);
}

/// An append was answered, or given up.
pub(crate) fn append(outcome: &'static str, began: MonotonicMillis) {
    counter!("vanillafold_appends_total", "outcome" => outcome).increment(1);
    histogram!("vanillafold_append_seconds").record(seconds(now().since(began).get()));
}

/// A look at a worker was answered, or was not.
pub(crate) fn poll(answered: bool) {
    let outcome = match answered {
        true => "answered",
        false => "failed",
    };
    counter!("vanillafold_looks_total", "outcome" => outcome).increment(1);
}

/// An order to a worker was answered, or was not.
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
        OrderAnswer::Accepted { .. } => "accepted",
        OrderAnswer::Unknown => "unanswered",
        OrderAnswer::NotSent => "not_sent",
        OrderAnswer::Fenced => "fenced",
        _ => "rejected",
    };
    counter!("vanillafold_orders_total", "kind" => kind, "outcome" => outcome).increment(1);
    histogram!("vanillafold_order_seconds").record(seconds(now().since(sent_at).get()));
}

/// An order about a machine was answered, or was not.
pub(crate) fn vm_operation(accepted: bool) {
    let outcome = match accepted {
        true => "accepted",
        false => "failed",
    };
    counter!("vanillafold_machine_orders_total", "outcome" => outcome).increment(1);
}
