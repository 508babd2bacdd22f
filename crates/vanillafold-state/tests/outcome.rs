//! Records that are repeated, late or out of order: an author that lost the answer to an append
//! appends the record again, and it must take effect once.

mod common;

use common::{Log, author, move_vm, pool, put, restored};
use vanillafold_state::{
    ApplyResult, CatalogueChange, Entry, OUTCOMES_PER_AUTHOR, OutOfOrder, RECORD_WINDOW,
    RefusalReason, State, Stream, Verdict,
};
use vanillafold_types::{Offset, Sequence};

/// Returns a record whose only purpose is to take the author's next sequence.
fn withdrawal(log: &mut Log) -> Vec<u8> {
    let change = CatalogueChange::WithdrawKey("k".parse().unwrap());
    log.catalogue_record(change).encode().unwrap()
}

fn verdict(state: &State, sequence: u64) -> Option<Verdict> {
    state
        .outcome(Stream::Catalogue, &author("ana"), Sequence::new(sequence))
        .map(|outcome| outcome.verdict)
}

#[test]
fn a_repeated_record_has_the_outcome_of_the_first() {
    let mut log = Log::new();
    let good = log.catalogue_record(CatalogueChange::Edit(vec![put(Entry::Pool(pool("x")), 0)]));
    let bad = log.catalogue_record(CatalogueChange::Edit(vec![put(Entry::Pool(pool("x")), 9)]));
    let records = [good.encode().unwrap(), bad.encode().unwrap()];
    let refused = Verdict::Refused(RefusalReason::RevisionMismatch);

    let first = records
        .clone()
        .map(|bytes| log.append(Stream::Catalogue, bytes));
    let state = log.state.clone();
    let again = records.map(|bytes| log.append(Stream::Catalogue, bytes));

    assert_eq!(
        first,
        [
            ApplyResult::Accepted,
            ApplyResult::Refused(RefusalReason::RevisionMismatch)
        ]
    );
    assert_eq!(
        again,
        [Verdict::Accepted, refused].map(ApplyResult::Repeated)
    );
    assert!(log.state.pools().eq(state.pools()));
    assert_eq!(verdict(&log.state, 1), Some(Verdict::Accepted));
    assert_eq!(verdict(&log.state, 2), Some(refused));
    assert_eq!(verdict(&log.state, 3), None);
}

#[test]
fn the_outcome_names_the_offset_where_the_record_was_first_read() {
    let mut log = Log::with_entries();
    let bytes = withdrawal(&mut log);

    let _ = log.append(Stream::Catalogue, bytes.clone());
    let _ = log.append(Stream::Catalogue, bytes);

    let outcome = log
        .state
        .outcome(Stream::Catalogue, &author("ana"), Sequence::new(2));
    assert_eq!(outcome.unwrap().offset, Offset::new(2));
    assert_eq!(
        log.state
            .outcome(Stream::Control, &author("ana"), Sequence::new(2)),
        None
    );
}

#[test]
fn a_sequence_reused_for_another_record_is_refused() {
    let mut log = Log::new();
    let first = log.catalogue_record(CatalogueChange::WithdrawKey("a".parse().unwrap()));
    let mut other = first.clone();
    other.change = CatalogueChange::WithdrawKey("b".parse().unwrap());
    let [first, other] = [first, other].map(|record| record.encode().unwrap());

    let _ = log.append(Stream::Catalogue, first.clone());
    let applied = log.append(Stream::Catalogue, other.clone());

    assert_eq!(applied, ApplyResult::Refused(RefusalReason::ReusedSequence));
    assert_eq!(log.state.withdrawn_keys().len(), 1);
    let outcome = log
        .state
        .outcome(Stream::Catalogue, &author("ana"), Sequence::new(1));
    assert!(outcome.unwrap().matches_record(&first) && !outcome.unwrap().matches_record(&other));
}

