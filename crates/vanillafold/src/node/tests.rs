//! Tests of the units that a daemon may use.

use quickcheck::{Arbitrary, Gen};
use vanillafold_types::{Limit, TeamId};

use super::{TeamRuntime, static_share};

const SEED: u64 = 20_261_204;
const ROUNDS: u32 = 2_000;

fn shares(limit: u32, daemons: usize) -> Vec<u32> {
    let share = |index| static_share(Limit::new(limit), index, daemons);
    (0..daemons).map(share).collect()
}

/// A limit and a size of the fleet.
fn case(rng: &mut Gen) -> (u32, usize) {
    (
        u32::arbitrary(rng) % 10_000_001,
        1 + usize::arbitrary(rng) % 40,
    )
}

#[test]
fn the_shares_of_a_fleet_add_up_to_the_limit() {
    let mut rng = Gen::from_size_and_seed(100, SEED);
    for _ in 0..ROUNDS {
        let (limit, daemons) = case(&mut rng);
        assert_eq!(
            shares(limit, daemons).iter().sum::<u32>(),
            limit,
            "{daemons}"
        );
    }
}

#[test]
fn no_two_shares_differ_by_more_than_one() {
    let mut rng = Gen::from_size_and_seed(100, SEED);
    for _ in 0..ROUNDS {
        let (limit, daemons) = case(&mut rng);
        let shares = shares(limit, daemons);
        let (least, most) = (shares.iter().min(), shares.iter().max());
        assert!(
            most.zip(least)
                .is_some_and(|(most, least)| most - least <= 1),
            "{shares:?}"
        );
    }
}

#[test]
fn two_revisions_of_a_limit_together_stay_within_the_larger() {
    let mut rng = Gen::from_size_and_seed(100, SEED);
    for _ in 0..ROUNDS {
        let (one, daemons) = case(&mut rng);
        let (other, _) = case(&mut rng);
        // Each daemon holds either revision.
        let mixed: u32 = shares(one, daemons)
            .iter()
            .zip(shares(other, daemons))
            .map(|(one, other)| match bool::arbitrary(&mut rng) {
                true => *one,
                false => other,
            })
            .sum();
        assert!(mixed <= one.max(other), "{one} {other} {daemons}");
    }
}

#[test]
fn a_daemon_that_is_not_of_the_fleet_has_its_share_only() {
    assert_eq!(static_share(Limit::new(5), 0, 0), 5);
    assert_eq!(static_share(Limit::new(5), 7, 3), 1);
}

#[test]
fn units_are_taken_up_to_the_allowance_and_given_back() {
    let team = TeamRuntime::new("cafes".parse::<TeamId>().expect("a team"));
    assert!(team.try_take().is_none());
    team.set_allowance(2);

    let first = team.try_take().expect("a unit");
    let second = team.try_take().expect("a unit");

    assert!(team.try_take().is_none());
    assert_eq!(team.held(), 2);
    team.set_allowance(1);
    drop(first);
    assert!(team.try_take().is_none(), "one is held and one allowed");
    drop(second);
    assert!(team.try_take().is_some());
}
