//! Reports this daemon's outstanding requests and its progress through the log to peers.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use vanillafold_state::Stream;
use vanillafold_types::{Offset, Slots, VmId, ZoneId};
use vanillafold_wire::{LoadEntry, LoadReport, PeerHandle, PeerMessage, PeerStatus, StateSummary};

use crate::node::Node;

/// Interval between two rounds, in each of which changed loads are reported.
const INTERVAL: Duration = Duration::from_millis(200);
/// A summary of the state is sent in one of this many rounds.
const ROUNDS_PER_SUMMARY: u32 = 10;

/// The number of requests that this daemon has outstanding at a VM, with the VM's zone.
#[derive(Debug, Clone)]
struct ZonedLoad {
    vm: VmId,
    zone: ZoneId,
    outstanding: u32,
}

/// Reports to the peers until the daemon stops. A peer that has reconnected gets all loads, the
/// others get those that changed.
///
/// # Errors
///
/// Returns no error.
pub(crate) async fn run_reporter(node: Rc<Node>, peers: PeerHandle) -> Result<(), Infallible> {
    let mut reported: Vec<ZonedLoad> = Vec::new();
    let mut rounds = 0;
    while !node.shutdown.is_set() {
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
            // The call fails only when the peer protocol is closed, as the daemon is stopping.
            let _ = peers.broadcast(PeerMessage::State(summary(&node)));
        }
        rounds += 1;
        sleep(INTERVAL).await;
    }
    Ok(())
}

/// Sends a peer the loads that it can use: all of them to a peer in this daemon's zone, those of
/// the peer's own zone to any other. A daemon sends requests to its own zone first, and if every
/// load were reported to all daemons, the reports would grow with the square of the fleet.
fn send_loads(node: &Node, peers: &PeerHandle, peer: &PeerStatus, updates: &[ZonedLoad]) {
    let is_same_zone = peer.zone == node.settings.zone;
    let entries: Vec<LoadEntry> = updates
        .iter()
        .filter(|load| is_same_zone || load.zone == peer.zone)
        .map(|load| LoadEntry {
            vm: load.vm.clone(),
            outstanding: load.outstanding,
        })
        .collect();
    if !entries.is_empty() {
        // A peer that can't be reached gets all loads when it reconnects.
        let _ = peers.send(
            &peer.daemon,
            PeerMessage::LoadReport(LoadReport { entries }),
        );
    }
}

/// Returns the load of each VM that has outstanding requests, sorted by VM.
fn loads(node: &Node) -> Vec<ZonedLoad> {
    let routes = node.routes.borrow();
    let now = node.now();
    let mut loads: Vec<ZonedLoad> = Vec::new();
    for pool in &routes.pools {
        let table = pool.table.borrow();
        // Most pools have nothing outstanding on this daemon; this check is cheaper than a view of
        // each target.
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

/// Returns the entries of `now` that differ from `reported`, and a zero for each VM that has become
/// idle.
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
