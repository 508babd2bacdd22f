//! Tells peers what this daemon has outstanding and how far it has folded the log.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use vanillafold_state::Stream;
use vanillafold_types::{Offset, Slots, VmId, ZoneId};
use vanillafold_wire::{LoadEntry, LoadReport, PeerHandle, PeerMessage, PeerStatus, StateSummary};

use crate::node::Node;

/// Between two rounds at what changed.
const INTERVAL: Duration = Duration::from_millis(200);
/// Looks between two summaries of the state.
const ROUNDS_PER_SUMMARY: u32 = 10;

/// What is outstanding at one VM.
#[derive(Debug, Clone)]
struct ZonedLoad {
    vm: VmId,
    zone: ZoneId,
    outstanding: u32,
}

/// Reports to the peers until the daemon stops.
///
/// # Errors
///
/// None.
pub(crate) async fn run_reporter(node: Rc<Node>, peers: PeerHandle) -> Result<(), Infallible> {
    let mut reported: Vec<ZonedLoad> = Vec::new();
    let mut rounds = 0;
    while !node.shutdown.is_ordered() {
        let loads = loads(&node);
        let changes = changes(&reported, &loads);
        let reconnected = std::mem::take(&mut *node.reconnected.borrow_mut());
        for peer in peers.statuses() {
            let updates = match reconnected.contains(&peer.daemon) {
                true => &loads,
                false => &changes,
            };
            send_loads(&node, &peers, &peer, updates);
        }
        reported = loads;
        if rounds % ROUNDS_PER_SUMMARY == 0 {
            // A set that is closed has nobody to tell; the daemon is stopping.
            let _ = peers.broadcast(PeerMessage::State(summary(&node)));
        }
        rounds += 1;
        sleep(INTERVAL).await;
    }
    Ok(())
}

/// Tells a peer the loads that it can use: one of the own zone all of them, one of another zone
/// those of its own VMs. It sends to its own zone first, and with every load reported to everyone
/// the reports would grow with the square of the fleet.
fn send_loads(node: &Node, peers: &PeerHandle, peer: &PeerStatus, updates: &[ZonedLoad]) {
    let is_near = peer.zone == node.settings.zone;
    let entries: Vec<LoadEntry> = updates
        .iter()
        .filter(|load| is_near || load.zone == peer.zone)
        .map(|load| LoadEntry {
            vm: load.vm.clone(),
            outstanding: load.outstanding,
        })
        .collect();
    if !entries.is_empty() {
        // A peer that has gone gets them all when it is back.
        let _ = peers.send(
            &peer.daemon,
            PeerMessage::LoadReport(LoadReport { entries }),
        );
    }
}

/// What is outstanding at each VM, sorted by VM, idle ones left out.
fn loads(node: &Node) -> Vec<ZonedLoad> {
    let routes = node.routes.borrow();
    let now = node.now();
    let mut loads: Vec<ZonedLoad> = Vec::new();
    for pool in &routes.pools {
        let table = pool.table.borrow();
        // Most pools have nothing outstanding here, and a view of each target costs more.
        if table.outstanding() == Slots::ZERO {
            continue;
        }
        let busy = table.views(now).filter(|view| view.outstanding.get() > 0);
        loads.extend(busy.map(|view| ZonedLoad {
            vm: view.vm.clone(),
            zone: view.zone.clone(),
            outstanding: view.outstanding.get(),
        }));
    }
    loads.sort_by(|a, b| a.vm.cmp(&b.vm));
    loads
}

/// The entries of `now` that differ from `reported`, and zeros for those that are idle again.
fn changes(reported: &[ZonedLoad], now: &[ZonedLoad]) -> Vec<ZonedLoad> {
    let find = |entries: &[ZonedLoad], vm: &VmId| {
        let found = entries.binary_search_by(|entry| entry.vm.cmp(vm));
        found.map_or(0, |index| entries[index].outstanding)
    };
    let changed = now
        .iter()
        .filter(|entry| find(reported, &entry.vm) != entry.outstanding)
        .cloned();
    let idle = reported
        .iter()
        .filter(|entry| find(now, &entry.vm) == 0)
        .map(|entry| ZonedLoad {
            outstanding: 0,
            ..entry.clone()
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
