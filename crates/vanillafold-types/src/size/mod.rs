//! Whole numbers as newtypes, one for each unit.

mod number;

pub use number::{
    ByteSize, Connections, Incarnation, Limit, Millis, Offset, ParseValueError, Percent, Revision,
    Sequence, Share, Slots,
};
