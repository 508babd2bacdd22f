//! INI with line numbers: `rust-ini` reads the text, this module says where a problem stands.

mod document;
mod nearest;
mod problem;
mod reader;

pub use document::{Document, Section};
pub use nearest::nearest_name;
pub use problem::Problem;
pub use reader::Reader;
