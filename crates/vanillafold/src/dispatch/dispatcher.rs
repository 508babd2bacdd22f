//! Runs the attempts of one request until it is answered or refused, or its caller is gone.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use monoio::time::{sleep, timeout, timeout_at};
use vanillafold_policy::{
    AttemptFailure, FailureKind, NotRunReason, RequestAttempts, RequestProperties, RetryAllowance,
    RetryDecision, SendOutcome,
};
use vanillafold_types::{ResultCode, VmId};
use vanillafold_wire::http::{BodyReader, HttpReader, HttpWriter, encode_request_head};

use super::exchange::{self, AnswerHead, ReceivedHead, RelayError, UploadError, UploadLimits};
use super::header::{self, ForwardedHeaders};
use super::linger::linger;
use super::permit::{Permit, PermitError, acquire_permit};
use crate::caller::{CallerRequest, PreparedBody, answer_headers};
use crate::claim::{self, ClaimError, ClaimGuard};
use crate::node::{ConnectError, Node, Slot, TargetConnection, TeamUnit};

/// How long to wait for a target's answer after writing the body to it failed: the target may have
/// refused the request early.
const EARLY_ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DispatchOutcome {
    /// The whole answer was sent to the caller.
    Answered {
        /// Whether the request's body was read to its end.
        body_read: bool,
    },
    /// The answer broke off after a part of it was sent to the caller.
    Truncated,
    /// The caller's connection was closed or broke.
    CallerGone,
    /// Nothing was sent to the caller; its connection answers with a refusal.
    Refused {
        /// The reason for the refusal.
        code: ResultCode,
        /// Whether the request's body was read to its end.
        body_read: bool,
    },
}

/// A request that is being sent, and the state of its attempts.
pub(crate) struct Dispatch<'a> {
    pub(super) node: &'a Rc<Node>,
    pub(super) request: &'a CallerRequest,
    pub(super) body: PreparedBody,
    pub(super) attempts: RequestAttempts,
    /// Targets at which an attempt failed; retries avoid them while there are others.
    pub(super) failed_at: Vec<VmId>,
    /// Whether the first send was counted in the queue's retry budget.
    pub(super) first_sent: bool,
    /// The claim on the request's id; `None` if the request needs none.
    pub(super) claim: Option<ClaimGuard>,
}

/// A send in progress and the resources that it holds.
pub(super) struct ActiveSend {
    pub(super) connection: TargetConnection,
    /// The unit of the team's limit; `None` on an open queue without a key.
    pub(super) unit: Option<TeamUnit>,
    pub(super) slot: Slot,
    /// Whether the whole request was written and no refusal ended the connection, so that it can be
    /// reused if the answer allows it.
    pub(super) written: bool,
}

/// How an attempt ended.
pub(super) enum AttemptResult {
    /// The request has ended.
    Finished(DispatchOutcome),
    /// The attempt failed; whether to retry is not decided yet.
    Failed(AttemptFailure),
    /// The attempt failed and, as already decided, another one follows.
    Retry,
}

/// How a send with a streamed body ended, unless its deadline passed.
enum StreamResult {
    /// The head received from the target and the result of relaying its answer, or why no head was
    /// received.
    Received(Result<(ReceivedHead, Result<(), RelayError>), AttemptFailure>),
    /// The caller's body broke off or was too large.
    BodyBrokeOff,
}

impl<'a> Dispatch<'a> {
    pub(crate) fn new(node: &'a Rc<Node>, request: &'a CallerRequest, body: PreparedBody) -> Self {
        let properties = RequestProperties {
            idempotent: request.idempotent,
            body_replayable: body.is_replayable(),
        };
        Self {
            node,
            request,
            body,
            attempts: RequestAttempts::new(properties),
            failed_at: Vec::new(),
            first_sent: false,
            claim: None,
        }
    }

