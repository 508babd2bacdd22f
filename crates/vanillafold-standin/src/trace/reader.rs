//! Reads the events of a trace file.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde_json::error::Category;

use super::{TraceError, TraceErrorKind, TraceEvent};

/// A line of a trace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TraceLine {
    /// A complete event.
    Event(TraceEvent),
    /// The beginning of an event, left by a process that was killed while writing it.
    Torn,
}

/// An iterator over the lines of one trace file; empty lines are skipped.
#[derive(Debug)]
pub struct TraceReader {
    path: PathBuf,
    input: BufReader<File>,
    line: Vec<u8>,
    line_number: u64,
}

impl TraceReader {
    /// Opens a trace file.
    ///
    /// # Errors
    ///
    /// Returns [`TraceErrorKind::Io`] if the file can't be opened.
    pub fn open(path: &Path) -> Result<Self, TraceError> {
        let file = File::open(path).map_err(|error| TraceError::new(path, error))?;
        Ok(Self {
            path: path.to_owned(),
            input: BufReader::new(file),
            line: Vec::new(),
            line_number: 0,
        })
    }

    fn read_line(&mut self) -> Result<Option<TraceLine>, TraceError> {
        loop {
            self.line.clear();
            let read = self
                .input
                .read_until(b'\n', &mut self.line)
                .map_err(|error| TraceError::new(&self.path, error))?;
            self.line_number += 1;
            match read {
                0 => return Ok(None),
                _ if self.line.trim_ascii().is_empty() => {}
                _ => return self.parse().map(Some),
            }
        }
    }

    fn parse(&self) -> Result<TraceLine, TraceError> {
        match serde_json::from_slice(self.line.trim_ascii_end()) {
            Ok(event) => Ok(TraceLine::Event(event)),
            // Exactly the proper prefixes of a JSON object fail with this category.
            Err(problem) if problem.classify() == Category::Eof => Ok(TraceLine::Torn),
            Err(problem) => Err(TraceError::new(
                &self.path,
                TraceErrorKind::Malformed {
                    line: self.line_number,
                    problem,
                },
            )),
        }
    }
}

impl Iterator for TraceReader {
    type Item = Result<TraceLine, TraceError>;

    fn next(&mut self) -> Option<Self::Item> {
        self.read_line().transpose()
    }
}
