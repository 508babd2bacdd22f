//! Random scripts: records by two authors about a few names, so that they often conflict.

use quickcheck::{Arbitrary, Gen};
use vanillafold_state::{
    ApplyResult, CatalogueChange, ControlChange, Entry, EntryEdit, Record, State, Stream,
};
use vanillafold_types::{DaemonId, EntryName, Incarnation, Offset, Revision, Sequence, Share};

use super::{
    Log, author, evacuate, key, move_vm, pool, pool_id, queue, restore, return_vm, team, vm,
};

const NAMES: [&str; 3] = ["a", "b", "c"];
const KEYS: [&str; 5] = ["k0", "k1", "k2", "k3", "k4"];
const AUTHORS: [&str; 2] = ["bo", "cy"];

/// The number of random bytes that one step of a script may consume.
const STEP_BYTES: usize = 32;

/// One step of a script: the random bytes that decide which record it appends to a log.
#[derive(Debug, Clone)]
pub(crate) struct Step([u8; STEP_BYTES]);

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(std::array::from_fn(|_| u8::arbitrary(g)))
    }
}

impl Step {
    /// Runs the step against a log. Returns `None` if it appends no record.
    pub(crate) fn run(&self, log: &mut Log) -> Option<ApplyResult> {
        let mut random = RandomBytes(self.0.iter());
        let (stream, bytes) = match random.below(24) {
            0..16 => random.new_record(&log.state),
            16 => {
                let _ = log
                    .state
                    .withdraw_early(random.pick(&KEYS).parse().unwrap());
                return None;
            }
            17..20 => random.earlier_record(log)?,
            20..23 => random.mutated_record(log)?,
            _ => (random.pick(&Stream::ALL), self.0.to_vec()),
        };
        Some(log.append(stream, bytes))
    }
}

/// The random bytes of a step that were not consumed yet; zeroes once all were.
struct RandomBytes<'a>(std::slice::Iter<'a, u8>);

impl RandomBytes<'_> {
    fn below(&mut self, bound: u8) -> u8 {
        self.0.next().copied().unwrap_or(0) % bound
    }

    fn pick<T: Copy>(&mut self, items: &[T]) -> T {
        items[usize::from(self.below(u8::MAX)) % items.len()]
    }

    fn new_record(&mut self, state: &State) -> (Stream, Vec<u8>) {
        let stream = self.pick(&Stream::ALL);
        let next = state.next_offset(stream);
        let bytes = match stream {
            Stream::Catalogue => {
                let change = self.catalogue_change(state);
                self.envelope(next, change).encode()
            }
            Stream::Control => {
                let change = self.control_change(state);
                self.envelope(next, change).encode()
            }
        };
        (stream, bytes.unwrap())
    }

    /// Wraps a change into a record, mostly a valid one, sometimes with a sequence that was used or
    /// an `as_of` above the stream's next offset.
    fn envelope<C>(&mut self, next: Offset, change: C) -> Record<C> {
        let sequence = match self.below(32) {
            low @ 0..2 => u64::from(low),
            _ => next.get() + 2,
        };
        let as_of = match self.below(64) {
            0 => Offset::new(u64::MAX),
            1 => next.next(),
            _ => next,
        };
        Record {
            author: author(self.pick(&AUTHORS)),
            sequence: Sequence::new(sequence),
            as_of,
            change,
        }
    }

    fn catalogue_change(&mut self, state: &State) -> CatalogueChange {
        match self.below(10) {
            8 => evacuate(self.pick(&NAMES)),
            9 => {
                let zone = self.pick(&NAMES);
                let current = state.evacuation(&zone.parse().unwrap());
                restore(zone, self.expected_revision(current))
            }
            0 => CatalogueChange::WithdrawKey(self.pick(&KEYS).parse().unwrap()),
            1 | 2 => CatalogueChange::GiveKey(key(self.pick(&KEYS), self.pick(&NAMES))),
            _ => {
                let count = self.below(5);
                CatalogueChange::Edit((0..count).map(|_| self.edit(state)).collect())
            }
        }
    }

    fn edit(&mut self, state: &State) -> EntryEdit {
        let id = self.pick(&NAMES);
        let other = self.pick(&NAMES);
        let (value, current) = match self.below(3) {
            0 => {
                let current = state.pool(&pool_id(id)).map(|pool| pool.revision);
                (Entry::Pool(pool(id)), current)
            }
            1 => {
                let mut team = team(id);
                team.share = Share::new(u32::from(self.below(8)));
                let current = state.team(&team.id).map(|team| team.revision);
                (Entry::Team(team), current)
            }
            _ => {
                let current = state.queue(id).map(|queue| queue.revision);
                (Entry::Queue(queue(id, other, &[other])), current)
            }
        };
        let name = match self.below(64) {
            0 => EntryName::Key("k".parse().unwrap()),
            1 => EntryName::Pool(pool_id("other")),
            _ => value.name(),
        };
        EntryEdit {
            name,
            expected_revision: Revision::new(self.expected_revision(current)),
            value: (self.below(4) > 0).then_some(value),
        }
    }

    fn control_change(&mut self, state: &State) -> ControlChange {
        let id = self.pick(&NAMES);
        let current = state.membership(&vm(id)).map(|now| now.revision);
        let pool = match self.below(8) {
            0 => pool_id("a"),
            _ => state.pool_of(&vm(id), &pool_id("home")),
        };
        let expected_revision = self.expected_revision(current);
        match self.below(12) {
            0 => return_vm(id, expected_revision),
            1..5 => self.roster_change(state),
            _ => move_vm(id, pool.as_str(), self.pick(&NAMES), expected_revision),
        }
    }

    /// Joins are mostly of a later incarnation than the known one; fences and releases mostly match
    /// the known one.
    fn roster_change(&mut self, state: &State) -> ControlChange {
        let daemon: DaemonId = self.pick(&NAMES).parse().unwrap();
        let known = state.roster().member(&daemon);
        let known = known.map_or(0, |member| member.incarnation.get());
        match self.below(4) {
            0 => ControlChange::Fence {
                daemon,
                incarnation: Incarnation::new(known + u64::from(self.below(8) / 7)),
            },
            1 => ControlChange::Release {
                daemon,
                incarnation: Incarnation::new(known.saturating_sub(u64::from(self.below(3)))),
            },
            _ => ControlChange::Join {
                daemon,
                vm: vm(self.pick(&NAMES)),
                incarnation: Incarnation::new(known + u64::from(self.below(4))),
            },
        }
    }

    /// Returns mostly the current revision, sometimes 0 or a random one.
    fn expected_revision(&mut self, current: Option<Revision>) -> u64 {
        match self.below(8) {
            0 => 0,
            1 => u64::from(self.below(u8::MAX)),
            _ => current.unwrap_or(Revision::ZERO).get(),
        }
    }

    /// Returns a copy of a record that is already in the log.
    fn earlier_record(&mut self, log: &Log) -> Option<(Stream, Vec<u8>)> {
        let index = usize::from(self.below(u8::MAX)).checked_rem(log.records.len())?;
        let record = &log.records[index];
        Some((record.stream, record.bytes.clone()))
    }

    /// Returns a record of the log with one byte changed.
    fn mutated_record(&mut self, log: &Log) -> Option<(Stream, Vec<u8>)> {
        let (stream, mut bytes) = self.earlier_record(log)?;
        let at = usize::from(self.below(u8::MAX)).checked_rem(bytes.len())?;
        bytes[at] = self.below(u8::MAX);
        Some((stream, bytes))
    }
}
