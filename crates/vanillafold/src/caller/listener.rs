//! Accepts the connections of callers.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use monoio::net::TcpListener;
use monoio::time::sleep;
use vanillafold_types::ResultCode;
use vanillafold_wire::http::split;

use super::Refusal;
use super::connection::serve_connection;
use crate::node::Node;

/// The pause after a failed accept, for example when the process has no file descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts caller connections until the daemon stops and serves each in a task of its own.
///
/// # Errors
///
/// Returns no error; the supervisor requires the result type.
pub(crate) async fn serve_callers(node: Rc<Node>, listener: Rc<TcpListener>) -> io::Result<()> {
    loop {
        let accepted = monoio::select! {
            accepted = listener.accept() => accepted,
            () = node.closing.wait() => return Ok(()),
        };
        let Ok((stream, _)) = accepted else {
            node.counters.count_control_failure("accept");
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        node.counters.connections_accepted.increment(1);
        let (reader, mut writer) = split(stream);
        if node.open_connections.get() >= node.settings.max_connections {
            let refusal = Refusal::without_id(ResultCode::TooManyConnections);
            node.counters.count_result(refusal.code);
            // A failed write means that the caller is gone; the connection is closed in any case.
            let _ = refusal.write(&mut writer, &node.daemon_header, true).await;
            writer.close().await;
            continue;
        }
        monoio::spawn(serve_connection(Rc::clone(&node), reader, writer));
    }
}
