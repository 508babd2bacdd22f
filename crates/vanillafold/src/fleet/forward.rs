//! A caller's request on its way to the owner.

use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use vanillafold_policy::MonotonicMillis;
use vanillafold_wire::RpcError;

use super::hub::Fleet;
use super::message::{FleetAnswer, FleetRequest};
use super::metric;
use super::platform::FleetPlatform;
use super::settings::{CALL_TIMEOUT, COME_BACK_MS, OWNER_RETRY, OWNER_WAIT_MS};
use super::time::now;

impl<P: FleetPlatform> Fleet<P> {
    /// Gets the owner's answer to a request. Requests may be repeated: the owner knows a job by
    /// its id.
    ///
    /// Ends with [`FleetAnswer::Refused`] only if the request surely had no effect, and with
    /// [`FleetAnswer::Undecided`] if that is not known within `limit_ms`.
    pub async fn ask(self: &Rc<Self>, request: &FleetRequest, limit_ms: u64) -> FleetAnswer {
        let began = now();
        let answer = self.ask_until(request, limit_ms, began).await;
        metric::request(request.kind(), answer.kind(), began);
        answer
    }

    async fn ask_until(
        self: &Rc<Self>,
        request: &FleetRequest,
        limit_ms: u64,
        began: MonotonicMillis,
    ) -> FleetAnswer {
        if self.is_cut_off() {
            log::info!(job = request.job(), reason = "cut off"; "request refused");
            metric::refusal("cut_off");
            return FleetAnswer::Refused {
                retry_after_ms: COME_BACK_MS,
                overload: false,
            };
        }
        let mut sent = false;
        let mut left_ms = limit_ms;
        loop {
            let limit = CALL_TIMEOUT.min(Duration::from_millis(left_ms));
            match self.ask_once(request, limit).await {
                Ok(FleetAnswer::NotOwner) => {}
                Ok(FleetAnswer::Undecided) => sent = true,
                Ok(answer) => return answer,
                Err(RpcError::NoAnswer { .. }) => sent = true,
                Err(_) => {}
            }
            metric::request_retried();
            self.owner_doubtful.notify_one();
            sleep(OWNER_RETRY).await;
            let passed_ms = now().since(began).get();
            left_ms = limit_ms.saturating_sub(passed_ms);
            if left_ms == 0 || (!sent && passed_ms > OWNER_WAIT_MS) {
                break;
            }
        }
        log::info!(
            job = request.job(), sent = sent, waited_ms = now().since(began).get();
            "no owner answered"
        );
        match sent {
            true => FleetAnswer::Undecided,
            false => FleetAnswer::Refused {
                retry_after_ms: COME_BACK_MS,
                overload: false,
            },
        }
    }

    async fn ask_once(
        self: &Rc<Self>,
        request: &FleetRequest,
        limit: Duration,
    ) -> Result<FleetAnswer, RpcError> {
        if let Some(office) = self.open_office() {
            return Ok(office.answer(request.clone()).await);
        }
        match self.directory.owner() {
            Some(owner) => owner.call(request, limit).await,
            None => Ok(FleetAnswer::NotOwner),
        }
    }
}
