//! The static split of a limit into home, floor and surplus units. If a share shrank when the limit
//! grows, daemons that know different revisions of a limit could together exceed both.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use vanillafold_state::{floor_units, home_units};
use vanillafold_types::{Limit, Percent, TeamId};

const GEN_SIZE: usize = 64;
const SEED: u64 = 6;

#[derive(Debug, Clone)]
struct Split {
    team: TeamId,
    limit: u32,
    daemons: usize,
}

impl Arbitrary for Split {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            team: format!("team-{}", u8::arbitrary(g)).parse().unwrap(),
            limit: u32::arbitrary(g) % 5_000,
            daemons: 1 + usize::arbitrary(g) % 64,
        }
    }
}

impl Split {
    fn homes(self, limit: u32) -> Vec<u32> {
        (0..self.daemons)
            .map(|index| home_units(&self.team, Limit::new(limit), index, self.daemons))
            .collect()
    }
}

fn check(property: fn(Split) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .quickcheck(property);
}

#[test]
fn homes_add_up_to_the_limit() {
    fn property(split: Split) -> bool {
        let limit = split.limit;
        split.homes(limit).iter().sum::<u32>() == limit
    }
    check(property);
}

#[test]
fn no_home_shrinks_when_the_limit_grows() {
    fn property(split: Split) -> bool {
        let limit = split.limit;
        let (now, more) = (split.clone().homes(limit), split.homes(limit + 1));
        now.iter().zip(&more).all(|(now, more)| now <= more)
    }
    check(property);
}

#[test]
fn neither_floor_nor_surplus_shrinks_when_the_limit_grows() {
    fn property(split: Split) -> bool {
        let limit = split.limit;
        let (now, more) = (split.clone().homes(limit), split.homes(limit + 1));
        now.iter().zip(&more).all(|(now, more)| {
            [0, 1, 33, 50, 99, 100]
                .map(Percent::new)
                .iter()
                .all(|part| {
                    let (floor, more_floor) = (floor_units(*now, *part), floor_units(*more, *part));
                    floor <= more_floor && now - floor <= more - more_floor
                })
        })
    }
    check(property);
}

#[test]
fn small_limits_fall_to_different_daemons() {
    let homes_of_one_unit = (0..64).map(|team| {
        let split = Split {
            team: format!("team-{team}").parse().unwrap(),
            limit: 1,
            daemons: 8,
        };
        split.homes(1).iter().position(|home| *home == 1).unwrap()
    });

    let mut daemons: Vec<usize> = homes_of_one_unit.collect();
    daemons.sort_unstable();
    daemons.dedup();

    assert_eq!(daemons, [0, 1, 2, 3, 4, 5, 6, 7]);
}
