//! The trace of a runner process.

use std::cell::RefCell;

use crate::trace::{
    End, PoolName, ProcessName, Start, TraceEvent, TraceWriter, VmChange, VmName, monotonic_us,
};

use super::work_request::WorkRequest;

/// Writes the events of one process to its trace, if it has one.
#[derive(Debug)]
pub(crate) struct Recorder {
    pub(crate) process: ProcessName,
    pub(crate) pool: PoolName,
    pub(crate) writer: Option<RefCell<TraceWriter>>,
}

impl Recorder {
    pub(crate) fn record_work_start(
        &self,
        vm: &VmName,
        work: &WorkRequest,
        leaving_since_us: Option<u64>,
    ) {
        self.write(|| {
            TraceEvent::Start(Start {
                at_us: monotonic_us(),
                process: self.process.clone(),
                vm: vm.clone(),
                pool: self.pool.clone(),
                request: work.request_id.as_str().into(),
                attempt: work.attempt,
                team: work.team.as_deref().map(Into::into),
                idempotent: work.idempotent,
                leaving_since_us,
            })
        });
    }

    pub(crate) fn record_work_end(&self, vm: &VmName, work: &WorkRequest, cut: bool) {
        self.write(|| {
            TraceEvent::End(End {
                at_us: monotonic_us(),
                process: self.process.clone(),
                vm: vm.clone(),
                request: work.request_id.as_str().into(),
                attempt: work.attempt,
                cut,
            })
        });
    }

    pub(crate) fn record_vm_down(&self, vm: &VmName) {
        self.write(|| TraceEvent::VmDown(self.planned_change(vm)));
    }

    pub(crate) fn record_vm_up(&self, vm: &VmName) {
        self.write(|| TraceEvent::VmUp(self.planned_change(vm)));
    }

    fn planned_change(&self, vm: &VmName) -> VmChange {
        VmChange {
            at_us: monotonic_us(),
            vm: vm.clone(),
            pool: self.pool.clone(),
            planned: true,
        }
    }

    /// Writes an event and flushes it, so that no event is lost if the process is killed.
    fn write(&self, event: impl FnOnce() -> TraceEvent) {
        let Some(writer) = &self.writer else { return };
        let mut writer = writer.borrow_mut();
        let written = writer.write(&event()).and_then(|()| writer.flush());
        // The audit could miss a violation in a trace that lacks an event.
        written.unwrap_or_else(|error| panic!("{error}"));
    }
}
