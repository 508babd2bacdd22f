//! Searches the retained part of the control stream for the latest complete snapshot.

use log::{info, warn};
use vanillafold_state::{
    ControlChange, ControlRecord, SnapshotBuilder, SnapshotChunk, State, Stream,
};
use vanillafold_types::{Millis, Offset};
use vanillafold_wire::platform::{PlatformLog, ReadError};

use crate::node::Node;

/// Records requested in one read.
const BATCH_RECORDS: u32 = 500;

/// A scan of the control stream for complete snapshots. Each call goes on where the last one ended.
#[derive(Debug)]
pub(crate) struct LogScan {
    from: Offset,
    builder: SnapshotBuilder,
    latest: Option<State>,
}

impl LogScan {
    pub(crate) fn new() -> Self {
        Self {
            from: Offset::new(1),
            builder: SnapshotBuilder::new(),
            latest: None,
        }
    }

    /// Reads to the end of the control stream and merges the latest complete snapshot into the
    /// state, if the platform still has the next records of both streams. Returns whether a
    /// snapshot was merged.
    ///
    /// # Errors
    ///
    /// [`ReadError::Unavailable`] and [`ReadError::Malformed`]; the next call goes on from there.
    pub(crate) async fn merge_latest<P: PlatformLog>(
        &mut self,
        node: &Node,
        platform: &P,
    ) -> Result<bool, ReadError> {
        while !self.read_batch(node, platform).await? {}
        // Borrowed, not taken, so that the snapshot is still there if a read below fails.
        let Some(state) = &self.latest else {
            return Ok(false);
        };
        for stream in Stream::ALL {
            let next = state.next_offset(stream);
            if !is_retained(platform, stream, next).await? {
                warn!(
                    "latest snapshot discarded: {stream} {next}, the record after it, was dropped"
                );
                self.latest = None;
                return Ok(false);
            }
        }
        Ok(self
            .latest
            .take()
            .is_some_and(|state| merge_snapshot(node, state)))
    }

    /// Reads one batch of records; returns whether it was the last.
    async fn read_batch<P: PlatformLog>(
        &mut self,
        node: &Node,
        platform: &P,
    ) -> Result<bool, ReadError> {
        let stream = Stream::Control;
        let reading = platform.read(stream.as_str(), self.from, BATCH_RECORDS, Millis::ZERO);
        let batch = match reading.await {
            Ok(batch) => batch,
            Err(ReadError::Dropped { oldest }) => {
                self.from = oldest;
                return Ok(false);
            }
            Err(error) => return Err(error),
        };
        for record in &batch.records {
            if let Some(chunk) = snapshot_chunk(&record.data) {
                self.add_chunk(node, chunk);
            }
            self.from = record.offset.next();
        }
        Ok(self.from >= batch.next || batch.records.is_empty())
    }

    fn add_chunk(&mut self, node: &Node, chunk: SnapshotChunk) {
        let mut tracker = node.recovery.snapshot_tracker.borrow_mut();
        tracker.note_chunk(&chunk, node.boot_time());
        match self.builder.add_chunk(chunk) {
            Ok(Some(state)) if self.is_newer(&state) => self.latest = Some(state),
            Ok(_) => {}
            Err(error) => {
                node.counters.count_control_failure("snapshot_refused");
                warn!("snapshot chunk in the log refused: {error}");
            }
        }
    }

    fn is_newer(&self, state: &State) -> bool {
        self.latest.as_ref().is_none_or(|latest| {
            latest.next_offset(Stream::Control) <= state.next_offset(Stream::Control)
        })
    }
}

/// Returns the snapshot chunk in a record of the control stream; `None` for other records.
pub(crate) fn snapshot_chunk(record: &[u8]) -> Option<SnapshotChunk> {
    match ControlRecord::decode(record) {
        Ok(ControlRecord {
            change: ControlChange::Snapshot(chunk),
            ..
        }) => Some(chunk),
        _ => None,
    }
}

fn merge_snapshot(node: &Node, state: State) -> bool {
    let catalogue = state.next_offset(Stream::Catalogue);
    let control = state.next_offset(Stream::Control);
    match node.merge_state(state) {
        Ok(()) => {
            info!(
                "state restored from the log: next offsets catalogue {catalogue}, control {control}"
            );
            true
        }
        Err(error) => {
            node.counters.count_control_failure("snapshot_refused");
            warn!("snapshot in the log refused: {error}");
            false
        }
    }
}

async fn is_retained<P: PlatformLog>(
    platform: &P,
    stream: Stream,
    next: Offset,
) -> Result<bool, ReadError> {
    match platform.read(stream.as_str(), next, 1, Millis::ZERO).await {
        Ok(_) => Ok(true),
        Err(ReadError::Dropped { .. }) => Ok(false),
        Err(error) => Err(error),
    }
}
