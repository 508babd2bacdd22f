//! Test fixtures: entries, keys and a log whose records are folded as they are appended.

// Each test file uses only some of the fixtures.
#![allow(dead_code)]

pub(crate) mod script;

use vanillafold_state::{
    ApplyResult, Author, CatalogueChange, CatalogueRecord, ControlChange, ControlRecord, Entry,
    EntryEdit, SnapshotBuilder, State, Stream, key_digest,
};
use vanillafold_types::{
    ByteSize, Class, Connections, EntryName, Incarnation, Key, Limit, Millis, Offset, Percent,
    Pool, PoolId, Queue, Revision, Sequence, Share, Slots, Team, VmId,
};

pub(crate) fn pool(id: &str) -> Pool {
    Pool {
        id: id.parse().unwrap(),
        owner: "ops".parse().unwrap(),
        class: Class::Urgent,
        min_available_percent: Percent::new(70),
        slots_per_vm: Slots::new(8),
        connections_per_vm: Connections::new(64),
    }
}

pub(crate) fn team(id: &str) -> Team {
    Team {
        id: id.parse().unwrap(),
        owner: "ops".parse().unwrap(),
        class: Class::Normal,
        share: Share::new(1),
        limit: Limit::new(10),
    }
}

pub(crate) fn queue(id: &str, pool: &str, teams: &[&str]) -> Queue {
    Queue {
        id: id.parse().unwrap(),
        owner: "ops".parse().unwrap(),
        class: Class::Urgent,
        pool: pool.parse().unwrap(),
        open: false,
        teams: teams.iter().map(|team| team.parse().unwrap()).collect(),
        deadline_ms: Millis::new(1_000),
        max_deadline_ms: Millis::new(10_000),
        max_waiting: 100,
        retry_percent: Percent::new(10),
        max_body: ByteSize::new(1 << 20),
    }
}

pub(crate) fn key(id: &str, team: &str) -> Key {
    Key {
        id: id.parse().unwrap(),
        owner: "ops".parse().unwrap(),
        team: team.parse().unwrap(),
        digest: key_digest(&key_text(id)),
    }
}

/// Returns the text of the key that [`key`] returns.
pub(crate) fn key_text(id: &str) -> String {
    format!("{id}.secret-of-{id}")
}

pub(crate) fn author(id: &str) -> Author {
    Author {
        id: id.parse().unwrap(),
        incarnation: Incarnation::new(1),
    }
}

pub(crate) fn vm(id: &str) -> VmId {
    id.parse().unwrap()
}

pub(crate) fn pool_id(id: &str) -> PoolId {
    id.parse().unwrap()
}

/// An edit that sets an entry to `value` if the entry has this revision; 0 creates the entry.
pub(crate) fn put(value: Entry, expected_revision: u64) -> EntryEdit {
    EntryEdit {
        name: value.name(),
        expected_revision: Revision::new(expected_revision),
        value: Some(value),
    }
}

/// An edit that removes an entry if it has this revision.
pub(crate) fn remove(name: EntryName, expected_revision: u64) -> EntryEdit {
    EntryEdit {
        name,
        expected_revision: Revision::new(expected_revision),
        value: None,
    }
}

pub(crate) fn move_vm(id: &str, from: &str, to: &str, expected_revision: u64) -> ControlChange {
    ControlChange::MoveVm {
        vm: vm(id),
        from: pool_id(from),
        to: pool_id(to),
        expected_revision: Revision::new(expected_revision),
    }
}

pub(crate) fn return_vm(id: &str, expected_revision: u64) -> ControlChange {
    ControlChange::ReturnVm {
        vm: vm(id),
        expected_revision: Revision::new(expected_revision),
    }
}

pub(crate) fn evacuate(zone: &str) -> CatalogueChange {
    CatalogueChange::EvacuateZone(zone.parse().unwrap())
}

pub(crate) fn restore(zone: &str, expected_revision: u64) -> CatalogueChange {
    CatalogueChange::RestoreZone {
        zone: zone.parse().unwrap(),
        expected_revision: Revision::new(expected_revision),
    }
}

