//! Claims that make non-idempotent requests run at most once: such a request, if its caller chose
//! the id, is sent to a target only after a majority of the id's owners has granted a claim on it.

mod claimer;
mod message;
mod recovery;

pub(crate) use claimer::{ClaimError, ClaimGuard, acquire, answer};
pub(crate) use recovery::recover_claims;
