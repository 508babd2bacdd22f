//! The escrow under every fault, and whether it sees planted bugs.

mod sim;

use sim::{FaultRates, Planted, World, WorldSetup, sim_settings};

const SEEDS: u64 = 16;
const SPAN_MS: u64 = 120_000;

/// How soon a busy daemon must have what idle ones hold.
const PROBE_MS: u64 = 1_000;

fn setup(seed: u64, rates: FaultRates, planted: Planted) -> WorldSetup {
    let daemons = 3 + usize::try_from(seed % 8).unwrap();
    WorldSetup {
        seed,
        daemons,
        limits: vec![2, 7, 40],
        rates,
        planted,
        settings: sim_settings(),
    }
}

fn without_limit_changes() -> FaultRates {
    FaultRates {
        limits: 0,
        ..FaultRates::ALL
    }
}

fn run(seed: u64, rates: FaultRates, planted: Planted) -> World {
    let mut world = World::new(setup(seed, rates, planted));
    world.run(SPAN_MS);
    world
}

#[test]
fn no_team_exceeds_its_limit_while_limits_change() {
    for seed in 0..SEEDS {
        let world = run(seed, FaultRates::ALL, Planted::Nothing);

        assert_eq!(world.report.excess, None, "seed {seed}");
    }
}

#[test]
fn no_team_exceeds_its_limit_and_every_unit_is_usable_after_the_faults() {
    for seed in 0..SEEDS {
        let mut world = run(seed, without_limit_changes(), Planted::Nothing);
        assert_eq!(world.report.excess, None, "seed {seed}");
        assert!(
            world.report.started_borrowed > 0,
            "seed {seed} lent nothing"
        );

        world.settle();

        for team in 0..3 {
            let daemon = usize::try_from(seed).unwrap() % world.setup.daemons;
            let missing = world.probe(daemon, team, PROBE_MS);
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
            ..setup(1, FaultRates::NONE, Planted::Nothing)
        });
        world.is_probe = true;
        world.run(2_000);

        for team in 0..3 {
            let missing = world.probe(0, team, PROBE_MS);
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
            ..setup(2, FaultRates::NONE, Planted::Nothing)
        });
        world.is_probe = true;
        world.run(2_000);
        world.processes[1].demand[0] = world.reachable(0, 1);
        world.run(PROBE_MS);
        world.processes[1].demand[0] = 0;
        while world.running(0) > 0 {
            world.run(20);
        }

        let missing = world.probe(0, 0, PROBE_MS);

        assert_eq!(missing, 0, "{daemons} daemons");
    }
}

