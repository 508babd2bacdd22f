//! The supervisor task: starts a task for each member and reports status changes to the handler.

use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;

use super::clock::{BootClock, BootMillis};
use super::dialer::run_peer;
use super::handler::PeerHandler;
use super::settings::PeerSettings;
use super::shared::{Context, Shared};
use super::tasks::Tasks;

/// Number of checks within the shorter `suspect_after` of the two link timings.
const TICKS_PER_SUSPECT_TIMEOUT: u32 = 4;
/// Minimum interval between two scheduled checks.
const MIN_TICK: Duration = Duration::from_millis(10);
/// A check that is late by more than this is counted as a pause of the process.
const MIN_REPORTED_PAUSE: Duration = Duration::from_millis(500);

/// Starts the tasks of new members and reports status changes until the set closes.
pub(crate) async fn supervise<H: PeerHandler>(context: Context<H>) {
    let shared = &context.shared;
    let tick = tick(&shared.settings);
    while !shared.closing.is_set() {
        start_members(shared);
        report_status_changes(&context);
        let due = BootClock::now().plus(tick);
        monoio::select! {
            () = shared.closing.wait() => {}
            () = shared.changed.notified() => {}
            () = sleep(tick) => {}
        }
        note_pause(shared, due);
    }
}

fn tick(settings: &PeerSettings) -> Duration {
    let suspect_after = settings.near.suspect_after.min(settings.far.suspect_after);
    (suspect_after.duration() / TICKS_PER_SUSPECT_TIMEOUT).max(MIN_TICK)
}

fn start_members(shared: &Rc<Shared>) {
    for entry in shared.entries() {
        if !entry.task_started.replace(true) {
            let task = run_peer(Rc::clone(shared), entry);
            Tasks::spawn(&shared.tasks, task);
        }
    }
}

fn report_status_changes<H: PeerHandler>(context: &Context<H>) {
    let now = BootClock::now();
    for entry in context.shared.entries() {
        if let Some(status) = entry.unreported_status(now) {
            context.handler.on_status(entry.daemon(), status);
        }
    }
}

fn note_pause(shared: &Shared, due: BootMillis) {
    let late = BootClock::now().since(due);
    if late > MIN_REPORTED_PAUSE {
        log::warn!(
            "peer supervisor woken {} ms late: process stopped or suspended, or its thread blocked",
            late.as_millis()
        );
        shared.count(|c| {
            c.pauses += 1;
            c.last_pause_ms = u64::try_from(late.as_millis()).unwrap_or(u64::MAX);
        });
    }
}
