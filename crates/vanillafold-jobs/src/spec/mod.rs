//! What a caller asks for.

mod job;
mod resources;

pub use job::{JobSpec, Repeat, SpecError, StepSpec};
pub use resources::Resources;
