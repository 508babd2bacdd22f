//! Traces of the events that stand-ins observed, and answer bodies that can be checked.
//!
//! A trace file has one JSON object per line. `docs/PROTOCOLS.md`, section "Traces", specifies the
//! kinds of events and their fields.

mod answer;
mod clock;
mod error;
mod event;
mod name;
mod reader;
mod writer;

pub use answer::{AnswerBody, AnswerChecker, BodyVerdict};
pub use clock::monotonic_us;
pub use error::{TraceError, TraceErrorKind};
pub use event::{
    Config, End, Limit, OpenQueue, PoolOf, PoolSize, ProcessChange, Published, Received,
    ReceivedOutcome, Sent, Start, TraceEvent, VmChange, Withdrawn,
};
pub use name::{KeyName, PoolName, ProcessName, QueueName, RequestName, TeamName, VmName};
pub use reader::{TraceLine, TraceReader};
pub use writer::TraceWriter;
