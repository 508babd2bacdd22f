//! Forwarding of callers' requests to the owner of the shard, with retries.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::{sleep, timeout};
use vanillafold_policy::MonotonicMillis;
use vanillafold_wire::RpcError;

use super::daemon::FleetDaemon;
use super::message::{FleetAnswer, FleetRequest, OutgoingCall, OwnerTime};
use super::metric;
use super::platform::FleetPlatform;
use super::settings::{OWNER_RETRY_DELAY, OWNER_WAIT_MS, RETRY_AFTER_MS, RPC_TIMEOUT};
use super::time::now;

/// A caller's request while it is being forwarded.
struct Forwarding<'a> {
    request: &'a FleetRequest,
    began: MonotonicMillis,
    /// Time before which the request had not arrived.
    arrived_at: MonotonicMillis,
    /// Attempts to deliver the request, including those that were not sent.
    deliveries: Cell<u32>,
    /// Whether an owner may have received the request.
    sent: Cell<bool>,
}

impl<P: FleetPlatform> FleetDaemon<P> {
    /// Returns the owner's answer to a request; answers it directly if this daemon is the owner.
    /// Unanswered requests are repeated until `limit_ms` have passed, which is safe because the
    /// owner identifies a job by its id.
    ///
    /// A request that does not come from a [`CallerConnection`] counts as one that the daemon was
    /// waiting for.
    ///
    /// Returns [`FleetAnswer::Refused`] for a submission only if the owner has refused its job,
    /// [`FleetAnswer::Undecided`] if the outcome is still unknown when the time is up, and
    /// [`FleetAnswer::Unconfirmed`] if no owner has acted on the request, but may have acted on an
    /// earlier one about the same job.
    ///
    /// [`CallerConnection`]: super::CallerConnection
    pub async fn forward(self: &Rc<Self>, request: &FleetRequest, limit_ms: u64) -> FleetAnswer {
        let arrived_at = self.arrival_clock.borrow().earliest_arrival();
        self.forward_from(arrived_at, request, limit_ms).await
    }

    /// Forwards a request that had not arrived before `arrived_at`.
    pub(super) async fn forward_from(
        self: &Rc<Self>,
        arrived_at: MonotonicMillis,
        request: &FleetRequest,
        limit_ms: u64,
    ) -> FleetAnswer {
        let forwarding = Forwarding {
            request,
            began: now(),
            arrived_at,
            deliveries: Cell::new(0),
            sent: Cell::new(false),
        };
        let answered = self.forward_until(&forwarding, limit_ms);
        let answer = match self.exiting.run_until_set(answered).await {
            Some(answer) => answer,
            None => forwarding.unanswered("the daemon exits"),
        };
        forwarding.log_repetitions(&answer);
        metric::request(request.kind(), answer.kind(), forwarding.began);
        answer
    }

    /// Repeats a request until it is answered, or until `limit_ms` after it began; one that surely
    /// never reached an owner, only until [`OWNER_WAIT_MS`].
    async fn forward_until(
        self: &Rc<Self>,
        forwarding: &Forwarding<'_>,
        limit_ms: u64,
    ) -> FleetAnswer {
        let Forwarding { request, sent, .. } = forwarding;
        if self.is_cut_off() {
            log::info!(job = request.job(), kind = request.kind(), reason = "cut off"; "request not forwarded");
            return forwarding.not_sent();
        }
        let mut left_ms = limit_ms;
        loop {
            let rpc_timeout = RPC_TIMEOUT.min(Duration::from_millis(left_ms));
            let sent_before = sent.replace(true);
            forwarding.deliveries.set(forwarding.deliveries.get() + 1);
            match self.forward_once(forwarding, rpc_timeout).await {
                Ok(FleetAnswer::Undecided) | Err(RpcError::NoAnswer { .. }) => {}
                Ok(FleetAnswer::NotOwner) | Err(_) => sent.set(sent_before),
                Ok(answer) => return answer,
            }
            metric::request_retried();
            self.recheck_owner.notify_one();
            sleep(OWNER_RETRY_DELAY).await;
            let passed_ms = now().since(forwarding.began).get();
            left_ms = limit_ms.saturating_sub(passed_ms);
            if left_ms == 0 || (!sent.get() && passed_ms > OWNER_WAIT_MS) {
                break;
            }
        }
        forwarding.unanswered("no answer in time")
    }

    /// Sends a request to the owner once, or answers it if this daemon is the owner.
    async fn forward_once(
        self: &Rc<Self>,
        forwarding: &Forwarding<'_>,
        rpc_timeout: Duration,
    ) -> Result<FleetAnswer, RpcError> {
        let request = forwarding.request;
        let delivery = forwarding.deliveries.get();
        if let Some(ownership) = self.active_ownership() {
            let received_at = OwnerTime {
                epoch: ownership.epoch().get(),
                clock_ms: forwarding.arrived_at.get(),
            };
            let answered = ownership.answer(request.clone(), received_at, delivery);
            return Ok(match timeout(rpc_timeout, answered).await {
                Ok(answer) => answer,
                Err(_) => FleetAnswer::Undecided,
            });
        }
        let received_at = self.owner_view.owner_time(forwarding.arrived_at);
        let (Some(client), Some(received_at)) = (self.owner_view.client(), received_at) else {
            return Ok(FleetAnswer::NotOwner);
        };
        let call = OutgoingCall {
            received_at,
            latest_epoch: self.latest_epoch.get(),
            delivery,
            request,
        };
        client.call(&call, rpc_timeout).await
    }
}

impl Forwarding<'_> {
    /// Returns the answer to a request that no owner has answered.
    fn unanswered(&self, reason: &str) -> FleetAnswer {
        log::info!(
            job = self.request.job(), kind = self.request.kind(), sent = self.sent.get(),
            deliveries = self.deliveries.get(), waited_ms = now().since(self.began).get(),
            reason = reason;
            "no owner answered the request"
        );
        match self.sent.get() {
            true => FleetAnswer::Undecided,
            false => self.not_sent(),
        }
    }

    /// Returns the answer to a request that surely reached no owner.
    fn not_sent(&self) -> FleetAnswer {
        let retry_after_ms = RETRY_AFTER_MS;
        match self.request.is_read() {
            true => FleetAnswer::Refused {
                retry_after_ms,
                overload: false,
            },
            false => FleetAnswer::Unconfirmed {
                retry_after_ms: Some(retry_after_ms),
            },
        }
    }

    /// Logs the answer to a request that had to be delivered more than once.
    fn log_repetitions(&self, answer: &FleetAnswer) {
        if self.deliveries.get() > 1 {
            log::info!(
                job = self.request.job(), kind = self.request.kind(),
                deliveries = self.deliveries.get(), unanswered = self.sent.get(),
                answer = answer.kind();
                "request delivered more than once"
            );
        }
    }
}
