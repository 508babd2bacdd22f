//! The set of running tasks, which closing a peer set waits for.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;

use super::sync::{Latch, Notify};

/// Counts running tasks and can abort all of them.
#[derive(Debug, Default)]
pub(crate) struct Tasks {
    running: Cell<usize>,
    ended: Notify,
    abort: Latch,
}

struct RunningTask(Rc<Tasks>);

impl Drop for RunningTask {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
        self.0.ended.notify_one();
    }
}

impl Tasks {
    /// Spawns a task that is dropped at the latest when [`Self::abort`] is called.
    pub(crate) fn spawn<F>(tasks: &Rc<Self>, future: F)
    where
        F: Future<Output = ()> + 'static,
    {
        tasks.running.set(tasks.running.get() + 1);
        let running = RunningTask(Rc::clone(tasks));
        monoio::spawn(async move {
            running.0.abort.run_until_set(future).await;
        });
    }

    /// Drops all tasks at their current await points.
    pub(crate) fn abort(&self) {
        self.abort.set();
    }

    pub(crate) fn running(&self) -> usize {
        self.running.get()
    }

    /// Waits until no task is running.
    pub(crate) async fn wait_until_idle(&self) {
        while self.running.get() > 0 {
            self.ended.notified().await;
        }
    }
}
