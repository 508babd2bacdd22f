//! Accepts caller connections.

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

/// The pause after an accept that failed, for example for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts caller connections until the daemon stops, a task for each.
///
/// # Errors
///
/// None while it runs; the result is the supervisor's.
pub(crate) async fn serve_callers(node: Rc<Node>, listener: Rc<TcpListener>) -> io::Result<()> {
    loop {
        let accepted = monoio::select! {
            accepted = listener.accept() => accepted,
            () = node.closing.wait() => return Ok(()),
        };
        let Ok((stream, _)) = accepted else {
            node.counters.count_control_failure("accept");
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        node.counters.connections_accepted.increment(1);
        let (reader, mut writer) = split(stream);
        if node.open_connections.get() >= node.settings.max_connections {
            let refusal = Refusal::unnamed(ResultCode::TooManyConnections);
            node.counters.count_result(refusal.code);
            // The caller may be gone already; there is nobody else to tell.
            let _ = refusal.write(&mut writer, &node.daemon_header, true).await;
            writer.close().await;
            continue;
        }
        monoio::spawn(serve_connection(Rc::clone(&node), reader, writer));
    }
}
