//! Ends an attempt: relays the answer or records the failure, and releases the attempt's unit, slot
//! and connection.

use monoio::time::{sleep, timeout_at};
use vanillafold_policy::{AttemptFailure, FailureKind, NotRunReason, RetryDecision, SendOutcome};
use vanillafold_types::Slots;
use vanillafold_wire::http::HttpWriter;

use super::dispatcher::{ActiveSend, AttemptResult, Dispatch, DispatchOutcome, relay_headers};
use super::exchange::{self, AnswerHead, RelayError};
use super::linger::linger;

impl Dispatch<'_> {
    /// Relays the answer to the caller, unless it is a server error and a retry is allowed.
    pub(super) async fn relay_answer(
        &mut self,
        mut send: ActiveSend,
        answer: AnswerHead,
        writer: &mut HttpWriter,
    ) -> AttemptResult {
        if answer.is_server_error() {
            match self.decide_retry(AttemptFailure::ServerError) {
                RetryDecision::Retry { after_ms, .. } => {
                    self.finish_server_error(send);
                    sleep(after_ms.duration()).await;
                    return AttemptResult::Retry;
                }
                RetryDecision::PassAnswer { .. } | RetryDecision::GiveUp { .. } => {}
            }
        }
        let headers = relay_headers(self.node, self.request, &answer);
        let mut relay_started = false;
        let relaying = exchange::relay(
            &mut send.connection.incoming,
            &answer,
            &headers,
            writer,
            &mut relay_started,
        );
        match timeout_at(self.request.deadline, relaying).await {
            Ok(relayed) => {
                if relayed == Err(RelayError::Target) && !relay_started {
                    writer.buffer().clear();
                }
                self.finish_relay(send, &answer, relayed, relay_started)
            }
            Err(_) if relay_started => {
                self.finish_lingering(send, FailureKind::Timeout);
                AttemptResult::Finished(DispatchOutcome::Truncated)
            }
            Err(_) => {
                writer.buffer().clear();
                self.finish_timed_out(send)
            }
        }
    }

    /// Ends an attempt whose answer was relayed, wholly or in part.
    pub(super) fn finish_relay(
        &mut self,
        send: ActiveSend,
        answer: &AnswerHead,
        relayed: Result<(), RelayError>,
        relay_started: bool,
    ) -> AttemptResult {
        match relayed {
            Ok(()) => {
                self.finish_answered(send, answer);
                AttemptResult::Finished(DispatchOutcome::Answered { body_read: true })
            }
            Err(RelayError::Target) if !relay_started => {
                self.finish_lost(send, AttemptFailure::Lost)
            }
            Err(RelayError::Target) => {
                self.finish_lingering(send, FailureKind::Lost);
                AttemptResult::Finished(DispatchOutcome::Truncated)
            }
            Err(RelayError::Caller) => {
                let ActiveSend {
                    connection, unit, ..
                } = send;
                linger(self.node, connection, unit, self.request);
                AttemptResult::Finished(DispatchOutcome::CallerGone)
            }
        }
    }

    /// Ends an attempt whose answer was relayed to its end.
    pub(super) fn finish_answered(&self, send: ActiveSend, answer: &AnswerHead) {
        let ActiveSend {
            connection,
            slot,
            written,
            ..
        } = send;
        let waited_ms = slot.waited_ms();
        let outcome = match answer.is_server_error() {
            true => SendOutcome::Failed {
                kind: FailureKind::ServerError,
                waited_ms,
            },
            false => SendOutcome::Answered {
                latency_ms: waited_ms,
                load: answer.load,
            },
        };
        if written && answer.keeps_connection() {
            self.request.queue.pool.return_connection(connection);
        }
        slot.finish(self.node.now(), outcome);
    }

    /// Ends an attempt whose answer was a server error, before a retry at another target.
    pub(super) fn finish_server_error(&mut self, send: ActiveSend) {
        self.failed_at.extend(send.slot.vm().cloned());
        self.finish_lingering(send, FailureKind::ServerError);
    }

    /// Ends an attempt of which the target reported that the work did not start.
    pub(super) fn finish_not_run(
        &mut self,
        send: ActiveSend,
        reason: NotRunReason,
        load: Option<Slots>,
    ) -> AttemptResult {
        let ActiveSend {
            connection,
            slot,
            written,
            ..
        } = send;
        self.failed_at.extend(slot.vm().cloned());
        if written {
            self.request.queue.pool.return_connection(connection);
        }
        // A non-idempotent request is sent again only if no earlier send can have run. So once this
        // target reports that the request did not run, no send has run.
        if let Some(claim) = &self.claim {
            claim.mark_not_run();
        }
        slot.finish(self.node.now(), SendOutcome::NotRun { reason, load });
        AttemptResult::Failed(AttemptFailure::NotRun(reason))
    }

    /// Ends an attempt whose connection broke or delivered a malformed answer. The target may go on
    /// with the work until the deadline, so the unit stays in use until then and the linger time.
    pub(super) fn finish_lost(
        &mut self,
        send: ActiveSend,
        failure: AttemptFailure,
    ) -> AttemptResult {
        let ActiveSend { unit, slot, .. } = send;
        self.failed_at.extend(slot.vm().cloned());
        let kind = match failure {
            AttemptFailure::Malformed => FailureKind::Malformed,
            _ => FailureKind::Lost,
        };
        let waited_ms = slot.waited_ms();
        slot.finish(self.node.now(), SendOutcome::Failed { kind, waited_ms });
        if let Some(unit) = unit {
            let linger = self.node.settings.timeouts.linger_ms.duration();
            unit.release_after(self.request.remaining() + linger);
        }
        AttemptResult::Failed(failure)
    }

    /// Ends an attempt whose answer did not arrive before the deadline.
    pub(super) fn finish_timed_out(&mut self, send: ActiveSend) -> AttemptResult {
        self.failed_at.extend(send.slot.vm().cloned());
        self.finish_lingering(send, FailureKind::Timeout);
        AttemptResult::Failed(AttemptFailure::Timeout)
    }

    /// Ends an attempt whose target may still be working on it: its unit stays in use until the
    /// target answers or the linger time is over.
    pub(super) fn finish_lingering(&self, send: ActiveSend, kind: FailureKind) {
        let ActiveSend {
            connection,
            unit,
            slot,
            ..
        } = send;
        let waited_ms = slot.waited_ms();
        slot.finish(self.node.now(), SendOutcome::Failed { kind, waited_ms });
        linger(self.node, connection, unit, self.request);
    }
}
