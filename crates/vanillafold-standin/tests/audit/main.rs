//! The audit passes runs without violations and reports each injected fault, and only that.

mod clean;
mod events;
mod excuses;
mod faults;
mod random;
mod run;
mod summary;
mod verdicts;
