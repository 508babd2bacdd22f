//! The audit: reads the traces of a run and checks the [invariants](Invariant) of the system.
//!
//! `docs/design/0003-audit.md` describes what the audit can observe and what it can't.

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
