//! Tests of requests to evacuate availability zones, and of logs and snapshots of releases that do
//! not know them.

mod common;

use common::{Log, evacuate, restore, restored};
use vanillafold_state::{
    ApplyResult, RefusalReason, SnapshotBuilder, SnapshotChunk, SnapshotError, State, Stream,
};

/// Records of both streams, the snapshot of the state that they add up to, and its digest, as the
/// release before [`CatalogueChange::EvacuateZone`](vanillafold_state::CatalogueChange) wrote them.
const EARLIER_RELEASE: &str = include_str!("data/before-evacuations.txt");

/// Returns the values of the lines that start with `name`.
fn lines(name: &str) -> impl Iterator<Item = &'static str> {
    let lines = EARLIER_RELEASE.lines();
    lines.filter_map(move |line| line.strip_prefix(name)?.strip_prefix(' '))
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2).map(|pair| str::from_utf8(pair));
    digits
        .map(|pair| u8::from_str_radix(pair.unwrap(), 16).unwrap())
        .collect()
}

fn only_chunk(state: &State) -> SnapshotChunk {
    state.snapshot().into_chunks().remove(0)
}

fn zones(state: &State) -> Vec<(&str, u64)> {
    let zones = state.evacuated_zones();
    zones
        .map(|zone| (zone.value.as_str(), zone.revision.get()))
        .collect()
}

/// Daemons of both releases must agree on the state and read each other's snapshots until the first
/// evacuation is requested.
#[test]
fn without_evacuations_the_digest_and_the_snapshot_are_those_of_the_earlier_release() {
    let mut state = State::new();
    for stream in Stream::ALL {
        for record in lines(stream.as_str()) {
            let _ = state.apply(stream, state.next_offset(stream), &from_hex(record));
        }
    }

    let snapshot = from_hex(lines("snapshot").next().unwrap());

    let digest = lines("digest").next();
    assert_eq!(Some(state.digest().to_string().as_str()), digest);
    assert_eq!(only_chunk(&state).bytes, snapshot);
    assert_eq!(restored(&state), state);
}

/// A withdrawal that is appended late must not undo a request that its author has not seen.
#[test]
fn a_zone_is_evacuated_from_the_latest_request_until_its_withdrawal() {
    use RefusalReason::{EvacuationMismatch, NotEvacuated};
    let mut log = Log::new();
    for zone in ["b", "a", "a"] {
        assert_eq!(log.catalogue(evacuate(zone)), ApplyResult::Accepted);
    }
    let requested = log.state.clone();

    let withdrawn = [("a", 2), ("c", 0), ("a", 3), ("a", 3)]
        .map(|(zone, revision)| log.catalogue(restore(zone, revision)));

    let expected = [
        ApplyResult::Refused(EvacuationMismatch),
        ApplyResult::Refused(NotEvacuated),
        ApplyResult::Accepted,
        ApplyResult::Refused(NotEvacuated),
    ];
    assert_eq!(zones(&requested), [("a", 3), ("b", 1)]);
    assert_eq!(withdrawn, expected);
    assert_eq!(zones(&log.state), [("b", 1)]);
}

/// A snapshot whose zones are missing must not be read as one of a state without evacuations.
#[test]
fn a_snapshot_with_evacuations_is_restored_whole_or_refused() {
    let mut log = Log::with_entries();
    let _ = log.catalogue(evacuate("a"));
    let chunk = only_chunk(&log.state);
    let zones_at = chunk.bytes.len() - b"\x01\x01a\x02".len();
    let refusal = |length| {
        let mut changed = chunk.clone();
        changed.bytes.resize(length, 0);
        SnapshotBuilder::new().add_chunk(changed).unwrap_err()
    };

    assert_eq!(restored(&log.state), log.state);
    let without = refusal(zones_at);
    assert!(matches!(without, SnapshotError::StateMismatch { .. }));
    for length in [zones_at + 1, chunk.bytes.len() - 1, chunk.bytes.len() + 1] {
        let refused = refusal(length);
        assert!(matches!(refused, SnapshotError::Malformed { .. }));
    }
}
