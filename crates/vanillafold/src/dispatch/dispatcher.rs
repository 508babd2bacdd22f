//! The attempts of one request.

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

use super::exchange::{self, AnswerHead, Received, RelayFault, UploadFault, UploadLimits};
use super::header::{self, PassedHeaders};
use super::linger::linger;
use super::permit::{NoPermit, Permit, acquire};
use crate::caller::{CallerRequest, PreparedBody, answer_headers};
use crate::claim::{self, ClaimGuard, NoClaim};
use crate::node::{ConnectError, Node, Slot, TargetConnection, TeamUnit};

/// How long a target that stopped taking a body may take to say why.
const REFUSAL_GRACE: Duration = Duration::from_millis(200);

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Delivered {
    /// The whole answer was passed on.
    Whole {
        /// Whether the request's body was read to its end.
        body_read: bool,
    },
    /// The answer was cut short after a part of it was passed on.
    Cut,
    /// The caller went away.
    CallerGone,
    /// The caller is to be refused.
    Refused {
        /// Why.
        code: ResultCode,
        /// Whether the request's body was read to its end.
        body_read: bool,
    },
}

/// The attempts of one request.
pub(crate) struct Dispatch<'a> {
    pub(super) node: &'a Rc<Node>,
    pub(super) request: &'a CallerRequest,
    pub(super) body: PreparedBody,
    pub(super) attempts: RequestAttempts,
    pub(super) failed_at: Vec<VmId>,
    pub(super) first_sent: bool,
    pub(super) claim: Option<ClaimGuard>,
}

/// A send that is under way.
pub(super) struct Flight {
    pub(super) connection: TargetConnection,
    pub(super) unit: Option<TeamUnit>,
    pub(super) slot: Slot,
    /// Whether the request was written to its end, so that another may follow it.
    pub(super) written: bool,
}

/// How an attempt ended.
pub(super) enum Attempt {
    /// The request is over.
    Over(Delivered),
    /// It failed; what follows is to be decided.
    Failed(AttemptFailure),
    /// It failed and another one follows.
    Again,
}

/// How a streamed send ended, its deadline aside.
enum Streamed {
    /// The target answered, or its connection failed.
    Answered(Result<(Received, Result<(), RelayFault>), AttemptFailure>),
    /// The caller's body broke off.
    BodyBrokeOff,
}

impl<'a> Dispatch<'a> {
    pub(crate) fn new(node: &'a Rc<Node>, request: &'a CallerRequest, body: PreparedBody) -> Self {
        let terms = RequestProperties {
            idempotent: request.idempotent,
            body_replayable: body.is_replayable(),
        };
        Self {
            node,
            request,
            body,
            attempts: RequestAttempts::new(terms),
            failed_at: Vec::new(),
            first_sent: false,
            claim: None,
        }
    }

    /// Sends the request until it is answered, refused or given up.
    pub(crate) async fn run(
        mut self,
        reader: &mut HttpReader,
        writer: &mut HttpWriter,
    ) -> Delivered {
        if self.request.needs_claim() {
            match claim::acquire(self.node, self.request).await {
                Ok(claim) => self.claim = Some(claim),
                Err(NoClaim::Taken) => return self.refused(ResultCode::DuplicateRequest),
                Err(NoClaim::Unavailable) => return self.refused(ResultCode::ClaimUnavailable),
            }
        }
        loop {
            let permit = acquire(self.node, self.request, &mut self.failed_at, reader).await;
            let attempt = match permit {
                Ok(permit) => self.attempt(permit, reader, writer).await,
                Err(NoPermit::CallerGone) => return Delivered::CallerGone,
                Err(NoPermit::Refused(code)) => {
                    return self.refused(self.attempts.refusal_code(code));
                }
            };
            match attempt {
                Attempt::Over(delivered) => return delivered,
                Attempt::Again => {}
                Attempt::Failed(failure) => match self.decide(failure) {
                    RetryDecision::Retry { after_ms, .. } => sleep(after_ms.duration()).await,
                    RetryDecision::GiveUp { code, .. } => return self.refused(code),
                    // Only whole answers are passed on, and those are decided on in `pass_on`.
                    RetryDecision::PassAnswer { .. } => {
                        return self
                            .refused(self.attempts.refusal_code(ResultCode::ConnectionLost));
                    }
                },
            }
        }
    }

