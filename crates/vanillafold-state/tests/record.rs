//! Tests of the encoding of records and of the numbers of the refusal reasons.

mod common;

use common::{Log, author, pool, put, remove};
use vanillafold_state::{
    CatalogueChange, CatalogueRecord, ControlRecord, Entry, FORMAT_VERSION, MAX_CHUNK_BYTES,
    MAX_RECORD_BYTES, RecordError, RefusalReason, SnapshotChunk, Stream,
};
use vanillafold_types::{EntryName, Offset, Sequence};

fn record(change: CatalogueChange) -> CatalogueRecord {
    CatalogueRecord {
        author: author("ana@example.org"),
        sequence: Sequence::new(7),
        as_of: Offset::new(3),
        change,
    }
}

#[test]
fn a_record_round_trips_through_its_encoding() {
    let record = record(CatalogueChange::Edit(vec![put(Entry::Pool(pool("p")), 2)]));

    let bytes = record.encode().unwrap();

    assert_eq!(bytes[0], FORMAT_VERSION);
    assert_eq!(CatalogueRecord::decode(&bytes), Ok(record));
}

#[test]
fn the_largest_edit_that_can_be_encoded_can_be_decoded() {
    let edit = remove(EntryName::Pool("p".parse().unwrap()), 1);
    let mut edits = vec![edit.clone(); MAX_RECORD_BYTES / 5];
    let bytes = loop {
        match record(CatalogueChange::Edit(edits.clone())).encode() {
            Ok(bytes) => break bytes,
            Err(_) => edits.truncate(edits.len() - 100),
        }
    };

    let decoded = CatalogueRecord::decode(&bytes);

    assert!(bytes.len() > MAX_RECORD_BYTES - 1_000);
    assert_eq!(decoded, Ok(record(CatalogueChange::Edit(edits))));
}

#[test]
fn an_edit_that_is_too_large_is_not_encoded() {
    let edits = vec![put(Entry::Pool(pool("p")), 1); MAX_RECORD_BYTES / 10];

    let result = record(CatalogueChange::Edit(edits)).encode();

    assert!(matches!(result, Err(RecordError::TooLarge { .. })));
}

#[test]
fn each_kind_of_invalid_bytes_has_its_own_error() {
    let good = record(CatalogueChange::WithdrawKey("k".parse().unwrap()))
        .encode()
        .unwrap();
    let with_version = |version: u8| [&[version], &good[1..]].concat();
    let with_tail = [good.as_slice(), &[0, 0]].concat();

    let decode = |bytes: &[u8]| CatalogueRecord::decode(bytes).unwrap_err();

    assert_eq!(decode(&[]), RecordError::Empty);
    assert_eq!(decode(&with_version(2)), RecordError::Version { found: 2 });
    assert_eq!(
        decode(&with_tail),
        RecordError::TrailingBytes { extra_bytes: 2 }
    );
    assert!(matches!(
        decode(&good[..good.len() - 1]),
        RecordError::Malformed { .. }
    ));
    assert!(matches!(
        decode(&vec![FORMAT_VERSION; MAX_RECORD_BYTES + 1]),
        RecordError::TooLarge { .. }
    ));
}

#[test]
fn the_largest_snapshot_chunk_fits_into_a_record() {
    let mut log = Log::new();
    let id = log.state.snapshot().id();
    let chunk = SnapshotChunk {
        id,
        index: u32::MAX,
        count: u32::MAX,
        bytes: vec![0xff; MAX_CHUNK_BYTES],
    };
    let record = ControlRecord {
        author: author(&"a".repeat(64)),
        sequence: Sequence::new(u64::MAX),
        as_of: Offset::new(u64::MAX),
        ..log.control_record(vanillafold_state::ControlChange::Snapshot(chunk))
    };

    let bytes = record.encode().unwrap();

    assert_eq!(ControlRecord::decode(&bytes), Ok(record));
}

#[test]
fn streams_and_digests_round_trip_through_text() {
    let digest = Log::with_entries().state.digest();

    assert_eq!(digest.to_string().parse(), Ok(digest));
    assert!("é".repeat(32).parse::<vanillafold_state::Digest>().is_err());
    for stream in Stream::ALL {
        assert_eq!(stream.to_string().parse(), Ok(stream));
    }
}

#[test]
fn each_refusal_has_a_unique_number_and_is_listed_in_the_design_note() {
    let note = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../docs/design/0001-fold.md"
    );
    let note = std::fs::read_to_string(note).unwrap();

    for reason in RefusalReason::ALL {
        let row = format!("| {} | `{}` |", reason.number(), reason.label());
        assert!(note.contains(&row), "the design note lacks the row {row}");
        assert_eq!(RefusalReason::from_number(reason.number()), Some(*reason));
    }
    assert!(RefusalReason::ALL.is_sorted_by_key(|reason| reason.number()));
    assert_eq!(RefusalReason::from_number(0), None);
}
