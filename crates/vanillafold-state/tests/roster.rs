//! The membership of daemons that the control stream folds into the roster. An error here would let
//! two incarnations of one daemon hold the same units.

use vanillafold_state::{
    ApplyResult, Author, ControlChange, ControlRecord, RefusalReason, SnapshotBuilder, State,
    Stream,
};
use vanillafold_types::{DaemonId, Incarnation, Sequence, VmId};

fn daemon() -> DaemonId {
    "entry-1".parse().unwrap()
}

fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

fn join(name: &str, incarnation: u64) -> ControlChange {
    ControlChange::Join {
        daemon: daemon(),
        vm: vm(name),
        incarnation: Incarnation::new(incarnation),
    }
}

fn fence(incarnation: u64) -> ControlChange {
    ControlChange::Fence {
        daemon: daemon(),
        incarnation: Incarnation::new(incarnation),
    }
}

fn leave(incarnation: u64) -> ControlChange {
    leave_floor(incarnation, true)
}

fn leave_floor(incarnation: u64, is_floor_settled: bool) -> ControlChange {
    ControlChange::Leave {
        daemon: daemon(),
        incarnation: Incarnation::new(incarnation),
        is_floor_settled,
    }
}

fn release(incarnation: u64) -> ControlChange {
    ControlChange::Release {
        daemon: daemon(),
        incarnation: Incarnation::new(incarnation),
    }
}

/// Applies a change as the next record of the control stream.
fn apply(state: &mut State, change: ControlChange) -> ApplyResult {
    let offset = state.next_offset(Stream::Control);
    let record = ControlRecord {
        author: Author {
            id: "test".parse().unwrap(),
            incarnation: Incarnation::new(1),
        },
        sequence: Sequence::new(offset.get()),
        as_of: offset,
        change,
    };
    state.apply(Stream::Control, offset, &record.encode().unwrap())
}

fn state_of(changes: Vec<ControlChange>) -> State {
    let mut state = State::new();
    for change in changes {
        assert_eq!(apply(&mut state, change), ApplyResult::Accepted);
    }
    state
}

/// Returns the unreleased incarnations, each with its VM.
fn unreleased(state: &State) -> Vec<(u64, Option<VmId>)> {
    let member = state.roster().member(&daemon()).unwrap();
    let incarnations = member.unreleased.iter();
    incarnations
        .map(|unreleased| (unreleased.incarnation.get(), unreleased.vm.clone()))
        .collect()
}

#[test]
fn a_later_incarnation_supersedes_an_earlier_one() {
    let state = state_of(vec![join("vm-1", 1), join("vm-1", 5)]);

    assert!(!state.roster().is_current(&daemon(), Incarnation::new(1)));
    assert!(state.roster().is_current(&daemon(), Incarnation::new(5)));
}

#[test]
fn the_join_of_an_earlier_or_equal_incarnation_is_refused() {
    let mut state = state_of(vec![join("vm-1", 5)]);

    for incarnation in [4, 5] {
        let applied = apply(&mut state, join("vm-2", incarnation));
        assert_eq!(
            applied,
            ApplyResult::Refused(RefusalReason::StaleIncarnation)
        );
    }
}

#[test]
fn only_the_current_incarnation_is_fenced_and_only_once() {
    let mut state = state_of(vec![join("vm-1", 1), join("vm-1", 2), fence(2)]);

    for incarnation in [1, 2, 3] {
        let applied = apply(&mut state, fence(incarnation));
        assert_eq!(applied, ApplyResult::Refused(RefusalReason::NotCurrent));
    }
    assert!(!state.roster().is_current(&daemon(), Incarnation::new(2)));
}

#[test]
fn a_fenced_daemon_joins_again_with_a_later_incarnation() {
    let state = state_of(vec![join("vm-1", 1), fence(1), join("vm-1", 2)]);

    assert!(state.roster().is_current(&daemon(), Incarnation::new(2)));
}

