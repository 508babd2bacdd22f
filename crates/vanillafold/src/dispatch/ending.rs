//! How an attempt ends: answered, refused, lost or given up on, and what becomes of its unit,
//! slot and connection.

use monoio::time::{sleep, timeout_at};
use vanillafold_policy::{AttemptFailure, FailureKind, NotRunReason, RetryDecision, SendOutcome};
use vanillafold_types::Slots;
use vanillafold_wire::http::HttpWriter;

use super::dispatcher::{Attempt, Delivered, Dispatch, Flight, answer_head};
use super::exchange::{self, AnswerHead, RelayFault};
use super::linger::linger;

impl Dispatch<'_> {
    /// Passes the answer on, unless it is a fault of the target that a retry may mend.
    pub(super) async fn pass_on(
        &mut self,
        mut flight: Flight,
        answer: AnswerHead,
        writer: &mut HttpWriter,
    ) -> Attempt {
        if answer.is_server_error() {
            match self.decide(AttemptFailure::ServerError) {
                RetryDecision::Retry { after_ms, .. } => {
                    self.server_error(flight);
                    sleep(after_ms.duration()).await;
                    return Attempt::Again;
                }
                RetryDecision::PassAnswer { .. } | RetryDecision::GiveUp { .. } => {}
            }
        }
        let headers = answer_head(self.node, self.request, &answer);
        let mut passed_on = false;
        let relaying = exchange::relay(
            &mut flight.connection.incoming,
            &answer,
            &headers,
            writer,
            &mut passed_on,
        );
        match timeout_at(self.request.deadline, relaying).await {
            Ok(relayed) => {
                if relayed == Err(RelayFault::Target) && !passed_on {
                    writer.buffer().clear();
                }
                self.relayed(flight, &answer, relayed, passed_on)
            }
            Err(_) if passed_on => {
                self.give_up(flight, FailureKind::Timeout);
                Attempt::Over(Delivered::Cut)
            }
            Err(_) => {
                writer.buffer().clear();
                self.timed_out(flight)
            }
        }
    }

    pub(super) fn relayed(
        &mut self,
        flight: Flight,
        answer: &AnswerHead,
        relayed: Result<(), RelayFault>,
        passed_on: bool,
    ) -> Attempt {
        match relayed {
            Ok(()) => {
                self.answered(flight, answer);
                Attempt::Over(Delivered::Whole { body_read: true })
            }
            Err(RelayFault::Target) if !passed_on => self.lost(flight, AttemptFailure::Lost),
            Err(RelayFault::Target) => {
                self.give_up(flight, FailureKind::Lost);
                Attempt::Over(Delivered::Cut)
            }
            Err(RelayFault::Caller) => {
                let Flight {
                    connection, unit, ..
                } = flight;
                linger(self.node, connection, unit, self.request);
                Attempt::Over(Delivered::CallerGone)
            }
        }
    }

    pub(super) fn answered(&self, flight: Flight, answer: &AnswerHead) {
        let Flight {
            connection,
            slot,
            written,
            ..
        } = flight;
        let waited_ms = slot.waited_ms();
        let finish = match answer.is_server_error() {
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
        slot.finish(self.node.now(), finish);
    }

    /// The answer was a fault of the target and another target is tried.
    pub(super) fn server_error(&mut self, flight: Flight) {
        self.failed_at.extend(flight.slot.vm().cloned());
        self.give_up(flight, FailureKind::ServerError);
    }

    pub(super) fn not_run(
        &mut self,
        flight: Flight,
        reason: NotRunReason,
        load: Option<Slots>,
    ) -> Attempt {
        let Flight {
            connection,
            slot,
            written,
            ..
        } = flight;
        self.failed_at.extend(slot.vm().cloned());
        if written {
            self.request.queue.pool.return_connection(connection);
        }
        // A non-idempotent request is sent again only if no earlier send may have run, so that
        // this word of the target's is about all of them.
        if let Some(claim) = &self.claim {
            claim.note_not_run();
        }
        slot.finish(self.node.now(), SendOutcome::NotRun { reason, load });
        Attempt::Failed(AttemptFailure::NotRun(reason))
    }

    /// The connection broke or spoke nonsense: the work may go on unseen until its deadline.
    pub(super) fn lost(&mut self, flight: Flight, failure: AttemptFailure) -> Attempt {
        let Flight { unit, slot, .. } = flight;
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
        Attempt::Failed(failure)
    }

    pub(super) fn timed_out(&mut self, flight: Flight) -> Attempt {
        self.failed_at.extend(flight.slot.vm().cloned());
        self.give_up(flight, FailureKind::Timeout);
        Attempt::Failed(AttemptFailure::Timeout)
    }

    /// Stops waiting for a target that may still be at work.
    pub(super) fn give_up(&self, flight: Flight, kind: FailureKind) {
        let Flight {
            connection,
            unit,
            slot,
            ..
        } = flight;
        let waited_ms = slot.waited_ms();
        slot.finish(self.node.now(), SendOutcome::Failed { kind, waited_ms });
        linger(self.node, connection, unit, self.request);
    }
}