    /// Claims the request's id if needed, then sends the request until it is answered or refused,
    /// or its caller is gone.
    pub(crate) async fn run(
        mut self,
        reader: &mut HttpReader,
        writer: &mut HttpWriter,
    ) -> DispatchOutcome {
        if self.request.needs_claim() {
            match claim::acquire(self.node, self.request).await {
                Ok(claim) => self.claim = Some(claim),
                Err(ClaimError::Taken) => return self.refusal(ResultCode::DuplicateRequest),
                Err(ClaimError::Unavailable) => return self.refusal(ResultCode::ClaimUnavailable),
            }
        }
        loop {
            let permit = acquire_permit(self.node, self.request, &mut self.failed_at, reader).await;
            let attempt = match permit {
                Ok(permit) => self.attempt(permit, reader, writer).await,
                Err(PermitError::CallerGone) => return DispatchOutcome::CallerGone,
                Err(PermitError::Refused(code)) => {
                    return self.refusal(self.attempts.refusal_code(code));
                }
            };
            match attempt {
                AttemptResult::Finished(outcome) => return outcome,
                AttemptResult::Retry => {}
                AttemptResult::Failed(failure) => match self.decide_retry(failure) {
                    RetryDecision::Retry { after_ms, .. } => sleep(after_ms.duration()).await,
                    RetryDecision::GiveUp { code, .. } => return self.refusal(code),
                    // Not reached: the policy passes on only server errors, and `relay_answer`
                    // decides about those.
                    RetryDecision::PassAnswer { .. } => {
                        return self
                            .refusal(self.attempts.refusal_code(ResultCode::ConnectionLost));
                    }
                },
            }
        }
    }

    pub(super) fn refusal(&self, code: ResultCode) -> DispatchOutcome {
        DispatchOutcome::Refused {
            code,
            body_read: self.body.is_fully_read(),
        }
    }

    /// Decides whether to retry after `failure` and counts the decision.
    pub(super) fn decide_retry(&mut self, failure: AttemptFailure) -> RetryDecision {
        let remaining = self.request.remaining().into();
        let now = self.node.now();
        let mut budget = self.request.queue.retry_budget.borrow_mut();
        let mut rng = self.node.rng.borrow_mut();
        let decision =
            self.attempts
                .attempt_failed(failure, remaining, now, &mut *budget, &mut rng);
        match decision {
            RetryDecision::Retry { reason, .. } => self.node.counters.count_retry(reason.label()),
            RetryDecision::PassAnswer { reason } | RetryDecision::GiveUp { reason, .. } => {
                self.node.counters.count_retry_refused(reason.label());
            }
        }
        decision
    }

    // --- One attempt -----------------------------------------------------------------------

    /// Makes one attempt with the unit and slot of `permit`.
    async fn attempt(
        &mut self,
        permit: Permit,
        reader: &mut HttpReader,
        writer: &mut HttpWriter,
    ) -> AttemptResult {
        let Permit { mut unit, slot } = permit;
        let connection = match self.connect(&slot).await {
            Ok(connection) => connection,
            Err(failure) => return self.finish_unsent(slot, failure),
        };
        if !slot.takes_work() {
            return self.finish_unsent(slot, AttemptFailure::NotRun(NotRunReason::Leaving));
        }
        // If this process was suspended meanwhile, the caller may have given up: nothing may be
        // sent after the deadline.
        if self.request.remaining().is_zero() {
            let code = self.attempts.refusal_code(ResultCode::DeadlineBeforeStart);
            return AttemptResult::Finished(self.refusal(code));
        }
        // A repeat of the request may have claimed the id once this claim was forgotten.
        if self
            .claim
            .as_ref()
            .is_some_and(|claim| !claim.is_in_force())
        {
            let code = self.attempts.refusal_code(ResultCode::DeadlineBeforeStart);
            return AttemptResult::Finished(self.refusal(code));
        }
        // The team's key may have been withdrawn while the request waited.
        if let Err(code) = self.request.reauthorize(self.node) {
            return AttemptResult::Finished(self.refusal(self.attempts.refusal_code(code)));
        }
        // The right to use the unit may have expired meanwhile.
        if let Some(Err(reason)) = unit.as_mut().map(TeamUnit::renew) {
            self.node.counters.count_no_unit(reason.label());
            self.request.queue.pool.return_connection(connection);
            return AttemptResult::Retry;
        }
        if !std::mem::replace(&mut self.first_sent, true) {
            let now = self.node.now();
            self.request.queue.retry_budget.borrow_mut().first_sent(now);
        }
        if let Some(claim) = &self.claim {
            claim.mark_sent();
        }
        self.node.counters.sends.increment(1);
        let send = ActiveSend {
            connection,
            unit,
            slot,
            written: false,
        };
        match self.body.take() {
            PreparedBody::Buffered(body) => self.send_buffered(send, body, writer).await,
            PreparedBody::Streamed { start, rest } => {
                let sending = self.send_streamed(send, start, rest, reader, writer);
                sending.await
            }
            PreparedBody::Consumed { .. } => {
                let code = self.attempts.refusal_code(ResultCode::SendFailed);
                AttemptResult::Finished(self.refusal(code))
            }
        }
    }

