//! Publishing of changes to the catalogue stream and the control stream of the platform's log.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use monoio::time::sleep;
use vanillafold::state::{
    Author, CatalogueChange, CatalogueRecord, ControlChange, ControlRecord, Outcome, RecordError,
    SnapshotBuilder, State, Stream, Verdict,
};
use vanillafold::types::{AuthorId, Incarnation, Millis, Offset, Sequence, ZoneId};
use vanillafold::wire::platform::{
    AppendError, HttpPlatform, ListVersion, PlatformLog, ReadError, VmList, VmState,
};

/// The maximum number of records in one read from the log.
const BATCH_RECORDS: u32 = 1_000;
/// The time within which the platform must answer a request.
const TIMEOUT_MS: Millis = Millis::new(3_000);
/// The maximum number of attempts to append a record.
const MAX_ATTEMPTS: u32 = 10;
/// The wait between two attempts to append a record.
const RETRY_WAIT: Duration = Duration::from_millis(300);

/// Why a change was not published.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum PublishError {
    /// The log could not be read.
    #[error("can't read the log: {0}")]
    Read(#[from] ReadError),
    /// The change can't be encoded as a record, for example because it is too large.
    #[error("can't encode the change: {0}")]
    Encode(#[from] RecordError),
    /// The platform turned every attempt to append the record away; holds the last error.
    #[error("the platform did not append the change: {0}")]
    NotAppended(String),
    /// An attempt to append the record was not turned away, and the record could not be read back;
    /// holds the last error.
    #[error(
        "the change may have been applied, or may still be: {0}; read the log before you make it \
         again"
    )]
    Unknown(String),
    /// The record was appended, but the change in it was refused.
    #[error("refused at offset {offset}: {reason}")]
    Refused {
        /// The offset of the record.
        offset: Offset,
        /// The number and text of the refusal.
        reason: String,
    },
}

/// A change to be published.
#[derive(Debug, Clone)]
enum Change {
    /// A change for the catalogue stream.
    Catalogue(CatalogueChange),
    /// A change for the control stream.
    Control(ControlChange),
}

impl Change {
    const fn stream(&self) -> Stream {
        match self {
            Self::Catalogue(_) => Stream::Catalogue,
            Self::Control(_) => Stream::Control,
        }
    }
}

/// Publishes changes and reads from the log whether they were accepted.
pub(crate) struct Publisher {
    platform: HttpPlatform,
    state: State,
    author: Author,
    sequence: Sequence,
}

impl Publisher {
    /// Creates a publisher that has read the catalogue stream up to its end.
    ///
    /// The publisher's incarnation is the current time in microseconds. If another run of the tool
    /// has the same one, the publisher takes a later one when it publishes.
    ///
    /// # Errors
    ///
    /// Returns [`PublishError::Read`] if the log could not be read.
    pub(crate) async fn open(address: SocketAddr, author: AuthorId) -> Result<Self, PublishError> {
        let mut publisher = Self {
            platform: HttpPlatform::new(address, TIMEOUT_MS),
            state: State::new(),
            author: Author {
                id: author,
                incarnation: clock_incarnation(),
            },
            sequence: Sequence::ZERO,
        };
        publisher.catch_up(Stream::Catalogue).await?;
        Ok(publisher)
    }

    /// Returns the state as of the last read from the log.
    pub(crate) const fn state(&self) -> &State {
        &self.state
    }

    /// Publishes a change of the catalogue, waits until it is accepted, and returns the offset of
    /// its record.
    ///
    /// # Errors
    ///
    /// Returns a [`PublishError`] if the change was not published or was refused.
    pub(crate) async fn publish(
        &mut self,
        change: CatalogueChange,
    ) -> Result<Offset, PublishError> {
        self.publish_change(Change::Catalogue(change)).await
    }

    /// Publishes a change to the control stream, waits until it is accepted, and returns the
    /// offset of its record.
    ///
    /// # Errors
    ///
    /// Returns a [`PublishError`] if the change was not published or was refused.
    pub(crate) async fn publish_control(
        &mut self,
        change: ControlChange,
    ) -> Result<Offset, PublishError> {
        self.publish_change(Change::Control(change)).await
    }

    /// Reads the control stream up to its end.
    ///
    /// # Errors
    ///
    /// Returns [`PublishError::Read`] if the log could not be read.
    pub(crate) async fn read_control(&mut self) -> Result<(), PublishError> {
        self.catch_up(Stream::Control).await
    }

    /// Returns the number of VMs that the platform lists in a zone.
    ///
    /// # Errors
    ///
    /// Returns [`PublishError::Read`] if the list could not be read.
    pub(crate) async fn count_vms(&self, zone: &ZoneId) -> Result<usize, PublishError> {
        let changes = self.platform.changes(Some(zone), ListVersion::default());
        let listed = changes.await?.vms;
        let listed = listed.iter().filter(|vm| vm.state != VmState::Gone);
        Ok(listed.count())
    }

    /// Publishes a change, under a later incarnation each time that the log has a record of another
    /// tool under the same author, incarnation and sequence number. The publisher's own record is
    /// refused for that reason, even if a copy of it is still under way.
    async fn publish_change(&mut self, change: Change) -> Result<Offset, PublishError> {
        let stream = change.stream();
        loop {
            let record = self.encode_next(change.clone())?;
            let outcome = match self.state.outcome(stream, &self.author, self.sequence) {
                Some(known) => known,
                None => self.append(stream, &record).await?,
            };
            if outcome.matches_record(&record) {
                return accepted_offset(outcome);
            }
            let next = Incarnation::new(self.author.incarnation.get().saturating_add(1));
            self.author.incarnation = next.max(clock_incarnation());
        }
    }

