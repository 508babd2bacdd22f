//! Restarts a duty that failed.

use std::fmt::Display;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use log::error;
use monoio::time::sleep;

use crate::node::Node;

/// The wait before a failed duty is started again; it doubles up to [`MAX_RESTART_WAIT`].
const MIN_RESTART_WAIT: Duration = Duration::from_millis(100);
/// The longest wait before a failed duty is started again.
const MAX_RESTART_WAIT: Duration = Duration::from_secs(5);

/// Runs the duty that `start` starts, again and again until it ends well or the daemon stops.
pub(crate) fn supervise<F, Fut, E>(node: &Rc<Node>, name: &'static str, mut start: F)
where
    F: FnMut() -> Fut + 'static,
    Fut: Future<Output = Result<(), E>> + 'static,
    E: Display + 'static,
{
    let node = Rc::clone(node);
    monoio::spawn(async move {
        let mut wait = MIN_RESTART_WAIT;
        while !node.shutdown.is_set() {
            let Err(failure) = start().await else {
                return;
            };
            node.counters.count_control_failure(name);
            error!("{name} failed and is started again in {wait:?}: {failure}");
            sleep(wait).await;
            wait = (wait * 2).min(MAX_RESTART_WAIT);
        }
    });
}