#[test]
fn a_join_on_the_same_vm_releases_the_earlier_incarnation() {
    let state = state_of(vec![join("vm-1", 1), join("vm-1", 2)]);

    assert_eq!(unreleased(&state), []);
}

#[test]
fn an_incarnation_on_another_vm_stays_unreleased_through_later_restarts() {
    let state = state_of(vec![join("vm-1", 1), join("vm-2", 2), join("vm-2", 3)]);

    assert_eq!(unreleased(&state), [(1, Some(vm("vm-1")))]);
}

#[test]
fn a_return_to_the_first_vm_leaves_only_the_other_vms_incarnation_unreleased() {
    let state = state_of(vec![join("vm-1", 1), join("vm-2", 2), join("vm-1", 3)]);

    assert_eq!(unreleased(&state), [(2, Some(vm("vm-2")))]);
}

#[test]
fn a_release_covers_all_incarnations_up_to_the_given_one() {
    let mut state = state_of(vec![join("vm-1", 1), join("vm-2", 2), join("vm-3", 3)]);

    let released = apply(&mut state, release(1));
    let repeated = apply(&mut state, release(1));

    assert_eq!(released, ApplyResult::Accepted);
    assert_eq!(
        repeated,
        ApplyResult::Refused(RefusalReason::NothingToRelease)
    );
    assert_eq!(unreleased(&state), [(2, Some(vm("vm-2")))]);
}

#[test]
fn an_incarnation_after_a_leave_has_no_predecessor_and_nothing_unreleased() {
    let state = state_of(vec![join("vm-1", 1), leave(1), join("vm-2", 2)]);

    let member = state.roster().member(&daemon()).unwrap();
    assert!(!member.has_predecessor && member.is_floor_settled);
    assert_eq!(unreleased(&state), []);
}

#[test]
fn a_leave_before_the_floor_is_settled_leaves_it_unsettled_for_the_next_incarnation() {
    let state = state_of(vec![
        join("vm-1", 1),
        join("vm-2", 2),
        release(1),
        leave_floor(2, false),
        join("vm-2", 3),
    ]);

    let member = state.roster().member(&daemon()).unwrap();
    assert!(!member.has_predecessor && !member.is_floor_settled);
}

#[test]
fn an_incarnation_after_a_leave_and_a_fence_has_a_predecessor() {
    let state = state_of(vec![join("vm-1", 1), leave(1), fence(1), join("vm-2", 2)]);

    assert!(state.roster().member(&daemon()).unwrap().has_predecessor);
}

#[test]
fn only_the_current_incarnation_leaves_and_only_once() {
    let mut state = state_of(vec![join("vm-1", 1), join("vm-1", 2), leave(2)]);

    for incarnation in [1, 2, 3] {
        let applied = apply(&mut state, leave(incarnation));
        assert_eq!(applied, ApplyResult::Refused(RefusalReason::NotCurrent));
    }
}

#[test]
fn many_unreleased_incarnations_are_merged_and_none_is_lost() {
    let changes = (1..=30).map(|number| join(&format!("vm-{number}"), number));
    let mut state = state_of(changes.collect());

    let merged = unreleased(&state);
    let back = apply(&mut state, join("vm-1", 31));

    assert_eq!(merged.len(), 8);
    assert_eq!(merged[0], (22, None));
    assert_eq!(back, ApplyResult::Accepted);
    assert_eq!(unreleased(&state)[0].1, None);
}

#[test]
fn a_snapshot_carries_the_roster() {
    let state = state_of(vec![join("vm-1", 1), join("vm-2", 2), fence(2)]);

    let mut builder = SnapshotBuilder::new();
    let mut adopted = None;
    for chunk in state.snapshot().into_chunks() {
        adopted = builder.add_chunk(chunk).unwrap();
    }

    assert_eq!(adopted, Some(state));
}
