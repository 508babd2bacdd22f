//! The metrics of the request path, and the count of failures outside it. Handles are looked up
//! once where the labels are known beforehand.

use metrics::{Counter, Gauge, Histogram, counter, gauge, histogram};
use vanillafold_types::ResultCode;

/// Handles of the daemon's metrics.
#[derive(Clone)]
pub(crate) struct Counters {
    /// One counter for each of [`ResultCode::ALL`], in that order.
    results: Vec<Counter>,
    /// Accepted caller connections.
    pub(crate) connections_accepted: Counter,
    /// Caller connections that are open.
    pub(crate) connections_open: Gauge,
    /// Sends to targets, including retries.
    pub(crate) sends: Counter,
    /// Answers that broke off after their head was sent to the caller.
    pub(crate) answers_cut: Counter,
    /// Requests whose caller disconnected before the whole answer was sent.
    pub(crate) callers_gone: Counter,
    /// Sends that ended without a whole answer and may still be running at their target.
    pub(crate) lingering: Gauge,
    /// Availability zones that are evacuated.
    pub(crate) evacuated_zones: Gauge,
    /// The time from a request's head to the end of its answer, in seconds.
    pub(crate) answer_seconds: Histogram,
}

impl Counters {
    /// Registers the metrics with the installed recorder.
    #[must_use]
    pub(crate) fn register() -> Self {
        let results = ResultCode::ALL
            .iter()
            .map(|code| {
                counter!(
                    "vanillafold_results_total",
                    "code" => code.number().to_string(),
                    "result" => code.label(),
                    "outcome" => code.outcome().as_str()
                )
            })
            .collect();
        Self {
            results,
            connections_accepted: counter!("vanillafold_connections_accepted_total"),
            connections_open: gauge!("vanillafold_connections_open"),
            sends: counter!("vanillafold_sends_total"),
            answers_cut: counter!("vanillafold_answers_cut_total"),
            callers_gone: counter!("vanillafold_callers_gone_total"),
            lingering: gauge!("vanillafold_lingering"),
            evacuated_zones: gauge!("vanillafold_evacuated_zones"),
            answer_seconds: histogram!("vanillafold_answer_seconds"),
        }
    }

    /// Counts a request that ended with `code`.
    pub(crate) fn count_result(&self, code: ResultCode) {
        if let Ok(index) = ResultCode::ALL.binary_search(&code) {
            self.results[index].increment(1);
        }
    }

    /// Counts a retry for `reason`.
    pub(crate) fn count_retry(&self, reason: &'static str) {
        counter!("vanillafold_retries_total", "reason" => reason).increment(1);
    }

    /// Counts a retry that was not made, because of `reason`.
    pub(crate) fn count_retry_refused(&self, reason: &'static str) {
        counter!("vanillafold_retries_refused_total", "reason" => reason).increment(1);
    }

    /// Counts an attempt that found no usable unit of the team's limit, because of `reason`.
    pub(crate) fn count_no_unit(&self, reason: &'static str) {
        counter!("vanillafold_no_unit_total", "reason" => reason).increment(1);
    }

    /// Counts a failure outside the request path, for example of reading the log; `what` names it.
    pub(crate) fn count_control_failure(&self, what: &'static str) {
        counter!("vanillafold_control_failures_total", "what" => what).increment(1);
    }
}
