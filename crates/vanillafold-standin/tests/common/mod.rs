//! Fixtures for the tests of the stand-ins.

// Each test target compiles this module and uses only a part of it.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response};
use monoio::time::sleep;
use vanillafold_wire::http::{Client, ClientError};

/// The time limit of each wait and request: so long that only a defect exceeds it.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a loopback address with port 0, which binds to any free port.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns an address that refuses connections. Its port is not an ephemeral one: a connection to a
/// free ephemeral port may get the same port as its source and so connect to itself.
pub(crate) fn refusing_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], 1))
}

/// Returns a path for the traces of a test, at which no directory exists.
pub(crate) fn trace_dir(test: &str) -> PathBuf {
    let name = format!("{test}-{}", std::process::id());
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    // It exists only if an earlier process had the same id.
    let _ = std::fs::remove_dir_all(&dir);
    dir
}

/// Runs a future to its end on the runtime of the stand-ins.
pub(crate) fn block_on<T>(test: impl Future<Output = T>) -> T {
    vanillafold_standin::process::run(async { Ok(test.await) }).expect("a runtime")
}

/// Waits until a condition holds; panics if it does not within [`TIMEOUT`].
pub(crate) async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    const PAUSE: Duration = Duration::from_millis(5);
    let waiting = async {
        while !holds().await {
            sleep(PAUSE).await;
        }
    };
    let result = monoio::time::timeout(TIMEOUT, waiting).await;
    assert!(result.is_ok(), "did not happen within {TIMEOUT:?}: {what}");
}

/// Builds a header map from names and values.
pub(crate) fn headers(pairs: &[(&'static str, &str)]) -> HeaderMap {
    pairs
        .iter()
        .map(|(name, value)| {
            let value = HeaderValue::from_str(value).expect("a header's value");
            (HeaderName::from_static(name), value)
        })
        .collect()
}

/// Sends one request over a new connection.
pub(crate) async fn request(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &HeaderMap,
    body: &str,
) -> Result<Response<Bytes>, ClientError> {
    Client::new(address, TIMEOUT)
        .request(
            method,
            path,
            headers,
            Bytes::copy_from_slice(body.as_bytes()),
        )
        .await
}

/// Posts a control body; panics unless the stand-in accepts it with status 200.
pub(crate) async fn post_control(address: SocketAddr, path: &str, body: &str) {
    let answer = request(address, Method::POST, path, &HeaderMap::new(), body)
        .await
        .expect("an answer");
    assert_eq!(answer.status(), 200, "{:?}", answer.body());
}
