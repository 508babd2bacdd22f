//! The simulated work of a request in a slot of a VM. Once started, it runs to its end even if its
//! connection closes; only a reboot of the VM ends it early.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use monoio::task::JoinHandle;
use monoio::time::sleep;

use super::mode::Mode;
use super::vm::{Vm, WorkRefusal};
use super::work_request::WorkRequest;
use crate::process::Notify;

/// A handle to work that was started; dropping it does not stop the work.
pub(crate) struct Work {
    running: Rc<RunningWork>,
    task: Option<JoinHandle<()>>,
}

#[derive(Debug)]
struct RunningWork {
    vm: Rc<Vm>,
    request: WorkRequest,
    mode: Mode,
    /// Whether the request has been read to its end, or can't be read any further.
    is_request_read: Cell<bool>,
    request_read_changed: Notify,
}

impl Work {
    /// Takes a slot and starts the work, or returns why the VM refuses it.
    pub(crate) fn start(vm: &Rc<Vm>, request: WorkRequest) -> Result<Self, WorkRefusal> {
        vm.acquire_slot()?;
        vm.recorder
            .record_work_start(&vm.name, &request, vm.leaving_since_us());
        let settings = vm.settings();
        let duration = match settings.mode {
            Mode::Fail | Mode::Blackhole | Mode::Hang => Duration::ZERO,
            Mode::Slow => request.work_ms.duration().max(MIN_SLOWED_WORK) * settings.slow_factor,
            Mode::Normal | Mode::Cut | Mode::Refuse => request.work_ms.duration(),
        };
        let running = Rc::new(RunningWork {
            vm: Rc::clone(vm),
            request,
            mode: settings.mode,
            is_request_read: Cell::new(false),
            request_read_changed: Notify::default(),
        });
        let task = monoio::spawn(Rc::clone(&running).run(duration));
        Ok(Self {
            running,
            task: Some(task),
        })
    }

    pub(crate) fn request(&self) -> &WorkRequest {
        &self.running.request
    }

    /// Returns the VM's mode at the time when the work was started.
    pub(crate) fn mode(&self) -> Mode {
        self.running.mode
    }

    /// Lets the work end: the request has been read to its end, or can't be read any further.
    pub(crate) fn mark_request_read(&self) {
        self.running.is_request_read.set(true);
        self.running.request_read_changed.notify_all();
    }

    /// Waits for the end of the work.
    pub(crate) async fn wait_until_finished(&mut self) {
        if let Some(task) = self.task.take() {
            task.await;
        }
    }
}

/// The shortest work time that [`Mode::Slow`] multiplies, so that requests that ask for no work are
/// slow too.
const MIN_SLOWED_WORK: Duration = Duration::from_millis(1);

impl RunningWork {
    async fn run(self: Rc<Self>, duration: Duration) {
        let boot = self.vm.boot();
        let rebooted = monoio::select! {
            () = self.complete(duration) => false,
            () = self.vm.wait_until_rebooted(boot) => true,
        };
        let cut = rebooted || self.mode == Mode::Cut;
        self.vm
            .recorder
            .record_work_end(&self.vm.name, &self.request, cut);
        self.vm.release_slot();
    }

    async fn complete(&self, duration: Duration) {
        if !duration.is_zero() {
            sleep(duration).await;
        }
        self.request_read_changed
            .wait_until(|| self.is_request_read.get())
            .await;
    }
}
