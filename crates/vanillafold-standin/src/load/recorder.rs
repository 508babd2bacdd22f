//! Writes the events of the load to its trace, if it has one.

use std::cell::RefCell;

use super::exchange::Reply;
use super::options::{LoadOptions, Target};
use super::request::PlannedRequest;
use crate::trace::{Received, Sent, TraceEvent, TraceWriter, monotonic_us};

/// The trace of one load; without a writer all events are dropped.
#[derive(Debug)]
pub(crate) struct Recorder {
    writer: Option<RefCell<TraceWriter>>,
}

impl Recorder {
    pub(crate) fn new(writer: Option<TraceWriter>) -> Self {
        Self {
            writer: writer.map(RefCell::new),
        }
    }

    /// Records that a request is about to be sent. The event is flushed, so that the audit knows of the
    /// request even if this process is killed.
    pub(crate) fn record_sent(&self, options: &LoadOptions, request: &PlannedRequest) {
        self.write(true, || {
            let key = request.key.and_then(|key| options.keys.get(key));
            let team = key.and_then(|key| key.team.as_ref());
            let key_id = key.and_then(|key| key.key.split('.').next());
            TraceEvent::Sent(Sent {
                at_us: monotonic_us(),
                process: options.process.clone(),
                request: request.id.as_str().into(),
                queue: options.queues[request.queue].queue.as_str().into(),
                team: team.map(|team| team.as_str().into()),
                key: key_id.map(Into::into),
                idempotent: request.idempotent,
                deadline_ms: Some(request.remaining_ms(&options.work)),
            })
        });
    }

    /// Records how a request ended.
    pub(crate) fn record_received(
        &self,
        options: &LoadOptions,
        request: &PlannedRequest,
        target: &Target,
        reply: &Reply,
    ) {
        self.write(false, || {
            let daemon = reply.daemon.as_deref().map(Into::into);
            TraceEvent::Received(Received {
                at_us: monotonic_us(),
                process: options.process.clone(),
                request: request.id.as_str().into(),
                outcome: reply.outcome,
                code: reply.code,
                status: reply.status,
                whole: reply.whole,
                answered_request: reply.answered_request.as_deref().map(Into::into),
                daemon: daemon.or_else(|| target.name.clone()),
            })
        });
    }

    /// Writes all buffered events to the file.
    ///
    /// # Panics
    ///
    /// Panics if the trace can't be written.
    pub(crate) fn flush(&self) {
        if let Some(writer) = &self.writer {
            let flushed = writer.borrow_mut().flush();
            flushed.unwrap_or_else(|error| panic!("{error}"));
        }
    }

    fn write(&self, flush: bool, event: impl FnOnce() -> TraceEvent) {
        let Some(writer) = &self.writer else { return };
        let mut writer = writer.borrow_mut();
        let written = writer.write(&event()).and_then(|()| match flush {
            true => writer.flush(),
            false => Ok(()),
        });
        // With an event missing from the trace, the audit could miss a fault.
        written.unwrap_or_else(|error| panic!("{error}"));
    }
}
