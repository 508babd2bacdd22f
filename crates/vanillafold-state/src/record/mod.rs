//! The records of the log's two streams and their encoding.

mod author;
mod catalogue;
mod codec;
mod control;
mod envelope;
mod error;
mod stream;

pub use author::Author;
pub use catalogue::{CatalogueChange, CatalogueRecord, Entry, EntryEdit};
pub use codec::{FORMAT_VERSION, MAX_RECORD_BYTES};
pub use control::{ControlChange, ControlRecord};
pub use envelope::Record;
pub use error::RecordError;
pub use stream::{ParseStreamError, Stream};
