//! Publishes changes of the catalogue.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use monoio::time::sleep;
use vanillafold::state::{
    Author, CatalogueChange, ControlChange, ControlRecord, Outcome, Record, RecordError,
    SnapshotBuilder, State, Stream, Verdict,
};
use vanillafold::types::{AuthorId, Incarnation, Millis, Offset, Sequence};
use vanillafold::wire::platform::{AppendError, HttpPlatform, PlatformLog, ReadError};

/// Records read at once.
const BATCH_RECORDS: u32 = 1_000;
/// How long the platform may take for an answer.
const TIMEOUT: Millis = Millis::new(3_000);
/// Appends tried before the tool gives up.
const MAX_TRIES: u32 = 10;
/// The wait between two tries.
const RETRY_WAIT: Duration = Duration::from_millis(300);

/// Why a change was not published.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum SessionError {
    /// The log could not be read.
    #[error("can't read the log: {0}")]
    Read(#[from] ReadError),
    /// The change does not fit into a record.
    #[error("can't encode the change: {0}")]
    Encode(#[from] RecordError),
    /// The platform did not take the record.
    #[error("the platform did not take the change: {0}")]
    NotAppended(String),
    /// The fold refused the change.
    #[error("refused at offset {offset}: {reason}")]
    Refused {
        /// Where the change stands.
        offset: Offset,
        /// Why it has no effect.
        reason: String,
    },
}

/// Publishes changes of the catalogue and reads what became of them.
pub(crate) struct Publisher {
    platform: HttpPlatform,
    state: State,
    author: Author,
    sequence: Sequence,
}

impl Publisher {
    /// Reads the catalogue as it stands now.
    ///
    /// # Errors
    ///
    /// [`SessionError::Read`].
    pub(crate) async fn open(address: SocketAddr, author: AuthorId) -> Result<Self, SessionError> {
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let incarnation = u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX);
        let mut publisher = Self {
            platform: HttpPlatform::new(address, TIMEOUT),
            state: State::new(),
            author: Author {
                id: author,
                incarnation: Incarnation::new(incarnation),
            },
            sequence: Sequence::ZERO,
        };
        publisher.catch_up(Stream::Catalogue).await?;
        Ok(publisher)
    }

    /// The catalogue as it was read last.
    pub(crate) const fn state(&self) -> &State {
        &self.state
    }

    /// Publishes a change of the catalogue and waits until the fold has decided on it.
    ///
    /// # Errors
    ///
    /// [`SessionError`].
    pub(crate) async fn publish(
        &mut self,
        change: CatalogueChange,
    ) -> Result<Offset, SessionError> {
        let record = self.record(Stream::Catalogue, change);
        self.append(Stream::Catalogue, record.encode()?.into())
            .await
    }

    /// Publishes a change of the control stream and waits until the fold has decided on it.
    ///
    /// # Errors
    ///
    /// [`SessionError`].
    pub(crate) async fn publish_control(
        &mut self,
        change: ControlChange,
    ) -> Result<Offset, SessionError> {
        let record = self.record(Stream::Control, change);
        self.append(Stream::Control, record.encode()?.into()).await
    }

    /// Reads the control stream as it stands now.
    ///
    /// # Errors
    ///
    /// [`SessionError::Read`].
    pub(crate) async fn read_control(&mut self) -> Result<(), SessionError> {
        self.catch_up(Stream::Control).await
    }

    fn record<C>(&mut self, stream: Stream, change: C) -> Record<C> {
        self.sequence = Sequence::new(self.sequence.get() + 1);
        Record {
            author: self.author.clone(),
            sequence: self.sequence,
            as_of: self.state.next_offset(stream),
            change,
        }
    }

    /// Appends a record until it is read back: an answer can be lost after the append took
    /// effect, and the fold takes a record only once.
    async fn append(&mut self, stream: Stream, bytes: Bytes) -> Result<Offset, SessionError> {
        let mut last = String::new();
        for _ in 0..MAX_TRIES {
            let appending = self.platform.append(stream.as_str(), bytes.clone());
            match appending.await {
                Ok(_) | Err(AppendError::Unknown { .. }) => self.catch_up(stream).await?,
                Err(error) => last = error.to_string(),
            }
            match self.state.outcome(stream, &self.author, self.sequence) {
                Some(outcome) => return decided(outcome),
                None => sleep(RETRY_WAIT).await,
            }
        }
        Err(SessionError::NotAppended(last))
    }

    async fn catch_up(&mut self, stream: Stream) -> Result<(), SessionError> {
        loop {
            let from = self.state.next_offset(stream);
            let reading = self
                .platform
                .read(stream.as_str(), from, BATCH_RECORDS, Millis::ZERO);
            let batch = match reading.await {
                Err(ReadError::Dropped { oldest }) => {
                    self.start_from_snapshot(stream, oldest).await?;
                    continue;
                }
                other => other?,
            };
            for record in &batch.records {
                let _ = self.state.apply(stream, record.offset, &record.data);
            }
            if self.state.next_offset(stream) >= batch.next {
                return Ok(());
            }
        }
    }

    /// Adopts the newest whole snapshot on the control stream; the records of `stream` before
    /// `needed` are dropped.
    async fn start_from_snapshot(
        &mut self,
        stream: Stream,
        needed: Offset,
    ) -> Result<(), SessionError> {
        let newest = newest_snapshot(&self.platform).await?;
        let usable = newest.filter(|state| state.next_offset(stream) >= needed);
        let is_adopted = usable.is_some_and(|state| self.state.merge(state).is_ok());
        match is_adopted {
            true => Ok(()),
            false => Err(SessionError::Read(ReadError::Dropped { oldest: needed })),
        }
    }
}

/// The newest whole snapshot that the platform keeps.
async fn newest_snapshot(platform: &HttpPlatform) -> Result<Option<State>, SessionError> {
    let stream = Stream::Control;
    let mut builder = SnapshotBuilder::new();
    let mut newest: Option<State> = None;
    let mut from = Offset::new(1);
    loop {
        let reading = platform.read(stream.as_str(), from, BATCH_RECORDS, Millis::ZERO);
        let batch = match reading.await {
            Err(ReadError::Dropped { oldest }) => {
                from = oldest;
                continue;
            }
            other => other?,
        };
        for record in &batch.records {
            from = record.offset.next();
            let Ok(ControlRecord {
                change: ControlChange::Snapshot(chunk),
                ..
            }) = ControlRecord::decode(&record.data)
            else {
                continue;
            };
            // A piece that fits no snapshot is passed over, as daemons do.
            if let Ok(Some(state)) = builder.add_chunk(chunk) {
                newest = Some(state);
            }
        }
        if from >= batch.next {
            return Ok(newest);
        }
    }
}

fn decided(outcome: Outcome) -> Result<Offset, SessionError> {
    match outcome.verdict {
        Verdict::Accepted => Ok(outcome.offset),
        Verdict::Refused(reason) => Err(SessionError::Refused {
            offset: outcome.offset,
            reason: format!("{} {}", reason.number(), reason.text()),
        }),
    }
}
