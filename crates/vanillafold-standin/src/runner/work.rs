//! Work in a slot. Once started it goes on to its end, whatever becomes of its connection.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use monoio::task::JoinHandle;
use monoio::time::sleep;

use super::mode::Mode;
use super::order::WorkOrder;
use super::vm::{NotRun, Vm};
use crate::process::Notify;

/// Work that was started.
pub(crate) struct Work {
    ongoing: Rc<Ongoing>,
    task: Option<JoinHandle<()>>,
}

#[derive(Debug)]
struct Ongoing {
    vm: Rc<Vm>,
    order: WorkOrder,
    mode: Mode,
    /// Whether the request has been read, or can't be read any further.
    read: Cell<bool>,
    read_changed: Notify,
}

impl Work {
    /// Takes a slot and starts, if it may.
    pub(crate) fn start(vm: &Rc<Vm>, order: WorkOrder) -> Result<Self, NotRun> {
        vm.take_slot()?;
        vm.recorder.start(&vm.name, &order, vm.leaving_since_us());
        let settings = vm.settings();
        let duration = match settings.mode {
            Mode::Fail | Mode::Blackhole | Mode::Hang => Duration::ZERO,
            Mode::Slow => order.work_ms.duration().max(SLOW_LEAST) * settings.slow_factor,
            Mode::Normal | Mode::Cut | Mode::Refuse => order.work_ms.duration(),
        };
        let ongoing = Rc::new(Ongoing {
            vm: Rc::clone(vm),
            order,
            mode: settings.mode,
            read: Cell::new(false),
            read_changed: Notify::default(),
        });
        let task = monoio::spawn(Rc::clone(&ongoing).run(duration));
        Ok(Self {
            ongoing,
            task: Some(task),
        })
    }

    pub(crate) fn order(&self) -> &WorkOrder {
        &self.ongoing.order
    }

    /// The mode in which it was started.
    pub(crate) fn mode(&self) -> Mode {
        self.ongoing.mode
    }

    /// Says that the request has been read, or can't be read any further.
    pub(crate) fn request_read(&self) {
        self.ongoing.read.set(true);
        self.ongoing.read_changed.notify_all();
    }

    /// Waits for its end.
    pub(crate) async fn finished(&mut self) {
        if let Some(task) = self.task.take() {
            task.await;
        }
    }
}

/// The least work that a slow runner multiplies.
const SLOW_LEAST: Duration = Duration::from_millis(1);

impl Ongoing {
    async fn run(self: Rc<Self>, duration: Duration) {
        let boot = self.vm.boot();
        let cut_off = monoio::select! {
            () = self.done(duration) => false,
            () = self.vm.boot_ended(boot) => true,
        };
        let cut = cut_off || self.mode == Mode::Cut;
        self.vm.recorder.end(&self.vm.name, &self.order, cut);
        self.vm.free_slot();
    }

    async fn done(&self, duration: Duration) {
        if !duration.is_zero() {
            sleep(duration).await;
        }
        self.read_changed.wait_until(|| self.read.get()).await;
    }
}
