//! Verdicts on measured figures, and the files of results.

use std::fmt;
use std::fs;
use std::path::Path;

use serde::Serialize;

use crate::rig::RigError;

/// The bound that a measured figure must satisfy.
#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// The figure must not be smaller.
    AtLeast(f64),
    /// The figure must not be larger.
    AtMost(f64),
}

/// A measured figure, its bound and whether the figure satisfies it.
#[derive(Debug, Clone, Serialize)]
pub struct Verdict {
    /// The name of the figure.
    pub name: &'static str,
    /// The unit of the figure and its bound; empty for a ratio.
    pub unit: &'static str,
    /// The measured value.
    pub measured: f64,
    /// The bound that the value is compared with.
    pub target: Bound,
    /// Whether the value satisfies the bound.
    pub passed: bool,
}

impl Verdict {
    /// Compares a measured value with its bound.
    #[must_use]
    pub fn new(name: &'static str, unit: &'static str, measured: f64, target: Bound) -> Self {
        let passed = match target {
            Bound::AtLeast(bound) => measured >= bound,
            Bound::AtMost(bound) => measured <= bound,
        };
        Self {
            name,
            unit,
            measured,
            target,
            passed,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (word, bound) = match self.target {
            Bound::AtLeast(bound) => ("at least", bound),
            Bound::AtMost(bound) => ("at most", bound),
        };
        let end = match self.passed {
            true => "PASS",
            false => "FAIL",
        };
        let Self {
            name,
            unit,
            measured,
            ..
        } = self;
        write!(
            f,
            "{name:<46} {measured:>10.3} {unit:<10} {word:>8} {bound:>7} {end}"
        )
    }
}

/// Writes a result as JSON to `path`. Missing parent directories are created.
///
/// # Errors
///
/// [`RigError::Io`] if a directory or the file can't be written.
pub fn write_json(path: &Path, result: &impl Serialize) -> Result<(), RigError> {
    let failed = |source| RigError::Io {
        operation: format!("writing {}", path.display()),
        source,
    };
    if let Some(folder) = path.parent() {
        fs::create_dir_all(folder).map_err(failed)?;
    }
    let text = serde_json::to_string_pretty(result).map_err(|error| failed(error.into()))?;
    fs::write(path, text + "\n").map_err(failed)
}
