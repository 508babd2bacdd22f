//! The catalogue (pools, teams, queues, keys and evacuated zones), folded from the `catalogue` stream.

mod edit;
mod entries;
mod evacuations;
mod fold;
mod key_ring;
mod presented_key;
mod range;
mod with_revision;

pub(crate) use evacuations::Evacuations;
pub(crate) use fold::Catalogue;
pub use key_ring::AuthenticationError;
pub use presented_key::{MAX_PRESENTED_KEY_BYTES, key_digest};
pub use with_revision::WithRevision;
