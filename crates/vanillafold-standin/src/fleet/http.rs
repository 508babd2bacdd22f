//! Helpers for the stand-ins' HTTP services.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use serde_json::Value;
use vanillafold_wire::Latch;
use vanillafold_wire::http::{Service, serve_connection, split};

use crate::process::{accept_each, bind};

/// The largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Listens on a free port of `127.0.0.1` and serves its connections as long as the runtime runs.
pub(super) fn serve<S: Service + 'static>(service: Rc<S>) -> io::Result<SocketAddr> {
    let never = Rc::new(Latch::default());
    serve_until(service, move || Rc::clone(&never))
}

/// Does the same, but closes each connection when the latch is set that `end_of` returns at the time
/// when it is accepted.
pub(super) fn serve_until<S: Service + 'static>(
    service: Rc<S>,
    end_of: impl Fn() -> Rc<Latch> + 'static,
) -> io::Result<SocketAddr> {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let address = listener.local_addr()?;
    monoio::spawn(async move {
        accept_each(&listener, |stream| {
            let (service, end) = (Rc::clone(&service), end_of());
            monoio::spawn(async move {
                let (reader, writer) = split(stream);
                let served = serve_connection(service.as_ref(), reader, writer, MAX_BODY_BYTES);
                end.run_until_set(served).await;
            });
        })
        .await;
    });
    Ok(address)
}

pub(super) fn empty_response(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}

pub(super) fn json_response(status: StatusCode, body: &Value) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(body.to_string()));
    *response.status_mut() = status;
    response
}

/// The query of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Query<'a>(&'a str);

impl<'a> Query<'a> {
    pub(super) fn of(request: &'a Request<Bytes>) -> Self {
        Self(request.uri().query().unwrap_or_default())
    }

    pub(super) fn text(self, name: &str) -> Option<&'a str> {
        let pairs = self.0.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .filter(|pair| pair.0 == name)
            .map(|pair| pair.1)
            .next()
    }

    pub(super) fn number(self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }
}
