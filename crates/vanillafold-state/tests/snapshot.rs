//! Tests of snapshots: splitting into chunks, assembling, and merging of the restored state.

mod common;

use common::{Log, author, move_vm, replay, restored};
use vanillafold_state::{
    ApplyResult, ControlChange, MAX_CHUNK_BYTES, SnapshotBuilder, SnapshotChunk, SnapshotError,
    State, Stream,
};
use vanillafold_types::Sequence;

/// Returns a log whose snapshot has several chunks.
fn large_log() -> Log {
    let mut log = Log::with_entries();
    let _ = log.give_key("k", "t");
    let _ = log.withdraw_key("k");
    for index in 0..4_000 {
        let vm = format!("vm-with-a-rather-long-name-{index}");
        assert_eq!(
            log.control(move_vm(&vm, "p", "spare", 0)),
            ApplyResult::Accepted
        );
    }
    log
}

fn build(chunks: impl IntoIterator<Item = SnapshotChunk>) -> Option<State> {
    let mut builder = SnapshotBuilder::new();
    chunks
        .into_iter()
        .filter_map(|chunk| builder.add_chunk(chunk).unwrap())
        .next()
}

#[test]
fn chunks_give_the_same_state_in_any_order_and_with_repeats() {
    let log = large_log();
    let chunks = log.state.snapshot().into_chunks();
    let repeated: Vec<_> = chunks
        .iter()
        .flat_map(|chunk| [chunk.clone(), chunk.clone()])
        .collect();

    let states = [
        build(chunks.clone()),
        build(chunks.iter().rev().cloned()),
        build(repeated),
    ];

    assert!(chunks.len() > 2);
    assert!(
        chunks
            .iter()
            .all(|chunk| chunk.bytes.len() <= MAX_CHUNK_BYTES)
    );
    for state in states {
        assert_eq!(state.as_ref(), Some(&log.state));
    }
    assert_eq!(build(chunks[1..].to_vec()), None);
}

#[test]
fn daemons_at_the_same_offsets_make_the_same_snapshot() {
    let log = large_log();

    let snapshot = log.state.snapshot();

    assert_eq!(restored(&log.state).snapshot(), snapshot);
    assert_eq!(replay(&log.records).snapshot(), snapshot);
}

#[test]
fn chunks_of_two_snapshots_may_be_mixed() {
    let mut log = large_log();
    let first = log.state.snapshot().into_chunks();
    let first_state = log.state.clone();
    let _ = log.control(move_vm("v", "p", "spare", 0));
    let second = log.state.snapshot().into_chunks();
    let mixed = first
        .into_iter()
        .zip(second)
        .flat_map(|(left, right)| [left, right]);

    let mut builder = SnapshotBuilder::new();
    let states: Vec<_> = mixed
        .filter_map(|chunk| builder.add_chunk(chunk).unwrap())
        .collect();

    assert_eq!(states, [first_state, log.state]);
}

#[test]
fn an_invalid_chunk_is_refused() {
    let chunks = large_log().state.snapshot().into_chunks();
    let mut builder = SnapshotBuilder::new();
    let mut add_changed = |change: fn(&mut SnapshotChunk)| {
        let mut chunk = chunks[0].clone();
        change(&mut chunk);
        builder.add_chunk(chunk)
    };

    let no_count = add_changed(|chunk| chunk.count = 0);
    let no_index = add_changed(|chunk| chunk.index = chunk.count);
    let no_bytes = add_changed(|chunk| chunk.bytes.clear());
    let flipped = add_changed(|chunk| chunk.bytes[100] ^= 1);
    let conflict = add_changed(|_| {});

    assert!(matches!(no_count, Err(SnapshotError::InvalidChunk { .. })));
    assert!(matches!(no_index, Err(SnapshotError::InvalidChunk { .. })));
    assert!(matches!(no_bytes, Err(SnapshotError::InvalidChunk { .. })));
    assert_eq!(flipped, Ok(None));
    assert!(matches!(conflict, Err(SnapshotError::Conflict { .. })));
}

