//! Fetches the VM list from a peer, so that a daemon can start without the platform.

use bincode::{Decode, Encode, config};
use vanillafold_types::{DaemonId, VmId};
use vanillafold_wire::platform::VmEntry;
use vanillafold_wire::{PeerHandle, PeerRequest, PeerResponse, UnavailableReason};

use super::transfer::TransferError;
use crate::follow::TouchedPools;
use crate::node::Node;

/// First bytes of an inventory request, which distinguish it from other custom requests.
const MAGIC: [u8; 4] = *b"vfvm";
/// A page ends with the line that exceeds this many bytes.
const MAX_PAGE_BYTES: usize = 48 << 10;
/// Maximum memory that decoding a message may allocate, in bytes.
const MAX_DECODED_BYTES: usize = 1 << 17;
/// Maximum number of pages requested from a peer, in case it never sends a last one.
const MAX_PAGES: usize = 1_000;

/// Requests the VMs whose names follow `after`, or all if it is `None`, sorted by name.
#[derive(Debug, Encode, Decode)]
pub(crate) struct InventoryRequest {
    magic: [u8; 4],
    after: Option<VmId>,
}

/// A page of VMs, one per line in the format of the platform's list.
#[derive(Debug, Encode, Decode)]
struct InventoryPage {
    lines: String,
    is_last: bool,
}

/// Decodes an inventory request; `None` if `bytes` hold something else.
pub(crate) fn decode_inventory_request(bytes: &[u8]) -> Option<InventoryRequest> {
    bytes
        .starts_with(&MAGIC)
        .then(|| decode_exact(bytes))
        .flatten()
}

/// Returns the page that a peer requests, or why there is none.
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

/// Fetches the VM list of `peer` and sets the targets from it, unless a VM is known already.
///
/// # Errors
///
/// [`TransferError`] if the peer can't be reached, is not ready or answers with something else.
pub(super) async fn fetch_inventory(
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
            PeerResponse::Custom(bytes) => decode_exact::<InventoryPage>(&bytes),
            PeerResponse::Unavailable(reason) => return Err(TransferError::Unavailable(reason)),
            _ => None,
        };
        let page = page.ok_or(TransferError::Unexpected { start_bytes: 0 })?;
        vms.extend(page.lines.lines().filter_map(|line| line.parse().ok()));
        if page.is_last {
            break;
        }
    }
    node.inventory.borrow_mut().replace_from_peer(vms);
    node.update_targets(&TouchedPools::All);
    Ok(())
}

fn encode<T: Encode>(message: &T) -> Vec<u8> {
    match bincode::encode_to_vec(message, config::standard()) {
        Ok(bytes) => bytes,
        Err(error) => unreachable!("encoding into memory failed: {error}"),
    }
}

fn decode_exact<T: Decode<()>>(bytes: &[u8]) -> Option<T> {
    let config = config::standard().with_limit::<MAX_DECODED_BYTES>();
    match bincode::decode_from_slice(bytes, config) {
        Ok((message, length)) if length == bytes.len() => Some(message),
        _ => None,
    }
}
