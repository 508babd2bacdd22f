//! Random runs without violations pass, and one random violation in them is found.

use quickcheck::{Arbitrary, Gen};
use vanillafold_standin::audit::{Invariant, Report, audit_dir};
use vanillafold_standin::trace::TraceEvent;

use crate::clean::clean_run;
use crate::events::{call, non_idempotent, renamed};
use crate::faults::{FAULTS, change_received, drop_received};
use crate::run::{SETTLE, failed_invariants, failures, fresh_dir, write};

/// How a request of a random run without violations ends.
#[derive(Debug, Clone, Copy)]
enum Shape {
    Answered,
    Refused,
}

#[derive(Debug)]
struct RandomRequest {
    id: String,
    shape: Shape,
    at_ms: u64,
}

fn below(random: &mut Gen, bound: u64) -> u64 {
    u64::arbitrary(random) % bound
}

fn random_requests(random: &mut Gen) -> Vec<RandomRequest> {
    let count = 1 + below(random, 40);
    let requests = (0..count).map(|index| RandomRequest {
        id: format!("q{index}"),
        shape: *random.choose(&[Shape::Answered, Shape::Refused]).unwrap(),
        at_ms: 1_000 + 30 * index,
    });
    requests.collect()
}

fn events_of(request: &RandomRequest) -> Vec<TraceEvent> {
    let call = non_idempotent("", "kc:c");
    let events = match request.shape {
        Shape::Answered => call.answered(request.at_ms, "v9"),
        Shape::Refused => call.refused(request.at_ms, 301),
    };
    let events = events.into_iter();
    events.map(|event| renamed(event, &request.id)).collect()
}

/// Makes one request violate an invariant and returns the invariants that must fail.
fn break_request(
    random: &mut Gen,
    events: &mut Vec<TraceEvent>,
    request: &RandomRequest,
) -> Vec<Invariant> {
    let again = |event| renamed(event, &request.id);
    let call = call("", "kc:c");
    match (request.shape, below(random, 3)) {
        (_, 0) => {
            drop_received(events, &request.id);
            vec![Invariant::WholeAnswer]
        }
        (Shape::Answered, 1) => {
            change_received(events, &request.id, |received| received.whole = false);
            vec![Invariant::WholeAnswer]
        }
        (Shape::Answered, _) => {
            let at_ms = request.at_ms + 1 + below(random, 5_000);
            events.push(again(call.start(at_ms, "v8")));
            events.push(again(call.end(at_ms + 1, "v8")));
            vec![Invariant::AtMostOnce]
        }
        (Shape::Refused, _) => {
            let at_ms = request.at_ms + below(random, 5_000);
            events.push(again(call.start(at_ms, "v8")));
            events.push(again(call.end(at_ms + 1, "v8")));
            vec![Invariant::NotRunTrue]
        }
    }
}

/// Distributes the events over up to five files, in random order, and audits them.
fn audit_shuffled(random: &mut Gen, name: &str, mut events: Vec<TraceEvent>) -> Report {
    let dir = fresh_dir(name);
    let files = 1 + below(random, 5);
    let mut parts: Vec<Vec<TraceEvent>> = vec![Vec::new(); files as usize];
    while !events.is_empty() {
        let index = below(random, events.len() as u64) as usize;
        let part = below(random, files) as usize;
        parts[part].push(events.swap_remove(index));
    }
    for (index, part) in parts.iter().enumerate() {
        write(&dir, &format!("part-{index}"), part);
    }
    audit_dir(&dir, SETTLE).unwrap()
}

#[test]
fn random_runs_pass_and_one_random_violation_is_found() {
    for seed in 0..100 {
        let mut random = Gen::from_size_and_seed(100, seed);
        let requests = random_requests(&mut random);
        let extra = requests.iter().flat_map(events_of);
        let clean: Vec<TraceEvent> = clean_run().into_iter().chain(extra).collect();
        let mut broken = clean.clone();
        let mut faulty = clean.clone();
        let fault = random.choose(FAULTS).unwrap();
        let victim = random.choose(&requests).unwrap();

        (fault.inject)(&mut faulty);
        let expected = break_request(&mut random, &mut broken, victim);
        let clean = audit_shuffled(&mut random, "random-clean", clean);
        let faulty = audit_shuffled(&mut random, "random-fault", faulty);
        let broken = audit_shuffled(&mut random, "random-broken", broken);

        assert_eq!(failed_invariants(&clean), [], "seed {seed}");
        let failed = failures(&faulty);
        let invariant_name = fault.line.split(' ').nth(1).unwrap();
        assert_eq!(failed.len(), 1, "seed {seed}: {failed:?}");
        assert!(
            failed[0].contains(invariant_name),
            "seed {seed}: {failed:?}"
        );
        assert_eq!(
            failed_invariants(&broken),
            expected,
            "seed {seed}: {victim:?}"
        );
    }
}
