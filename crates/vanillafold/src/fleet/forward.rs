//! Forwarding of callers' requests to the owner of the shard, with retries.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use vanillafold_policy::MonotonicMillis;
use vanillafold_wire::RpcError;

use super::daemon::FleetDaemon;
use super::message::{FleetAnswer, FleetRequest};
use super::metric;
use super::platform::FleetPlatform;
use super::settings::{OWNER_RETRY_DELAY, OWNER_WAIT_MS, RETRY_AFTER_MS, RPC_TIMEOUT};
use super::time::now;

impl<P: FleetPlatform> FleetDaemon<P> {
    /// Returns the owner's answer to a request; answers it directly if this daemon is the owner.
    /// Unanswered requests are repeated until `limit_ms` have passed, which is safe because the
    /// owner identifies a job by its id.
    ///
    /// Returns [`FleetAnswer::Refused`] only if the request surely had no effect, and
    /// [`FleetAnswer::Undecided`] if its outcome is still unknown when the time is up.
    pub async fn forward(self: &Rc<Self>, request: &FleetRequest, limit_ms: u64) -> FleetAnswer {
        let began = now();
        // Whether an owner may have received the request.
        let sent = Cell::new(false);
        let answered = self.forward_until(request, limit_ms, began, &sent);
        let answer = match self.exiting.run_until_set(answered).await {
            Some(answer) => answer,
            None => unanswered(request, began, sent.get(), "the daemon exits"),
        };
        metric::request(request.kind(), answer.kind(), began);
        answer
    }

    /// Repeats a request until it is answered, or until `limit_ms` after `began`; one that surely
    /// never reached an owner, only until [`OWNER_WAIT_MS`].
    async fn forward_until(
        self: &Rc<Self>,
        request: &FleetRequest,
        limit_ms: u64,
        began: MonotonicMillis,
        sent: &Cell<bool>,
    ) -> FleetAnswer {
        if self.is_cut_off() {
            log::info!(job = request.job(), reason = "cut off"; "request refused");
            metric::refusal("cut_off");
            return FleetAnswer::Refused {
                retry_after_ms: RETRY_AFTER_MS,
                overload: false,
            };
        }
        let mut left_ms = limit_ms;
        loop {
            let rpc_timeout = RPC_TIMEOUT.min(Duration::from_millis(left_ms));
            let sent_before = sent.replace(true);
            match self.forward_once(request, rpc_timeout).await {
                Ok(FleetAnswer::Undecided) | Err(RpcError::NoAnswer { .. }) => {}
                Ok(FleetAnswer::NotOwner) | Err(_) => sent.set(sent_before),
                Ok(answer) => return answer,
            }
            metric::request_retried();
            self.recheck_owner.notify_one();
            sleep(OWNER_RETRY_DELAY).await;
            let passed_ms = now().since(began).get();
            left_ms = limit_ms.saturating_sub(passed_ms);
            if left_ms == 0 || (!sent.get() && passed_ms > OWNER_WAIT_MS) {
                break;
            }
        }
        unanswered(request, began, sent.get(), "no answer in time")
    }

    /// Sends a request to the owner once, or answers it if this daemon is the owner.
    async fn forward_once(
        self: &Rc<Self>,
        request: &FleetRequest,
        rpc_timeout: Duration,
    ) -> Result<FleetAnswer, RpcError> {
        if let Some(ownership) = self.active_ownership() {
            return Ok(ownership.answer(request.clone()).await);
        }
        match self.owner_view.client() {
            Some(client) => client.call(request, rpc_timeout).await,
            None => Ok(FleetAnswer::NotOwner),
        }
    }
}

/// Returns the answer to a request that no owner has answered: refused only if none can have
/// received it.
fn unanswered(
    request: &FleetRequest,
    began: MonotonicMillis,
    sent: bool,
    reason: &str,
) -> FleetAnswer {
    log::info!(
        job = request.job(), sent = sent, waited_ms = now().since(began).get(), reason = reason;
        "no owner answered the request"
    );
    match sent {
        true => FleetAnswer::Undecided,
        false => FleetAnswer::Refused {
            retry_after_ms: RETRY_AFTER_MS,
            overload: false,
        },
    }
}
