//! Asks the platform which workers may run a step.

use std::rc::Rc;

use super::office::Office;
use super::platform::{Advisor, FleetPlatform};
use super::time::now;

/// Asks one question after the other: the service takes one at a time from each daemon.
pub(crate) async fn advise<P: FleetPlatform>(office: Rc<Office<P>>) {
    let Some(mut advisor) = office.fleet.platform.advisor() else {
        return;
    };
    loop {
        office.to_ask.notified().await;
        loop {
            let Some(query) = office.queries.borrow_mut().pop_front() else {
                break;
            };
            let sent_at = now();
            let advice = advisor.advise(&query).await;
            office.with(|shard| shard.advice_answered(&query, advice, sent_at, now()));
            office.events.notify_one();
        }
    }
}
