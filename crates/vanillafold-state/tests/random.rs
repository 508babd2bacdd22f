//! Random scripts of records with fixed seeds, and the invariants that must hold after each record.

// quickcheck passes its values to the property by value.
#![allow(clippy::needless_pass_by_value)]

mod common;

use std::cell::RefCell;

use common::script::Step;
use common::{Log, LogRecord, key_text, move_vm, put, replay, restored};
use quickcheck::{Gen, QuickCheck, Testable};
use vanillafold_state::{
    ApplyResult, Entry, MAX_CHUNK_BYTES, MAX_RECORD_BYTES, RECORD_WINDOW, RefusalReason,
    SnapshotBuilder, SnapshotChunk, State, Stream, Verdict,
};
use vanillafold_types::{KeyId, Offset};

const SEEDS: [u64; 3] = [1, 0x5eed, 0xf01d];
const STEPS: usize = 150;
const SCRIPTS_PER_SEED: u64 = 60;

fn check_many<P: Testable + Copy>(property: P, scripts_per_seed: u64) {
    for seed in SEEDS {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(STEPS, seed))
            .tests(scripts_per_seed)
            .quickcheck(property);
    }
}

fn check<P: Testable + Copy>(property: P) {
    check_many(property, SCRIPTS_PER_SEED);
}

fn run(steps: &[Step]) -> Log {
    let mut log = Log::new();
    for step in steps {
        let _ = step.run(&mut log);
    }
    log
}

/// Applies the log's records with the two streams interleaved in the order of `turns`.
fn interleaved(log: &Log, turns: &[bool]) -> State {
    let of = |stream| {
        let records = log.records.iter();
        records.filter(move |record| record.stream == stream)
    };
    let (mut catalogue, mut control) = (of(Stream::Catalogue), of(Stream::Control));
    let mixed = turns.iter().filter_map(|turn| match turn {
        true => catalogue.next(),
        false => control.next(),
    });
    let mut order: Vec<&LogRecord> = mixed.collect();
    order.extend(control);
    order.extend(catalogue);
    replay(order)
}

/// Returns whether every reference in the catalogue has its entry and no key is both active and
/// withdrawn.
fn is_consistent(state: &State) -> bool {
    let mut queues = state.queues().map(|queue| &queue.value);
    let mut teams = state
        .queues()
        .flat_map(|queue| &queue.value.teams)
        .chain(state.keys().map(|key| &key.value.team));
    let mut withdrawn = state.withdrawn_keys();
    queues.all(|queue| state.pool(&queue.pool).is_some())
        && teams.all(|team| state.team(team).is_some())
        && withdrawn.all(|id| state.keys().all(|key| key.value.id != *id))
}

#[test]
fn every_intermediate_state_is_consistent_and_every_refusal_reason_occurs() {
    thread_local! {
        static SEEN: RefCell<Vec<ApplyResult>> = const { RefCell::new(Vec::new()) };
    }
    fn property(steps: Vec<Step>) -> bool {
        let mut log = Log::new();
        steps.iter().all(|step| {
            let applied = step.run(&mut log);
            SEEN.with_borrow_mut(|seen| seen.extend(applied));
            is_consistent(&log.state)
        })
    }
    // These need a long log or a name that the scripts do not use; other tests cover them.
    let covered_elsewhere = [RefusalReason::Expired, RefusalReason::ReservedName];
    let reasons = RefusalReason::ALL.iter().copied();

    check(property as fn(Vec<Step>) -> bool);

    let expected = reasons
        .filter(|reason| !covered_elsewhere.contains(reason))
        .map(ApplyResult::Refused)
        .chain([
            ApplyResult::Accepted,
            ApplyResult::Repeated(Verdict::Accepted),
        ]);
    SEEN.with_borrow(|seen| {
        for applied in expected {
            assert!(seen.contains(&applied), "{applied:?} never occurred");
        }
    });
}

#[test]
fn the_interleaving_of_the_streams_does_not_matter() {
    fn property(steps: Vec<Step>, turns: Vec<bool>) -> bool {
        let log = run(&steps);
        let state = interleaved(&log, &turns);
        state == replay(&log.records) && state.digest() == log.state.digest()
    }

    check(property as fn(Vec<Step>, Vec<bool>) -> bool);
}

/// Restoring a snapshot computes the digest from all items and compares it.
#[test]
fn the_incremental_digest_equals_the_recomputed_one() {
    fn property(steps: Vec<Step>) -> bool {
        let mut log = Log::new();
        steps.iter().all(|step| {
            let _ = step.run(&mut log);
            restored(&log.state).digest() == log.state.digest()
        })
    }

    check(property as fn(Vec<Step>) -> bool);
}

#[test]
fn a_snapshot_at_any_offset_leads_to_the_same_final_state() {
    fn property(steps: Vec<Step>, at: usize) -> bool {
        let log = run(&steps);
        let at = at % (log.records.len() + 1);
        let mut state = restored(&replay(&log.records[..at]));
        for record in &log.records[at..] {
            let _ = state.apply(record.stream, record.offset, &record.bytes);
        }
        state == replay(&log.records)
    }

    check(property as fn(Vec<Step>, usize) -> bool);
}