    /// Encodes a record of `change` with the publisher's next sequence number.
    fn encode_next(&mut self, change: Change) -> Result<Bytes, RecordError> {
        self.sequence = Sequence::new(self.sequence.get() + 1);
        let (author, sequence) = (self.author.clone(), self.sequence);
        let as_of = self.state.next_offset(change.stream());
        let bytes = match change {
            Change::Catalogue(change) => CatalogueRecord {
                author,
                sequence,
                as_of,
                change,
            }
            .encode()?,
            Change::Control(change) => ControlRecord {
                author,
                sequence,
                as_of,
                change,
            }
            .encode()?,
        };
        Ok(bytes.into())
    }

    /// Appends a record, and repeats this until a record with its author and sequence number is
    /// read back from the log, of which it returns the outcome. The answer to an append can be lost
    /// after the append took effect; repeating it is safe, because of several records with the same
    /// author and sequence number only the first takes effect.
    async fn append(&mut self, stream: Stream, record: &Bytes) -> Result<Outcome, PublishError> {
        // Once one attempt was not turned away, its record may land at any time.
        let mut may_land = false;
        let mut last_error = String::from("the record was not read back");
        for _ in 0..MAX_ATTEMPTS {
            let appending = self.platform.append(stream.as_str(), record.clone());
            match appending.await {
                Ok(_) => may_land = true,
                Err(AppendError::Unknown { reason }) => {
                    may_land = true;
                    last_error = reason;
                }
                Err(_) if may_land => {}
                Err(error) => last_error = error.to_string(),
            }
            if may_land && let Err(error) = self.catch_up(stream).await {
                last_error = error.to_string();
            }
            match self.state.outcome(stream, &self.author, self.sequence) {
                Some(outcome) => return Ok(outcome),
                None => sleep(RETRY_WAIT).await,
            }
        }
        match may_land {
            true => Err(PublishError::Unknown(last_error)),
            false => Err(PublishError::NotAppended(last_error)),
        }
    }

    async fn catch_up(&mut self, stream: Stream) -> Result<(), PublishError> {
        catch_up(&self.platform, &mut self.state, stream).await
    }
}

/// Reads the catalogue stream up to its end and returns the state, without publishing anything.
///
/// # Errors
///
/// Returns [`PublishError::Read`] if the log could not be read.
pub(crate) async fn read_published(address: SocketAddr) -> Result<State, PublishError> {
    let platform = HttpPlatform::new(address, TIMEOUT_MS);
    let mut state = State::new();
    catch_up(&platform, &mut state, Stream::Catalogue).await?;
    Ok(state)
}

/// Reads `stream` up to its end and applies its records to the state.
async fn catch_up(
    platform: &HttpPlatform,
    state: &mut State,
    stream: Stream,
) -> Result<(), PublishError> {
    loop {
        let from = state.next_offset(stream);
        let reading = platform.read(stream.as_str(), from, BATCH_RECORDS, Millis::ZERO);
        let batch = match reading.await {
            Err(ReadError::Dropped { oldest }) => {
                start_from_snapshot(platform, state, stream, oldest).await?;
                continue;
            }
            other => other?,
        };
        for record in &batch.records {
            let _ = state.apply(stream, record.offset, &record.data);
        }
        if state.next_offset(stream) >= batch.next {
            return Ok(());
        }
    }
}

/// Merges the latest complete snapshot of the control stream into the state, because retention has
/// dropped the records of `stream` before offset `needed`. Fails if the snapshot does not reach up
/// to `needed`.
async fn start_from_snapshot(
    platform: &HttpPlatform,
    state: &mut State,
    stream: Stream,
    needed: Offset,
) -> Result<(), PublishError> {
    let latest = latest_snapshot(platform).await?;
    let usable = latest.filter(|snapshot| snapshot.next_offset(stream) >= needed);
    let is_merged = usable.is_some_and(|snapshot| state.merge(snapshot).is_ok());
    match is_merged {
        true => Ok(()),
        false => Err(PublishError::Read(ReadError::Dropped { oldest: needed })),
    }
}

/// Returns the current time in microseconds as an incarnation.
fn clock_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation::new(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}

/// Returns the latest complete snapshot that the platform's log retains.
async fn latest_snapshot(platform: &HttpPlatform) -> Result<Option<State>, PublishError> {
    let stream = Stream::Control;
    let mut builder = SnapshotBuilder::new();
    let mut latest: Option<State> = None;
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
            // A chunk that belongs to no complete snapshot is skipped, as daemons do.
            if let Ok(Some(state)) = builder.add_chunk(chunk) {
                latest = Some(state);
            }
        }
        if from >= batch.next {
            return Ok(latest);
        }
    }
}

/// Returns the offset of an accepted record, and otherwise why it was refused.
fn accepted_offset(outcome: Outcome) -> Result<Offset, PublishError> {
    match outcome.verdict {
        Verdict::Accepted => Ok(outcome.offset),
        Verdict::Refused(reason) => Err(PublishError::Refused {
            offset: outcome.offset,
            reason: format!("{} {}", reason.number(), reason.text()),
        }),
    }
}
