//! Serves the requests of one caller connection, one after another.

use std::rc::Rc;
use std::time::Duration;

use monoio::time::{Instant, timeout};
use vanillafold_types::ResultCode;
use vanillafold_wire::http::{BodyReader, Framing, HeadError, HttpReader, HttpWriter, RequestHead};

use super::request::RejectedRequest;
use super::{CallerRequest, PreparedBody, Refusal};
use crate::dispatch::{Dispatch, DispatchOutcome};
use crate::node::Node;

/// Maximum size of the body of a refused request that is read and discarded, so that the connection
/// can be kept open, in bytes.
const MAX_DISCARDED_BODY_BYTES: u64 = 64 * 1024;

/// How long the remaining bytes of a caller are read and discarded before its connection is closed.
const CLOSE_DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a connection without a request keeps the future that serves requests; after that it
/// counts as idle and the future's memory is freed.
const IDLE_AFTER: Duration = Duration::from_millis(100);

const CONTINUE_HEAD: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What happens to a connection after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextAction {
    /// The connection stays open for another request.
    KeepAlive,
    /// The connection is closed after the answer, and what the caller still sends is discarded.
    Close,
    /// The connection is closed at once: an answer on it was truncated, or the caller is gone.
    Abort,
}

/// Counts a connection for as long as it is open.
struct OpenConnection(Rc<Node>);

impl OpenConnection {
    fn new(node: &Rc<Node>) -> Self {
        node.open_connections.set(node.open_connections.get() + 1);
        node.counters.connections_open.increment(1.0);
        Self(Rc::clone(node))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0
            .open_connections
            .set(self.0.open_connections.get() - 1);
        self.0.counters.connections_open.decrement(1.0);
    }
}

/// Serves a caller connection until it ends or the daemon stops.
pub(crate) async fn serve_connection(
    node: Rc<Node>,
    mut reader: HttpReader,
    mut writer: HttpWriter,
) {
    let _open = OpenConnection::new(&node);
    while let Some(()) = wait_for_request(&node, &mut reader, &mut writer).await {
        // Boxed, so that an idle connection does not hold the memory of a request's future.
        let serving = Box::pin(serve_requests(&node, &mut reader, &mut writer));
        match serving.await {
            NextAction::KeepAlive => {}
            NextAction::Close => {
                writer.close().await;
                let _ = timeout(CLOSE_DRAIN_TIMEOUT, reader.discard_until_closed()).await;
                return;
            }
            NextAction::Abort => return,
        }
    }
    writer.close().await;
}

/// Waits for a request's first byte. Returns `None` if the connection should be closed: it idled
/// too long, broke, or the daemon stops.
async fn wait_for_request(
    node: &Rc<Node>,
    reader: &mut HttpReader,
    writer: &mut HttpWriter,
) -> Option<()> {
    reader.shrink();
    writer.shrink();
    let idle = node.settings.timeouts.idle_ms.duration();
    monoio::select! {
        biased;
        waited = timeout(idle, reader.wait_for_message()) => match waited {
            Ok(Ok(())) => Some(()),
            Ok(Err(_)) | Err(_) => None,
        },
        () = node.closing.wait() => None,
    }
}

/// Serves requests until the connection idles for [`IDLE_AFTER`], so that requests in quick
/// succession share one allocation.
async fn serve_requests(
    node: &Rc<Node>,
    reader: &mut HttpReader,
    writer: &mut HttpWriter,
) -> NextAction {
    loop {
        match serve_request(node, reader, writer).await {
            NextAction::KeepAlive => {}
            other => return other,
        }
        reader.shrink();
        writer.shrink();
        let next = monoio::select! {
            biased;
            waited = timeout(IDLE_AFTER, reader.wait_for_message()) => waited,
            () = node.closing.wait() => return NextAction::KeepAlive,
        };
        match next {
            Ok(Ok(())) => {}
            // The wait of an idle connection handles a closed or broken connection.
            Ok(Err(_)) | Err(_) => return NextAction::KeepAlive,
        }
    }
}

async fn serve_request(
    node: &Rc<Node>,
    reader: &mut HttpReader,
    writer: &mut HttpWriter,
) -> NextAction {
    let _in_flight = node.track_request();
    let head = match read_head(node, reader).await {
        Ok(head) => head,
        Err(Some(code)) => {
            return refuse(node, writer, &Refusal::without_id(code), NextAction::Close).await;
        }
        Err(None) => return NextAction::Abort,
    };
    let arrived = Instant::now();
    match CallerRequest::from_head(node, head, arrived) {
        Ok(request) => dispatch_request(node, reader, writer, request, arrived).await,
        Err(rejected) => refuse_rejected(node, reader, writer, rejected).await,
    }
}

