//! The audit: reads the traces of a run and judges each point that must always hold.
//!
//! What it can see and what it can't is in `docs/design/0003-audit.md`.

mod finding;
mod invariant;
mod invariants;
mod recording;
mod report;
mod settle;
mod summary;

pub use finding::{Count, Finding, Verdict, Violation};
pub use invariant::Invariant;
pub use report::{Report, TraceSize, audit_dir};
pub use settle::SettleTime;
pub use summary::{CodeCount, Latency, Summary, TeamSummary};
