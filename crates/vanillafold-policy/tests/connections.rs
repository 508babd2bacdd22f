//! Tests of the split of a VM's connections between daemons.

mod fixtures;

use fixtures::{daemon, vm};
use quickcheck::{Gen, QuickCheck};
use vanillafold_policy::{
    DaemonMember, TargetLimits, connection_share, connections_allowed, is_assigned,
};
use vanillafold_types::{Connections, Slots, VmId, ZoneId};

const VMS: usize = 60;
const SEED: u64 = 0x00c0_77ec;

fn limits(connections: u32) -> TargetLimits {
    TargetLimits {
        slots_per_vm: Slots::new(8),
        connections_per_vm: Connections::new(connections),
    }
}

fn fleet(daemons: usize, zones: usize) -> Vec<DaemonMember> {
    (0..daemons)
        .map(|index| daemon(index, &format!("zone-{}", index % zones)))
        .collect()
}

fn zone(index: usize) -> ZoneId {
    format!("zone-{index}").parse().unwrap()
}

fn sum(daemons: &[DaemonMember], vm: &VmId, zone: &ZoneId, limits: TargetLimits) -> u32 {
    daemons
        .iter()
        .map(|own| connections_allowed(own, vm, zone, daemons, limits).get())
        .sum()
}

#[test]
fn the_sum_over_all_daemons_stays_within_the_limit() {
    for (daemons, zones) in [(8, 4), (9, 4), (64, 32), (65, 32), (200, 32)] {
        let fleet = fleet(daemons, zones);
        for index in 0..VMS {
            let sum = sum(&fleet, &vm(index), &zone(index % zones), limits(64));
            assert!(sum <= 64, "{daemons} daemons open {sum} connections");
        }
    }
}

#[test]
fn the_sum_stays_within_any_limit() {
    fn property(daemons: u8, zones: u8, connections: u8, slots: u8) -> bool {
        let zones = usize::from(zones % 40) + 1;
        let fleet = fleet(usize::from(daemons), zones);
        let limits = TargetLimits {
            slots_per_vm: Slots::new(u32::from(slots)),
            connections_per_vm: Connections::new(u32::from(connections)),
        };
        sum(&fleet, &vm(1), &zone(0), limits) <= u32::from(connections)
    }

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(500)
        .quickcheck(property as fn(u8, u8, u8, u8) -> bool);
}

#[test]
fn each_target_has_a_connection_from_its_own_zone() {
    for (daemons, zones) in [(9, 4), (64, 32), (200, 32)] {
        let fleet = fleet(daemons, zones);
        for (index, own) in fleet.iter().enumerate() {
            let zone = zone(index % zones);
            let allowed = connections_allowed(own, &vm(index), &zone, &fleet, limits(64));
            assert!(allowed > Connections::ZERO, "{own:?} has no connection");
        }
    }
}

#[test]
fn lists_that_differ_by_some_daemons_admit_at_most_that_many_more() {
    let all = fleet(120, 1);
    let missing = 7;
    let fan_in = 64;
    for index in 0..VMS {
        let assigned = all.iter().enumerate().filter(|(position, own)| {
            // Every second daemon has a list that lacks some of the daemons.
            let list = match position % 2 {
                0 => &all[..],
                _ => &all[missing..],
            };
            let ids = list.iter().map(|member| &member.daemon);
            is_assigned(&own.daemon, &vm(index), ids, fan_in)
        });
        assert!(assigned.count() <= fan_in + missing);
    }
}

#[test]
fn removing_a_daemon_changes_at_most_one_assignment() {
    let all = fleet(100, 1);
    let fewer = &all[1..];
    let assigned = |list: &[DaemonMember], own: &DaemonMember, vm: &VmId| {
        let ids = list.iter().map(|member| &member.daemon);
        is_assigned(&own.daemon, vm, ids, 48)
    };
    for index in 0..VMS {
        let vm = vm(index);
        let changed = fewer
            .iter()
            .filter(|own| assigned(&all, own, &vm) != assigned(fewer, own, &vm));
        assert!(changed.count() <= 1);
    }
}

#[test]
fn a_share_is_at_least_one_connection() {
    assert_eq!(
        connection_share(Connections::new(64), 9),
        Connections::new(7)
    );
    assert_eq!(
        connection_share(Connections::new(64), 64),
        Connections::new(1)
    );
    assert_eq!(
        connection_share(Connections::new(64), 65),
        Connections::new(1)
    );
    assert_eq!(
        connection_share(Connections::new(64), 0),
        Connections::new(64)
    );
}
