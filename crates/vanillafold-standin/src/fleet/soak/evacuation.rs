//! Evacuations of zones by the operator, and the start orders that runners of these zones get.

use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use vanillafold_jobs::TaskId;

use super::plan::{FaultKind, LinkFault, PlannedFault, Victim};
use crate::fleet::journal::{Event, EventKind};
use crate::fleet::network::Link;
use crate::fleet::store::{StoreCall, StoreEffect};
use crate::fleet::world::{World, ZONES};
use crate::process::Random;

/// A zone without runners, which the operator may name all the same.
const UNKNOWN_ZONE: &str = "zx";
/// Makes the random numbers of evacuations differ from those of the faults of a seed, which are the same
/// without evacuations.
const SEED_MASK: u64 = 0x6576_6163_7561_7465;
/// Time between two checks whether the store takes the operator's records again.
const STORE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// An evacuation that is planned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PlannedEvacuation {
    /// When it is requested, since the series of faults began.
    at_ms: u64,
    /// How long after that it is requested once more.
    repeated_after_ms: Option<u64>,
    /// How long after that it is withdrawn.
    lasts_ms: u64,
    zones: Vec<&'static str>,
}

/// Draws the evacuations beside a series of faults that takes `total_ms`, and adds to it some faults that
/// keep the owner from reading a request. Evacuations may overlap, and go on for some seconds after the
/// last fault: only then does the bound without any disturbance apply.
pub(super) fn plan(
    seed: u64,
    total_ms: u64,
    faults: &mut Vec<PlannedFault>,
) -> Vec<PlannedEvacuation> {
    let mut random = Random::new(seed ^ SEED_MASK);
    let mut evacuations = Vec::new();
    for number in 0..random.between(1..=3) {
        let evacuation = planned(&mut random, total_ms, number == 0);
        if random.next_bool(0.6) {
            faults.push(hiding_fault(&mut random, evacuation.at_ms, total_ms));
        }
        evacuations.push(evacuation);
    }
    evacuations
}

/// Draws a fault of the owner that begins shortly before or after a request.
fn hiding_fault(random: &mut Random, requested_ms: u64, total_ms: u64) -> PlannedFault {
    let at_ms = (requested_ms + random.between(0..=300)).saturating_sub(250);
    let reads = |effect| FaultKind::Store(Some(Victim::Owner), Some(StoreCall::Read), effect);
    let kind = match random.between(0..=9) {
        0..=1 => reads(StoreEffect::Refuse(503)),
        2..=3 => reads(StoreEffect::Silence),
        4..=5 => FaultKind::Link(Victim::Owner, Link::Store, LinkFault::Cut),
        6..=7 => FaultKind::Suspend(Victim::Owner),
        8 => FaultKind::Kill(Victim::Owner),
        _ => FaultKind::Terminate(Victim::Owner),
    };
    PlannedFault {
        at_ms,
        lasts_ms: random.between(300..=4_000).min(total_ms - at_ms),
        kind,
    }
}

/// Draws an evacuation. A long one begins early and goes on after the last fault, so that there are starts
/// to judge after the bound.
fn planned(random: &mut Random, total_ms: u64, is_long: bool) -> PlannedEvacuation {
    let latest_ms = match is_long {
        true => total_ms / 3,
        false => total_ms * 2 / 3,
    };
    let at_ms = random.between(0..=latest_ms);
    let until_calm_ms = total_ms - at_ms;
    let lasts_ms = match random.between(0..=9) {
        _ if is_long => until_calm_ms + random.between(6_000..=10_000),
        0..=4 => random.between(20..=2_000),
        _ => random.between(2_000..=12_000).min(until_calm_ms),
    };
    let zones = match random.between(0..=9) {
        0..=5 => 1,
        6..=8 => 2,
        _ => ZONES.len(),
    };
    let first = usize::try_from(random.between(0..=2)).unwrap_or(0);
    let in_turn = ZONES.iter().cycle().skip(first).take(zones).copied();
    let unknown = random.next_bool(0.1).then_some(UNKNOWN_ZONE);
    let is_repeated = random.next_bool(0.3);
    PlannedEvacuation {
        at_ms,
        repeated_after_ms: is_repeated.then(|| random.between(0..=lasts_ms)),
        lasts_ms,
        zones: in_turn.chain(unknown).collect(),
    }
}

/// Requests an evacuation and withdraws it, at its time.
pub(super) async fn play(world: Rc<World>, evacuation: PlannedEvacuation) {
    let PlannedEvacuation {
        at_ms,
        repeated_after_ms,
        lasts_ms,
        zones,
    } = evacuation;
    sleep(Duration::from_millis(at_ms)).await;
    write(&world, &zones, "{}").await;
    let repeated_ms = repeated_after_ms.unwrap_or(0);
    sleep(Duration::from_millis(repeated_ms)).await;
    if repeated_after_ms.is_some() {
        write(&world, &zones, "{}").await;
    }
    sleep(Duration::from_millis(lasts_ms - repeated_ms)).await;
    write(&world, &zones, "").await;
}

/// Writes the operator's records for zones as soon as the store takes them: a request with a value, a
/// withdrawal without one.
async fn write(world: &World, zones: &[&str], value: &'static str) {
    while world.store().is_down() {
        sleep(STORE_CHECK_INTERVAL).await;
    }
    for zone in zones {
        world
            .store()
            .put("keyed.op", &format!("evacuate/{zone}"), value);
        let zone = (*zone).to_owned();
        world.journal().add(match value.is_empty() {
            true => EventKind::EvacuationWithdrawn { zone },
            false => EventKind::EvacuationRequested { zone },
        });
    }
}

/// A start order that a runner got while its zone was to be evacuated.
#[derive(Debug)]
pub(super) struct StartInEvacuatedZone<'a> {
    /// The event of the order.
    pub(super) at: usize,
    pub(super) task: TaskId,
    pub(super) zone: &'a str,
    /// When the evacuation in force was first requested.
    pub(super) requested_ms: u64,
}

/// Returns the start orders that runners got while their zones were to be evacuated.
pub(super) fn starts_in_evacuated_zones(events: &[Event]) -> Vec<StartInEvacuatedZone<'_>> {
    let mut zones: Vec<(usize, &str)> = Vec::new();
    let mut evacuations: Vec<(&str, u64)> = Vec::new();
    let mut starts = Vec::new();
    for (at, event) in events.iter().enumerate() {
        match &event.kind {
            EventKind::RunnerAdded { runner, zone } => zones.push((*runner, zone)),
            EventKind::EvacuationRequested { zone }
                if evacuations.iter().all(|row| row.0 != zone) =>
            {
                evacuations.push((zone, event.at_ms));
            }
            EventKind::EvacuationWithdrawn { zone } => evacuations.retain(|row| row.0 != zone),
            EventKind::StartOrdered { runner, task, .. } => {
                let zone = zones.iter().find(|row| row.0 == *runner);
                let evacuation = evacuations
                    .iter()
                    .find(|row| zone.is_some_and(|zone| zone.1 == row.0));
                starts.extend(evacuation.map(|(zone, requested_ms)| StartInEvacuatedZone {
                    at,
                    task: *task,
                    zone,
                    requested_ms: *requested_ms,
                }));
            }
            _ => {}
        }
    }
    starts
}
