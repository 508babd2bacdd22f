//! Encoding of records as keys and values of the store.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bincode::{Decode, Encode};

use super::{AttemptLimit, JobProgress, SuspectRun};
use crate::id::JobId;
use crate::spec::JobSpec;

/// Maximum memory that a decoded value takes, in bytes. The decoder reserves memory for the length
/// that a value states before it reads the elements.
const MAX_DECODED_BYTES: usize = 16 << 20;

/// Encoding of record values.
const ENCODING: Configuration<LittleEndian, Varint> = bincode::config::standard();
/// The same encoding, with a limit for what is decoded.
const DECODING: Configuration<LittleEndian, Varint, Limit<MAX_DECODED_BYTES>> =
    ENCODING.with_limit::<MAX_DECODED_BYTES>();
/// First character of the key of a job's description.
const SPEC_TAG: char = 'j';
/// First character of the key of a job's progress.
const PROGRESS_TAG: char = 'p';
/// First character of the key of a job's suspect runs.
const SUSPECTS_TAG: char = 's';
/// First character of the key of the pools in which a job may have been started.
const START_POOLS_TAG: char = 'o';
/// First character of the key of a queue's limit of attempts.
const ATTEMPT_LIMIT_TAG: char = 'q';
/// First character of the key of a wave's progress.
const WAVE_TAG: char = 'w';

/// A record of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// A job's description, written once.
    Spec(JobId, Box<JobSpec>),
    /// A job's progress, rewritten at each change.
    Progress(JobId, JobProgress),
    /// A job's runs that may have crashed their workers, in the order of their starts. Kept apart
    /// from the progress, whose encoding earlier versions read too; deleted if there are none.
    Suspects(JobId, Vec<SuspectRun>),
    /// Names of the pools, sorted, in which a job's tasks may have been started, without the one where
    /// it was submitted. Deleted if there are none.
    StartPools(JobId, Vec<String>),
    /// Number of a maintenance wave and the names of the VMs whose maintenance has started, sorted.
    Wave(u64, Vec<String>),
    /// Name of a queue and its limit of attempts. Stored at the latest with the first job of the queue.
    AttemptLimit(String, AttemptLimit),
    /// Deletes the limit of attempts of a queue.
    DeleteAttemptLimit(String),
    /// Deletes the description of a finished job; its progress record keeps the outcome.
    DeleteSpec(JobId),
    /// Deletes all records of a job.
    DeleteJob(JobId),
}

/// Why a stored key or value is not a valid record.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum RecordError {
    /// The key does not belong to a record.
    #[error("expected a record key, found {0:?}")]
    Key(String),
    /// The value can't be decoded.
    #[error("the value of {key} can't be decoded: {reason}")]
    Value {
        /// Key of the record.
        key: String,
        /// Error reported by the decoder.
        reason: String,
    },
}

impl Record {
    /// Returns the keys and values to write; an empty value deletes the key.
    #[must_use]
    pub fn encode(&self) -> Vec<(String, Vec<u8>)> {
        match self {
            Self::Spec(id, spec) => vec![(format!("{SPEC_TAG}{id}"), encode_value(spec.as_ref()))],
            Self::Progress(id, progress) => {
                vec![(format!("{PROGRESS_TAG}{id}"), encode_value(progress))]
            }
            Self::Suspects(id, runs) if runs.is_empty() => {
                vec![(format!("{SUSPECTS_TAG}{id}"), Vec::new())]
            }
            Self::Suspects(id, runs) => {
                vec![(format!("{SUSPECTS_TAG}{id}"), encode_value(runs))]
            }
            Self::StartPools(id, pools) if pools.is_empty() => {
                vec![(format!("{START_POOLS_TAG}{id}"), Vec::new())]
            }
            Self::StartPools(id, pools) => {
                vec![(format!("{START_POOLS_TAG}{id}"), encode_value(pools))]
            }
            Self::Wave(number, started) => {
                vec![(format!("{WAVE_TAG}{number}"), encode_value(started))]
            }
            Self::AttemptLimit(queue, limit) => {
                vec![(format!("{ATTEMPT_LIMIT_TAG}{queue}"), encode_value(limit))]
            }
            Self::DeleteAttemptLimit(queue) => {
                vec![(format!("{ATTEMPT_LIMIT_TAG}{queue}"), Vec::new())]
            }
            Self::DeleteSpec(id) => vec![(format!("{SPEC_TAG}{id}"), Vec::new())],
            Self::DeleteJob(id) => vec![
                (format!("{SPEC_TAG}{id}"), Vec::new()),
                (format!("{PROGRESS_TAG}{id}"), Vec::new()),
            ],
        }
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] if the key or the value is invalid.
    pub fn decode(key: &str, bytes: &[u8]) -> Result<Self, RecordError> {
        let invalid_key = || RecordError::Key(key.chars().take(64).collect());
        let mut chars = key.chars();
        let tag = chars.next();
        if tag == Some(WAVE_TAG) {
            let number = chars.as_str().parse().map_err(|_| invalid_key())?;
            return decode_value(key, bytes).map(|started| Self::Wave(number, started));
        }
        if tag == Some(ATTEMPT_LIMIT_TAG) {
            let queue = chars.as_str().to_owned();
            return decode_value(key, bytes).map(|limit| Self::AttemptLimit(queue, limit));
        }
        let id: JobId = chars.as_str().parse().map_err(|_| invalid_key())?;
        match tag {
            Some(SPEC_TAG) => decode_value(key, bytes).map(|spec| Self::Spec(id, Box::new(spec))),
            Some(PROGRESS_TAG) => {
                decode_value(key, bytes).map(|progress| Self::Progress(id, progress))
            }
            Some(START_POOLS_TAG) => {
                decode_value(key, bytes).map(|pools| Self::StartPools(id, pools))
            }
            Some(SUSPECTS_TAG) => decode_value(key, bytes).map(|runs| Self::Suspects(id, runs)),
            _ => Err(invalid_key()),
        }
    }
}

fn encode_value<T: Encode>(value: &T) -> Vec<u8> {
    // Encoding plain data into memory can't fail.
    bincode::encode_to_vec(value, ENCODING).unwrap_or_default()
}

fn decode_value<T: Decode<()>>(key: &str, bytes: &[u8]) -> Result<T, RecordError> {
    let invalid_value = |reason: String| RecordError::Value {
        key: key.to_owned(),
        reason,
    };
    match bincode::decode_from_slice(bytes, DECODING) {
        Ok((value, used)) if used == bytes.len() => Ok(value),
        Ok(_) => Err(invalid_value("trailing bytes after the value".to_owned())),
        Err(error) => Err(invalid_value(error.to_string())),
    }
}
