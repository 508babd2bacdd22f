//! One start of a daemon.

use vanillafold_state::{
    Author, BootMillis, ControlChange, ControlRecord, Escrow, State, Stream, UnitSource,
};
use vanillafold_types::{DaemonId, Incarnation, Millis, Offset, Sequence, TeamId, VmId};

use super::clock::Clock;
use super::log::{Log, Tail};
use super::network::ProcessId;

/// A read of the log that is under way.
#[derive(Debug)]
pub(crate) struct Read {
    pub(crate) began: BootMillis,
    pub(crate) served_ms: u64,
    pub(crate) done_ms: u64,
    pub(crate) tail: Option<Tail>,
    pub(crate) source: Source,
    /// The source's own age, if it is a peer.
    pub(crate) age: Millis,
}

/// Whom a read asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    Platform,
    Peer(ProcessId),
}

/// A unit in use, and when the holder gives it back.
#[derive(Debug)]
pub(crate) struct Holding {
    pub(crate) team: TeamId,
    pub(crate) unit: UnitSource,
    /// When the target's answer comes, if the holder hears of it.
    pub(crate) answer_ms: Option<u64>,
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
    pub(crate) limits_read: usize,
    /// Until when each earlier revision of the limits was the one that it knew.
    pub(crate) limits_left: Vec<(usize, u64)>,
    pub(crate) died_ms: Option<u64>,
    pub(crate) is_leaving: bool,
    pub(crate) paused_until_ms: u64,
    /// The length of all pauses, to the end of the last one.
    pub(crate) paused_ms: u64,
    pub(crate) read: Option<Read>,
    pub(crate) next_read_ms: u64,
    pub(crate) next_append_ms: u64,
    pub(crate) unread_records: Vec<(Sequence, Vec<u8>)>,
    pub(crate) last_sequence: u64,
    pub(crate) holdings: Vec<Holding>,
    /// How much each team wants to run here.
    pub(crate) demand: Vec<usize>,
}

impl Process {
    pub(crate) fn is_alive(&self) -> bool {
        self.died_ms.is_none()
    }

    pub(crate) fn is_running(&self, now_ms: u64) -> bool {
        self.is_alive() && self.paused_until_ms <= now_ms
    }

    pub(crate) fn pause(&mut self, now_ms: u64, span_ms: u64) {
        self.wake(now_ms);
        self.paused_until_ms = now_ms + span_ms;
        self.paused_ms += span_ms;
    }

    /// Ends a pause before its time.
    pub(crate) fn wake(&mut self, now_ms: u64) {
        self.paused_ms = self.paused_ms(now_ms);
        self.paused_until_ms = now_ms;
    }

    /// How long it was paused so far.
    pub(crate) fn paused_ms(&self, now_ms: u64) -> u64 {
        self.paused_ms - self.paused_until_ms.saturating_sub(now_ms)
    }

    /// How far it has read.
    pub(crate) fn tail(&self) -> Tail {
        let next = self.state.next_offset(Stream::Control).get();
        Tail {
            control: usize::try_from(next - 1).unwrap(),
            limits: self.limits_read,
        }
    }

    /// Makes a record that is appended until it is read back.
    pub(crate) fn write(&mut self, change: ControlChange) {
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
        self.unread_records
            .push((sequence, record.encode().unwrap()));
        self.next_append_ms = 0;
    }

    /// Folds the log up to `tail`.
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
        self.unread_records
            .retain(|(sequence, _)| state.outcome(Stream::Control, &author, *sequence).is_none());
        self.escrow.update_roster(self.state.roster(), now);
        if tail.limits > self.limits_read {
            self.limits_left.push((self.limits_read, now_ms));
            self.limits_read = tail.limits;
            self.escrow.set_limits(&log.limits[tail.limits - 1].limits);
        }
    }
}
