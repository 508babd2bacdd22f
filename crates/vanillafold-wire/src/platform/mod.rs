//! The platform's edges as small traits, so that another platform can be attached, and the
//! client of the platform that `docs/PROTOCOLS.md` describes.

mod client;
mod edge;
mod frame;
mod text;

pub use client::HttpPlatform;
pub use edge::{
    AppendError, ListVersion, LogBatch, LogRecord, ParseVmStateError, PlatformLog, ReadError,
    VmChanges, VmEntry, VmList, VmOperations, VmState,
};
pub use frame::{FrameError, decode_frames, encode_frame};
pub use text::ParseVmEntryError;
