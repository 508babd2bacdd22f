//! Accepts the connections of operators.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use monoio::net::TcpListener;
use monoio::time::sleep;
use vanillafold_wire::http::{serve_connection, split};

use super::service::AdminService;
use crate::node::Node;

/// Maximum size of the body of an operator's request, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// The pause after a failed accept, for example when the process has no file descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts operators' connections until the process ends and serves each in a task of its own.
///
/// # Errors
///
/// Returns no error.
pub(crate) async fn serve_admin(
    node: Rc<Node>,
    listener: Rc<TcpListener>,
    metrics: PrometheusHandle,
) -> Result<(), Infallible> {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            node.counters.count_control_failure("accept");
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let service = AdminService::new(Rc::clone(&node), metrics.clone());
        let (reader, writer) = split(stream);
        monoio::spawn(
            async move { serve_connection(&service, reader, writer, MAX_BODY_BYTES).await },
        );
    }
}
