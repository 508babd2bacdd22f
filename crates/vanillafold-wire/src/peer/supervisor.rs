//! The task that starts a task for each member and tells the handler what changed.

use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;

use super::clock::{BootClock, BootMillis};
use super::dialer::run_peer;
use super::directory::{Context, Directory};
use super::handler::PeerHandler;
use super::settings::PeerSettings;
use super::tasks::Tasks;

/// Looks in each suspicion time.
const TICKS_PER_SUSPICION: u32 = 4;
/// Shortest time between two looks.
const MIN_TICK: Duration = Duration::from_millis(10);
/// A look that is late by more than this counts as a pause of the process.
const PAUSE: Duration = Duration::from_millis(500);

/// Watches over the members until the set closes.
pub(crate) async fn supervise<H: PeerHandler>(context: Context<H>) {
    let directory = &context.directory;
    let tick = tick(&directory.settings);
    while !directory.closing.is_set() {
        start_members(directory);
        tell_changes(&context);
        let due = BootClock::now().plus(tick);
        monoio::select! {
            () = directory.closing.wait() => {}
            () = directory.changed.notified() => {}
            () = sleep(tick) => {}
        }
        note_pause(directory, due);
    }
}

fn tick(settings: &PeerSettings) -> Duration {
    let suspect_after = settings.near.suspect_after.min(settings.far.suspect_after);
    (suspect_after.duration() / TICKS_PER_SUSPICION).max(MIN_TICK)
}

fn start_members(directory: &Rc<Directory>) {
    for entry in directory.entries() {
        if !entry.started.replace(true) {
            let task = run_peer(Rc::clone(directory), entry);
            Tasks::spawn(&directory.tasks, task);
        }
    }
}

fn tell_changes<H: PeerHandler>(context: &Context<H>) {
    let now = BootClock::now();
    for entry in context.directory.entries() {
        if let Some(status) = entry.untold_status(now) {
            context.handler.on_status(entry.daemon(), status);
        }
    }
}

fn note_pause(directory: &Directory, due: BootMillis) {
    let late = BootClock::now().since(due);
    if late > PAUSE {
        log::warn!("this process was away for about {} ms", late.as_millis());
        directory.count(|c| {
            c.pauses += 1;
            c.last_pause_ms = u64::try_from(late.as_millis()).unwrap_or(u64::MAX);
        });
    }
}
