//! Measures the speed of the fold, its lookups and its snapshots, and the size of the snapshots,
//! for several sizes of a fleet.
//!
//! ```text
//! cargo run --release -p vanillafold-state --example fold_bench
//! ```

use std::hint::black_box;
use std::time::{Duration, Instant};

use vanillafold_state::{
    ApplyResult, Author, CatalogueChange, CatalogueRecord, ControlChange, ControlRecord, Entry,
    EntryEdit, SnapshotBuilder, State, Stream, key_digest,
};
use vanillafold_types::{
    ByteSize, Class, Connections, Incarnation, Key, Limit, Millis, Offset, Percent, Pool, Queue,
    Revision, Sequence, Share, Slots, Team, VmId,
};

/// The number of runs of each measurement, of which the median is printed.
const RUNS: usize = 5;

/// The number of edits in one day, each by another incarnation of the operators' tool.
const EDITS_A_DAY: usize = 42_000;

/// The number of calls in one run of a lookup's measurement.
const LOOKUPS: u32 = 100_000;

const SIZES: [Size; 4] = [
    Size::new(50, 5, 6),
    Size::new(1_600, 32, 9),
    Size::new(16_000, 317, 83),
    Size::new(64_000, 1_268, 332),
];

/// The size of a fleet, which has as many queues as pools and four keys per team.
#[derive(Debug, Clone, Copy)]
struct Size {
    vms: usize,
    pools: usize,
    teams: usize,
}

impl Size {
    const fn new(vms: usize, pools: usize, teams: usize) -> Self {
        Self { vms, pools, teams }
    }
}

fn main() {
    println!("medians of {RUNS} runs; each VM is moved twice; each pool is edited once more");
    for size in SIZES {
        measure(size);
    }
}

fn measure(size: Size) {
    let edits = catalogue_records(size);
    let moves = control_records(size);
    let state = fold(&edits, &moves);
    let day = day_records(size, edits.len());
    println!(
        "\n{} VMs, {} pools, {} teams, {} queues, {} keys",
        size.vms,
        size.pools,
        size.teams,
        state.queues().len(),
        state.keys().len()
    );
    print_fold("catalogue", edits.len(), || {
        black_box(fold(&edits, &[]));
    });
    print_fold("control", moves.len(), || {
        black_box(fold(&[], &moves));
    });
    print_snapshot("snapshot", &state);
    print_day(&state, edits.len(), &day);
    print_lookups(&state, size);
}

fn print_day(state: &State, read_count: usize, day: &[Vec<u8>]) {
    let mut end = state.clone();
    let time = median(|| {
        end = state.clone();
        apply(&mut end, Stream::Catalogue, read_count, day);
    });
    print_rate("a day's edits", day.len(), time);
    print_snapshot("snapshot after them", &end);
}

fn print_fold(stream: &str, records: usize, work: impl FnMut()) {
    let time = median(work);
    print_rate(stream, records, time);
}

fn print_rate(what: &str, records: usize, time: Duration) {
    let per_second = records as f64 / time.as_secs_f64();
    println!("  fold {what}: {records} records, {per_second:.0} records/s");
}

fn print_snapshot(what: &str, state: &State) {
    let snapshot = state.snapshot();
    let bytes: usize = snapshot
        .chunks()
        .iter()
        .map(|chunk| chunk.bytes.len())
        .sum();
    let encode = median(|| {
        black_box(state.snapshot());
    });
    let restore = median(|| {
        let mut builder = SnapshotBuilder::new();
        for chunk in snapshot.chunks() {
            black_box(builder.add_chunk(chunk.clone()).expect("a sound snapshot"));
        }
    });
    println!(
        "  {what}: {bytes} bytes in {} chunks, {:.2} ms to encode, {:.2} ms to restore and check",
        snapshot.chunks().len(),
        encode.as_secs_f64() * 1e3,
        restore.as_secs_f64() * 1e3
    );
}

fn print_lookups(state: &State, size: Size) {
    let home = "home".parse().expect("a pool id");
    let vms: Vec<VmId> = (0..size.vms).map(vm).collect();
    let presented = key_text(size.teams - 1);
    let queue = name("queue", size.pools - 1);
    print_lookup("digest", |_| {
        black_box(state.digest());
    });
    print_lookup("pool_of", |call| {
        black_box(state.pool_of(&vms[call as usize % vms.len()], &home));
    });
    print_lookup("authenticate", |_| {
        black_box(state.authenticate(&presented).expect("a given key"));
    });
    print_lookup("queue", |_| {
        black_box(state.queue(&queue));
    });
}

fn print_lookup(what: &str, mut call: impl FnMut(u32)) {
    let time = median(|| (0..LOOKUPS).for_each(&mut call));
    println!("  {what}: {} ns", time.as_nanos() / u128::from(LOOKUPS));
}

fn median(mut work: impl FnMut()) -> Duration {
    let mut times: Vec<Duration> = (0..RUNS)
        .map(|_| {
            let start = Instant::now();
            work();
            start.elapsed()
        })
        .collect();
    times.sort_unstable();
    times[RUNS / 2]
}

fn fold(edits: &[Vec<u8>], moves: &[Vec<u8>]) -> State {
    let mut state = State::new();
    apply(&mut state, Stream::Catalogue, 0, edits);
    apply(&mut state, Stream::Control, 0, moves);
    state
}

