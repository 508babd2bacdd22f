//! The runner's trace, if it writes one.

use std::cell::RefCell;

use crate::trace::{
    End, PoolName, ProcessName, Start, TraceEvent, TraceWriter, VmChange, VmName, monotonic_us,
};

use super::order::WorkOrder;

/// Writes the events of one process.
#[derive(Debug)]
pub(crate) struct Recorder {
    pub(crate) process: ProcessName,
    pub(crate) pool: PoolName,
    pub(crate) writer: Option<RefCell<TraceWriter>>,
}

impl Recorder {
    pub(crate) fn start(&self, vm: &VmName, order: &WorkOrder, leaving_since_us: Option<u64>) {
        self.write(|| {
            TraceEvent::Start(Start {
                at_us: monotonic_us(),
                process: self.process.clone(),
                vm: vm.clone(),
                pool: self.pool.clone(),
                request: order.request.as_str().into(),
                attempt: order.attempt,
                team: order.team.as_deref().map(Into::into),
                idempotent: order.idempotent,
                leaving_since_us,
            })
        });
    }

    pub(crate) fn end(&self, vm: &VmName, order: &WorkOrder, cut: bool) {
        self.write(|| {
            TraceEvent::End(End {
                at_us: monotonic_us(),
                process: self.process.clone(),
                vm: vm.clone(),
                request: order.request.as_str().into(),
                attempt: order.attempt,
                cut,
            })
        });
    }

    pub(crate) fn down(&self, vm: &VmName) {
        self.write(|| TraceEvent::VmDown(self.planned_change(vm)));
    }

    pub(crate) fn up(&self, vm: &VmName) {
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

    /// Writes an event, flushed so that a kill hides none.
    fn write(&self, event: impl FnOnce() -> TraceEvent) {
        let Some(writer) = &self.writer else { return };
        let mut writer = writer.borrow_mut();
        let written = writer.write(&event()).and_then(|()| writer.flush());
        // A trace with a hole would let a fault pass unseen.
        written.unwrap_or_else(|error| panic!("{error}"));
    }
}
