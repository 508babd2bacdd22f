//! Handling of messages that a correct escrow never sends, and of repeated ones: they must not make
//! a daemon lend more than its surplus.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use vanillafold_state::{
    Author, BootMillis, ControlChange, ControlRecord, Escrow, EscrowEntry, EscrowLine,
    EscrowMessage, EscrowSettings, State, Stream, TeamLimit,
};
use vanillafold_types::{DaemonId, Incarnation, Limit, Sequence, TeamId};

const GEN_SIZE: usize = 40;
const SEED: u64 = 6;
const ONE: Incarnation = Incarnation::new(1);

#[derive(Debug, Clone, Copy)]
struct AnyEntry(EscrowEntry);

/// Mostly small numbers, which often match the totals in use, and some at the ends of the range.
fn any_total(g: &mut Gen) -> u64 {
    match u8::arbitrary(g) % 4 {
        0 => u64::arbitrary(g),
        1 => u64::MAX - u64::from(u8::arbitrary(g)),
        _ => u64::from(u8::arbitrary(g) % 8),
    }
}

impl Arbitrary for AnyEntry {
    fn arbitrary(g: &mut Gen) -> Self {
        let entry = match u8::arbitrary(g) % 3 {
            0 => EscrowEntry::BorrowRequest {
                units: u32::arbitrary(g),
                is_starved: bool::arbitrary(g),
            },
            1 => EscrowEntry::Lent {
                serial: any_total(g),
                granted_total: any_total(g),
                returned_total: any_total(g),
                return_target: any_total(g),
                home: u32::arbitrary(g) % 10,
                needs_ack: bool::arbitrary(g),
            },
            _ => EscrowEntry::Borrowed {
                serial: any_total(g),
                returned_total: any_total(g),
                needs_ack: bool::arbitrary(g),
            },
        };
        Self(entry)
    }
}

fn daemons() -> Vec<DaemonId> {
    ["a", "b", "c"].map(|name| name.parse().unwrap()).to_vec()
}

fn team() -> TeamId {
    "team".parse().unwrap()
}

/// Returns a state in which every daemon has joined.
fn joined() -> State {
    let mut state = State::new();
    for daemon in daemons() {
        let offset = state.next_offset(Stream::Control);
        let record = ControlRecord {
            author: Author {
                id: daemon.as_str().parse().unwrap(),
                incarnation: ONE,
            },
            sequence: Sequence::new(1),
            as_of: offset,
            change: ControlChange::Join {
                vm: daemon.as_str().parse().unwrap(),
                daemon,
                incarnation: ONE,
            },
        };
        let _ = state.apply(Stream::Control, offset, &record.encode().unwrap());
    }
    state
}

fn escrow() -> Escrow {
    let now = BootMillis::new(1_000);
    let mut escrow = Escrow::new(&daemons()[0], ONE, daemons(), EscrowSettings::default());
    escrow.update_roster(joined().roster(), now);
    escrow.set_limits(&[TeamLimit {
        team: team(),
        limit: Limit::new(12),
    }]);
    escrow.mark_fresh(now);
    escrow
}

fn message(entry: EscrowEntry) -> EscrowMessage {
    EscrowMessage {
        to_incarnation: ONE,
        lines: vec![EscrowLine {
            team: team(),
            entry,
        }],
    }
}

fn lent(escrow: &Escrow) -> u64 {
    escrow.view(BootMillis::new(1_000)).teams[0].lent
}

#[test]
fn no_message_makes_a_daemon_lend_more_than_its_surplus() {
    fn property(entries: Vec<(bool, AnyEntry)>) -> bool {
        let mut escrow = escrow();
        let mut units = Vec::new();
        for (number, (is_second, AnyEntry(entry))) in entries.into_iter().enumerate() {
            let now = BootMillis::new(1_000 + 100 * number as u64);
            let peer = &daemons()[1 + usize::from(is_second)];
            drop(escrow.receive(peer, ONE, message(entry), now));
            drop(escrow.tick(now));
            units.extend(escrow.try_take(&team(), now));
        }
        let most_lent = lent(&escrow);
        for unit in units {
            escrow.give_back(&team(), unit);
        }
        most_lent <= 2
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(500)
        .quickcheck(property as fn(Vec<(bool, AnyEntry)>) -> bool);
}

#[test]
fn messages_for_or_from_another_incarnation_are_ignored() {
    let request = EscrowEntry::BorrowRequest {
        units: 1,
        is_starved: true,
    };
    let for_another = EscrowMessage {
        to_incarnation: Incarnation::new(2),
        ..message(request)
    };
    let (peer, now) = (&daemons()[1], BootMillis::new(1_000));
    let mut escrow = escrow();

    let answers = [
        escrow.receive(peer, ONE, for_another, now),
        escrow.receive(peer, Incarnation::new(2), message(request), now),
        escrow.receive(&daemons()[0], ONE, message(request), now),
    ];

    assert!(answers.iter().all(Vec::is_empty));
    assert_eq!(lent(&escrow), 0);
}

#[test]
fn a_repeated_borrow_request_does_not_lend_more_than_the_surplus() {
    let request = EscrowEntry::BorrowRequest {
        units: 100,
        is_starved: false,
    };
    let mut escrow = escrow();

    for peer in [1, 2, 1, 2, 1, 2] {
        drop(escrow.receive(
            &daemons()[peer],
            ONE,
            message(request),
            BootMillis::new(1_000),
        ));
    }

    assert_eq!(lent(&escrow), 2);
}

#[test]
fn a_message_survives_an_encoding_round_trip() {
    let written = message(EscrowEntry::Lent {
        serial: 3,
        granted_total: 300,
        returned_total: 2,
        return_target: 70_000,
        home: 5,
        needs_ack: true,
    });

    let bytes = bincode::encode_to_vec(&written, bincode::config::standard()).unwrap();
    let (read, _): (EscrowMessage, usize) =
        bincode::decode_from_slice(&bytes, bincode::config::standard()).unwrap();

    assert_eq!(read, written);
}
