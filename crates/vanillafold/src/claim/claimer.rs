//! Claims the ids of requests at their owners, and answers the claims of other daemons.

use std::cell::Cell;
use std::rc::Rc;

use local_sync::mpsc::unbounded;
use monoio::time::timeout_at;
use vanillafold_state::{BootMillis, CLAIM_QUORUM, ClaimAnswer, ClaimId, ClaimToken, claim_owners};
use vanillafold_types::{DaemonId, Millis};
use vanillafold_wire::{PeerRequest, PeerResponse};

use super::message::{ClaimRequest, ClaimResponse};
use crate::caller::CallerRequest;
use crate::limit::escrow_settings;
use crate::node::Node;
use crate::peer::codec::{decode, encode};

/// Maximum number of claims in one page, so that it stays well below the largest message of the
/// peer protocol.
const PAGE_RECORDS: usize = 1_000;

/// By how much an owner may take a claim for older than it is: ages are told in whole seconds when
/// one owner copies them from another.
const MAX_AGE_ERROR_MS: Millis = Millis::new(2_000);

/// Why an id could not be claimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClaimError {
    /// Another request has claimed the id.
    Taken,
    /// Too few owners gave a conclusive answer before the request's deadline.
    Unavailable,
}

/// A claim on the id of a request. Dropping it releases the claim, unless the request may have run.
pub(crate) struct ClaimGuard {
    node: Rc<Node>,
    id: ClaimId,
    token: ClaimToken,
    /// When the owners were asked, by the clock that counts suspended time.
    asked_at: BootMillis,
    may_have_run: Cell<bool>,
}

impl ClaimGuard {
    /// Returns whether no owner can have forgotten the claim yet.
    pub(crate) fn is_in_force(&self) -> bool {
        let drift = escrow_settings(&self.node.settings).clock_drift;
        let age_ms = self.node.boot_time().since(self.asked_at).get();
        let most_ms = age_ms + drift.of_rounded_up(age_ms) + MAX_AGE_ERROR_MS.get();
        most_ms < self.node.settings.timeouts.claim_window_ms.get()
    }

    /// Records that the request is about to be sent, so that the claim is not released.
    pub(crate) fn mark_sent(&self) {
        self.may_have_run.set(true);
    }

    /// Records that no send of the request has run, so that the claim may be released.
    pub(crate) fn mark_not_run(&self) {
        self.may_have_run.set(false);
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if !self.may_have_run.get() {
            let release = ClaimRequest::Release {
                id: self.id,
                token: self.token,
            };
            notify_owners(&self.node, self.id, release);
        }
    }
}

/// Claims the id of `request` at its owners and waits until a majority has granted the claim.
///
/// # Errors
///
/// [`ClaimError`] as soon as one owner knows another claim or too few owners can still grant this
/// one, and at the request's deadline.
pub(crate) async fn acquire(
    node: &Rc<Node>,
    request: &CallerRequest,
) -> Result<ClaimGuard, ClaimError> {
    let id = ClaimId::new(request.team.as_ref(), &request.id);
    let number = node.next_claim_number();
    let token = ClaimToken::new(&node.settings.name, node.incarnation, number);
    let guard = ClaimGuard {
        node: Rc::clone(node),
        id,
        token,
        asked_at: node.boot_time(),
        may_have_run: Cell::new(false),
    };
    let (answer_sender, mut answers) = unbounded::channel();
    let owners = owners_for(node, id);
    let mut unanswered = owners.len();
    let quorum = CLAIM_QUORUM.min(unanswered);
    for owner in owners {
        let node = Rc::clone(node);
        let answer_sender = answer_sender.clone();
        monoio::spawn(async move {
            let answer = request_owner(&node, &owner, ClaimRequest::Claim { id, token }).await;
            // Sending fails if the claim was decided without this answer.
            let _ = answer_sender.send(answer);
        });
    }
    let mut granted = 0;
    while unanswered > 0 {
        let answer = match timeout_at(request.deadline, answers.recv()).await {
            Ok(Some(answer)) => answer,
            Ok(None) | Err(_) => return Err(ClaimError::Unavailable),
        };
        unanswered -= 1;
        match answer {
            ClaimAnswer::Granted => granted += 1,
            ClaimAnswer::Taken => return Err(ClaimError::Taken),
            ClaimAnswer::Inconclusive => {}
        }
        if granted >= quorum {
            return Ok(guard);
        }
        if granted + unanswered < quorum {
            return Err(ClaimError::Unavailable);
        }
    }
    Err(ClaimError::Unavailable)
}

/// Returns the response of this owner to a request of the daemon `from`.
pub(crate) fn answer(node: &Node, from: &DaemonId, request: ClaimRequest) -> ClaimResponse {
    let mut claims = node.claims.borrow_mut();
    match request {
        ClaimRequest::Claim { id, token } => {
            ClaimResponse::Claim(claims.claim(id, token, node.boot_ms()))
        }
        ClaimRequest::Release { id, token } => {
            claims.release(id, token);
            ClaimResponse::Released
        }
        ClaimRequest::Page { after } => {
            let is_owner = |id| owners_for(node, id).contains(from);
            ClaimResponse::Page(claims.page(after, PAGE_RECORDS, is_owner, node.boot_ms()))
        }
    }
}

fn owners_for(node: &Node, id: ClaimId) -> Vec<DaemonId> {
    let fleet = node.fleet();
    let daemons = fleet.iter().map(|member| (&member.daemon, &member.zone));
    claim_owners(id, daemons).into_iter().cloned().collect()
}

fn notify_owners(node: &Rc<Node>, id: ClaimId, request: ClaimRequest) {
    for owner in owners_for(node, id) {
        let node = Rc::clone(node);
        // A lost release leaves the id claimed until the claim window ends, which is safe.
        monoio::spawn(async move { request_owner(&node, &owner, request).await });
    }
}

async fn request_owner(node: &Rc<Node>, owner: &DaemonId, request: ClaimRequest) -> ClaimAnswer {
    let response = match *owner == node.settings.name {
        true => Some(answer(node, owner, request)),
        false => request_peer(node, owner, request).await,
    };
    match response {
        Some(ClaimResponse::Claim(answer)) => answer,
        Some(ClaimResponse::Released | ClaimResponse::Page(_)) | None => ClaimAnswer::Inconclusive,
    }
}

pub(crate) async fn request_peer(
    node: &Node,
    owner: &DaemonId,
    request: ClaimRequest,
) -> Option<ClaimResponse> {
    let peers = node.peers.borrow().clone()?;
    let request = PeerRequest::Custom(encode(&request));
    match peers.request(owner, request).await {
        Ok(PeerResponse::Custom(bytes)) => decode(&bytes),
        Ok(_) | Err(_) => None,
    }
}
