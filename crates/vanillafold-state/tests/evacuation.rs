//! Tests of requests to evacuate availability zones, and of logs and snapshots of releases that do
//! not know them.

mod common;

use common::{Log, evacuate, restore, restored};
use vanillafold_state::{
    ApplyResult, RefusalReason, Snapshot, SnapshotBuilder, SnapshotChunk, SnapshotError, State,
    Stream,
};
use vanillafold_types::Revision;

/// Records of both streams, the snapshot of the state that they add up to, and its digest, as the
/// release before [`CatalogueChange::EvacuateZone`](vanillafold_state::CatalogueChange) wrote them.
const EARLIER_RELEASE: &str = include_str!("data/before-evacuations.txt");

/// Returns the values of the lines that start with `name`.
fn lines(name: &str) -> impl Iterator<Item = &'static str> {
    EARLIER_RELEASE
        .lines()
        .filter_map(move |line| line.strip_prefix(name)?.strip_prefix(' '))
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2).map(|pair| str::from_utf8(pair));
    digits
        .map(|pair| u8::from_str_radix(pair.unwrap(), 16).unwrap())
        .collect()
}

/// Folds the records of the earlier release.
fn earlier_state() -> State {
    let mut state = State::new();
    for stream in Stream::ALL {
        for record in lines(stream.as_str()) {
            let _ = state.apply(stream, state.next_offset(stream), &from_hex(record));
        }
    }
    state
}

fn only_chunk(snapshot: Snapshot) -> SnapshotChunk {
    snapshot.into_chunks().remove(0)
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
    let state = earlier_state();

    let chunk = only_chunk(state.snapshot());

    let digest = lines("digest").next().unwrap();
    assert_eq!(state.digest().to_string(), digest);
    assert_eq!(
        chunk.bytes,
        from_hex(lines("snapshot").next().unwrap()),
        "another snapshot than that of the earlier release"
    );
    assert_eq!(restored(&state), state);
    assert_eq!(zones(&state), []);
}

#[test]
fn a_zone_is_evacuated_from_the_request_until_its_withdrawal() {
    let mut log = Log::new();

    let requested = [log.catalogue(evacuate("b")), log.catalogue(evacuate("a"))];
    let both = log.state.clone();
    let withdrawn = log.catalogue(restore("b", 1));

    assert_eq!(requested, [ApplyResult::Accepted; 2]);
    assert_eq!(zones(&both), [("a", 2), ("b", 1)]);
    assert_eq!(withdrawn, ApplyResult::Accepted);
    assert_eq!(zones(&log.state), [("a", 2)]);
    let zone = |name: &str| name.parse().unwrap();
    assert_eq!(log.state.evacuation(&zone("a")), Some(Revision::new(2)));
    assert_eq!(log.state.evacuation(&zone("b")), None);
}

/// A withdrawal that is appended late must not undo a request that its author has not seen.
#[test]
fn a_withdrawal_takes_effect_only_on_the_request_that_it_names() {
    use RefusalReason::{EvacuationMismatch, NotEvacuated};
    let mut log = Log::new();
    let _ = log.catalogue(evacuate("a"));
    let _ = log.catalogue(evacuate("a"));

    let applied = [
        log.catalogue(restore("a", 1)),
        log.catalogue(restore("b", 0)),
        log.catalogue(restore("a", 2)),
        log.catalogue(restore("a", 2)),
    ];

    let expected = [
        ApplyResult::Refused(EvacuationMismatch),
        ApplyResult::Refused(NotEvacuated),
        ApplyResult::Accepted,
        ApplyResult::Refused(NotEvacuated),
    ];
    assert_eq!(applied, expected);
    assert_eq!(zones(&log.state), []);
}

/// A snapshot whose zones are missing must not be read as one of a state without evacuations.
#[test]
fn a_snapshot_with_evacuations_is_restored_whole_or_refused() {
    let mut log = Log::with_entries();
    let without = only_chunk(log.state.snapshot()).bytes.len();
    let _ = log.catalogue(evacuate("a"));
    let chunk = only_chunk(log.state.snapshot());
    let zones_at = chunk.bytes.len() - b"\x01\x01a\x02".len();

    assert_eq!(restored(&log.state), log.state);
    assert!(zones_at > without);
    for length in zones_at..chunk.bytes.len() {
        let mut cut = chunk.clone();
        cut.bytes.truncate(length);
        let mut with_more = chunk.clone();
        with_more.bytes.push(0);
        let refused = SnapshotBuilder::new().add_chunk(cut);
        let longer = SnapshotBuilder::new().add_chunk(with_more);
        assert!(
            matches!(refused, Err(SnapshotError::StateMismatch { .. })) == (length == zones_at),
            "{length} bytes: {refused:?}"
        );
        assert!(refused.is_err());
        assert!(matches!(longer, Err(SnapshotError::Malformed { .. })));
    }
}
