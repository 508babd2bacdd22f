//! Simulations of the escrow under crashes, partitions, pauses, outages and limit changes. No team
//! may ever run more work than its limit allows. Most scenarios are also run with an injected bug,
//! to check that the simulation detects the violation that the bug causes.

mod sim;

use sim::{FaultRates, InjectedBug, World, WorldSetup, sim_settings};

const SEEDS: u64 = 16;
const SPAN_MS: u64 = 120_000;

/// Time within which a busy daemon must get the units that idle ones hold.
const BORROW_TIMEOUT_MS: u64 = 1_000;

fn setup(seed: u64, rates: FaultRates, bug: InjectedBug) -> WorldSetup {
    let daemons = 3 + usize::try_from(seed % 8).unwrap();
    WorldSetup {
        seed,
        daemons,
        limits: vec![2, 7, 40],
        rates,
        bug,
        settings: sim_settings(),
    }
}

fn without_limit_changes() -> FaultRates {
    FaultRates {
        limits: 0,
        ..FaultRates::ALL
    }
}

fn run(seed: u64, rates: FaultRates, bug: InjectedBug) -> World {
    let mut world = World::new(setup(seed, rates, bug));
    world.run(SPAN_MS);
    world
}

#[test]
fn no_team_exceeds_its_limit_while_limits_change() {
    for seed in 0..SEEDS {
        let world = run(seed, FaultRates::ALL, InjectedBug::None);

        assert_eq!(world.report.excess, None, "seed {seed}");
    }
}

#[test]
fn no_team_exceeds_its_limit_and_every_unit_is_usable_after_the_faults() {
    for seed in 0..SEEDS {
        let mut world = run(seed, without_limit_changes(), InjectedBug::None);
        assert_eq!(world.report.excess, None, "seed {seed}");
        assert!(
            world.report.started_borrowed > 0,
            "seed {seed} lent nothing"
        );

        world.settle();

        for team in 0..3 {
            let daemon = usize::try_from(seed).unwrap() % world.setup.daemons;
            let missing = world.probe_missing_units(daemon, team, BORROW_TIMEOUT_MS);
            assert_eq!(missing, 0, "seed {seed} team {team}");
        }
        assert_eq!(world.report.excess, None, "seed {seed}");
    }
}

#[test]
fn a_busy_daemon_gets_what_idle_ones_hold() {
    for daemons in [3, 5, 8, 10, 32] {
        let mut world = World::new(WorldSetup {
            daemons,
            limits: vec![3, 60, 1_000],
            ..setup(1, FaultRates::NONE, InjectedBug::None)
        });
        world.is_load_fixed = true;
        world.run(2_000);

        for team in 0..3 {
            let missing = world.probe_missing_units(0, team, BORROW_TIMEOUT_MS);
            assert_eq!(missing, 0, "{daemons} daemons, team {team}");
        }
    }
}

#[test]
fn a_busy_daemon_gets_what_an_idle_one_has_borrowed() {
    for daemons in [3, 5, 8, 10] {
        let mut world = World::new(WorldSetup {
            daemons,
            limits: vec![60],
            ..setup(2, FaultRates::NONE, InjectedBug::None)
        });
        world.is_load_fixed = true;
        world.run(2_000);
        world.processes[1].demand[0] = world.reachable_units(0, 1);
        world.run(BORROW_TIMEOUT_MS);
        world.processes[1].demand[0] = 0;
        while world.running(0) > 0 {
            world.run(20);
        }

        let missing = world.probe_missing_units(0, 0, BORROW_TIMEOUT_MS);

        assert_eq!(missing, 0, "{daemons} daemons");
    }
}

#[test]
fn a_dead_daemons_surplus_is_used_by_the_others() {
    for daemons in [3, 5, 8] {
        let mut world = busy(daemons, &[7, 40], InjectedBug::None);
        world.run(2_000);
        world.kill(0);
        world.fence_daemon(0, 1);

        world.run(2 * world.setup.settings.handover_ms().get());

        for team in 0..2 {
            let expected = world.limit_without_floor(team, 0);
            assert_eq!(
                world.running(team),
                expected,
                "{daemons} daemons, team {team}"
            );
        }
        assert_eq!(world.report.excess, None);
    }
}

#[test]
fn every_daemon_runs_work_when_the_limit_is_smaller_than_the_fleet() {
    for limit in [1, 2, 3] {
        let mut world = busy(5, &[limit], InjectedBug::None);
        let mut seen = [false; 5];

        for _ in 0..600 {
            world.run(100);
            for (index, seen) in seen.iter_mut().enumerate() {
                *seen |= world.running_at(index, 0) > 0;
            }
        }

        assert_eq!(seen, [true; 5], "limit {limit}");
        assert_eq!(world.report.excess, None);
    }
}

/// Creates a fleet without random faults in which every daemon has more demand than units and all
/// work takes the longest time.
fn busy(daemons: usize, limits: &[u32], bug: InjectedBug) -> World {
    let mut world = World::new(WorldSetup {
        daemons,
        limits: limits.to_vec(),
        ..setup(3, FaultRates::NONE, bug)
    });
    world.is_load_fixed = true;
    world.saturate();
    world
}

/// A daemon freezes, an incarnation on another VM replaces it, and the frozen one wakes up.
fn freeze_and_replace(bug: InjectedBug) -> World {
    let mut world = busy(3, &[40], bug);
    let handover_ms = world.setup.settings.handover_ms().get();
    world.run(2_000);
    world.freeze(0, 3 * handover_ms);
    world.replace(0);
    world.saturate();
    world.run(4 * handover_ms);
    world
}