async fn read_head(
    node: &Node,
    reader: &mut HttpReader,
) -> Result<RequestHead, Option<ResultCode>> {
    let limit = node.settings.timeouts.head_ms.duration();
    match timeout(limit, reader.read_request_head()).await {
        Ok(Ok(head)) => Ok(head),
        Ok(Err(HeadError::TooLarge { .. } | HeadError::TooManyHeaders { .. })) => {
            Err(Some(ResultCode::OversizedHead))
        }
        Ok(Err(HeadError::Malformed(_))) => Err(Some(ResultCode::MalformedHead)),
        Ok(Err(_)) => Err(None),
        Err(_) => Err(Some(ResultCode::SlowHead)),
    }
}

async fn dispatch_request(
    node: &Rc<Node>,
    reader: &mut HttpReader,
    writer: &mut HttpWriter,
    request: CallerRequest,
    arrived: Instant,
) -> NextAction {
    if request.expects_continue {
        writer.buffer().extend_from_slice(CONTINUE_HEAD);
        if writer.flush().await.is_err() {
            return NextAction::Abort;
        }
    }
    let piece_ms = node.settings.timeouts.body_ms;
    let max_body = request.queue.settings.max_body;
    let framing = request.framing;
    let reading = PreparedBody::read(reader, framing, max_body, piece_ms, request.deadline);
    let body = match reading.await {
        Ok(body) => body,
        Err(code) => {
            let refusal = request.refusal(code);
            return refuse(node, writer, &refusal, NextAction::Close).await;
        }
    };
    let closes = request.asks_to_close();
    let dispatch = Dispatch::new(node, &request, body);
    let next = match dispatch.run(reader, writer).await {
        DispatchOutcome::Answered { body_read } => {
            node.counters.count_result(ResultCode::Answered);
            match body_read && !closes && !node.draining.is_set() {
                true => NextAction::KeepAlive,
                false => NextAction::Close,
            }
        }
        DispatchOutcome::Truncated => {
            node.counters.answers_cut.increment(1);
            NextAction::Abort
        }
        DispatchOutcome::CallerGone => {
            node.counters.callers_gone.increment(1);
            NextAction::Abort
        }
        DispatchOutcome::Refused { code, body_read } => {
            let refusal = request.refusal(code);
            let next = match body_read && !closes {
                true => NextAction::KeepAlive,
                false => NextAction::Close,
            };
            refuse(node, writer, &refusal, next).await
        }
    };
    node.counters.answer_seconds.record(arrived.elapsed());
    next
}

async fn refuse_rejected(
    node: &Node,
    reader: &mut HttpReader,
    writer: &mut HttpWriter,
    rejected: RejectedRequest,
) -> NextAction {
    let discardable = match rejected.framing {
        Some(Framing::Length(length)) => length <= MAX_DISCARDED_BODY_BYTES,
        Some(Framing::Empty | Framing::Chunked) => true,
        None => false,
    };
    let next = match discardable {
        true => NextAction::KeepAlive,
        false => NextAction::Close,
    };
    let next = refuse(node, writer, &rejected.refusal, next).await;
    match rejected.framing {
        Some(framing)
            if next == NextAction::KeepAlive && !discard_body(node, reader, framing).await =>
        {
            NextAction::Close
        }
        _ => next,
    }
}

/// Reads and discards the body of a refused request. Returns whether its end was reached within
/// [`MAX_DISCARDED_BODY_BYTES`] and the `body_ms` timeout.
async fn discard_body(node: &Node, reader: &mut HttpReader, framing: Framing) -> bool {
    let mut body = BodyReader::new(framing);
    let discarding = async {
        while let Ok(Some(_)) = body.next(reader).await {
            if body.received_bytes() > MAX_DISCARDED_BODY_BYTES {
                return;
            }
        }
    };
    let _ = timeout(node.settings.timeouts.body_ms.duration(), discarding).await;
    body.is_done()
}

async fn refuse(
    node: &Node,
    writer: &mut HttpWriter,
    refusal: &Refusal,
    next: NextAction,
) -> NextAction {
    node.counters.count_result(refusal.code);
    let close = next != NextAction::KeepAlive || node.draining.is_set();
    match refusal.write(writer, &node.daemon_header, close).await {
        Ok(()) if close => NextAction::Close,
        Ok(()) => next,
        Err(_) => NextAction::Abort,
    }
}
