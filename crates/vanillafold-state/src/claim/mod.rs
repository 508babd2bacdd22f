//! Which daemon may run a non-idempotent request: write-once claims, kept by a few owners.
//!
//! A request's id is claimed at the owners that rendezvous hashing names; a majority of them must
//! grant it before anything is sent. The design note is `docs/design/0007-claims.md`.

mod id;
mod owners;
mod table;

pub use id::{ClaimId, ClaimToken};
pub use owners::{CLAIM_QUORUM, OWNERS_PER_CLAIM, claim_owners};
pub use table::{ClaimAnswer, ClaimPage, ClaimRecord, ClaimTable, MAX_CLAIMS};