/// A daemon is killed and restarted at once on its VM.
fn kill_and_restart(bug: InjectedBug) -> World {
    let mut world = busy(3, &[40], bug);
    world.run(2_000);
    world.kill(0);
    world.restart_daemon(0);
    world.saturate();
    world.run(2 * world.setup.settings.handover_ms().get());
    world
}

/// A daemon is partitioned from the platform and from its peers, and an incarnation on another VM
/// replaces it.
fn partition_and_replace(bug: InjectedBug) -> World {
    let mut world = busy(3, &[40], bug);
    world.run(2_000);
    world.network.platform_partitions.push(0);
    world.block_outgoing(0, None);
    world.replace(0);
    world.saturate();
    world.run(3 * world.setup.settings.handover_ms().get());
    world
}

/// A limit is lowered while a network partition separates a lender from its borrowers.
fn lower_limit_during_partition(bug: InjectedBug) -> World {
    let mut world = busy(3, &[60], bug);
    world.processes[0].demand.fill(0);
    world.run(2_000);
    world.isolate(0);
    world.publish_limits(&[3]);
    world.run(3 * world.setup.settings.handover_ms().get());
    world
}

#[test]
fn a_frozen_daemon_that_wakes_exceeds_nothing() {
    let correct = freeze_and_replace(InjectedBug::None);
    let buggy = freeze_and_replace(InjectedBug::ClockStopsInPause);

    assert_eq!(correct.report.excess, None);
    assert!(buggy.report.excess.is_some());
}

#[test]
fn the_work_of_a_killed_daemon_counts_until_it_ends() {
    let correct = kill_and_restart(InjectedBug::None);
    let buggy = kill_and_restart(InjectedBug::IgnoresWorkTime);

    assert_eq!(correct.report.excess, None);
    assert!(buggy.report.excess.is_some());
}

#[test]
fn a_partitioned_daemon_stays_within_its_floor() {
    let correct = partition_and_replace(InjectedBug::None);
    let stale = partition_and_replace(InjectedBug::AlwaysFresh);
    let double_floor = partition_and_replace(InjectedBug::ReportsOldVm);

    assert_eq!(correct.report.excess, None);
    assert!(stale.report.excess.is_some());
    assert!(double_floor.report.excess.is_some());
}

/// A daemon that has borrowed from an idle one is partitioned from the platform and from its peers,
/// and is fenced.
fn partition_and_fence_borrower(bug: InjectedBug) -> World {
    let mut world = busy(3, &[40], bug);
    world.processes[0].demand.fill(0);
    world.processes[2].demand.fill(0);
    world.run(2_000);
    assert!(world.report.started_borrowed > 0);
    world.network.platform_partitions.push(1);
    world.isolate(1);
    world.fence_daemon(1, 2);
    world.saturate();
    world.run(3 * world.setup.settings.handover_ms().get());
    world
}

#[test]
fn a_partitioned_borrower_stops_using_borrowed_units() {
    let correct = partition_and_fence_borrower(InjectedBug::None);
    let buggy = partition_and_fence_borrower(InjectedBug::AlwaysFresh);

    assert_eq!(correct.report.excess, None);
    assert!(buggy.report.excess.is_some());
}

/// Two daemons are partitioned from the platform but not from each other, and others replace them.
fn partition_two_and_replace(bug: InjectedBug) -> World {
    let mut world = busy(4, &[40], bug);
    world.run(2_000);
    for (daemon, other) in [(0, 1), (1, 0)] {
        world.block_outgoing(daemon, Some(other));
        world.network.platform_partitions.push(daemon);
        world.replace(daemon);
    }
    for new in 4..6 {
        world.network.blocked_links.extend([(new, 0), (new, 1)]);
    }
    world.saturate();
    world.run(3 * world.setup.settings.handover_ms().get());
    world
}

#[test]
fn daemons_in_one_partition_do_not_keep_each_other_fresh() {
    let correct = partition_two_and_replace(InjectedBug::None);
    let buggy = partition_two_and_replace(InjectedBug::IgnoresPeerAge);

    assert_eq!(correct.report.excess, None);
    assert!(buggy.report.excess.is_some());
}

#[test]
fn a_lowered_limit_holds_during_a_partition() {
    let correct = lower_limit_during_partition(InjectedBug::None);
    let buggy = lower_limit_during_partition(InjectedBug::HidesHomeUnits);

    assert_eq!(correct.report.excess, None);
    assert!(buggy.report.excess.is_some());
}

/// A daemon makes a planned stop and is started again on another VM.
fn stop_and_start(bug: InjectedBug) -> World {
    let mut world = busy(3, &[40], bug);
    world.run(2_000);
    world.stop(0);
    for _ in 0..100 {
        world.run(100);
        if world.has_left(0) {
            break;
        }
    }
    world.kill(0);
    world.replace(0);
    world.saturate();
    world.run(BORROW_TIMEOUT_MS);
    world
}

#[test]
fn a_planned_restart_needs_no_handover() {
    let correct = stop_and_start(InjectedBug::None);
    let buggy = stop_and_start(InjectedBug::LeavesEarly);

    assert_eq!(correct.report.excess, None);
    assert_eq!(correct.running(0), 40);
    assert!(buggy.report.excess.is_some());
}

#[test]
fn random_faults_expose_injected_bugs() {
    for bug in [
        InjectedBug::NoHandover,
        InjectedBug::CountsRepeatsTwice,
        InjectedBug::EarlyGiveBack,
    ] {
        let caught = (0..SEEDS).find(|seed| {
            let world = run(*seed, without_limit_changes(), bug);
            world.report.excess.is_some()
        });

        assert!(caught.is_some(), "{bug:?} was not detected");
    }
}