    pub(super) fn refused(&self, code: ResultCode) -> Delivered {
        Delivered::Refused {
            code,
            body_read: self.body.is_read(),
        }
    }

    pub(super) fn decide(&mut self, failure: AttemptFailure) -> RetryDecision {
        let remaining = self.request.remaining().into();
        let now = self.node.now();
        let mut budget = self.request.queue.retry_budget.borrow_mut();
        let mut rng = self.node.rng.borrow_mut();
        let decision =
            self.attempts
                .attempt_failed(failure, remaining, now, &mut *budget, &mut rng);
        match decision {
            RetryDecision::Retry { reason, .. } => self.node.counters.retry(reason.label()),
            RetryDecision::PassAnswer { reason } | RetryDecision::GiveUp { reason, .. } => {
                self.node.counters.retry_refused(reason.label());
            }
        }
        decision
    }

    // --- One attempt -----------------------------------------------------------------------

    async fn attempt(
        &mut self,
        permit: Permit,
        reader: &mut HttpReader,
        writer: &mut HttpWriter,
    ) -> Attempt {
        let Permit { mut unit, slot } = permit;
        let connection = match self.connect(&slot).await {
            Ok(connection) => connection,
            Err(failure) => return self.not_sent(slot, failure),
        };
        if !slot.takes_work() {
            return self.not_sent(slot, AttemptFailure::NotRun(NotRunReason::Leaving));
        }
        // A daemon that was frozen in the meantime must not send what its caller has given up.
        if self.request.remaining().is_zero() {
            let code = self.attempts.refusal_code(ResultCode::DeadlineBeforeStart);
            return Attempt::Over(self.refused(code));
        }
        // The key may have been withdrawn while the request waited.
        if let Err(code) = self.request.reauthorize(self.node) {
            return Attempt::Over(self.refused(self.attempts.refusal_code(code)));
        }
        // So may the right to the unit have been lost.
        if let Some(Err(reason)) = unit.as_mut().map(TeamUnit::renew) {
            self.node.counters.no_unit(reason.label());
            self.request.queue.pool.return_connection(connection);
            return Attempt::Again;
        }
        if !std::mem::replace(&mut self.first_sent, true) {
            let now = self.node.now();
            self.request.queue.retry_budget.borrow_mut().first_sent(now);
        }
        if let Some(claim) = &self.claim {
            claim.note_sent();
        }
        self.node.counters.sends.increment(1);
        let flight = Flight {
            connection,
            unit,
            slot,
            written: false,
        };
        match self.body.take() {
            PreparedBody::Whole(body) => self.send_whole(flight, body, writer).await,
            PreparedBody::Streamed { start, rest } => {
                let streaming = self.send_streamed(flight, start, rest, reader, writer);
                streaming.await
            }
            PreparedBody::Spent { .. } => {
                let code = self.attempts.refusal_code(ResultCode::SendFailed);
                Attempt::Over(self.refused(code))
            }
        }
    }

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

    /// Ends an attempt of which no byte was written.
    fn not_sent(&mut self, slot: Slot, failure: AttemptFailure) -> Attempt {
        self.failed_at.extend(slot.vm().cloned());
        let finish = match failure {
            AttemptFailure::NotRun(reason) => SendOutcome::NotRun { reason, load: None },
            _ => SendOutcome::Failed {
                kind: FailureKind::Connect,
                waited_ms: slot.waited_ms(),
            },
        };
        slot.finish(self.node.now(), finish);
        Attempt::Failed(failure)
    }

    async fn send_whole(
        &mut self,
        mut flight: Flight,
        body: Bytes,
        writer: &mut HttpWriter,
    ) -> Attempt {
        let request = self.request;
        let framing = self.body.framing(request.framing);
        let headers = header::to_target(request, self.attempts.next_number());
        let sending = async {
            let TargetConnection {
                incoming, writer, ..
            } = &mut flight.connection;
            let (method, path) = (&request.method, &request.path);
            exchange::send_whole(writer, method, path, &headers, body, framing)
                .await
                .map_err(|_| AttemptFailure::Lost)?;
            exchange::receive(incoming, method).await
        };
        let sent = timeout_at(request.deadline, sending).await;
        // An answer is only read once the request has been written.
        flight.written = matches!(sent, Ok(Ok(_)));
        match sent {
            Ok(Ok(Received::Head(answer))) => self.pass_on(flight, answer, writer).await,
            Ok(Ok(Received::NotRun { reason, load })) => self.not_run(flight, reason, load),
            Ok(Err(failure)) => self.lost(flight, failure),
            Err(_) => self.timed_out(flight),
        }
    }

