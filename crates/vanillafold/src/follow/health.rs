//! Health checks of targets whose health is in doubt.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use monoio::time::sleep;
use vanillafold_policy::HealthCheckResult;
use vanillafold_types::VmId;
use vanillafold_wire::http::Client;

use crate::node::{Node, PoolRuntime};

/// Interval between searches for targets that are due for a health check.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
const HEALTH_PATH: &str = "/vf-health";
const LOAD_HEADER: &str = "vf-load";

/// Until the daemon stops, checks the targets that are due and closes stale connections.
///
/// # Errors
///
/// Returns no error.
pub(crate) async fn check_health(node: Rc<Node>) -> Result<(), Infallible> {
    while !node.shutdown.is_set() {
        let pools = node.routes.borrow().pools.clone();
        for pool in pools {
            pool.close_stale();
            let due = pool.table.borrow_mut().due_health_checks(node.now());
            for check in due {
                let node = Rc::clone(&node);
                let pool = Rc::clone(&pool);
                monoio::spawn(check_target(node, pool, check.vm, check.address));
            }
        }
        sleep(CHECK_INTERVAL).await;
    }
    Ok(())
}

async fn check_target(node: Rc<Node>, pool: Rc<PoolRuntime>, vm: VmId, address: SocketAddr) {
    let limit = node.settings.timeouts.connect_ms.duration();
    let result = check(address, limit).await;
    let mut table = pool.table.borrow_mut();
    table.health_checked(&vm, node.now(), result);
}

async fn check(address: SocketAddr, limit: Duration) -> HealthCheckResult {
    let mut client = Client::new(address, limit);
    let headers = HeaderMap::new();
    let request = client.request(Method::GET, HEALTH_PATH, &headers, Bytes::new());
    match request.await {
        Ok(response) if response.status() == StatusCode::OK => HealthCheckResult::Live {
            load: response
                .headers()
                .get(LOAD_HEADER)
                .and_then(|load| load.to_str().ok()?.parse().ok()),
        },
        Ok(response) if response.status() == StatusCode::SERVICE_UNAVAILABLE => {
            HealthCheckResult::Leaving
        }
        Ok(_) | Err(_) => HealthCheckResult::Failed,
    }
}
