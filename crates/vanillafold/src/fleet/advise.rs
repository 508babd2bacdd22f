//! The task that fetches placement advice.

use std::rc::Rc;

use super::ownership::ShardOwnership;
use super::platform::{Advisor, FleetPlatform};
use super::time::now;

/// Sends the shard's queries to the placement advice service, one after the other: the service
/// takes one call at a time from each daemon.
pub(crate) async fn fetch_advice<P: FleetPlatform>(ownership: Rc<ShardOwnership<P>>) {
    let Some(mut advisor) = ownership.daemon.platform.advisor() else {
        return;
    };
    loop {
        ownership.advice_queries_ready.notified().await;
        loop {
            let Some(query) = ownership.queries.borrow_mut().pop_front() else {
                break;
            };
            let sent_at = now();
            let advice = advisor.advise(&query).await;
            ownership.with(|shard| shard.advice_answered(&query, advice, sent_at, now()));
            ownership.events.notify_one();
        }
    }
}