    async fn send_streamed(
        &mut self,
        mut flight: Flight,
        start: Bytes,
        mut rest: BodyReader,
        reader: &mut HttpReader,
        writer: &mut HttpWriter,
    ) -> Attempt {
        let request = self.request;
        let framing = request.framing;
        let headers = header::to_target(request, self.attempts.next_number());
        let limits = UploadLimits {
            piece: self.node.settings.timeouts.body_ms.duration(),
            max_body: request.queue.settings.max_body,
        };
        let node = self.node;
        let mut passed_on = false;
        let mut written = false;
        let TargetConnection {
            incoming,
            writer: to_target,
            ..
        } = &mut flight.connection;
        let streaming = async {
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
                let Received::Head(answer) = &received else {
                    return Ok((received, Ok(())));
                };
                let headers = answer_head(node, request, answer);
                let relayed =
                    exchange::relay(incoming, answer, &headers, writer, &mut passed_on).await;
                Ok((received, relayed))
            });
            let uploaded = monoio::select! {
                uploaded = &mut uploading => uploaded,
                downloaded = &mut downloading => return Streamed::Answered(downloaded),
            };
            match uploaded {
                Ok(()) => {
                    written = true;
                    Streamed::Answered(downloading.await)
                }
                Err(UploadFault::Caller) => Streamed::BodyBrokeOff,
                Err(UploadFault::Target) => match timeout(REFUSAL_GRACE, downloading).await {
                    Ok(downloaded) => Streamed::Answered(downloaded),
                    Err(_) => Streamed::Answered(Err(AttemptFailure::Lost)),
                },
            }
        };
        let streamed = timeout_at(request.deadline, streaming).await;
        if !passed_on {
            // The head of an answer that came no further must not precede a refusal.
            writer.buffer().clear();
        }
        flight.written = written;
        let body_read = rest.is_done();
        self.body = PreparedBody::Spent { read: body_read };
        match streamed {
            Ok(Streamed::Answered(Ok((Received::NotRun { reason, load }, _)))) => {
                self.not_run(flight, reason, load)
            }
            Ok(Streamed::Answered(Ok((Received::Head(answer), relayed)))) => {
                let delivered = self.relayed(flight, &answer, relayed, passed_on);
                match delivered {
                    Attempt::Over(Delivered::Whole { .. }) => {
                        Attempt::Over(Delivered::Whole { body_read })
                    }
                    other => other,
                }
            }
            Ok(Streamed::Answered(Err(failure))) if !passed_on => self.lost(flight, failure),
            Ok(Streamed::BodyBrokeOff) if !passed_on => {
                let Flight {
                    connection, unit, ..
                } = flight;
                linger(self.node, connection, unit, request);
                Attempt::Over(self.refused(ResultCode::BodyBrokeOff))
            }
            Err(_) if !passed_on => self.timed_out(flight),
            Ok(_) | Err(_) => {
                let Flight {
                    connection, unit, ..
                } = flight;
                linger(self.node, connection, unit, request);
                Attempt::Over(Delivered::Cut)
            }
        }
    }
}

/// The headers with which an answer is passed on.
pub(super) fn answer_head<'a>(
    node: &Node,
    request: &CallerRequest,
    answer: &'a AnswerHead,
) -> PassedHeaders<'a> {
    let mut headers = header::to_caller(&answer.head.headers);
    for (name, value) in
        answer_headers(Some(&request.id), ResultCode::Answered, &node.daemon_header)
    {
        headers.push(name, value);
    }
    if node.draining.is_ordered() || request.asks_to_close() {
        headers.push(CONNECTION, HeaderValue::from_static("close"));
    }
    headers
}