/// Applies records to a state that has already read `read_count` records of the stream.
fn apply(state: &mut State, stream: Stream, read_count: usize, records: &[Vec<u8>]) {
    for (offset, bytes) in (read_count as u64 + 1..).zip(records) {
        let applied = state.apply(stream, Offset::new(offset), bytes);
        assert_eq!(applied, ApplyResult::Accepted, "{stream} {offset}");
    }
}

/// Returns records that create each entry and key, then one that edits each pool. Each record has
/// another incarnation of the operators' tool as its author, which fills the table of authors.
fn catalogue_records(size: Size) -> Vec<Vec<u8>> {
    let teams = (0..size.teams).map(|index| create(Entry::Team(team(index))));
    let pools = (0..size.pools).map(|index| create(Entry::Pool(pool(index))));
    let queues = (0..size.pools).map(|index| create(Entry::Queue(queue(index, size))));
    let keys = (0..4 * size.teams).map(|index| CatalogueChange::GiveKey(key(index, size)));
    let edits = (0..size.pools).map(|index| {
        let revision = size.teams + index + 1;
        edit(Entry::Pool(pool(index)), revision as u64)
    });
    let changes = teams.chain(pools).chain(queues).chain(keys).chain(edits);
    (1..)
        .zip(changes)
        .map(|(offset, change)| catalogue_record(offset, change))
        .collect()
}

/// Returns a day's edits of the teams in turn, to follow the `read_count` records of
/// [`catalogue_records`].
fn day_records(size: Size, read_count: usize) -> Vec<Vec<u8>> {
    (0..EDITS_A_DAY)
        .map(|index| {
            let expected_revision = match index.checked_sub(size.teams) {
                Some(earlier) => read_count + earlier + 1,
                None => index + 1,
            };
            let change = edit(
                Entry::Team(team(index % size.teams)),
                expected_revision as u64,
            );
            catalogue_record((read_count + index + 1) as u64, change)
        })
        .collect()
}

fn catalogue_record(offset: u64, change: CatalogueChange) -> Vec<u8> {
    let record = CatalogueRecord {
        author: Author {
            id: "operator@example.org".parse().expect("an author id"),
            // Scattered like the incarnations of real processes, so that insertions are spread over
            // the table of authors instead of always at its end.
            incarnation: Incarnation::new(offset.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        },
        sequence: Sequence::new(1),
        as_of: Offset::new(offset),
        change,
    };
    record.encode().expect("a small record")
}

/// Returns two moves of each VM, written by 32 daemons in turn.
fn control_records(size: Size) -> Vec<Vec<u8>> {
    let moves = (0..2 * size.vms).map(|index| ControlChange::MoveVm {
        vm: vm(index % size.vms),
        from: pool(index / size.vms).id,
        to: pool(index / size.vms + 1).id,
        expected_revision: Revision::new((index + 1).saturating_sub(size.vms) as u64),
    });
    (1..)
        .zip(moves)
        .map(|(offset, change)| {
            let record = ControlRecord {
                author: Author {
                    id: name("daemon", offset as usize % 32)
                        .parse()
                        .expect("an author id"),
                    incarnation: Incarnation::new(1),
                },
                sequence: Sequence::new(offset),
                as_of: Offset::new(offset),
                change,
            };
            record.encode().expect("a small record")
        })
        .collect()
}

fn create(entry: Entry) -> CatalogueChange {
    edit(entry, 0)
}

fn edit(entry: Entry, expected_revision: u64) -> CatalogueChange {
    CatalogueChange::Edit(vec![EntryEdit {
        name: entry.name(),
        expected_revision: Revision::new(expected_revision),
        value: Some(entry),
    }])
}

fn name(kind: &str, index: usize) -> String {
    format!("{kind}-{index:05}")
}

fn vm(index: usize) -> VmId {
    // Scattered, so that the moves are not in the order of the sorted table.
    let scattered = index.wrapping_mul(7_919) % 100_003;
    name("vm", scattered).parse().expect("a VM id")
}

fn pool(index: usize) -> Pool {
    Pool {
        id: name("pool", index).parse().expect("a pool id"),
        owner: "ops@example.org".parse().expect("an owner"),
        class: Class::Urgent,
        min_available_percent: Percent::new(70),
        slots_per_vm: Slots::new(8),
        connections_per_vm: Connections::new(64),
    }
}

fn team(index: usize) -> Team {
    Team {
        id: name("team", index).parse().expect("a team id"),
        owner: "ops@example.org".parse().expect("an owner"),
        class: Class::Normal,
        share: Share::new(1),
        limit: Limit::new(100),
    }
}

fn queue(index: usize, size: Size) -> Queue {
    Queue {
        id: name("queue", index).parse().expect("a queue id"),
        owner: "ops@example.org".parse().expect("an owner"),
        class: Class::Urgent,
        pool: pool(index).id,
        open: false,
        teams: vec![team(index % size.teams).id],
        deadline_ms: Millis::new(1_000),
        max_deadline_ms: Millis::new(10_000),
        max_waiting: 100,
        retry_percent: Percent::new(10),
        max_body: ByteSize::new(1 << 20),
    }
}

fn key(index: usize, size: Size) -> Key {
    Key {
        id: name("key", index).parse().expect("a key id"),
        owner: "ops@example.org".parse().expect("an owner"),
        team: team(index % size.teams).id,
        digest: key_digest(&key_text(index)),
    }
}

fn key_text(index: usize) -> String {
    format!("{}.0123456789abcdef0123456789abcdef", name("key", index))
}
