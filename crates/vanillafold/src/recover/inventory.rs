//! The VM list through peers, for a start without the platform.

use bincode::{Decode, Encode, config};
use vanillafold_types::{DaemonId, VmId};
use vanillafold_wire::platform::VmEntry;
use vanillafold_wire::{PeerHandle, PeerRequest, PeerResponse, UnavailableReason};

use super::transfer::TransferError;
use crate::follow::TouchedPools;
use crate::node::Node;

/// What tells this request from the other custom ones.
const MAGIC: [u8; 4] = *b"vfvm";
/// The most bytes of lines in a page.
const MAX_PAGE_BYTES: usize = 48 << 10;
/// The most bytes that decoding may claim.
const MAX_DECODED_BYTES: usize = 1 << 17;
/// The most pages that are asked for.
const MAX_PAGES: usize = 1_000;

/// Asks for VMs behind one, in the order of their names.
#[derive(Debug, Encode, Decode)]
pub(crate) struct InventoryRequest {
    magic: [u8; 4],
    after: Option<VmId>,
}

/// Some VMs, a line each as the platform's list has them.
#[derive(Debug, Encode, Decode)]
struct InventoryPage {
    lines: String,
    is_last: bool,
}

/// Decodes a request; `None` if it is another one.
pub(crate) fn decode(bytes: &[u8]) -> Option<InventoryRequest> {
    bytes
        .starts_with(&MAGIC)
        .then(|| decode_whole(bytes))
        .flatten()
}

/// The page that a peer asks for.
pub(crate) fn answer_inventory(node: &Node, request: &InventoryRequest) -> PeerResponse {
    if !node.is_ready() {
        return PeerResponse::Unavailable(UnavailableReason::NotReady);
    }
    let inventory = node.inventory.borrow();
    let mut page = InventoryPage {
        lines: String::new(),
        is_last: true,
    };
    for vm in inventory.after(request.after.as_ref()) {
        if page.lines.len() > MAX_PAGE_BYTES {
            page.is_last = false;
            break;
        }
        page.lines.push_str(&format!("{vm}\n"));
    }
    PeerResponse::Custom(encode(&page))
}

/// Takes over the VM list of `peer` if there is none here.
pub(super) async fn take_inventory(
    node: &Node,
    peers: &PeerHandle,
    peer: &DaemonId,
) -> Result<(), TransferError> {
    let mut vms: Vec<VmEntry> = Vec::new();
    for _ in 0..MAX_PAGES {
        if !node.inventory.borrow().is_empty() {
            return Ok(());
        }
        let request = InventoryRequest {
            magic: MAGIC,
            after: vms.last().map(|vm| vm.vm.clone()),
        };
        let request = PeerRequest::Custom(encode(&request));
        let page = match peers.request(peer, request).await? {
            PeerResponse::Custom(bytes) => decode_whole::<InventoryPage>(&bytes),
            PeerResponse::Unavailable(reason) => return Err(TransferError::Unavailable(reason)),
            _ => None,
        };
        let page = page.ok_or(TransferError::Unexpected { start_bytes: 0 })?;
        vms.extend(page.lines.lines().filter_map(|line| line.parse().ok()));
        if page.is_last {
            break;
        }
    }
    node.inventory.borrow_mut().take_over(vms);
    node.follow_inventory(&TouchedPools::All);
    Ok(())
}

fn encode<T: Encode>(message: &T) -> Vec<u8> {
    match bincode::encode_to_vec(message, config::standard()) {
        Ok(bytes) => bytes,
        Err(error) => unreachable!("memory takes any bytes: {error}"),
    }
}

fn decode_whole<T: Decode<()>>(bytes: &[u8]) -> Option<T> {
    let config = config::standard().with_limit::<MAX_DECODED_BYTES>();
    match bincode::decode_from_slice(bytes, config) {
        Ok((message, length)) if length == bytes.len() => Some(message),
        _ => None,
    }
}
