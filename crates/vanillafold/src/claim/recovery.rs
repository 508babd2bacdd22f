//! Restores the claims of a restarted owner from the other owners.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use monoio::time::sleep;
use vanillafold_types::DaemonId;

use super::claimer::request_peer;
use super::message::{ClaimRequest, ClaimResponse};
use crate::node::Node;

/// The pause between the requests for two pages of one daemon.
const PAGE_PAUSE: Duration = Duration::from_millis(100);
/// The pause before daemons that did not return all their claims are asked again.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Asks every other daemon for the claims on ids of which this daemon is an owner too, until all
/// have returned theirs or one claim window has passed since this daemon's start.
///
/// At least two owners grant each claim. So another daemon still has every claim that an earlier
/// incarnation of this one granted, provided that it remembers its whole claim window; once all of
/// them do, no claim is missing.
///
/// # Errors
///
/// Returns no error.
pub(crate) async fn recover_claims(node: Rc<Node>) -> Result<(), Infallible> {
    let mut missing: Vec<DaemonId> = node
        .fleet()
        .iter()
        .map(|member| member.daemon.clone())
        .filter(|daemon| *daemon != node.settings.name)
        .collect();
    while !node.shutdown.is_set() && !node.claims.borrow().is_complete(node.boot_ms()) {
        let mut incomplete = Vec::new();
        for daemon in missing {
            if !fetch_claims(&node, &daemon).await {
                incomplete.push(daemon);
            }
        }
        missing = incomplete;
        if missing.is_empty() {
            info!("received the claims of every other daemon; the claim table is complete");
            node.claims.borrow_mut().set_complete();
            return Ok(());
        }
        monoio::select! {
            () = sleep(RETRY_DELAY) => {}
            () = node.shutdown.wait() => {}
        }
    }
    Ok(())
}

/// Fetches the claims of `daemon`. Returns whether it sent every page and remembers its whole claim
/// window.
async fn fetch_claims(node: &Node, daemon: &DaemonId) -> bool {
    let mut after = None;
    loop {
        let response = request_peer(node, daemon, ClaimRequest::Page { after }).await;
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