#[test]
fn records_may_be_reordered_within_the_kept_outcomes() {
    let mut log = Log::new();
    let records: Vec<_> = (0..=OUTCOMES_PER_AUTHOR)
        .map(|_| withdrawal(&mut log))
        .collect();
    let late = withdrawal(&mut log);

    let applied: Vec<_> = std::iter::once(late)
        .chain(records.into_iter().rev())
        .map(|bytes| log.append(Stream::Catalogue, bytes))
        .collect();

    // The last one is below all outcomes that are kept, so it can't be told from a repeated record.
    let (accepted, forgotten) = applied.split_at(OUTCOMES_PER_AUTHOR + 1);
    assert!(
        accepted
            .iter()
            .all(|applied| *applied == ApplyResult::Accepted)
    );
    assert_eq!(
        forgotten,
        [ApplyResult::Refused(RefusalReason::ForgottenSequence)]
    );

    // Expired outcomes must leave the digest too, or the snapshot is refused.
    log.fill(Stream::Catalogue, RECORD_WINDOW + 300);
    assert_eq!(restored(&log.state), log.state);
}

#[test]
fn a_record_with_an_invalid_sequence_or_offset_is_refused() {
    let mut log = Log::new();
    let mut records =
        [0; 3].map(|_| log.catalogue_record(CatalogueChange::WithdrawKey("k".parse().unwrap())));
    log.fill(Stream::Catalogue, RECORD_WINDOW + 2);
    let next = log.state.next_offset(Stream::Catalogue);
    records[0].sequence = Sequence::ZERO;
    records[0].as_of = next;
    records[1].as_of = Offset::new(next.get() + 2);
    records[2].as_of = Offset::new(next.get() + 1 - RECORD_WINDOW);

    let applied = records.map(|record| log.append(Stream::Catalogue, record.encode().unwrap()));

    let reasons = [
        RefusalReason::ZeroSequence,
        RefusalReason::AheadOfStream,
        RefusalReason::Expired,
    ];
    assert_eq!(applied, reasons.map(ApplyResult::Refused));
}

/// The first copy is read before the offset `as_of` and refused; the second is read after it and
/// must not be accepted then. The random scripts found this fault.
#[test]
fn a_record_from_ahead_of_the_stream_stays_refused() {
    let mut log = Log::new();
    let mut record = log.catalogue_record(CatalogueChange::WithdrawKey("k".parse().unwrap()));
    record.as_of = record.as_of.next();
    let bytes = record.encode().unwrap();

    let applied = [0; 2].map(|_| log.append(Stream::Catalogue, bytes.clone()));

    let refused = Verdict::Refused(RefusalReason::AheadOfStream);
    assert_eq!(
        applied[0],
        ApplyResult::Refused(RefusalReason::AheadOfStream)
    );
    assert_eq!(applied[1], ApplyResult::Repeated(refused));
    assert_eq!(log.state.withdrawn_keys().len(), 0);
}

#[test]
fn a_repeated_record_is_recognised_within_the_window_and_refused_after_it() {
    let mut log = Log::new();
    let bytes = withdrawal(&mut log);
    let _ = log.append(Stream::Catalogue, bytes.clone());

    log.fill(Stream::Catalogue, RECORD_WINDOW - 1);
    let last = log.append(Stream::Catalogue, bytes.clone());
    log.fill(Stream::Catalogue, 1_000);
    let later = log.append(Stream::Catalogue, bytes);

    assert_eq!(last, ApplyResult::Repeated(Verdict::Accepted));
    assert_eq!(later, ApplyResult::Refused(RefusalReason::Expired));
    assert_eq!(verdict(&log.state, 1), None);
}

#[test]
fn a_record_at_an_earlier_or_skipped_offset_is_out_of_order() {
    let mut log = Log::with_entries();
    let record = log
        .control_record(move_vm("v", "p", "a", 0))
        .encode()
        .unwrap();
    let before = log.state.clone();
    let expected = Offset::new(2);
    let older = ApplyResult::OutOfOrder(OutOfOrder::Older { expected });
    let gap = ApplyResult::OutOfOrder(OutOfOrder::Gap { expected });
    let cases = [(0, older), (1, older), (3, gap), (u64::MAX, gap)];

    for (offset, answer) in cases {
        let applied = log
            .state
            .apply(Stream::Catalogue, Offset::new(offset), &record);
        assert_eq!(applied, answer);
    }

    assert_eq!(log.state, before);
}