    /// Connects to the slot's target. A non-idempotent request reuses an idle connection only if
    /// the target has proved that it is alive within the last `proof_ms`.
    async fn connect(&self, slot: &Slot) -> Result<TargetConnection, AttemptFailure> {
        let timeouts = &self.node.settings.timeouts;
        let proof_age = match self.request.idempotent {
            true => None,
            false => Some(timeouts.proof_ms.duration()),
        };
        let limit = timeouts.connect_ms.duration().min(self.request.remaining());
        let connecting = self.request.queue.pool.connect(slot, proof_age, limit);
        connecting.await.map_err(|error| match error {
            ConnectError::ShareInUse => AttemptFailure::NotRun(NotRunReason::Busy),
            ConnectError::Refused => AttemptFailure::Connect,
        })
    }

    /// Ends an attempt that failed before any byte was written to the target.
    fn finish_unsent(&mut self, slot: Slot, failure: AttemptFailure) -> AttemptResult {
        self.failed_at.extend(slot.vm().cloned());
        let outcome = match failure {
            // That the target takes no work is known from its zone, the list or its own report.
            AttemptFailure::NotRun(NotRunReason::Leaving) => SendOutcome::Unsent,
            AttemptFailure::NotRun(reason) => SendOutcome::NotRun { reason, load: None },
            _ => SendOutcome::Failed {
                kind: FailureKind::Connect,
                waited_ms: slot.waited_ms(),
            },
        };
        slot.finish(self.node.now(), outcome);
        AttemptResult::Failed(failure)
    }

    async fn send_buffered(
        &mut self,
        mut send: ActiveSend,
        body: Bytes,
        writer: &mut HttpWriter,
    ) -> AttemptResult {
        let request = self.request;
        let framing = self.body.framing(request.framing);
        let headers = header::to_target(request, self.attempts.next_number());
        let sending = async {
            let TargetConnection {
                incoming, writer, ..
            } = &mut send.connection;
            let (method, path) = (&request.method, &request.path);
            exchange::send_buffered(writer, method, path, &headers, body, framing)
                .await
                .map_err(|_| AttemptFailure::Lost)?;
            exchange::receive(incoming, method).await
        };
        let sent = timeout_at(request.deadline, sending).await;
        // The answer is read only after the whole request was written.
        send.written = matches!(sent, Ok(Ok(_)));
        match sent {
            Ok(Ok(ReceivedHead::Answer(answer))) => self.relay_answer(send, answer, writer).await,
            Ok(Ok(ReceivedHead::NotRun {
                reason,
                load,
                keeps_connection,
            })) => {
                send.written &= keeps_connection;
                self.finish_not_run(send, reason, load)
            }
            Ok(Err(failure)) => self.finish_lost(send, failure),
            Err(_) => self.finish_timed_out(send),
        }
    }

