//! The recording of a whole run.

use crate::audit::TraceSize;

use super::names::NameTable;
use super::requests::Requests;
use super::rows::{EndRow, ProcessState, ReceivedRow, Rows, SentRow, StartRow, rows_of};
use super::{Name, Request};

/// The events of a whole run, with their names and request ids.
#[derive(Debug)]
pub(crate) struct Recording {
    pub(crate) size: TraceSize,
    /// The time of the last event.
    pub(crate) last_us: u64,
    pub(crate) names: NameTable,
    pub(crate) requests: Requests,
    pub(crate) rows: Rows,
}

impl Recording {
    pub(crate) fn sent_of(&self, request: Request) -> &[SentRow] {
        rows_of(&self.rows.sent, request)
    }

    pub(crate) fn received_of(&self, request: Request) -> &[ReceivedRow] {
        rows_of(&self.rows.received, request)
    }

    pub(crate) fn starts_of(&self, request: Request) -> &[StartRow] {
        rows_of(&self.rows.starts, request)
    }

    pub(crate) fn ends_of(&self, request: Request) -> &[EndRow] {
        rows_of(&self.rows.ends, request)
    }

    pub(crate) fn request_text(&self, request: Request) -> &str {
        self.requests.text(request)
    }

    pub(crate) fn name_text(&self, name: Name) -> &str {
        self.names.text(name)
    }

    /// Returns whether a process was put into a state within a span of time, both ends included.
    pub(crate) fn process_changed(
        &self,
        process: Name,
        state: ProcessState,
        from_us: u64,
        to_us: u64,
    ) -> bool {
        let begin = self
            .rows
            .processes
            .partition_point(|row| row.at_us < from_us);
        self.rows.processes[begin..]
            .iter()
            .take_while(|row| row.at_us <= to_us)
            .any(|row| row.process == process && row.state == state)
    }
}
