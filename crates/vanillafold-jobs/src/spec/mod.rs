//! Job descriptions as submitted by callers.

mod description;
mod resources;

pub use description::{JobSpec, Repeat, SpecError, StepSpec};
pub use resources::Resources;
