//! Work that was given up on: its unit stays in use for as long as its target may run it.

use std::rc::Rc;

use monoio::time::{Instant, sleep_until, timeout_at};
use vanillafold_wire::http::{BodyReader, response_framing};

use crate::caller::CallerRequest;
use crate::node::{Incoming, Node, TargetConnection, TeamUnit};

/// Watches the connection of given-up work until the target answers, at most until the linger time
/// after its deadline, and only then gives the unit back.
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
        // Takes all of it: a block that named its reading side only would drop the writing side
        // at once, and with it end the connection.
        let mut connection = connection;
        let ended = timeout_at(until, read_to_end(&mut connection.incoming, &method)).await;
        // The answer had nobody to go to, so the connection is of no more use.
        drop(connection);
        // A connection that broke says nothing about the work.
        if !matches!(ended, Ok(Some(()))) && unit.is_some() {
            sleep_until(until).await;
        }
        drop(unit);
        node.counters.lingering.decrement(1.0);
    });
}

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
