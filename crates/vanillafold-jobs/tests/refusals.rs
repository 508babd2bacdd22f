//! Refusals hold for the submissions that were received before them.

use vanillafold_jobs::{DeliveryCheck, JobId, Refusals};
use vanillafold_policy::MonotonicMillis;

fn id(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("a job id")
}

const fn at(ms: u64) -> MonotonicMillis {
    MonotonicMillis::new(ms)
}

fn refused_at(ms: u64) -> Refusals {
    let mut refusals = Refusals::default();
    refusals.add(id(1), at(ms));
    refusals
}

#[test]
fn a_refusal_holds_for_submissions_received_until_then() {
    let refusals = refused_at(5_000);

    let before = refusals.check(id(1), at(4_000), at(6_000));
    let at_once = refusals.check(id(1), at(5_000), at(6_000));
    let after = refusals.check(id(1), at(5_001), at(6_000));
    let other = refusals.check(id(2), at(4_000), at(6_000));

    assert_eq!(before, DeliveryCheck::Refused);
    assert_eq!(at_once, DeliveryCheck::Refused);
    assert_eq!(after, DeliveryCheck::Current);
    assert_eq!(other, DeliveryCheck::Current);
}

#[test]
fn a_later_refusal_takes_the_place_of_an_earlier_one() {
    let mut refusals = refused_at(5_000);

    refusals.add(id(1), at(7_000));

    let between = refusals.check(id(1), at(6_000), at(8_000));
    assert_eq!(between, DeliveryCheck::Refused);
}

// A refusal is forgotten only when every submission that it holds for is outdated.
#[test]
fn no_submission_from_before_a_refusal_is_ever_current() {
    for pruned_at in (5_000..40_000).step_by(500) {
        let mut refusals = refused_at(5_000);
        refusals.add(id(2), at(pruned_at));
        for checked_at in (pruned_at..40_000).step_by(500) {
            let check = refusals.check(id(1), at(4_999), at(checked_at));

            assert_ne!(check, DeliveryCheck::Current, "{pruned_at} {checked_at}");
        }
    }
}