#[test]
fn a_snapshot_with_a_flipped_bit_is_refused() {
    let chunks = large_log().state.snapshot().into_chunks();
    let positions = (0..chunks[0].bytes.len()).step_by(997);

    for position in positions {
        let mut builder = SnapshotBuilder::new();
        let mut wrong = chunks.clone();
        wrong[0].bytes[position] ^= 0x10;
        let last = wrong
            .into_iter()
            .map(|chunk| builder.add_chunk(chunk))
            .last()
            .unwrap();
        assert!(
            last.is_err(),
            "flipped bit in byte {position} was not detected"
        );
        // After the error the builder accepts the chunks of an intact copy.
        let good = chunks
            .iter()
            .cloned()
            .map(|chunk| builder.add_chunk(chunk))
            .last()
            .unwrap();
        assert!(matches!(good, Ok(Some(_))));
    }
}

/// The digest doesn't depend on the order of the entries, so it would not detect such a snapshot,
/// and binary searches in the restored state would miss entries.
#[test]
fn a_snapshot_with_unsorted_entries_is_refused() {
    let mut log = Log::new();
    let _ = log.control(move_vm("vm-1", "home", "p", 0));
    let _ = log.control(move_vm("vm-2", "home", "p", 0));
    let mut chunk = log.state.snapshot().into_chunks().remove(0);
    let sorted = b"\x04vm-1\x01p\x01\x04vm-2\x01p\x02";
    let position = |bytes: &[u8]| {
        bytes
            .windows(sorted.len())
            .position(|window| window == sorted)
    };
    let at = position(&chunk.bytes).unwrap();

    chunk.bytes[at..at + sorted.len()].rotate_left(sorted.len() / 2);

    let result = SnapshotBuilder::new().add_chunk(chunk);
    assert!(matches!(result, Err(SnapshotError::Malformed { .. })));
}

#[test]
fn a_chunk_in_the_log_is_accepted_and_has_no_outcome() {
    let mut log = Log::with_entries();
    let chunk = log.state.snapshot().into_chunks().remove(0);
    let record = log.control_record(ControlChange::Snapshot(chunk));
    let sequence = record.sequence;
    let bytes = record.encode().unwrap();

    let applied = [0; 2].map(|_| log.append(Stream::Control, bytes.clone()));

    assert_eq!(applied, [ApplyResult::Accepted; 2]);
    let outcome = log
        .state
        .outcome(Stream::Control, &author("daemon-1"), sequence);
    assert!(sequence > Sequence::ZERO && outcome.is_none());
}

#[test]
fn merging_takes_only_the_later_part_of_each_stream() {
    let mut log = Log::with_entries();
    let old = log.state.clone();
    let _ = log.give_key("k", "t");
    let newer_catalogue = log.state.clone();
    let mut newer_control = old.clone();
    let bytes = log
        .control_record(move_vm("v", "p", "a", 0))
        .encode()
        .unwrap();
    let _ = newer_control.apply(Stream::Control, old.next_offset(Stream::Control), &bytes);

    let mut state = newer_catalogue.clone();
    let older = state.merge(old);
    let same = state.merge(newer_catalogue.clone());
    let mixed = state.merge(newer_control.clone());

    assert_eq!(older, Err(SnapshotError::Older));
    assert_eq!(same, Ok(()));
    assert_eq!(mixed, Ok(()));
    assert_eq!(
        Stream::ALL.map(|stream| state.stream_digest(stream)),
        [
            newer_catalogue.stream_digest(Stream::Catalogue),
            newer_control.stream_digest(Stream::Control)
        ]
    );
}

#[test]
fn merging_different_states_of_one_offset_is_an_error() {
    let (mut left, mut right) = (Log::with_entries(), Log::with_entries());
    let _ = left.control(move_vm("v", "p", "a", 0));
    let _ = right.control(move_vm("v", "p", "b", 0));
    let before = left.state.clone();

    let result = left.state.merge(right.state);

    assert!(matches!(
        result,
        Err(SnapshotError::Diverged {
            stream: Stream::Control,
            ..
        })
    ));
    assert_eq!(left.state, before);
}