    async fn send_streamed(
        &mut self,
        mut send: ActiveSend,
        start: Bytes,
        mut rest: BodyReader,
        reader: &mut HttpReader,
        writer: &mut HttpWriter,
    ) -> AttemptResult {
        let request = self.request;
        let framing = request.framing;
        let headers = header::to_target(request, self.attempts.next_number());
        let limits = UploadLimits {
            piece_timeout: self.node.settings.timeouts.body_ms.duration(),
            max_body: request.queue.settings.max_body,
        };
        let node = self.node;
        let mut relay_started = false;
        let mut written = false;
        let TargetConnection {
            incoming,
            writer: to_target,
            ..
        } = &mut send.connection;
        let transfer = async {
            encode_request_head(
                to_target.buffer(),
                &request.method,
                &request.path,
                headers.iter(),
                framing,
            );
            let mut uploading = pin!(exchange::upload(
                to_target, start, &mut rest, reader, framing, limits
            ));
            let mut downloading = pin!(async {
                let received = exchange::receive(incoming, &request.method).await?;
                let ReceivedHead::Answer(answer) = &received else {
                    return Ok((received, Ok(())));
                };
                let headers = relay_headers(node, request, answer);
                let relayed =
                    exchange::relay(incoming, answer, &headers, writer, &mut relay_started).await;
                Ok((received, relayed))
            });
            let uploaded = monoio::select! {
                uploaded = &mut uploading => uploaded,
                downloaded = &mut downloading => return StreamResult::Received(downloaded),
            };
            match uploaded {
                Ok(()) => {
                    written = true;
                    StreamResult::Received(downloading.await)
                }
                Err(UploadError::Caller) => StreamResult::BodyBrokeOff,
                Err(UploadError::Target) => {
                    match timeout(EARLY_ANSWER_TIMEOUT, downloading).await {
                        Ok(downloaded) => StreamResult::Received(downloaded),
                        Err(_) => StreamResult::Received(Err(AttemptFailure::Lost)),
                    }
                }
            }
        };
        let streamed = timeout_at(request.deadline, transfer).await;
        if !relay_started {
            // Discards the buffered head of an answer that broke off, as a refusal may follow.
            writer.buffer().clear();
        }
        send.written = written;
        let body_read = rest.is_done();
        self.body = PreparedBody::Consumed {
            fully_read: body_read,
        };
        match streamed {
            Ok(StreamResult::Received(Ok((
                ReceivedHead::NotRun {
                    reason,
                    load,
                    keeps_connection,
                },
                _,
            )))) => {
                send.written &= keeps_connection;
                self.finish_not_run(send, reason, load)
            }
            Ok(StreamResult::Received(Ok((ReceivedHead::Answer(answer), relayed)))) => {
                let result = self.finish_relay(send, &answer, relayed, relay_started);
                match result {
                    AttemptResult::Finished(DispatchOutcome::Answered { .. }) => {
                        AttemptResult::Finished(DispatchOutcome::Answered { body_read })
                    }
                    other => other,
                }
            }
            Ok(StreamResult::Received(Err(failure))) if !relay_started => {
                self.finish_lost(send, failure)
            }
            Ok(StreamResult::BodyBrokeOff) if !relay_started => {
                let ActiveSend {
                    connection, unit, ..
                } = send;
                linger(self.node, connection, unit, request);
                AttemptResult::Finished(self.refusal(ResultCode::BodyBrokeOff))
            }
            Err(_) if !relay_started => self.finish_timed_out(send),
            Ok(_) | Err(_) => {
                let ActiveSend {
                    connection, unit, ..
                } = send;
                linger(self.node, connection, unit, request);
                AttemptResult::Finished(DispatchOutcome::Truncated)
            }
        }
    }
}

/// Returns the headers with which an answer is sent to the caller.
pub(super) fn relay_headers<'a>(
    node: &Node,
    request: &CallerRequest,
    answer: &'a AnswerHead,
) -> ForwardedHeaders<'a> {
    let mut headers = header::to_caller(&answer.head.headers);
    for (name, value) in
        answer_headers(Some(&request.id), ResultCode::Answered, &node.daemon_header)
    {
        headers.push(name, value);
    }
    if node.draining.is_set() || request.asks_to_close() {
        headers.push(CONNECTION, HeaderValue::from_static("close"));
    }
    headers
}
