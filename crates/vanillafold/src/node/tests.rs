//! Tests of how requests take, renew and give back units of a team's limit on one daemon.

use std::cell::RefCell;
use std::rc::Rc;

use vanillafold_state::{
    Author, BootMillis, ControlChange, ControlRecord, Escrow, EscrowSettings, NoUnit, State,
    Stream, TeamLimit,
};
use vanillafold_types::{DaemonId, Incarnation, Limit, Sequence, TeamId};
use vanillafold_wire::BootClock;

use super::TeamRuntime;

const INCARNATION: Incarnation = Incarnation::new(1);

fn team_id() -> TeamId {
    "cafes".parse().expect("a team")
}

/// Returns a state whose control stream holds one record: `daemon` joins with [`INCARNATION`].
fn joined(daemon: &DaemonId) -> State {
    let mut state = State::new();
    let stream = Stream::Control;
    let record = ControlRecord {
        author: Author {
            id: daemon.as_str().parse().expect("an author"),
            incarnation: INCARNATION,
        },
        sequence: Sequence::new(1),
        as_of: state.next_offset(stream),
        change: ControlChange::Join {
            daemon: daemon.clone(),
            vm: "vm".parse().expect("a vm"),
            incarnation: INCARNATION,
        },
    };
    let bytes = record.encode().expect("a small record");
    let _ = state.apply(stream, state.next_offset(stream), &bytes);
    state
}

/// Returns the escrow of the only daemon of a fleet. The daemon has joined and has just read the
/// log to its end, so that it may use the whole `limit`.
fn escrow(limit: u32) -> Rc<RefCell<Escrow>> {
    let daemon: DaemonId = "entry".parse().expect("a daemon");
    let fleet = vec![daemon.clone()];
    let mut escrow = Escrow::new(&daemon, INCARNATION, fleet, EscrowSettings::default());
    let now = BootMillis::new(BootClock::now().get());
    set_limit(&mut escrow, limit);
    escrow.update_roster(joined(&daemon).roster(), now);
    escrow.mark_fresh(now);
    Rc::new(RefCell::new(escrow))
}

fn set_limit(escrow: &mut Escrow, limit: u32) {
    escrow.set_limits(&[TeamLimit {
        team: team_id(),
        limit: Limit::new(limit),
    }]);
}

#[test]
fn units_are_taken_up_to_the_limit_and_given_back() {
    let escrow = escrow(2);
    let team = TeamRuntime::new(team_id(), Rc::clone(&escrow));

    let first = team.try_take().expect("a unit");
    let second = team.try_take().expect("a unit");

    assert_eq!(team.try_take().err(), Some(NoUnit::AllInUse));
    set_limit(&mut escrow.borrow_mut(), 1);
    drop(first);
    assert!(
        team.try_take().is_err(),
        "one unit is in use and the limit is one"
    );
    drop(second);
    assert!(team.try_take().is_ok());
}

#[test]
fn a_unit_is_renewed_only_while_the_limit_allows_it() {
    let escrow = escrow(1);
    let team = TeamRuntime::new(team_id(), Rc::clone(&escrow));
    let mut unit = team.try_take().expect("a unit");

    assert_eq!(unit.renew(), Ok(()));
    set_limit(&mut escrow.borrow_mut(), 0);
    assert!(unit.renew().is_err());
    set_limit(&mut escrow.borrow_mut(), 1);
    assert!(
        team.try_take().is_ok(),
        "a refused renewal gives the unit back"
    );
}
