//! The platform's API as small traits, so that another platform can be attached, and an HTTP client
//! of the platform that `docs/PROTOCOLS.md` describes.

mod api;
mod client;
mod frame;
mod text;

pub use api::{
    AppendError, ListVersion, LogBatch, LogRecord, ParseVmStateError, PlatformLog, ReadError,
    VmChanges, VmEntry, VmList, VmOperations, VmState,
};
pub use client::HttpPlatform;
pub use frame::{TruncatedFrameError, decode_frames, encode_frame};
pub use text::ParseVmEntryError;
