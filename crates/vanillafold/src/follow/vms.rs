//! Reads the platform's VM list: the own zone often, the others less often, changes only.

use std::convert::Infallible;
use std::rc::Rc;

use log::warn;
use monoio::time::sleep;
use vanillafold_types::ZoneId;
use vanillafold_wire::platform::{ListVersion, VmList};

use super::TouchedPools;
use crate::node::Node;

/// Looks at the own zone for each look at all zones.
const OWN_ZONE_LOOKS: u32 = 5;

/// Follows the VM list until the daemon stops.
///
/// # Errors
///
/// None; a list that can't be read leaves the VMs as they were.
pub(crate) async fn follow_vms<L: VmList>(node: Rc<Node>, list: Rc<L>) -> Result<(), Infallible> {
    let interval = node.settings.platform.list_interval_ms.duration();
    let own_zone = node.settings.zone.clone();
    let mut own_version = ListVersion::default();
    let mut all_version = ListVersion::default();
    let mut looks = 0;
    while !node.shutdown.is_set() {
        match looks % OWN_ZONE_LOOKS {
            0 => look(&node, &*list, None, &mut all_version).await,
            _ => look(&node, &*list, Some(&own_zone), &mut own_version).await,
        }
        looks += 1;
        monoio::select! {
            () = sleep(interval) => {}
            () = node.shutdown.wait() => {}
        }
    }
    Ok(())
}

async fn look<L: VmList>(node: &Node, list: &L, zone: Option<&ZoneId>, version: &mut ListVersion) {
    match list.changes(zone, *version).await {
        Ok(changes) => {
            let since = std::mem::replace(version, changes.version);
            let state = node.state.borrow();
            let mut inventory = node.inventory.borrow_mut();
            // What a peer gave may hold VMs that are gone.
            let anew = zone.is_none() && since == ListVersion::default();
            if anew {
                inventory.begin_anew();
            }
            let touched = match (inventory.merge(since, changes, &state), anew) {
                (_, true) => TouchedPools::All,
                (touched, false) => touched,
            };
            drop(inventory);
            drop(state);
            node.follow_inventory(&touched);
        }
        Err(error) => {
            node.counters.count_control_failure("vm_list");
            warn!("reading the VM list failed: {error}");
        }
    }
}
