//! A restarted owner takes its claims over from the other owners.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use monoio::time::sleep;
use vanillafold_types::DaemonId;

use super::claimer::ask_peer;
use super::message::{ClaimRequest, ClaimResponse};
use crate::node::Node;

/// The pause between two pages.
const PAGE_PAUSE: Duration = Duration::from_millis(100);
/// The pause before daemons that could not be asked are asked again.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Asks every other daemon for the claims that this one owns too, until all have told them or the
/// window of forgotten ones is over.
///
/// A claim is granted by two owners at least. So each that an earlier incarnation granted is still
/// with another daemon, if that one remembers its whole window; and when all do, none is missing.
///
/// # Errors
///
/// None.
pub(crate) async fn recover_claims(node: Rc<Node>) -> Result<(), Infallible> {
    let mut missing: Vec<DaemonId> = node
        .fleet()
        .iter()
        .map(|member| member.daemon.clone())
        .filter(|daemon| *daemon != node.settings.name)
        .collect();
    while !node.shutdown.is_ordered() && !node.claims.borrow().is_complete(node.boot_ms()) {
        let mut left = Vec::new();
        for daemon in missing {
            if !take_over(&node, &daemon).await {
                left.push(daemon);
            }
        }
        missing = left;
        if missing.is_empty() {
            info!("every other daemon has told its claims");
            node.claims.borrow_mut().set_complete();
            return Ok(());
        }
        monoio::select! {
            () = sleep(RETRY_PAUSE) => {}
            () = node.shutdown.ordered() => {}
        }
    }
    Ok(())
}

/// Takes over what `daemon` remembers; says whether that was everything.
async fn take_over(node: &Node, daemon: &DaemonId) -> bool {
    let mut after = None;
    loop {
        let response = ask_peer(node, daemon, ClaimRequest::Page { after }).await;
        let Some(ClaimResponse::Page(page)) = response else {
            return false;
        };
        node.merge_claims(&page.records);
        if !page.is_complete {
            return false;
        }
        after = page.next_after;
        if after.is_none() {
            return true;
        }
        sleep(PAGE_PAUSE).await;
    }
}
