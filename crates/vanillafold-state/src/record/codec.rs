//! The encoding of all records: one byte with the format version, followed by bincode.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bincode::{Decode, Encode};

use super::RecordError;

/// The format version of the records that this release writes and reads.
pub const FORMAT_VERSION: u8 = 1;

/// The largest record that the platform's log accepts, in bytes.
pub const MAX_RECORD_BYTES: usize = 64 << 10;

/// The most memory that decoding a record may claim, in bytes. It is above [`MAX_RECORD_BYTES`]
/// because bincode counts a list as its length times the size of an element in memory, which
/// exceeds its size in the record.
const MAX_DECODED_BYTES: usize = 4 << 20;

type Config = Configuration<LittleEndian, Varint, Limit<MAX_DECODED_BYTES>>;

const fn config() -> Config {
    bincode::config::standard().with_limit::<MAX_DECODED_BYTES>()
}

/// Encodes the format version and `value`.
pub(super) fn encode<T: Encode>(value: &T) -> Result<Vec<u8>, RecordError> {
    let mut bytes = vec![FORMAT_VERSION];
    bincode::encode_into_std_write(value, &mut bytes, config()).map_err(|error| {
        RecordError::Malformed {
            reason: error.to_string(),
        }
    })?;
    check_size(&bytes)?;
    Ok(bytes)
}

/// Decodes `bytes`, which must hold the format version and exactly one value.
pub(super) fn decode<T: Decode<()>>(bytes: &[u8]) -> Result<T, RecordError> {
    check_size(bytes)?;
    let body = match bytes.split_first() {
        None => return Err(RecordError::Empty),
        Some((&FORMAT_VERSION, body)) => body,
        Some((&found, _)) => return Err(RecordError::Version { found }),
    };
    let (value, used_bytes) =
        bincode::decode_from_slice(body, config()).map_err(|error| RecordError::Malformed {
            reason: error.to_string(),
        })?;
    match body.len() - used_bytes {
        0 => Ok(value),
        extra_bytes => Err(RecordError::TrailingBytes { extra_bytes }),
    }
}

fn check_size(bytes: &[u8]) -> Result<(), RecordError> {
    let found_bytes = bytes.len();
    match found_bytes {
        0..=MAX_RECORD_BYTES => Ok(()),
        _ => Err(RecordError::TooLarge { found_bytes }),
    }
}
