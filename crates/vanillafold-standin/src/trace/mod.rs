//! Traces: what stand-ins saw, one JSON object a line, and answer bodies that can be checked.
//!
//! The kinds and their fields are those of `docs/PROTOCOLS.md`, section "Traces".

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
