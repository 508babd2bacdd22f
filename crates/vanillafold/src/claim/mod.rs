//! At most once: a non-idempotent request with its caller's id is sent only under a claim that a
//! majority of the id's owners has granted.

mod claimer;
mod message;
mod recovery;

pub(crate) use claimer::{ClaimError, ClaimGuard, acquire, answer};
pub(crate) use recovery::recover_claims;
