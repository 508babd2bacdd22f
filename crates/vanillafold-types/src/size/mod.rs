//! Sizes, counts and rates as newtypes that carry their unit.

mod number;

pub use number::{
    ByteSize, Connections, Incarnation, Limit, Millis, Offset, Percent, Revision, Sequence, Share,
    SizeError, Slots,
};
