//! Records and snapshots of other writers, with the largest numbers and lengths in any place.

mod common;

use common::script::Step;
use common::{Log, replay};
use quickcheck::{Arbitrary, Gen};
use vanillafold_state::{SnapshotBuilder, SnapshotChunk, State, Stream};
use vanillafold_types::Offset;

const SEED: u64 = 0x6578_7472;
/// Random logs of which each record is changed in each place.
const LOGS: usize = 1;
const STEPS: usize = 25;

/// Encodings of the largest numbers and of the smallest: the marker of the width, then the number.
const NUMBERS: [&[u8]; 4] = [
    &[253, 255, 255, 255, 255, 255, 255, 255, 255],
    &[252, 255, 255, 255, 255],
    &[251, 255, 255],
    &[0],
];

/// Returns a log of random records.
fn random_log(g: &mut Gen) -> Log {
    let mut log = Log::with_entries();
    for _ in 0..STEPS {
        let _ = Step::arbitrary(g).run(&mut log);
    }
    log
}

/// Returns the bytes with one place replaced by a number.
fn with_number(bytes: &[u8], place: usize, number: &[u8]) -> Vec<u8> {
    let mut changed = bytes.to_vec();
    changed.splice(place..=place, number.iter().copied());
    changed
}

/// Applies bytes as the next record of a stream, and then the log's records as further ones.
fn apply_all(mut state: State, stream: Stream, bytes: &[u8], log: &Log) -> State {
    let _ = state.apply(stream, state.next_offset(stream), bytes);
    for record in log.records.iter().take(4) {
        let offset = state.next_offset(record.stream);
        let _ = state.apply(record.stream, offset, &record.bytes);
    }
    state
}

#[test]
fn a_record_with_any_number_in_any_place_is_applied_or_refused() {
    let mut g = Gen::from_size_and_seed(STEPS, SEED);
    for _ in 0..LOGS {
        let log = random_log(&mut g);
        for (at, record) in log.records.iter().enumerate() {
            let before = replay(&log.records[..at]);
            for place in 0..record.bytes.len().min(60) {
                for number in NUMBERS {
                    let bytes = with_number(&record.bytes, place, number);

                    let once = apply_all(before.clone(), record.stream, &bytes, &log);

                    assert_eq!(once, common::restored(&once));
                }
            }
        }
    }
}

#[test]
fn a_chunk_with_any_number_in_any_place_is_taken_or_refused() {
    let mut g = Gen::from_size_and_seed(STEPS, SEED);
    let chunk = random_log(&mut g).state.snapshot().into_chunks().remove(0);
    for place in 0..chunk.bytes.len() {
        for number in NUMBERS {
            let changed = SnapshotChunk {
                bytes: with_number(&chunk.bytes, place, number),
                ..chunk.clone()
            };

            let added = SnapshotBuilder::new().add_chunk(changed.clone());

            // The digest tells the changed state from the one that was split.
            assert!(changed == chunk || !matches!(added, Ok(Some(_))));
        }
    }
}

#[test]
fn an_offset_at_the_end_of_the_range_is_no_next_one() {
    let log = Log::with_entries();
    for stream in Stream::ALL {
        for offset in [u64::MAX, u64::MAX - 1, 1 << 63] {
            let mut state = log.state.clone();

            let applied = state.apply(stream, Offset::new(offset), &log.records[0].bytes);

            assert_eq!(
                state.next_offset(stream),
                log.state.next_offset(stream),
                "{applied:?}"
            );
        }
    }
}
