//! A simple HTTP client for small messages: to the platform, for health checks and for tools.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response};
use monoio::net::TcpStream;

use super::reset::enable_reset_on_close;
use super::server::read_body;
use super::{
    BodyError, Framing, FramingError, HeadError, HttpReader, HttpWriter, encode_request_head,
    response_framing, split,
};
use crate::timer::timeout_awake;

/// Maximum size of a response's body that a [`Client`] accepts, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Why a request got no valid response.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ClientError {
    /// No connection could be opened, so the request was not sent.
    #[error("no connection to {address}: {source}")]
    Connect {
        /// The address of the server.
        address: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
    /// The connection is closed, and the client opens one only when it is told to. The request was
    /// not sent.
    #[error("the connection to {0} is closed")]
    Closed(SocketAddr),
    /// The connection failed while the request was being sent.
    #[error("the connection failed while the request was being sent: {0}")]
    Write(io::Error),
    /// No response came within the timeout.
    #[error("no response within {0:?}")]
    TimedOut(Duration),
    /// The head of the response is missing or invalid.
    #[error("no valid head of a response: {0}")]
    Head(#[from] HeadError),
    /// The framing headers of the response are invalid or ambiguous.
    #[error("invalid framing of the response: {0}")]
    Framing(#[from] FramingError),
    /// The body of the response is truncated or malformed.
    #[error("no complete body of the response: {0}")]
    Body(#[from] BodyError),
    /// The body of the response is too large.
    #[error("the body of the response is larger than {MAX_RESPONSE_BYTES} bytes")]
    TooLarge,
}

impl ClientError {
    /// Returns whether the server closed or reset the connection instead of answering.
    #[must_use]
    pub const fn is_connection_closed(&self) -> bool {
        matches!(
            self,
            Self::Write(_)
                | Self::Head(HeadError::Closed | HeadError::Truncated | HeadError::Io(_))
        )
    }
}

/// An HTTP client of one address that reuses its connection for the next request.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    resets_on_close: bool,
    opens_by_itself: bool,
    connection: Option<(HttpReader, HttpWriter)>,
}

impl Client {
    /// Creates a client of `address` that waits at most `timeout` for a connection, and then at
    /// most `timeout` for each response.
    #[must_use]
    pub const fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            timeout,
            resets_on_close: false,
            opens_by_itself: true,
            connection: None,
        }
    }

    /// Returns the address of the server.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes the client reset connections instead of closing them, so that an abandoned request
    /// that is still in transit is dropped and not carried out later.
    #[must_use]
    pub const fn with_reset_on_close(mut self) -> Self {
        self.resets_on_close = true;
        self
    }

    /// Makes the client open a connection only by [`open`](Self::open), for servers that may lose
    /// what a request refers to together with the connection.
    #[must_use]
    pub const fn with_explicit_open(mut self) -> Self {
        self.opens_by_itself = false;
        self
    }

    /// Returns the client with another timeout for connections and responses.
    #[must_use]
    pub const fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the timeout for connections and responses.
    pub const fn set_timeout(&mut self, timeout: Duration) {
        self.timeout = timeout;
    }

    /// Returns whether the connection is open, as far as is known without sending anything.
    pub async fn is_open(&mut self) -> bool {
        self.connection = reusable(self.connection.take()).await;
        self.connection.is_some()
    }

    /// Opens a connection unless one is open.
    ///
    /// # Errors
    ///
    /// [`ClientError::Connect`] if none could be opened.
    pub async fn open(&mut self) -> Result<(), ClientError> {
        if !self.is_open().await {
            self.connection = Some(self.connect().await?);
        }
        Ok(())
    }

    /// Sends a request once, without retries, and waits for the complete response.
    ///
    /// # Errors
    ///
    /// Returns a [`ClientError`]; after any but [`ClientError::Connect`] and [`ClientError::Closed`]
    /// the request may have taken effect.
    pub async fn request(
        &mut self,
        method: Method,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<Response<Bytes>, ClientError> {
        let limit = self.timeout;
        // The connection is taken out, so that a request whose future is dropped halfway leaves no
        // connection that still holds a part of its response.
        let idle = self.connection.take();
        let mut connection = self.reuse_or_connect(idle).await?;
        let exchange = exchange(&mut connection, method, path, headers, body);
        let response = timeout_awake(limit, exchange)
            .await
            .map_err(|_| ClientError::TimedOut(limit))??;
        self.connection = Some(connection);
        Ok(response)
    }

    /// Sends all requests without waiting for responses in between (HTTP pipelining), and passes
    /// each response to `on_response` as it arrives, in the order of the requests.
    ///
    /// # Errors
    ///
    /// Returns a [`ClientError`] for all requests whose response was not passed to `on_response`;
    /// after any but [`ClientError::Connect`] and [`ClientError::Closed`] they may have taken effect.
    pub async fn pipeline(
        &mut self,
        requests: Vec<Request<Bytes>>,
        mut on_response: impl FnMut(Response<Bytes>),
    ) -> Result<(), ClientError> {
        let limit = self.timeout;
        let idle = self.connection.take();
        let (mut reader, mut writer) = self.reuse_or_connect(idle).await?;
        for request in &requests {
            let framing = framing_of_body(request.body());
            let path = request.uri().path();
            let headers = request.headers().iter();
            encode_request_head(writer.buffer(), request.method(), path, headers, framing);
            writer.buffer().extend_from_slice(request.body());
        }
        let send = timeout_awake(limit, writer.flush());
        send.await
            .map_err(|_| ClientError::TimedOut(limit))?
            .map_err(ClientError::Write)?;
        for request in &requests {
            let response = timeout_awake(limit, read_response(&mut reader, request.method()));
            on_response(response.await.map_err(|_| ClientError::TimedOut(limit))??);
        }
        self.connection = Some((reader, writer));
        Ok(())
    }

    async fn reuse_or_connect(
        &self,
        idle: Option<(HttpReader, HttpWriter)>,
    ) -> Result<(HttpReader, HttpWriter), ClientError> {
        match reusable(idle).await {
            Some(connection) => Ok(connection),
            None if self.opens_by_itself => self.connect().await,
            None => Err(ClientError::Closed(self.address)),
        }
    }

    async fn connect(&self) -> Result<(HttpReader, HttpWriter), ClientError> {
        let failed = |source| ClientError::Connect {
            address: self.address,
            source,
        };
        // The connection has a timeout of its own: when it expires, the request has not been sent.
        let stream = timeout_awake(self.timeout, TcpStream::connect_addr(self.address))
            .await
            .map_err(|_| failed(io::ErrorKind::TimedOut.into()))?
            .map_err(failed)?;
        if self.resets_on_close {
            enable_reset_on_close(&stream).map_err(failed)?;
        }
        Ok(split(stream))
    }
}

async fn reusable(idle: Option<(HttpReader, HttpWriter)>) -> Option<(HttpReader, HttpWriter)> {
    let (mut reader, writer) = idle?;
    reader.is_reusable().await.then_some((reader, writer))
}

async fn exchange(
    (reader, writer): &mut (HttpReader, HttpWriter),
    method: Method,
    path: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<Response<Bytes>, ClientError> {
    let framing = framing_of_body(&body);
    encode_request_head(writer.buffer(), &method, path, headers.iter(), framing);
    writer
        .write_body_piece(framing, body)
        .await
        .map_err(ClientError::Write)?;
    writer.flush().await.map_err(ClientError::Write)?;
    read_response(reader, &method).await
}

fn framing_of_body(body: &Bytes) -> Framing {
    match body.len() {
        0 => Framing::Empty,
        length => Framing::Length(length as u64),
    }
}

async fn read_response(
    reader: &mut HttpReader,
    method: &Method,
) -> Result<Response<Bytes>, ClientError> {
    let head = reader.read_response_head().await?;
    let framing = response_framing(method, head.status, &head.headers)?;
    let body = read_body(reader, framing, MAX_RESPONSE_BYTES)
        .await?
        .ok_or(ClientError::TooLarge)?;
    Ok(Response::from_parts(head, body))
}
