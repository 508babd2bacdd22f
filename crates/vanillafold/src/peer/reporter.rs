//! Tells peers what this daemon has outstanding and how far it has folded the log.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use vanillafold_state::Stream;
use vanillafold_types::{Offset, Slots, VmId};
use vanillafold_wire::{LoadEntry, LoadReport, PeerHandle, PeerMessage, StateSummary};

use crate::node::Node;

/// Between two looks at what changed.
const INTERVAL: Duration = Duration::from_millis(200);
/// Looks between two summaries of the state.
const SUMMARY_LOOKS: u32 = 10;

/// Reports to the peers until the daemon stops.
///
/// # Errors
///
/// None.
pub(crate) async fn report(node: Rc<Node>, peers: PeerHandle) -> Result<(), Infallible> {
    let mut told: Vec<LoadEntry> = Vec::new();
    let mut looks = 0;
    while !node.shutdown.is_ordered() {
        let loads = loads(&node);
        let changes = changes(&told, &loads);
        if !changes.is_empty() {
            let report = LoadReport { entries: changes };
            // A set that is closed has nobody to tell; the daemon is stopping.
            let _ = peers.broadcast(PeerMessage::LoadReport(report));
        }
        for peer in std::mem::take(&mut *node.reconnected.borrow_mut()) {
            let report = LoadReport {
                entries: loads.clone(),
            };
            // A peer that has gone again gets it when it is back.
            let _ = peers.send(&peer, PeerMessage::LoadReport(report));
        }
        told = loads;
        if looks % SUMMARY_LOOKS == 0 {
            let _ = peers.broadcast(PeerMessage::State(summary(&node)));
        }
        looks += 1;
        sleep(INTERVAL).await;
    }
    Ok(())
}

/// What is outstanding at each VM, sorted by VM, idle ones left out.
fn loads(node: &Node) -> Vec<LoadEntry> {
    let routes = node.routes.borrow();
    let now = node.now();
    let mut loads: Vec<LoadEntry> = Vec::new();
    for pool in &routes.pools {
        let table = pool.table.borrow();
        // Most pools have nothing outstanding here, and a view of each target costs more.
        if table.outstanding() == Slots::ZERO {
            continue;
        }
        let busy = table.views(now).filter(|view| view.outstanding.get() > 0);
        loads.extend(busy.map(|view| LoadEntry {
            vm: view.vm.clone(),
            outstanding: view.outstanding.get(),
        }));
    }
    loads.sort_by(|a, b| a.vm.cmp(&b.vm));
    loads
}

/// The entries of `now` that differ from `told`, and zeros for those that are idle again.
fn changes(told: &[LoadEntry], now: &[LoadEntry]) -> Vec<LoadEntry> {
    let find = |entries: &[LoadEntry], vm: &VmId| {
        let found = entries.binary_search_by(|entry| entry.vm.cmp(vm));
        found.map_or(0, |index| entries[index].outstanding)
    };
    let changed = now
        .iter()
        .filter(|entry| find(told, &entry.vm) != entry.outstanding)
        .cloned();
    let idle = told
        .iter()
        .filter(|entry| find(now, &entry.vm) == 0)
        .map(|entry| LoadEntry {
            vm: entry.vm.clone(),
            outstanding: 0,
        });
    changed.chain(idle).collect()
}

fn summary(node: &Node) -> StateSummary {
    let state = node.state.borrow();
    let last = |stream| Offset::new(state.next_offset(stream).get() - 1);
    StateSummary {
        catalogue_offset: last(Stream::Catalogue),
        control_offset: last(Stream::Control),
        digest: *state.digest().as_bytes(),
    }
}
