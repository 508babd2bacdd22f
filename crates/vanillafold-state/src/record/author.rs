//! Who wrote a record.

use std::fmt;

use bincode::{Decode, Encode};
use vanillafold_types::{AuthorId, Incarnation};

/// Who wrote a record: a name, and which start of the writer it was.
///
/// Each start counts its records from 1, so two starts never share a sequence.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Author {
    /// The writer's name.
    pub id: AuthorId,
    /// Which start of the writer; must differ between starts of the same name.
    pub incarnation: Incarnation,
}

impl fmt::Display for Author {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.id, self.incarnation)
    }
}
