//! The random choices that the load generator draws from its seed, and the parsing of its options.

use quickcheck::{Gen, QuickCheck};
use vanillafold_standin::load::{
    Arrival, Arrivals, Burst, CallerKey, Distribution, QueueWeight, Target,
};
use vanillafold_standin::process::Random;
use vanillafold_types::QueueId;

fn queue(name: &str) -> QueueId {
    name.parse().expect("a queue")
}

fn bursts(texts: &[&str]) -> Vec<Burst> {
    let bursts = texts.iter().map(|text| text.parse().expect("a burst"));
    bursts.collect()
}

/// Returns the arrivals of two queues with 1,000 requests per second each, up to `seconds`.
fn arrivals(seed: u64, bursts: &[Burst], seconds: f64) -> Vec<Arrival> {
    let rates = [(queue("quotes"), 1_000.0), (queue("orders"), 1_000.0)];
    Arrivals::new(&rates, bursts, &mut Random::new(seed))
        .take_while(|arrival| arrival.at.as_secs_f64() < seconds)
        .collect()
}

fn count_between(arrivals: &[Arrival], queue: usize, from_s: f64, to_s: f64) -> f64 {
    let inside = arrivals.iter().filter(|arrival| {
        let at_s = arrival.at.as_secs_f64();
        arrival.queue == queue && from_s <= at_s && at_s < to_s
    });
    inside.count() as f64
}

/// Returns `true` if a Poisson count is within 6 standard deviations of its mean.
fn is_near_poisson_mean(count: f64, mean: f64) -> bool {
    (count - mean).abs() <= 6.0 * mean.sqrt()
}

#[test]
fn arrivals_come_in_order_at_their_rate() {
    fn holds(seed: u64) -> bool {
        let arrivals = arrivals(seed, &[], 2.0);
        let sorted = arrivals.is_sorted_by_key(|arrival| arrival.at);
        let each = (0..2)
            .all(|queue| is_near_poisson_mean(count_between(&arrivals, queue, 0.0, 2.0), 2_000.0));
        sorted && each
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 1))
        .tests(50)
        .quickcheck(holds as fn(u64) -> bool);
}

#[test]
fn a_burst_multiplies_the_rate_of_its_queue_only() {
    fn holds(seed: u64) -> bool {
        let bursts = bursts(&["quotes:5@1000+1000", "quotes:0.05@2000+1000"]);
        let arrivals = arrivals(seed, &bursts, 4.0);
        let quotes = [(0.0, 1_000.0), (1.0, 5_000.0), (2.0, 50.0), (3.0, 1_000.0)];
        let of_quotes = quotes.iter().all(|(from_s, mean)| {
            is_near_poisson_mean(count_between(&arrivals, 0, *from_s, from_s + 1.0), *mean)
        });
        of_quotes && is_near_poisson_mean(count_between(&arrivals, 1, 0.0, 4.0), 4_000.0)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 2))
        .tests(50)
        .quickcheck(holds as fn(u64) -> bool);
}

#[test]
fn a_rate_of_zero_sends_nothing_and_ends() {
    let arrivals = arrivals(1, &bursts(&["0@500+1000"]), 2.0);

    assert!(count_between(&arrivals, 0, 0.5, 1.5) < 1.0);
    assert!(count_between(&arrivals, 0, 1.5, 2.0) > 1.0);
}

#[test]
fn the_same_seed_gives_the_same_arrivals() {
    assert_eq!(arrivals(3, &[], 1.0), arrivals(3, &[], 1.0));
    assert_ne!(arrivals(3, &[], 1.0), arrivals(4, &[], 1.0));
}

#[test]
fn uniform_numbers_stay_within_their_bounds() {
    fn holds(seed: u64, first: u32, width: u32) -> bool {
        let (first, last) = (u64::from(first), u64::from(first) + u64::from(width));
        let distribution = Distribution::Uniform { first, last };
        let mut random = Random::new(seed);
        (0..100).all(|_| (first..=last).contains(&distribution.sample(&mut random)))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 3))
        .tests(100)
        .quickcheck(holds as fn(u64, u32, u32) -> bool);
}

#[test]
fn options_are_parsed_from_text() {
    let uniform: Distribution = "5..50".parse().expect("a distribution");
    let exponential: Distribution = "exp:20".parse().expect("a distribution");
    let constant: Distribution = "7".parse().expect("a distribution");
    let weighted: QueueWeight = "quotes*2.5".parse().expect("a queue");
    let key: CallerKey = "cafes=k1.secret*3".parse().expect("a key");
    let unknown: CallerKey = "k2.secret".parse().expect("a key");
    let named: Target = "daemon-1=127.0.0.1:80".parse().expect("a target");

    assert_eq!(uniform, Distribution::Uniform { first: 5, last: 50 });
    assert_eq!(exponential, Distribution::Exponential { mean: 20 });
    assert_eq!(constant, Distribution::Constant(7));
    assert_eq!((weighted.queue.as_str(), weighted.weight), ("quotes", 2.5));
    assert_eq!((key.key.as_str(), key.weight), ("k1.secret", 3.0));
    assert_eq!(
        key.team.map(|team| team.to_string()).as_deref(),
        Some("cafes")
    );
    assert_eq!(unknown.team, None);
    assert_eq!(
        named.name.map(|name| name.to_string()).as_deref(),
        Some("daemon-1")
    );
}

#[test]
fn invalid_options_are_rejected() {
    for text in ["", "50..5", "exp:", "-1", "5..", "1..18446744073709551615"] {
        assert!(text.parse::<Distribution>().is_err(), "{text}");
    }
    for text in ["", "5", "5@1000", "x@1+1", "-1@1+1", "inf@1+1", "a b:5@1+1"] {
        assert!(text.parse::<Burst>().is_err(), "{text}");
    }
    for text in ["", "quotes*", "quotes*0", "quotes*nan", "a b"] {
        assert!(text.parse::<QueueWeight>().is_err(), "{text}");
    }
    for text in ["", "cafes=", "a b=k", "k\r\n", "k*-1"] {
        assert!(text.parse::<CallerKey>().is_err(), "{text}");
    }
}
