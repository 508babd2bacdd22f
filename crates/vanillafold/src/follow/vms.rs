//! Follows the platform's VM list. Only changes are read: often for this daemon's zone, less often
//! for all zones.

use std::convert::Infallible;
use std::rc::Rc;

use log::warn;
use monoio::time::sleep;
use vanillafold_types::ZoneId;
use vanillafold_wire::platform::{ListVersion, VmList};

use super::TouchedPools;
use crate::node::Node;

/// One round in this many reads the changes in all zones, the others those in this daemon's zone.
const ROUNDS_PER_FULL_LIST: u32 = 5;

/// Follows the VM list until the daemon stops.
///
/// # Errors
///
/// Returns no error; if the list can't be read, the known VMs stay.
pub(crate) async fn follow_vms<L: VmList>(node: Rc<Node>, list: Rc<L>) -> Result<(), Infallible> {
    let interval = node.settings.platform.list_interval_ms.duration();
    let own_zone = node.settings.zone.clone();
    let mut own_version = ListVersion::default();
    let mut all_version = ListVersion::default();
    let mut rounds = 0;
    while !node.shutdown.is_set() {
        match rounds % ROUNDS_PER_FULL_LIST {
            0 => read_changes(&node, &*list, None, &mut all_version).await,
            _ => read_changes(&node, &*list, Some(&own_zone), &mut own_version).await,
        }
        rounds += 1;
        monoio::select! {
            () = sleep(interval) => {}
            () = node.shutdown.wait() => {}
        }
    }
    Ok(())
}

async fn read_changes<L: VmList>(
    node: &Node,
    list: &L,
    zone: Option<&ZoneId>,
    version: &mut ListVersion,
) {
    match list.changes(zone, *version).await {
        Ok(changes) => {
            let since = std::mem::replace(version, changes.version);
            let state = node.state.borrow();
            let mut inventory = node.inventory.borrow_mut();
            // A list from a peer may hold VMs that are gone.
            let is_first_read = zone.is_none() && since == ListVersion::default();
            if is_first_read {
                inventory.clear();
            }
            let touched = match (inventory.merge(since, changes, &state), is_first_read) {
                (_, true) => TouchedPools::All,
                (touched, false) => touched,
            };
            drop(inventory);
            drop(state);
            node.update_targets(&touched);
        }
        Err(error) => {
            node.counters.count_control_failure("vm_list");
            warn!("reading the VM list failed, the known VMs stay: {error}");
        }
    }
}
