//! Who the peers are: those of the settings, and those that the platform's list shows.

use vanillafold_types::DaemonId;
use vanillafold_wire::PeerAddress;
use vanillafold_wire::platform::VmState;

use crate::node::Node;

/// The peers, sorted by name. The list's word on an address goes before that of the settings,
/// since VMs are replaced while settings stay; a VM of the entry pool that the settings do not
/// name is a peer too, though it holds no units of limits, as only the fleet of the settings does.
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

/// Tells the peer protocol who the peers are.
pub(crate) fn update_members(node: &Node) {
    let Some(peers) = node.peers.borrow().clone() else {
        return;
    };
    if let Err(error) = peers.set_members(members(node)) {
        node.counters.control_failure("peer_members");
        log::warn!("the peers stay as they were: {error}");
    }
}