#[test]
fn every_daemon_drops_the_same_outcomes() {
    fn property(steps: Vec<Step>, turns: Vec<bool>) -> bool {
        let mut log = run(&steps);
        let at = log.records.len();
        for stream in Stream::ALL {
            log.fill(stream, RECORD_WINDOW + 300);
        }
        // Appends all records again after they have expired, then new records.
        let repeats = log.records[..at].to_vec();
        let none_accepted = repeats
            .into_iter()
            .all(|record| log.append(record.stream, record.bytes) != ApplyResult::Accepted);
        for step in &steps {
            let _ = step.run(&mut log);
        }
        none_accepted
            && interleaved(&log, &turns) == replay(&log.records)
            && restored(&log.state) == replay(&log.records)
    }

    check_many(property as fn(Vec<Step>, Vec<bool>) -> bool, 4);
}

#[test]
fn repeating_all_records_changes_only_the_offsets() {
    fn property(steps: Vec<Step>) -> bool {
        let mut log = run(&steps);
        let before = log.state.clone();
        let none_accepted = log
            .records
            .clone()
            .into_iter()
            .all(|record| log.append(record.stream, record.bytes) != ApplyResult::Accepted);
        let after = &log.state;
        none_accepted
            && before.pools().eq(after.pools())
            && before.teams().eq(after.teams())
            && before.queues().eq(after.queues())
            && before.keys().eq(after.keys())
            && before.withdrawn_keys().eq(after.withdrawn_keys())
            && before.evacuated_zones().eq(after.evacuated_zones())
            && before.memberships().eq(after.memberships())
    }

    check(property as fn(Vec<Step>) -> bool);
}

#[test]
fn a_withdrawn_key_never_authenticates_again() {
    fn property(steps: Vec<Step>) -> bool {
        let mut log = Log::new();
        let mut withdrawn: Vec<KeyId> = Vec::new();
        steps.iter().all(|step| {
            let _ = step.run(&mut log);
            // A restarted daemon restores a snapshot and then adopts the state of a peer.
            let mut fresh = restored(&log.state);
            fresh.merge(log.state.clone()).unwrap();
            log.state = fresh;
            withdrawn.extend(log.state.withdrawn_keys().cloned());
            withdrawn.extend(log.state.early_withdrawals().cloned());
            withdrawn.sort_unstable();
            withdrawn.dedup();
            withdrawn
                .iter()
                .all(|id| log.state.authenticate(&key_text(id.as_str())).is_err())
        })
    }

    check(property as fn(Vec<Step>) -> bool);
}

#[test]
fn exactly_one_of_two_changes_to_the_same_revision_is_accepted() {
    fn property(steps: Vec<Step>) -> bool {
        let mut log = run(&steps);
        let pools: Vec<_> = log.state.pools().cloned().collect();
        let moved: Vec<_> = log.state.memberships().cloned().collect();
        let edits_race = pools.into_iter().all(|pool| {
            let edit = put(Entry::Pool(pool.value), pool.revision.get());
            let race = [log.edit(vec![edit.clone()]), log.edit(vec![edit])];
            race == [
                ApplyResult::Accepted,
                ApplyResult::Refused(RefusalReason::RevisionMismatch),
            ]
        });
        let moves_race = moved.into_iter().all(|now| {
            let to = |to| move_vm(now.vm.as_str(), now.pool.as_str(), to, now.revision.get());
            let race = [log.control(to("x")), log.control(to("y"))];
            race == [
                ApplyResult::Accepted,
                ApplyResult::Refused(RefusalReason::MoveMismatch),
            ]
        });
        edits_race && moves_race
    }

    check(property as fn(Vec<Step>) -> bool);
}

#[test]
fn any_bytes_give_the_same_result_in_every_daemon() {
    fn property(bytes: Vec<u8>, repeats: u8) -> bool {
        let mut bytes = bytes.repeat(usize::from(repeats).pow(2) + 1);
        bytes.insert(0, vanillafold_state::FORMAT_VERSION);
        bytes.truncate(MAX_RECORD_BYTES + 1);
        let fold = |stream| {
            let mut state = State::new();
            (state.apply(stream, Offset::new(1), &bytes), state)
        };
        let is_alike = Stream::ALL.iter().all(|stream| {
            let (applied, state) = fold(*stream);
            !matches!(applied, ApplyResult::OutOfOrder(_)) && (applied, state) == fold(*stream)
        });
        let chunk = SnapshotChunk {
            id: State::new().snapshot().id(),
            index: 0,
            count: 1,
            bytes: bytes[..bytes.len().min(MAX_CHUNK_BYTES)].to_vec(),
        };
        is_alike && SnapshotBuilder::new().add_chunk(chunk).is_err()
    }

    check(property as fn(Vec<u8>, u8) -> bool);
}