/// An encoded record with its position in the log.
#[derive(Debug, Clone)]
pub(crate) struct LogRecord {
    pub(crate) stream: Stream,
    pub(crate) offset: Offset,
    pub(crate) bytes: Vec<u8>,
}

/// A log with the state that was folded from its records.
#[derive(Debug, Clone)]
pub(crate) struct Log {
    pub(crate) state: State,
    pub(crate) records: Vec<LogRecord>,
    sequence: Sequence,
}

impl Log {
    pub(crate) fn new() -> Self {
        Self {
            state: State::new(),
            records: Vec::new(),
            sequence: Sequence::ZERO,
        }
    }

    /// Returns a log with a pool `p`, a team `t` and a queue `q` that uses both, all at revision 1.
    pub(crate) fn with_entries() -> Self {
        let mut log = Self::new();
        let applied = log.edit(vec![
            put(Entry::Pool(pool("p")), 0),
            put(Entry::Team(team("t")), 0),
            put(Entry::Queue(queue("q", "p", &["t"])), 0),
        ]);
        assert_eq!(applied, ApplyResult::Accepted);
        log
    }

    /// Appends the bytes as the next record of the stream and applies them to the state.
    pub(crate) fn append(&mut self, stream: Stream, bytes: Vec<u8>) -> ApplyResult {
        let offset = self.state.next_offset(stream);
        let applied = self.state.apply(stream, offset, &bytes);
        self.records.push(LogRecord {
            stream,
            offset,
            bytes,
        });
        applied
    }

    pub(crate) fn catalogue_record(&mut self, change: CatalogueChange) -> CatalogueRecord {
        CatalogueRecord {
            author: author("ana"),
            sequence: self.next_sequence(),
            as_of: self.state.next_offset(Stream::Catalogue),
            change,
        }
    }

    pub(crate) fn control_record(&mut self, change: ControlChange) -> ControlRecord {
        ControlRecord {
            author: author("daemon-1"),
            sequence: self.next_sequence(),
            as_of: self.state.next_offset(Stream::Control),
            change,
        }
    }

    /// Appends and applies a record with this change of the `catalogue` stream.
    pub(crate) fn catalogue(&mut self, change: CatalogueChange) -> ApplyResult {
        let record = self.catalogue_record(change);
        self.append(Stream::Catalogue, record.encode().unwrap())
    }

    /// Appends and applies a record with this change of the `control` stream.
    pub(crate) fn control(&mut self, change: ControlChange) -> ApplyResult {
        let record = self.control_record(change);
        self.append(Stream::Control, record.encode().unwrap())
    }

    pub(crate) fn edit(&mut self, edits: Vec<EntryEdit>) -> ApplyResult {
        self.catalogue(CatalogueChange::Edit(edits))
    }

    pub(crate) fn give_key(&mut self, id: &str, team: &str) -> ApplyResult {
        self.catalogue(CatalogueChange::GiveKey(key(id, team)))
    }

    pub(crate) fn withdraw_key(&mut self, id: &str) -> ApplyResult {
        self.catalogue(CatalogueChange::WithdrawKey(id.parse().unwrap()))
    }

    /// Appends `count` invalid records, which are refused, to advance the stream's offset.
    pub(crate) fn fill(&mut self, stream: Stream, count: u64) {
        for _ in 0..count {
            let _ = self.append(stream, Vec::new());
        }
    }

    fn next_sequence(&mut self) -> Sequence {
        self.sequence = Sequence::new(self.sequence.get() + 1);
        self.sequence
    }
}

/// Folds the records into a new state.
pub(crate) fn replay<'a>(records: impl IntoIterator<Item = &'a LogRecord>) -> State {
    let mut state = State::new();
    for record in records {
        let _ = state.apply(record.stream, record.offset, &record.bytes);
    }
    state
}

/// Returns the state that a new daemon restores from a snapshot of `state`.
pub(crate) fn restored(state: &State) -> State {
    let mut builder = SnapshotBuilder::new();
    let chunks = state.snapshot().into_chunks();
    let mut states = chunks
        .into_iter()
        .filter_map(|chunk| builder.add_chunk(chunk).unwrap());
    states.next().unwrap()
}
