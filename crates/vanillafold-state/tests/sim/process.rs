//! A process of the fleet: one incarnation of a daemon.

use vanillafold_state::{
    Author, BootMillis, ControlChange, ControlRecord, Escrow, State, Stream, UnitSource,
};
use vanillafold_types::{DaemonId, Incarnation, Millis, Offset, Sequence, TeamId, VmId};

use super::clock::Clock;
use super::log::{Log, Tail};
use super::network::ProcessId;

/// A read of the log in progress.
#[derive(Debug)]
pub(crate) struct Read {
    pub(crate) began: BootMillis,
    pub(crate) served_at_ms: u64,
    pub(crate) done_at_ms: u64,
    pub(crate) tail: Option<Tail>,
    pub(crate) source: Source,
    /// The peer's freshness age, if the source is a peer; otherwise 0.
    pub(crate) age: Millis,
}

/// Where a read gets the log's records from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    Platform,
    Peer(ProcessId),
}

/// A unit in use, and the time when the process gives it back.
#[derive(Debug)]
pub(crate) struct HeldUnit {
    pub(crate) team: TeamId,
    pub(crate) unit: UnitSource,
    /// When the target's answer arrives; `None` if the answer is lost.
    pub(crate) answer_at_ms: Option<u64>,
    pub(crate) give_up_at: BootMillis,
}

#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) id: ProcessId,
    pub(crate) daemon: usize,
    pub(crate) name: DaemonId,
    pub(crate) incarnation: Incarnation,
    pub(crate) vm: VmId,
    pub(crate) clock: Clock,
    pub(crate) escrow: Escrow,
    pub(crate) state: State,
    pub(crate) limits_revision: usize,
    /// The earlier revisions of the limits, each with the time in ms when a later one replaced it.
    pub(crate) past_limits: Vec<(usize, u64)>,
    pub(crate) died_at_ms: Option<u64>,
    pub(crate) is_leaving: bool,
    pub(crate) paused_until_ms: u64,
    /// The total length of all pauses, including the rest of the current one.
    pub(crate) paused_ms: u64,
    pub(crate) read: Option<Read>,
    pub(crate) next_read_ms: u64,
    pub(crate) next_append_ms: u64,
    pub(crate) unconfirmed_records: Vec<(Sequence, Vec<u8>)>,
    pub(crate) last_sequence: u64,
    pub(crate) held_units: Vec<HeldUnit>,
    /// For each team, how many requests at once are to run here.
    pub(crate) demand: Vec<usize>,
}

impl Process {
    pub(crate) fn is_alive(&self) -> bool {
        self.died_at_ms.is_none()
    }

    pub(crate) fn is_running(&self, now_ms: u64) -> bool {
        self.is_alive() && self.paused_until_ms <= now_ms
    }

    pub(crate) fn pause(&mut self, now_ms: u64, span_ms: u64) {
        self.wake(now_ms);
        self.paused_until_ms = now_ms + span_ms;
        self.paused_ms += span_ms;
    }

    /// Ends a pause early.
    pub(crate) fn wake(&mut self, now_ms: u64) {
        self.paused_ms = self.paused_ms(now_ms);
        self.paused_until_ms = now_ms;
    }

    /// Returns the total time of pauses up to `now_ms`.
    pub(crate) fn paused_ms(&self, now_ms: u64) -> u64 {
        self.paused_ms - self.paused_until_ms.saturating_sub(now_ms)
    }

    /// Returns how far this process has read the log.
    pub(crate) fn tail(&self) -> Tail {
        let next = self.state.next_offset(Stream::Control).get();
        Tail {
            control: usize::try_from(next - 1).unwrap(),
            limits: self.limits_revision,
        }
    }

    /// Queues a record, which is appended again until it is read back.
    pub(crate) fn enqueue_record(&mut self, change: ControlChange) {
        self.last_sequence += 1;
        let sequence = Sequence::new(self.last_sequence);
        let record = ControlRecord {
            author: Author {
                id: self.name.as_str().parse().unwrap(),
                incarnation: self.incarnation,
            },
            sequence,
            as_of: self.state.next_offset(Stream::Control),
            change,
        };
        self.unconfirmed_records
            .push((sequence, record.encode().unwrap()));
        self.next_append_ms = 0;
    }

    /// Applies the log's records up to `tail`.
    pub(crate) fn fold(&mut self, log: &Log, tail: Tail, now: BootMillis, now_ms: u64) {
        let next = self.state.next_offset(Stream::Control).get();
        for offset in next..=tail.control as u64 {
            let bytes = &log.control[usize::try_from(offset - 1).unwrap()];
            let _ = self
                .state
                .apply(Stream::Control, Offset::new(offset), bytes);
        }
        let author = Author {
            id: self.name.as_str().parse().unwrap(),
            incarnation: self.incarnation,
        };
        let state = &self.state;
        self.unconfirmed_records
            .retain(|(sequence, _)| state.outcome(Stream::Control, &author, *sequence).is_none());
        self.escrow.update_roster(self.state.roster(), now);
        if tail.limits > self.limits_revision {
            self.past_limits.push((self.limits_revision, now_ms));
            self.limits_revision = tail.limits;
            self.escrow.set_limits(&log.limits[tail.limits - 1].limits);
        }
    }
}
