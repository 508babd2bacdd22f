//! Looks for a snapshot in what the platform still keeps of the control stream.

use log::{info, warn};
use vanillafold_state::{
    ControlChange, ControlRecord, SnapshotBuilder, SnapshotChunk, State, Stream,
};
use vanillafold_types::{Millis, Offset};
use vanillafold_wire::platform::{PlatformLog, ReadError};

use crate::node::Node;

/// Records asked for at once.
const BATCH_RECORDS: u32 = 500;

/// A look through the control stream for a whole snapshot; it goes on where it ended.
#[derive(Debug)]
pub(crate) struct LogScan {
    from: Offset,
    builder: SnapshotBuilder,
    newest: Option<State>,
}

impl LogScan {
    pub(crate) fn new() -> Self {
        Self {
            from: Offset::new(1),
            builder: SnapshotBuilder::new(),
            newest: None,
        }
    }

    /// Reads to the end of the control stream and adopts the newest whole snapshot, if both
    /// streams can be read on from there. Says whether it did.
    ///
    /// # Errors
    ///
    /// [`ReadError::Unavailable`] and [`ReadError::Malformed`].
    pub(crate) async fn adopt_newest<P: PlatformLog>(
        &mut self,
        node: &Node,
        platform: &P,
    ) -> Result<bool, ReadError> {
        while !self.read(node, platform).await? {}
        // Given back if a read fails, so that the next look has it.
        let Some(state) = &self.newest else {
            return Ok(false);
        };
        for stream in Stream::ALL {
            let next = state.next_offset(stream);
            if !is_kept(platform, stream, next).await? {
                warn!("the newest snapshot goes on at {stream} {next}, which was dropped");
                self.newest = None;
                return Ok(false);
            }
        }
        Ok(self.newest.take().is_some_and(|state| adopt(node, state)))
    }

    /// Reads one batch; says whether it was the last.
    async fn read<P: PlatformLog>(&mut self, node: &Node, platform: &P) -> Result<bool, ReadError> {
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
            if let Some(piece) = snapshot_piece(&record.data) {
                self.take(node, piece);
            }
            self.from = record.offset.next();
        }
        Ok(self.from >= batch.next || batch.records.is_empty())
    }

    fn take(&mut self, node: &Node, piece: SnapshotChunk) {
        let mut watch = node.recovery.watch.borrow_mut();
        watch.note_piece(&piece, node.boot_time());
        match self.builder.add_chunk(piece) {
            Ok(Some(state)) if self.is_newer(&state) => self.newest = Some(state),
            Ok(_) => {}
            Err(error) => {
                node.counters.count_control_failure("snapshot_refused");
                warn!("a piece of a snapshot was not taken: {error}");
            }
        }
    }

    fn is_newer(&self, state: &State) -> bool {
        self.newest.as_ref().is_none_or(|newest| {
            newest.next_offset(Stream::Control) <= state.next_offset(Stream::Control)
        })
    }
}

/// The piece of a snapshot that a record of the control stream holds.
pub(crate) fn snapshot_piece(record: &[u8]) -> Option<SnapshotChunk> {
    match ControlRecord::decode(record) {
        Ok(ControlRecord {
            change: ControlChange::Snapshot(piece),
            ..
        }) => Some(piece),
        _ => None,
    }
}

fn adopt(node: &Node, state: State) -> bool {
    let catalogue = state.next_offset(Stream::Catalogue);
    let control = state.next_offset(Stream::Control);
    match node.adopt(state) {
        Ok(()) => {
            info!("goes on from the log's snapshot of catalogue {catalogue} control {control}");
            true
        }
        Err(error) => {
            node.counters.count_control_failure("snapshot_refused");
            warn!("the log's snapshot was not taken: {error}");
            false
        }
    }
}

async fn is_kept<P: PlatformLog>(
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
