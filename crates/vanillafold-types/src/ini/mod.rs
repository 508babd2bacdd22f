//! INI files with line numbers: `rust-ini` parses the text, and this module adds the lines.

mod document;
mod nearest;
mod problem;
mod reader;

pub use document::{Document, Section};
pub use nearest::nearest_name;
pub use problem::Problem;
pub use reader::Reader;
