//! A plain client of small messages: the platform, probes and the operators' tool.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response};
use monoio::net::TcpStream;
use monoio::time::timeout;

use super::reset::reset_on_close;
use super::server::collect;
use super::{
    BodyError, Framing, FramingError, HeadError, HttpReader, HttpWriter, encode_request_head,
    response_framing, split,
};

/// The largest answer that a [`Client`] takes, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ClientError {
    /// No connection could be opened: the request did not leave.
    #[error("no connection to {address}: {source}")]
    Connect {
        /// Who was called.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The connection broke while the request was written.
    #[error("the connection broke: {0}")]
    Write(io::Error),
    /// No answer came in time.
    #[error("no answer within {0:?}")]
    TimedOut(Duration),
    /// The answer's head is missing or wrong.
    #[error("no valid answer: {0}")]
    Head(#[from] HeadError),
    /// The answer's length is doubtful.
    #[error("no valid answer: {0}")]
    Framing(#[from] FramingError),
    /// The answer's body is cut short or wrong.
    #[error("no whole answer: {0}")]
    Body(#[from] BodyError),
    /// The answer is too large.
    #[error("the answer is larger than {MAX_RESPONSE_BYTES} bytes")]
    TooLarge,
}

/// A client of one address that keeps its connection open between requests.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    resets: bool,
    connection: Option<(HttpReader, HttpWriter)>,
}

impl Client {
    /// A client of `address` that waits at most `timeout` for a connection, and then for each
    /// answer.
    #[must_use]
    pub const fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            timeout,
            resets: false,
            connection: None,
        }
    }

    /// The address that is called.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Resets connections instead of closing them, so that a request that was given up is not
    /// carried out later by what held it up on the way.
    #[must_use]
    pub const fn with_reset_on_close(mut self) -> Self {
        self.resets = true;
        self
    }

    /// Waits at most `timeout` for each answer from now on.
    #[must_use]
    pub const fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Waits at most `timeout` for each answer from now on.
    pub const fn set_timeout(&mut self, timeout: Duration) {
        self.timeout = timeout;
    }

    /// Sends a request and waits for the whole answer. Nothing is repeated.
    ///
    /// # Errors
    ///
    /// [`ClientError`]; after any but [`ClientError::Connect`] the request may have had its effect.
    pub async fn request(
        &mut self,
        method: Method,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<Response<Bytes>, ClientError> {
        let limit = self.timeout;
        // Taken out, so that a request given up in the middle leaves no half-read connection.
        let kept = self.connection.take();
        let mut connection = match reuse(kept).await {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let exchange = exchange(&mut connection, method, path, headers, body);
        let response = timeout(limit, exchange)
            .await
            .map_err(|_| ClientError::TimedOut(limit))??;
        self.connection = Some(connection);
        Ok(response)
    }

    /// Sends requests in one piece and hands each answer to `take`, in order, as it comes.
    ///
    /// # Errors
    ///
    /// [`ClientError`], for all requests that `take` got no answer for; after any but
    /// [`ClientError::Connect`] they may have had their effect.
    pub async fn pipeline(
        &mut self,
        requests: Vec<Request<Bytes>>,
        mut take: impl FnMut(Response<Bytes>),
    ) -> Result<(), ClientError> {
        let limit = self.timeout;
        let kept = self.connection.take();
        let (mut reader, mut writer) = match reuse(kept).await {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        for request in &requests {
            let framing = request_framing_of(request.body());
            let path = request.uri().path();
            let headers = request.headers().iter();
            encode_request_head(writer.buffer(), request.method(), path, headers, framing);
            writer.buffer().extend_from_slice(request.body());
        }
        let send = timeout(limit, writer.flush());
        send.await
            .map_err(|_| ClientError::TimedOut(limit))?
            .map_err(ClientError::Write)?;
        for request in &requests {
            let answer = timeout(limit, answer_to(&mut reader, request.method()));
            take(answer.await.map_err(|_| ClientError::TimedOut(limit))??);
        }
        self.connection = Some((reader, writer));
        Ok(())
    }

    async fn connect(&self) -> Result<(HttpReader, HttpWriter), ClientError> {
        let failed = |source| ClientError::Connect {
            address: self.address,
            source,
        };
        // A bound of its own: the request has not left when it passes.
        let stream = timeout(self.timeout, TcpStream::connect_addr(self.address))
            .await
            .map_err(|_| failed(io::ErrorKind::TimedOut.into()))?
            .map_err(failed)?;
        if self.resets {
            reset_on_close(&stream).map_err(failed)?;
        }
        Ok(split(stream))
    }
}

async fn reuse(kept: Option<(HttpReader, HttpWriter)>) -> Option<(HttpReader, HttpWriter)> {
    let (mut reader, writer) = kept?;
    reader.is_reusable().await.then_some((reader, writer))
}

async fn exchange(
    (reader, writer): &mut (HttpReader, HttpWriter),
    method: Method,
    path: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<Response<Bytes>, ClientError> {
    let framing = request_framing_of(&body);
    encode_request_head(writer.buffer(), &method, path, headers.iter(), framing);
    writer
        .write_body_piece(framing, body)
        .await
        .map_err(ClientError::Write)?;
    writer.flush().await.map_err(ClientError::Write)?;
    answer_to(reader, &method).await
}

fn request_framing_of(body: &Bytes) -> Framing {
    match body.len() {
        0 => Framing::Empty,
        length => Framing::Length(length as u64),
    }
}

async fn answer_to(
    reader: &mut HttpReader,
    method: &Method,
) -> Result<Response<Bytes>, ClientError> {
    let head = reader.read_response_head().await?;
    let framing = response_framing(method, head.status, &head.headers)?;
    let body = collect(reader, framing, MAX_RESPONSE_BYTES)
        .await?
        .ok_or(ClientError::TooLarge)?;
    Ok(Response::from_parts(head, body))
}
