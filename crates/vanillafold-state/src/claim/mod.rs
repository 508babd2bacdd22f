//! Write-once claims, which make a non-idempotent request run at most once in the fleet.
//!
//! Rendezvous hashing of a request's id selects the daemons that own its claim. A majority of these
//! owners must grant the claim before the request is sent to a target. The design note is
//! `docs/design/0007-claims.md`.

mod id;
mod owners;
mod table;

pub use id::{ClaimId, ClaimToken};
pub use owners::{CLAIM_QUORUM, OWNERS_PER_CLAIM, claim_owners};
pub use table::{ClaimAnswer, ClaimPage, ClaimRecord, ClaimTable, MAX_CLAIMS};
