//! The author of a record.

use std::fmt;

use bincode::{Decode, Encode};
use vanillafold_types::{AuthorId, Incarnation};

/// The author of a record: a name and the incarnation of the process that wrote it.
///
/// Each incarnation numbers its records from 1, so incarnations must differ for sequences to be
/// unique.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Author {
    /// The name of the daemon or operator.
    pub id: AuthorId,
    /// The incarnation of the process; it must differ from that of every other process with the
    /// same name.
    pub incarnation: Incarnation,
}

impl fmt::Display for Author {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.id, self.incarnation)
    }
}
