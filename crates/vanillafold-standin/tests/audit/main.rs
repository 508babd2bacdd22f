//! The audit passes clean runs and finds each planted fault, and only that.

mod clean;
mod events;
mod excuses;
mod faults;
mod random;
mod run;
mod summary;
mod verdicts;
