//! What a check of a valid catalogue file finds, and where.

use std::fmt;

use super::EntryName;
use crate::Document;

/// What a [`Finding`] tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FindingKind {
    /// The entry can't work as its text says.
    Warning,
    /// The published catalogue lacks the entry.
    Added,
    /// A field differs from the published entry.
    Changed,
    /// Only the published catalogue has the entry.
    Removed,
}

impl fmt::Display for FindingKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Warning => "warning",
            Self::Added => "added",
            Self::Changed => "changed",
            Self::Removed => "removed",
        })
    }
}

/// What a check of a valid catalogue file finds about one entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// What the finding tells.
    pub kind: FindingKind,
    /// The entry that the finding is about.
    pub entry: EntryName,
    /// The key of the entry that the finding is about; empty for the whole entry.
    pub key: &'static str,
    /// What was found.
    pub message: String,
}

impl Finding {
    /// Creates a warning about `key` of `entry`; an empty key stands for the whole entry.
    #[must_use]
    pub const fn warning(entry: EntryName, key: &'static str, message: String) -> Self {
        Self {
            kind: FindingKind::Warning,
            entry,
            key,
            message,
        }
    }

    /// Returns the line of the key in `document`, or of the entry's header if the entry lacks the
    /// key; `None` if the document lacks the entry.
    #[must_use]
    pub fn line(&self, document: &Document) -> Option<usize> {
        let is_entry = |kind: &str, name: Option<&str>| {
            kind == self.entry.kind() && name == Some(self.entry.id())
        };
        document
            .sections()
            .iter()
            .find(|section| is_entry(&section.kind, section.name.as_deref()))
            .map(|section| section.line_of(self.key))
    }

    /// Returns the finding as a line of text, with its place in `document`.
    #[must_use]
    pub fn located_text(&self, document: &Document) -> String {
        let file = document.file();
        match self.line(document) {
            Some(line) => format!("{file}:{line}: {self}"),
            None => format!("{file}: {self}"),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: [{}] {}", self.kind, self.entry, self.message)
    }
}
