//! Accepts operators' connections.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use monoio::net::TcpListener;
use monoio::time::sleep;
use vanillafold_wire::http::{serve_connection, split};

use super::service::AdminService;
use crate::node::Node;

/// The largest body of an operator's request, in bytes.
const MAX_BODY: usize = 1 << 20;
/// The pause after an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts operators' connections for as long as the process lives, a task for each.
///
/// # Errors
///
/// None.
pub(crate) async fn serve_admin(
    node: Rc<Node>,
    listener: Rc<TcpListener>,
    metrics: PrometheusHandle,
) -> Result<(), Infallible> {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            node.counters.count_control_failure("accept");
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let service = AdminService::new(Rc::clone(&node), metrics.clone());
        let (reader, writer) = split(stream);
        monoio::spawn(async move { serve_connection(&service, reader, writer, MAX_BODY).await });
    }
}
