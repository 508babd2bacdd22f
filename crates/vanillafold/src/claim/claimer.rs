//! Claims an id for a request.

use std::cell::Cell;
use std::rc::Rc;

use local_sync::mpsc::unbounded;
use monoio::time::timeout_at;
use vanillafold_state::{CLAIM_QUORUM, ClaimAnswer, ClaimId, ClaimToken, claim_owners};
use vanillafold_types::DaemonId;
use vanillafold_wire::{PeerRequest, PeerResponse};

use super::message::{ClaimRequest, ClaimResponse};
use crate::caller::CallerRequest;
use crate::node::Node;
use crate::peer::codec::{decode, encode};

/// Claims told at once; a page stays well below the largest message of a peer.
const PAGE_RECORDS: usize = 1_000;

/// Why an id could not be claimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoClaim {
    /// Another request has claimed it.
    Taken,
    /// Too few owners could be reached, or were sure.
    Unavailable,
}

/// A claim. Unless the request may have run, it is released when it is dropped.
pub(crate) struct ClaimGuard {
    node: Rc<Node>,
    id: ClaimId,
    token: ClaimToken,
    sent: Cell<bool>,
}

impl ClaimGuard {
    /// Notes that the request is about to be sent: the claim stays.
    pub(crate) fn note_sent(&self) {
        self.sent.set(true);
    }

    /// Notes that all that was sent provably did not run: the claim may be released.
    pub(crate) fn note_not_run(&self) {
        self.sent.set(false);
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if !self.sent.get() {
            let release = ClaimRequest::Release {
                id: self.id,
                token: self.token,
            };
            tell_owners(&self.node, self.id, release);
        }
    }
}

/// Claims the id of `request` at its owners; waits until a majority has granted it.
pub(crate) async fn acquire(
    node: &Rc<Node>,
    request: &CallerRequest,
) -> Result<ClaimGuard, NoClaim> {
    let id = ClaimId::new(request.team.as_ref(), &request.id);
    let number = node.next_claim_number();
    let token = ClaimToken::new(&node.settings.name, node.incarnation, number);
    let guard = ClaimGuard {
        node: Rc::clone(node),
        id,
        token,
        sent: Cell::new(false),
    };
    let (answers, mut answered) = unbounded::channel();
    let owners = owners_of(node, id);
    let mut waiting = owners.len();
    let quorum = CLAIM_QUORUM.min(waiting);
    for owner in owners {
        let node = Rc::clone(node);
        let answers = answers.clone();
        monoio::spawn(async move {
            let answer = ask(&node, &owner, ClaimRequest::Claim { id, token }).await;
            // A claim that was decided already needs no further answer.
            let _ = answers.send(answer);
        });
    }
    let mut granted = 0;
    while waiting > 0 {
        let answer = match timeout_at(request.deadline, answered.recv()).await {
            Ok(Some(answer)) => answer,
            Ok(None) | Err(_) => return Err(NoClaim::Unavailable),
        };
        waiting -= 1;
        match answer {
            ClaimAnswer::Granted => granted += 1,
            ClaimAnswer::Taken => return Err(NoClaim::Taken),
            ClaimAnswer::Inconclusive => {}
        }
        if granted >= quorum {
            return Ok(guard);
        }
        if granted + waiting < quorum {
            return Err(NoClaim::Unavailable);
        }
    }
    Err(NoClaim::Unavailable)
}

/// Answers a question of the daemon `from`.
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
            let is_owner = |id| owners_of(node, id).contains(from);
            ClaimResponse::Page(claims.page(after, PAGE_RECORDS, is_owner, node.boot_ms()))
        }
    }
}

fn owners_of(node: &Node, id: ClaimId) -> Vec<DaemonId> {
    let fleet = node.fleet();
    let daemons = fleet.iter().map(|member| (&member.daemon, &member.zone));
    claim_owners(id, daemons).into_iter().cloned().collect()
}

fn tell_owners(node: &Rc<Node>, id: ClaimId, request: ClaimRequest) {
    for owner in owners_of(node, id) {
        let node = Rc::clone(node);
        // A release that is lost leaves the id claimed until the window is over, which is safe.
        monoio::spawn(async move { ask(&node, &owner, request).await });
    }
}

async fn ask(node: &Rc<Node>, owner: &DaemonId, request: ClaimRequest) -> ClaimAnswer {
    let response = match *owner == node.settings.name {
        true => Some(answer(node, owner, request)),
        false => ask_peer(node, owner, request).await,
    };
    match response {
        Some(ClaimResponse::Claim(answer)) => answer,
        Some(ClaimResponse::Released | ClaimResponse::Page(_)) | None => ClaimAnswer::Inconclusive,
    }
}

pub(crate) async fn ask_peer(
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
