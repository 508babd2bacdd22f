//! The platform's edges as small traits, so that another platform can be attached.

mod edge;

pub use edge::{
    AppendError, ListVersion, LogBatch, LogRecord, ParseVmStateError, PlatformLog, ReadError,
    VmChanges, VmEntry, VmList, VmOperations, VmState,
};
