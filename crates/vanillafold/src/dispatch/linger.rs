//! Sends that ended without a whole answer: the team's unit stays in use as long as the target may
//! still run the work.

use std::rc::Rc;

use monoio::time::{Instant, sleep_until, timeout_at};
use vanillafold_wire::http::{BodyReader, response_framing};

use crate::caller::CallerRequest;
use crate::node::{Incoming, Node, TargetConnection, TeamUnit};

/// Waits in a task of its own until the target of a send that ended early has answered, at most
/// until the linger time after the request's deadline, and only then gives the unit back.
pub(crate) fn linger(
    node: &Rc<Node>,
    connection: TargetConnection,
    unit: Option<TeamUnit>,
    request: &CallerRequest,
) {
    let method = request.method.clone();
    let until = Instant::now() + node.settings.timeouts.linger_ms.duration() + request.remaining();
    let node = Rc::clone(node);
    node.counters.lingering.increment(1.0);
    monoio::spawn(async move {
        // Moves the whole connection into the task. If the block captured only the reading side,
        // the writing side would be dropped at once, which would close the connection.
        let mut connection = connection;
        let ended = timeout_at(until, read_to_end(&mut connection.incoming, &method)).await;
        // The connection is not reused: the answer was not relayed to its end.
        drop(connection);
        // A broken connection does not mean that the work has ended.
        if !matches!(ended, Ok(Some(()))) && unit.is_some() {
            sleep_until(until).await;
        }
        drop(unit);
        node.counters.lingering.decrement(1.0);
    });
}

/// Reads the answer to its end. Returns `None` if it broke off or was malformed.
async fn read_to_end(incoming: &mut Incoming, method: &http::Method) -> Option<()> {
    let mut body = match incoming.body.take() {
        Some(body) => body,
        None => {
            let head = incoming.reader.read_response_head().await.ok()?;
            BodyReader::new(response_framing(method, head.status, &head.headers).ok()?)
        }
    };
    while let Ok(Some(_)) = body.next(&mut incoming.reader).await {}
    body.is_done().then_some(())
}
