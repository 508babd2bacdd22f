//! Writes a trace.

use std::fs::{self, File, OpenOptions};
use std::io::{BufWriter, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use super::{ProcessName, TraceError, TraceErrorKind, TraceEvent};

/// Writes the events of one process, one JSON object a line.
///
/// Lines are buffered. A killed process loses those that it did not [`flush`](Self::flush): flush
/// before anything is done whose event must not be missed.
#[derive(Debug)]
pub struct TraceWriter {
    path: PathBuf,
    out: BufWriter<File>,
}

impl TraceWriter {
    /// Opens `{dir}/{process}.jsonl`, behind what an earlier process of this name wrote there.
    ///
    /// # Errors
    ///
    /// [`TraceErrorKind::Io`] if the directory or the file can't be made or opened.
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
        // A predecessor that was killed may have left a line without its end.
        if ends_torn(&mut file).map_err(io_error)? {
            file.write_all(b"\n").map_err(io_error)?;
        }
        Ok(Self {
            path,
            out: BufWriter::new(file),
        })
    }

    /// Writes an event into the buffer.
    ///
    /// # Errors
    ///
    /// [`TraceErrorKind::Io`] if a full buffer can't be written to the file.
    pub fn write(&mut self, event: &TraceEvent) -> Result<(), TraceError> {
        let mut line = serde_json::to_vec(event)
            .map_err(|error| TraceError::new(&self.path, TraceErrorKind::Unwritable(error)))?;
        line.push(b'\n');
        self.out
            .write_all(&line)
            .map_err(|error| TraceError::new(&self.path, error))
    }

    /// Hands the buffer to the operating system, so that it outlives a kill of the process.
    ///
    /// # Errors
    ///
    /// [`TraceErrorKind::Io`] if it can't be written to the file.
    pub fn flush(&mut self) -> Result<(), TraceError> {
        self.out
            .flush()
            .map_err(|error| TraceError::new(&self.path, error))
    }

    /// Flushes and closes the file.
    ///
    /// # Errors
    ///
    /// [`TraceErrorKind::Io`] if the buffer can't be written to the file.
    pub fn close(mut self) -> Result<(), TraceError> {
        self.flush()
    }
}

fn ends_torn(file: &mut File) -> std::io::Result<bool> {
    if file.metadata()?.len() == 0 {
        return Ok(false);
    }
    let mut last = [0];
    file.seek(SeekFrom::End(-1))?;
    file.read_exact(&mut last)?;
    Ok(last != *b"\n")
}
