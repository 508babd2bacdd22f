//! Sizes, counts and rates as newtypes that carry their unit.

mod number;

pub use number::{
    ByteSize, Connections, Incarnation, Limit, Millis, Offset, ParseValueError, Percent, Revision,
    Sequence, Share, Slots,
};
