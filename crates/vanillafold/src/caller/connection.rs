//! One caller connection: a request after the other.

use std::rc::Rc;
use std::time::Duration;

use monoio::time::{Instant, timeout};
use vanillafold_types::ResultCode;
use vanillafold_wire::http::{BodyReader, Framing, HeadError, HttpReader, HttpWriter, RequestHead};

use super::request::BadRequest;
use super::{CallerRequest, PreparedBody, Refusal};
use crate::dispatch::{Delivered, Dispatch};
use crate::node::Node;

/// The longest body that is read over after a refusal, to keep the connection, in bytes.
const MAX_SKIPPED_BODY: u64 = 64 * 1024;

/// How long a refused caller's remaining bytes are read over before its connection is closed.
const CLOSE_GRACE: Duration = Duration::from_millis(500);

/// How long a connection without a request keeps what it needs to serve one.
const BUSY_PAUSE: Duration = Duration::from_millis(100);

const CONTINUE_HEAD: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What becomes of a connection after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    /// Another request may follow.
    KeepAlive,
    /// The caller is told and the connection ends.
    Close,
    /// The connection ends at once: an answer on it was cut short.
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
    while let Some(()) = wait_request(&node, &mut reader, &mut writer).await {
        // Boxed, so that an idle connection does not hold the space of a request's future.
        let serving = Box::pin(serve_requests(&node, &mut reader, &mut writer));
        match serving.await {
            Next::KeepAlive => {}
            Next::Close => {
                writer.close().await;
                let _ = timeout(CLOSE_GRACE, reader.discard_until_closed()).await;
                return;
            }
            Next::Abort => return,
        }
    }
    writer.close().await;
}

/// Waits for a request's first byte; `None` if the connection should end.
async fn wait_request(
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
        () = node.closing.ordered() => None,
    }
}

/// Serves requests that follow one another closely, so that they share one allocation.
async fn serve_requests(node: &Rc<Node>, reader: &mut HttpReader, writer: &mut HttpWriter) -> Next {
    loop {
        match serve_request(node, reader, writer).await {
            Next::KeepAlive => {}
            other => return other,
        }
        reader.shrink();
        writer.shrink();
        let next = monoio::select! {
            biased;
            waited = timeout(BUSY_PAUSE, reader.wait_for_message()) => waited,
            () = node.closing.ordered() => return Next::KeepAlive,
        };
        match next {
            Ok(Ok(())) => {}
            // Whatever came instead of a request, the wait of an idle connection sees it too.
            Ok(Err(_)) | Err(_) => return Next::KeepAlive,
        }
    }
}

async fn serve_request(node: &Rc<Node>, reader: &mut HttpReader, writer: &mut HttpWriter) -> Next {
    let _served = node.in_flight();
    let head = match read_head(node, reader).await {
        Ok(head) => head,
        Err(Some(code)) => return refuse(node, writer, &Refusal::unnamed(code), Next::Close).await,
        Err(None) => return Next::Abort,
    };
    let arrived = Instant::now();
    match CallerRequest::from_head(node, head, arrived) {
        Ok(request) => serve_checked(node, reader, writer, request, arrived).await,
        Err(bad) => refuse_bad(node, reader, writer, bad).await,
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

async fn serve_checked(
    node: &Rc<Node>,
    reader: &mut HttpReader,
    writer: &mut HttpWriter,
    request: CallerRequest,
    arrived: Instant,
) -> Next {
    if request.expects_continue {
        writer.buffer().extend_from_slice(CONTINUE_HEAD);
        if writer.flush().await.is_err() {
            return Next::Abort;
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
            return refuse(node, writer, &refusal, Next::Close).await;
        }
    };
    let closes = request.asks_to_close();
    let dispatch = Dispatch::new(node, &request, body);
    let next = match dispatch.run(reader, writer).await {
        Delivered::Whole { body_read } => {
            node.counters.result(ResultCode::Answered);
            match body_read && !closes && !node.draining.is_ordered() {
                true => Next::KeepAlive,
                false => Next::Close,
            }
        }
        Delivered::Cut => {
            node.counters.answers_cut.increment(1);
            Next::Abort
        }
        Delivered::CallerGone => {
            node.counters.callers_gone.increment(1);
            Next::Abort
        }
        Delivered::Refused { code, body_read } => {
            let refusal = request.refusal(code);
            let next = match body_read && !closes {
                true => Next::KeepAlive,
                false => Next::Close,
            };
            refuse(node, writer, &refusal, next).await
        }
    };
    node.counters.answer_seconds.record(arrived.elapsed());
    next
}

async fn refuse_bad(
    node: &Node,
    reader: &mut HttpReader,
    writer: &mut HttpWriter,
    bad: BadRequest,
) -> Next {
    let skippable = match bad.framing {
        Some(Framing::Length(length)) => length <= MAX_SKIPPED_BODY,
        Some(Framing::Empty | Framing::Chunked) => true,
        None => false,
    };
    let next = match skippable {
        true => Next::KeepAlive,
        false => Next::Close,
    };
    let next = refuse(node, writer, &bad.refusal, next).await;
    match bad.framing {
        Some(framing) if next == Next::KeepAlive && !skip_body(node, reader, framing).await => {
            Next::Close
        }
        _ => next,
    }
}

/// Reads over the body of a refused request, if it is small and comes at once.
async fn skip_body(node: &Node, reader: &mut HttpReader, framing: Framing) -> bool {
    let mut body = BodyReader::new(framing);
    let skipping = async {
        while let Ok(Some(_)) = body.next(reader).await {
            if body.received_bytes() > MAX_SKIPPED_BODY {
                return;
            }
        }
    };
    let _ = timeout(node.settings.timeouts.body_ms.duration(), skipping).await;
    body.is_done()
}

async fn refuse(node: &Node, writer: &mut HttpWriter, refusal: &Refusal, next: Next) -> Next {
    node.counters.result(refusal.code);
    let close = next != Next::KeepAlive || node.draining.is_ordered();
    match refusal.write(writer, &node.daemon_header, close).await {
        Ok(()) if close => Next::Close,
        Ok(()) => next,
        Err(_) => Next::Abort,
    }
}
