//! Prints the cost of the escrow: memory, time per call, messages and bytes.

#[path = "../tests/sim/mod.rs"]
mod sim;

use std::time::Instant;

use sim::{FaultRates, InjectedBug, World, WorldSetup, sim_settings};
use vanillafold_state::{
    Author, BootMillis, ControlChange, ControlRecord, Escrow, EscrowEntry, EscrowLine,
    EscrowMessage, EscrowSettings, State, Stream, TeamLimit,
};
use vanillafold_types::{DaemonId, Incarnation, Limit, Sequence, TeamId};

const DAEMONS: usize = 64;
const TEAMS: usize = 83;
const LIMIT: u32 = 1_000;
const COPIES: usize = 20;
const CALLS: u32 = 1_000;
const ONE: Incarnation = Incarnation::new(1);

fn fleet() -> Vec<DaemonId> {
    let names = (0..DAEMONS).map(|index| format!("entry-{index:02}").parse().unwrap());
    names.collect()
}

fn teams() -> Vec<TeamId> {
    let names = (0..TEAMS).map(|index| format!("team-{index:02}").parse().unwrap());
    names.collect()
}

/// Returns a state in which every daemon has joined.
fn state() -> State {
    let mut state = State::new();
    for daemon in fleet() {
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

fn escrow(state: &State) -> Escrow {
    let settings = EscrowSettings::default();
    let mut escrow = Escrow::new(&fleet()[0], ONE, fleet(), settings);
    escrow.update_roster(state.roster(), BootMillis::new(0));
    let limits = teams().into_iter().map(|team| TeamLimit {
        team,
        limit: Limit::new(LIMIT),
    });
    escrow.set_limits(&limits.collect::<Vec<_>>());
    escrow.mark_fresh(BootMillis::new(0));
    escrow
}

/// Makes every peer borrow and lend a unit of every team and request more.
fn fill(escrow: &mut Escrow, now: BootMillis) {
    let entries = [
        EscrowEntry::BorrowRequest {
            units: 1,
            is_starved: true,
        },
        EscrowEntry::BorrowRequest {
            units: 9,
            is_starved: false,
        },
        EscrowEntry::Lent {
            serial: 1,
            granted_total: 1,
            returned_total: 0,
            return_target: 0,
            home: 1,
            needs_ack: true,
        },
    ];
    for team in teams() {
        escrow.set_demand(&team, 1_000, now);
    }
    for peer in &fleet()[1..] {
        let lines = teams().into_iter().flat_map(|team| {
            entries.map(|entry| EscrowLine {
                team: team.clone(),
                entry,
            })
        });
        let message = EscrowMessage {
            to_incarnation: ONE,
            lines: lines.collect(),
        };
        drop(escrow.receive(peer, ONE, message, now));
    }
}

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = statm.split(' ').nth(1).unwrap().parse().unwrap();
    pages * 4_096
}

/// Prints the memory of one escrow.
fn print_memory() {
    let state = state();
    let before = resident_bytes();
    let mut escrows: Vec<Escrow> = (0..COPIES).map(|_| escrow(&state)).collect();
    let idle = resident_bytes();
    for escrow in &mut escrows {
        fill(escrow, BootMillis::new(10));
    }
    let full = resident_bytes();
    println!(
        "memory of one escrow, {TEAMS} teams and {DAEMONS} daemons: {} B idle, {} B with every peer asking and lending every team",
        (idle - before) / COPIES,
        (full - before) / COPIES
    );
}

/// Prints the times of a tick and of taking a unit and giving it back.
fn print_times() {
    let state = state();
    for (name, is_full) in [("idle", false), ("full", true)] {
        let mut escrow = escrow(&state);
        if is_full {
            fill(&mut escrow, BootMillis::new(10));
        }
        let begin = Instant::now();
        for call in 0..CALLS {
            drop(escrow.tick(BootMillis::new(100 + 100 * u64::from(call))));
        }
        let tick = begin.elapsed() / CALLS;
        let team = teams()[40].clone();
        let begin = Instant::now();
        for _ in 0..CALLS {
            let unit = escrow.try_take(&team, BootMillis::new(100_100));
            if let Ok(unit) = unit {
                escrow.give_back(&team, unit);
            }
        }
        let take = begin.elapsed() / CALLS;
        println!("{name}: tick {tick:?}, take and give back {take:?}");
    }
}

fn world(daemons: usize, limits: Vec<u32>) -> World {
    let mut world = World::new(WorldSetup {
        seed: 1,
        daemons,
        limits,
        rates: FaultRates::NONE,
        bug: InjectedBug::None,
        settings: sim_settings(),
    });
    world.is_load_fixed = true;
    world.run(2_000);
    world
}

/// Prints the messages and bytes with which one busy daemon borrows all units that idle daemons
/// lend and returns them.
fn print_loan_traffic(limit: u32) {
    let mut world = world(8, vec![limit]);
    let before = (world.report.messages, world.report.bytes);
    world.processes[0].demand[0] = world.reachable_units(0, 0);
    world.run(1_000);
    let moved = world.report.started_borrowed;
    world.processes[0].demand[0] = 0;
    world.run(7_000);
    println!(
        "8 daemons, limit {limit}: {moved} units lent and returned by {} messages of {} B",
        world.report.messages - before.0,
        world.report.bytes - before.1
    );
}

/// Prints the messages and bytes while the demand of every daemon exceeds all units.
fn print_contention_traffic(daemons: usize, teams: usize) {
    let mut world = world(daemons, vec![200; teams]);
    world.saturate();
    for span_s in [5, 30] {
        let before = (world.report.messages, world.report.bytes);
        world.run(span_s * 1_000);
        let sent_s = span_s * daemons as u64;
        println!(
            "{daemons} daemons, {teams} teams, all want more, {span_s} s: {} messages and {} B a second for each daemon, {} of {} running",
            (world.report.messages - before.0) / sent_s,
            (world.report.bytes - before.1) / sent_s,
            (0..teams).map(|team| world.running(team)).sum::<usize>(),
            200 * teams
        );
    }
}

fn main() {
    print_memory();
    print_times();
    print_loan_traffic(8);
    print_loan_traffic(800);
    print_contention_traffic(8, 6);
    print_contention_traffic(DAEMONS, TEAMS);
}
