//! A topic of the metadata store: a log of records with keys.

use std::collections::VecDeque;

use bytes::Bytes;

/// How many appends of a producer the store can answer again.
const REPEATABLE_APPENDS: usize = 5;
/// Length of the length before each record, in bytes.
const LENGTH_BYTES: usize = 4;

/// A record; without a value it deletes its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct KeyedRecord {
    pub(super) key: String,
    pub(super) value: Bytes,
}

/// The newest record of a key.
#[derive(Debug, Clone)]
pub(super) struct NewestRecord {
    pub(super) record: KeyedRecord,
    pub(super) offset: u64,
}

/// What an append is conditional on.
#[derive(Debug, Clone, Copy)]
pub(super) enum Condition<'a> {
    None,
    /// The topic ends at this offset.
    EndOffset(u64),
    /// The sequence number follows the producer's last one.
    Producer {
        name: &'a str,
        epoch: u64,
        sequence: u64,
    },
}

/// What an append did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Appended {
    /// The offset of the first record and that after the last.
    Stored {
        offset: u64,
        end: u64,
    },
    EndMoved {
        end: u64,
    },
    Fenced,
    SequenceMismatch {
        expected: u64,
    },
}

#[derive(Debug)]
struct Producer {
    name: String,
    epoch: u64,
    sequence: u64,
    /// Sequence numbers of the last appends, with the answers.
    recent: VecDeque<(u64, Appended)>,
}

#[derive(Debug, Default)]
pub(super) struct Topic {
    records: Vec<KeyedRecord>,
    /// Sorted by key.
    newest: Vec<NewestRecord>,
    producers: Vec<Producer>,
}

impl Topic {
    pub(super) const fn end(&self) -> u64 {
        self.records.len() as u64
    }

    /// Returns the records from an offset on.
    pub(super) fn records_from(&self, offset: u64) -> &[KeyedRecord] {
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        self.records.get(offset..).unwrap_or_default()
    }

    /// Returns the newest records of the keys after `after`, which are all keys if it is empty.
    pub(super) fn newest_after(&self, after: &str) -> &[NewestRecord] {
        let first = self
            .newest
            .partition_point(|row| !after.is_empty() && row.record.key.as_str() <= after);
        &self.newest[first..]
    }

    pub(super) fn append(
        &mut self,
        condition: Condition<'_>,
        records: Vec<KeyedRecord>,
    ) -> Appended {
        let offset = self.end();
        let end = offset + records.len() as u64;
        let stored = Appended::Stored { offset, end };
        match condition {
            Condition::EndOffset(at) if at != offset => {
                return Appended::EndMoved { end: offset };
            }
            Condition::Producer {
                name,
                epoch,
                sequence,
            } => {
                if let Some(answer) = self.check_producer(name, epoch, sequence, stored) {
                    return answer;
                }
            }
            _ => {}
        }
        for record in records {
            self.add(record);
        }
        stored
    }

    /// Records an append of a producer. Returns the answer if nothing is to be appended.
    fn check_producer(
        &mut self,
        name: &str,
        epoch: u64,
        sequence: u64,
        stored: Appended,
    ) -> Option<Appended> {
        let found = self.producers.iter().position(|known| known.name == name);
        let index = found.unwrap_or_else(|| {
            self.producers.push(Producer {
                name: name.to_owned(),
                epoch,
                sequence: sequence.wrapping_sub(1),
                recent: VecDeque::new(),
            });
            self.producers.len() - 1
        });
        let producer = &mut self.producers[index];
        let repeated = producer.recent.iter().find(|row| row.0 == sequence);
        match repeated {
            _ if epoch < producer.epoch => return Some(Appended::Fenced),
            _ if epoch > producer.epoch => producer.recent.clear(),
            Some((_, answer)) => return Some(*answer),
            None if sequence != producer.sequence.wrapping_add(1) => {
                return Some(Appended::SequenceMismatch {
                    expected: producer.sequence.wrapping_add(1),
                });
            }
            None => {}
        }
        producer.epoch = epoch;
        producer.sequence = sequence;
        producer.recent.push_back((sequence, stored));
        if producer.recent.len() > REPEATABLE_APPENDS {
            producer.recent.pop_front();
        }
        None
    }

    pub(super) fn add(&mut self, record: KeyedRecord) {
        let offset = self.end();
        self.records.push(record.clone());
        let found = self
            .newest
            .binary_search_by(|row| row.record.key.cmp(&record.key));
        let is_deletion = record.value.is_empty();
        let row = NewestRecord { record, offset };
        match found {
            Ok(index) if is_deletion => {
                self.newest.remove(index);
            }
            Ok(index) => self.newest[index] = row,
            Err(_) if is_deletion => {}
            Err(index) => self.newest.insert(index, row),
        }
    }
}

/// Decodes the body of an append; `None` if it is malformed.
pub(super) fn decode_records(mut bytes: &[u8]) -> Option<Vec<KeyedRecord>> {
    let mut records = Vec::new();
    while !bytes.is_empty() {
        let (length, rest) = bytes.split_first_chunk::<LENGTH_BYTES>()?;
        let length = usize::try_from(u32::from_be_bytes(*length)).ok()?;
        let (record, rest) = rest.split_at_checked(length)?;
        let (key_length, key_and_value) = record.split_first()?;
        let (key, value) = key_and_value.split_at_checked(usize::from(*key_length))?;
        records.push(KeyedRecord {
            key: String::from_utf8(key.to_vec()).ok()?,
            value: Bytes::copy_from_slice(value),
        });
        bytes = rest;
    }
    Some(records)
}

/// Appends a record in binary form to the body of an answer.
pub(super) fn encode_record(body: &mut Vec<u8>, record: &KeyedRecord) {
    let key = record.key.as_bytes();
    let length = u32::try_from(1 + key.len() + record.value.len()).unwrap_or(u32::MAX);
    body.extend_from_slice(&length.to_be_bytes());
    body.push(u8::try_from(key.len()).unwrap_or(u8::MAX));
    body.extend_from_slice(key);
    body.extend_from_slice(&record.value);
}
