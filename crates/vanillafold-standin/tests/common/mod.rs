//! Fixtures for the tests of the stand-ins.

// Each test file uses a part of them.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response};
use monoio::time::sleep;
use vanillafold_wire::http::{Client, ClientError};

/// Long enough that only a fault of the code reaches it.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

/// Any free port of this machine.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// An address that refuses connections. It is no port that the system gives out: a connection to
/// such a port may take the same port for its own end, and so meet itself.
pub(crate) fn refusing_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], 1))
}

/// An empty directory for the traces of a test.
pub(crate) fn trace_dir(test: &str) -> PathBuf {
    let name = format!("{test}-{}", std::process::id());
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    // It is there only if an earlier process had this number.
    let _ = std::fs::remove_dir_all(&dir);
    dir
}

/// Runs a test on the runtime of the stand-ins.
pub(crate) fn block_on<T>(test: impl Future<Output = T>) -> T {
    vanillafold_standin::process::run(async { Ok(test.await) }).expect("a runtime")
}

/// Waits until a condition holds; fails if it never does.
pub(crate) async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    const PAUSE: Duration = Duration::from_millis(5);
    let waiting = async {
        while !holds().await {
            sleep(PAUSE).await;
        }
    };
    let result = monoio::time::timeout(TIMEOUT, waiting).await;
    assert!(result.is_ok(), "never happened: {what}");
}

/// Headers by name and value.
pub(crate) fn headers(pairs: &[(&'static str, &str)]) -> HeaderMap {
    pairs
        .iter()
        .map(|(name, value)| {
            let value = HeaderValue::from_str(value).expect("a header's value");
            (HeaderName::from_static(name), value)
        })
        .collect()
}

/// Sends one request over a connection of its own.
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

/// Posts a control, which must be accepted.
pub(crate) async fn post_control(address: SocketAddr, path: &str, body: &str) {
    let answer = request(address, Method::POST, path, &HeaderMap::new(), body)
        .await
        .expect("an answer");
    assert_eq!(answer.status(), 200, "{:?}", answer.body());
}
