//! Secrets that come from files and are never printed.

use std::fmt;
use std::fs;
use std::path::Path;

/// The shortest secret that is taken, in characters.
const MIN_SECRET_CHARS: usize = 16;

/// A secret; its `Debug` shows nothing of it.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

/// Why a secret could not be read.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum SecretError {
    /// The file could not be read.
    #[error("can't read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file's secret is too short.
    #[error("{path}: expected a secret of at least {MIN_SECRET_CHARS} characters, found {chars}")]
    TooShort {
        /// The file.
        path: String,
        /// The length found, in characters.
        chars: usize,
    },
}

impl Secret {
    /// Reads the secret in `path`; white space around it is dropped.
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

    /// The secret itself, to be sent or compared, never shown.
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
