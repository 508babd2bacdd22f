//! Secrets, which are read from files and never printed.

use std::fmt;
use std::fs;
use std::path::Path;

/// Minimum length of a secret, in characters.
const MIN_SECRET_CHARS: usize = 16;

/// A secret. Its `Debug` output does not show it.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

/// Why a secret could not be read.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum SecretError {
    /// The file could not be read.
    #[error("can't read {path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file's secret is too short.
    #[error("{path}: expected a secret of at least {MIN_SECRET_CHARS} characters, found {chars}")]
    TooShort {
        /// The path of the file.
        path: String,
        /// The length found, in characters.
        chars: usize,
    },
}

impl Secret {
    /// Reads the secret in the file at `path` and trims white space around it.
    ///
    /// # Errors
    ///
    /// [`SecretError`] if the file can't be read or its secret is too short.
    pub fn from_file(path: &Path) -> Result<Self, SecretError> {
        let text = fs::read_to_string(path).map_err(|source| SecretError::Unreadable {
            path: path.display().to_string(),
            source,
        })?;
        let secret = text.trim();
        match secret.chars().count() {
            chars if chars < MIN_SECRET_CHARS => Err(SecretError::TooShort {
                path: path.display().to_string(),
                chars,
            }),
            _ => Ok(Self(secret.to_owned())),
        }
    }

    /// Returns the secret itself. It may be sent or compared, but must not be shown.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
