//! The outgoing messages of one peer.

use std::collections::VecDeque;
use std::time::Duration;

use vanillafold_types::KeyId;

use super::clock::BootMillis;
use super::frame::{FrameError, encode};
use super::link::LinkFrame;
use super::message::{LoadEntry, LoadReport, PeerMessage, StateSummary, Withdrawal};

/// Size in bytes from which no more frames are added to a batch.
const BATCH_BYTES: usize = 32 * 1024;
/// Maximum number of load entries in one message.
const LOAD_ENTRIES_PER_MESSAGE: usize = 1_024;
/// Maximum number of unsent load entries for one peer.
const MAX_LOAD_ENTRIES: usize = 4_096;

#[derive(Debug)]
struct PendingWithdrawal {
    key: KeyId,
    sent_at: Option<BootMillis>,
}

impl PendingWithdrawal {
    /// Returns when the withdrawal must be resent; `None` if it has not been sent on this
    /// connection and is due at once.
    fn due(&self, resend_after: Duration) -> Option<BootMillis> {
        self.sent_at.map(|sent_at| sent_at.plus(resend_after))
    }
}

/// The numbers of load entries that were replaced or dropped when a load report was merged.
#[derive(Debug, Default)]
pub(crate) struct LoadMerge {
    pub(crate) replaced: u64,
    pub(crate) dropped: u64,
}

/// Why a message was not queued.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum PushError {
    Full,
    TooLarge,
}

/// The unsent messages and unacknowledged withdrawals for one peer.
///
/// Its size is bounded: state summaries and load reports are coalesced, the number of withdrawals
/// is bounded by the set that they come from, and other messages are limited by count and bytes.
#[derive(Debug)]
pub(crate) struct Outbox {
    max_messages: usize,
    max_bytes: usize,
    state: Option<StateSummary>,
    load: Vec<LoadEntry>,
    withdrawals: Vec<PendingWithdrawal>,
    queue: VecDeque<Vec<u8>>,
    queue_bytes: usize,
}

impl Outbox {
    pub(crate) fn new(max_messages: usize, max_bytes: usize) -> Self {
        Self {
            max_messages,
            max_bytes,
            state: None,
            load: Vec::new(),
            withdrawals: Vec::new(),
            queue: VecDeque::new(),
            queue_bytes: 0,
        }
    }

    /// Replaces the unsent state summary; returns true if there was one.
    pub(crate) fn set_state(&mut self, state: StateSummary) -> bool {
        self.state.replace(state).is_some()
    }

    pub(crate) fn merge_load(&mut self, report: LoadReport) -> LoadMerge {
        let mut merge = LoadMerge::default();
        for entry in report.entries {
            match self.load.binary_search_by(|other| other.vm.cmp(&entry.vm)) {
                Ok(index) => {
                    self.load[index] = entry;
                    merge.replaced += 1;
                }
                Err(_) if self.load.len() >= MAX_LOAD_ENTRIES => merge.dropped += 1,
                Err(index) => self.load.insert(index, entry),
            }
        }
        merge
    }

    pub(crate) fn add_withdrawal(&mut self, key: KeyId) {
        if let Err(index) = self.find_withdrawal(&key) {
            let pending = PendingWithdrawal { key, sent_at: None };
            self.withdrawals.insert(index, pending);
        }
    }

    /// Removes a withdrawal that the peer has, or that is in the folded log.
    pub(crate) fn remove_withdrawal(&mut self, key: &KeyId) {
        if let Ok(index) = self.find_withdrawal(key) {
            self.withdrawals.remove(index);
        }
    }

    /// Makes all unacknowledged withdrawals due at once, for a new connection.
    pub(crate) fn resend_withdrawals(&mut self) {
        for pending in &mut self.withdrawals {
            pending.sent_at = None;
        }
    }

    pub(crate) fn push(&mut self, message: PeerMessage) -> Result<(), PushError> {
        let mut frame = Vec::new();
        encode(&LinkFrame::Message(message), &mut frame).map_err(|_| PushError::TooLarge)?;
        let queue_bytes = self.queue_bytes + frame.len();
        if self.queue.len() >= self.max_messages || queue_bytes > self.max_bytes {
            return Err(PushError::Full);
        }
        self.queue_bytes = queue_bytes;
        self.queue.push_back(frame);
        Ok(())
    }

    /// Moves messages that are sent without delay into a batch: first the due withdrawals, then the
    /// queue.
    pub(crate) fn take_immediate(
        &mut self,
        now: BootMillis,
        resend_after: Duration,
        batch: &mut Vec<u8>,
    ) -> Result<(), FrameError> {
        for pending in &mut self.withdrawals {
            let is_due = pending.due(resend_after).is_none_or(|due| due <= now);
            if is_due && batch.len() < BATCH_BYTES {
                let key = pending.key.clone();
                let message = PeerMessage::Withdrawal(Withdrawal { key });
                encode(&LinkFrame::Message(message), batch)?;
                pending.sent_at = Some(now);
            }
        }
        while batch.len() < BATCH_BYTES
            && let Some(frame) = self.queue.pop_front()
        {
            self.queue_bytes -= frame.len();
            batch.extend_from_slice(&frame);
        }
        Ok(())
    }

    /// Moves the state summary and the load entries of one message into a batch; returns true if
    /// there were any.
    pub(crate) fn take_reports(&mut self, batch: &mut Vec<u8>) -> Result<bool, FrameError> {
        let had_reports = self.has_reports();
        if let Some(state) = self.state.take() {
            encode(&LinkFrame::Message(PeerMessage::State(state)), batch)?;
        }
        if !self.load.is_empty() {
            let count = self.load.len().min(LOAD_ENTRIES_PER_MESSAGE);
            let entries = self.load.drain(..count).collect();
            let message = PeerMessage::LoadReport(LoadReport { entries });
            encode(&LinkFrame::Message(message), batch)?;
        }
        Ok(had_reports)
    }

    pub(crate) fn has_reports(&self) -> bool {
        self.state.is_some() || !self.load.is_empty()
    }

    /// Returns when the next withdrawal that was sent must be resent; `None` if there is none.
    pub(crate) fn next_resend(&self, resend_after: Duration) -> Option<BootMillis> {
        self.withdrawals
            .iter()
            .filter_map(|pending| pending.due(resend_after))
            .min()
    }

    fn find_withdrawal(&self, key: &KeyId) -> Result<usize, usize> {
        self.withdrawals
            .binary_search_by(|pending| pending.key.cmp(key))
    }
}