#[test]
fn a_dead_daemons_surplus_is_used_by_the_others() {
    for daemons in [3, 5, 8] {
        let mut world = busy(daemons, &[7, 40], Planted::Nothing);
        world.run(2_000);
        world.kill(0);
        world.fence_daemon(0, 1);

        world.run(2 * world.setup.settings.handover_ms().get());

        for team in 0..2 {
            let expected = world.without_floor(team, 0);
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
fn every_daemon_gets_a_turn_when_the_limit_is_smaller_than_the_fleet() {
    for limit in [1, 2, 3] {
        let mut world = busy(5, &[limit], Planted::Nothing);
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

/// A fleet without faults of its own, in which every daemon wants everything and all work takes
/// the longest time.
fn busy(daemons: usize, limits: &[u32], planted: Planted) -> World {
    let mut world = World::new(WorldSetup {
        daemons,
        limits: limits.to_vec(),
        ..setup(3, FaultRates::NONE, planted)
    });
    world.is_probe = true;
    world.saturate();
    world
}

/// A daemon freezes, a start on another VM takes its place, and the first one wakes.
fn freeze_and_replace(planted: Planted) -> World {
    let mut world = busy(3, &[40], planted);
    let handover_ms = world.setup.settings.handover_ms().get();
    world.run(2_000);
    world.freeze(0, 3 * handover_ms);
    world.replace(0);
    world.saturate();
    world.run(4 * handover_ms);
    world
}

/// A daemon is killed and started again at once on its VM.
fn kill_and_restart(planted: Planted) -> World {
    let mut world = busy(3, &[40], planted);
    world.run(2_000);
    world.kill(0);
    world.restart_daemon(0);
    world.saturate();
    world.run(2 * world.setup.settings.handover_ms().get());
    world
}

/// A daemon loses the platform and its peers, and a start on another VM takes its place.
fn cut_and_replace(planted: Planted) -> World {
    let mut world = busy(3, &[40], planted);
    world.run(2_000);
    world.network.platform_cuts.push(0);
    world.mute(0, None);
    world.replace(0);
    world.saturate();
    world.run(3 * world.setup.settings.handover_ms().get());
    world
}

/// A limit is lowered while a lender and its borrowers don't reach each other.
fn lower_behind_a_cut(planted: Planted) -> World {
    let mut world = busy(3, &[60], planted);
    world.processes[0].demand.fill(0);
    world.run(2_000);
    world.isolate(0);
    world.publish_limits(&[3]);
    world.run(3 * world.setup.settings.handover_ms().get());
    world
}

#[test]
fn a_frozen_daemon_that_wakes_exceeds_nothing() {
    let sound = freeze_and_replace(Planted::Nothing);
    let broken = freeze_and_replace(Planted::ClockStopsInPause);

    assert_eq!(sound.report.excess, None);
    assert!(broken.report.excess.is_some());
}

#[test]
fn the_work_of_a_killed_daemon_counts_until_it_ends() {
    let sound = kill_and_restart(Planted::Nothing);
    let broken = kill_and_restart(Planted::NoWorkTime);

    assert_eq!(sound.report.excess, None);
    assert!(broken.report.excess.is_some());
}

#[test]
fn a_daemon_cut_off_keeps_to_its_floor() {
    let sound = cut_and_replace(Planted::Nothing);
    let stale = cut_and_replace(Planted::AlwaysFresh);
    let double_floor = cut_and_replace(Planted::ClaimsSameVm);

    assert_eq!(sound.report.excess, None);
    assert!(stale.report.excess.is_some());
    assert!(double_floor.report.excess.is_some());
}

/// A daemon that has borrowed from an idle one loses the platform and its peers and is fenced.
fn cut_and_fence_a_borrower(planted: Planted) -> World {
    let mut world = busy(3, &[40], planted);
    world.processes[0].demand.fill(0);
    world.processes[2].demand.fill(0);
    world.run(2_000);
    assert!(world.report.started_borrowed > 0);
    world.network.platform_cuts.push(1);
    world.isolate(1);
    world.fence_daemon(1, 2);
    world.saturate();
    world.run(3 * world.setup.settings.handover_ms().get());
    world
}

#[test]
fn a_borrower_cut_off_stops_on_what_it_borrowed() {
    let sound = cut_and_fence_a_borrower(Planted::Nothing);
    let broken = cut_and_fence_a_borrower(Planted::AlwaysFresh);

    assert_eq!(sound.report.excess, None);
    assert!(broken.report.excess.is_some());
}

/// Two daemons lose the platform but not each other, and others take their places.
fn cut_two_and_replace(planted: Planted) -> World {
    let mut world = busy(4, &[40], planted);
    world.run(2_000);
    for (daemon, other) in [(0, 1), (1, 0)] {
        world.mute(daemon, Some(other));
        world.network.platform_cuts.push(daemon);
        world.replace(daemon);
    }
    for new in 4..6 {
        world.network.cuts.extend([(new, 0), (new, 1)]);
    }
    world.saturate();
    world.run(3 * world.setup.settings.handover_ms().get());
    world
}

#[test]
fn daemons_cut_off_together_do_not_keep_each_other_fresh() {
    let sound = cut_two_and_replace(Planted::Nothing);
    let broken = cut_two_and_replace(Planted::IgnoresPeerAge);

    assert_eq!(sound.report.excess, None);
    assert!(broken.report.excess.is_some());
}

#[test]
fn a_lowered_limit_holds_behind_a_cut() {
    let sound = lower_behind_a_cut(Planted::Nothing);
    let broken = lower_behind_a_cut(Planted::HidesHome);

    assert_eq!(sound.report.excess, None);
    assert!(broken.report.excess.is_some());
}

/// A daemon stops as planned and starts again on another VM.
fn stop_and_start(planted: Planted) -> World {
    let mut world = busy(3, &[40], planted);
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
    world.run(PROBE_MS);
    world
}

#[test]
fn a_planned_restart_needs_no_handover() {
    let sound = stop_and_start(Planted::Nothing);
    let broken = stop_and_start(Planted::LeavesEarly);

    assert_eq!(sound.report.excess, None);
    assert_eq!(sound.running(0), 40);
    assert!(broken.report.excess.is_some());
}

#[test]
fn random_faults_catch_planted_bugs() {
    for planted in [
        Planted::NoHandover,
        Planted::SumsRepeats,
        Planted::EarlyGiveBack,
    ] {
        let caught = (0..SEEDS).find(|seed| {
            let world = run(*seed, without_limit_changes(), planted);
            world.report.excess.is_some()
        });

        assert!(caught.is_some(), "{planted:?} was not seen");
    }
}
