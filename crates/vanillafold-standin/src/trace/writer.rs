//! Writes the events of a process to its trace file.

use std::fs::{self, File, OpenOptions};
use std::io::{BufWriter, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use super::{ProcessName, TraceError, TraceErrorKind, TraceEvent};

/// Writes the events of one process, one JSON object per line.
///
/// Lines are buffered, and a killed process loses those that it did not [`flush`](Self::flush):
/// flush before an action whose event must not be lost.
#[derive(Debug)]
pub struct TraceWriter {
    path: PathBuf,
    out: BufWriter<File>,
}

impl TraceWriter {
    /// Opens `{dir}/{process}.jsonl` and appends to what an earlier process of this name wrote.
    ///
    /// # Errors
    ///
    /// Returns [`TraceErrorKind::Io`] if the directory or the file can't be created or opened.
    pub fn create(dir: &Path, process: &ProcessName) -> Result<Self, TraceError> {
        let path = dir.join(format!("{process}.jsonl"));
        let io_error = |error| TraceError::new(&path, TraceErrorKind::Io(error));
        fs::create_dir_all(dir).map_err(io_error)?;
        let mut file = OpenOptions::new()
            .create(true)
            .read(true)
            .append(true)
            .open(&path)
            .map_err(io_error)?;
        // A killed predecessor may have left an incomplete line.
        if ends_mid_line(&mut file).map_err(io_error)? {
            file.write_all(b"\n").map_err(io_error)?;
        }
        Ok(Self {
            path,
            out: BufWriter::new(file),
        })
    }

    /// Writes an event to the buffer.
    ///
    /// # Errors
    ///
    /// Returns [`TraceErrorKind::Io`] if a full buffer can't be written to the file, and
    /// [`TraceErrorKind::NotSerializable`] if the event can't be put into JSON.
    pub fn write(&mut self, event: &TraceEvent) -> Result<(), TraceError> {
        let mut line = serde_json::to_vec(event)
            .map_err(|error| TraceError::new(&self.path, TraceErrorKind::NotSerializable(error)))?;
        line.push(b'\n');
        self.out
            .write_all(&line)
            .map_err(|error| TraceError::new(&self.path, error))
    }

    /// Writes the buffer to the file, so that its events survive a kill of the process.
    ///
    /// # Errors
    ///
    /// Returns [`TraceErrorKind::Io`] if the buffer can't be written to the file.
    pub fn flush(&mut self) -> Result<(), TraceError> {
        self.out
            .flush()
            .map_err(|error| TraceError::new(&self.path, error))
    }

    /// Flushes and closes the file.
    ///
    /// # Errors
    ///
    /// Returns [`TraceErrorKind::Io`] if the buffer can't be written to the file.
    pub fn close(mut self) -> Result<(), TraceError> {
        self.flush()
    }
}

/// Returns whether the file's last line is incomplete.
fn ends_mid_line(file: &mut File) -> std::io::Result<bool> {
    if file.metadata()?.len() == 0 {
        return Ok(false);
    }
    let mut last = [0];
    file.seek(SeekFrom::End(-1))?;
    file.read_exact(&mut last)?;
    Ok(last != *b"\n")
}
