//! The list of peers: those in the settings, and the entry VMs in the platform's list.

use vanillafold_types::DaemonId;
use vanillafold_wire::PeerAddress;
use vanillafold_wire::platform::VmState;

use crate::node::Node;

/// Returns the peers, sorted by name. An address in the platform's list takes precedence over one
/// in the settings, because VMs are replaced while the settings stay. A VM of the entry pool that
/// the settings do not name is a peer too, but it holds no units of limits: only the fleet in the
/// settings does.
pub(crate) fn members(node: &Node) -> Vec<PeerAddress> {
    let settings = &node.settings;
    let mut members: Vec<PeerAddress> = settings
        .peers
        .iter()
        .map(|peer| PeerAddress {
            daemon: peer.name.clone(),
            zone: peer.zone.clone(),
            address: peer.address,
        })
        .collect();
    let inventory = node.inventory.borrow();
    let listed = inventory
        .after(None)
        .filter(|vm| vm.home_pool == settings.platform.entry_pool && vm.state != VmState::Gone);
    for vm in listed {
        let Ok(daemon) = vm.vm.as_str().parse::<DaemonId>() else {
            continue;
        };
        let member = PeerAddress {
            daemon,
            zone: vm.zone.clone(),
            address: vm.address,
        };
        match members.binary_search_by(|known| known.daemon.cmp(&member.daemon)) {
            _ if member.daemon == settings.name => {}
            Ok(index) => members[index] = member,
            Err(index) => members.insert(index, member),
        }
    }
    members
}

/// Passes the present list of peers to the peer protocol.
pub(crate) fn update_members(node: &Node) {
    let Some(peers) = node.peers.borrow().clone() else {
        return;
    };
    if let Err(error) = peers.set_members(members(node)) {
        node.counters.count_control_failure("peer_members");
        log::warn!("list of peers not updated, the previous one stays: {error}");
    }
}
