//! Remote procedure calls (RPCs) to another daemon, over an HTTP/2 connection that is dialled on
//! demand.
//!
//! For RPCs to a few daemons that change over time, such as the owner of a shard. There are no
//! heartbeats and no membership, and an answer may take long.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bincode::{Decode, Encode};
use bytes::Bytes;
use h2::client::SendRequest;
use h2::server::SendResponse;
use monoio::net::TcpStream;

use super::counted::wrap;
use super::error::LinkEnd;
use super::frame::{FrameReader, FrameWriter, decode, encode};
use super::link::{client_builder, request_head, response_body};
use super::statistics::Traffic;
use crate::timer::timeout_awake;

/// Maximum number of concurrent RPCs, each on an HTTP/2 stream, on one connection. An RPC waits
/// until its records are stored, so many are open at once under load.
const MAX_CONCURRENT_RPCS: u32 = 1_024;

/// Why an RPC got no answer.
#[derive(Debug, Clone, thiserror::Error)]
#[non_exhaustive]
pub enum RpcError {
    /// The request was not sent, or the other daemon does not serve its path.
    #[error("not sent to {address}: {end}")]
    NotSent {
        /// The address of the daemon that the RPC was for.
        address: SocketAddr,
        /// Why the connection or the RPC failed.
        end: LinkEnd,
    },
    /// The request was sent and not answered; the other daemon may have acted on it.
    #[error("no answer from {address}: {end}")]
    NoAnswer {
        /// The address of the daemon that the RPC was for.
        address: SocketAddr,
        /// Why the connection or the RPC failed.
        end: LinkEnd,
    },
}

/// Answers RPCs.
pub trait RpcHandler: 'static {
    /// The HTTP path of the RPCs. It names the version of their encoding, so that daemons of
    /// different versions don't misread each other: requests for any other path get status 404.
    const PATH: &'static str;
    /// The request that a client sends.
    type Request: Decode<()>;
    /// The answer that is sent back.
    type Answer: Encode;

    /// Answers one RPC; `None` resets its stream without an answer.
    fn answer(&self, request: Self::Request) -> impl Future<Output = Option<Self::Answer>>;
}

/// Sends RPCs to one daemon, over one connection that stays open between them.
#[derive(Debug)]
pub struct RpcClient {
    address: SocketAddr,
    path: &'static str,
    connect_timeout: Duration,
    connection: RefCell<Option<SendRequest<Bytes>>>,
}

impl RpcClient {
    /// Returns a client for RPCs with the path `path` to `address`, which waits at most
    /// `connect_timeout` for a connection.
    #[must_use]
    pub const fn new(address: SocketAddr, path: &'static str, connect_timeout: Duration) -> Self {
        Self {
            address,
            path,
            connect_timeout,
            connection: RefCell::new(None),
        }
    }

    /// Returns the address of the daemon that the RPCs go to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits at most `limit` for the answer. It is never retried.
    ///
    /// # Errors
    ///
    /// [`RpcError`]; after an RPC without an answer, the next RPC opens a new connection.
    pub async fn call<Q: Encode, A: Decode<()>>(
        &self,
        request: &Q,
        limit: Duration,
    ) -> Result<A, RpcError> {
        let not_sent = |end| RpcError::NotSent {
            address: self.address,
            end,
        };
        let no_answer = |end| RpcError::NoAnswer {
            address: self.address,
            end,
        };
        let mut frame = Vec::new();
        encode(request, &mut frame).map_err(|error| not_sent(error.into()))?;
        let sender = self.sender().await.map_err(not_sent)?;
        let answer = match timeout_awake(limit, exchange(sender, self.path, frame)).await {
            Ok(answer) => answer,
            Err(_) => Err(LinkEnd::Silent),
        };
        if answer.is_err() {
            self.connection.borrow_mut().take();
        }
        let answer = answer.map_err(|end| match end {
            LinkEnd::HttpStatus(_) => not_sent(end),
            _ => no_answer(end),
        })?;
        decode(&answer).map_err(|error| no_answer(error.into()))
    }

    async fn sender(&self) -> Result<SendRequest<Bytes>, LinkEnd> {
        if let Some(sender) = self.connection.borrow().clone() {
            return Ok(sender);
        }
        let dialled = timeout_awake(self.connect_timeout, dial(self.address)).await;
        let sender = dialled.map_err(|_| LinkEnd::ConnectTimeout)??;
        *self.connection.borrow_mut() = Some(sender.clone());
        Ok(sender)
    }
}

async fn dial(address: SocketAddr) -> Result<SendRequest<Bytes>, LinkEnd> {
    let connected = TcpStream::connect_addr(address).await;
    let tcp = connected.map_err(|error| LinkEnd::Connect(error.kind()))?;
    let io =
        wrap(tcp, Rc::new(Traffic::default())).map_err(|error| LinkEnd::Connect(error.kind()))?;
    let (sender, connection) = client_builder()
        .initial_max_send_streams(MAX_CONCURRENT_RPCS as usize)
        .handshake(io)
        .await?;
    monoio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("RPC connection to {address} failed: {error}");
        }
    });
    Ok(sender)
}

async fn exchange(
    sender: SendRequest<Bytes>,
    path: &str,
    frame: Vec<u8>,
) -> Result<Bytes, LinkEnd> {
    let mut sender = sender.ready().await?;
    let (response, stream) = sender.send_request(request_head(path), false)?;
    let mut writer = FrameWriter::new(stream);
    writer.write_encoded(frame).await?;
    writer.finish()?;
    let mut reader = FrameReader::new(response_body(response.await?)?);
    reader.expect().await
}

/// Serves the RPCs of one accepted connection until the connection ends.
pub async fn serve_rpcs<H: RpcHandler>(tcp: TcpStream, handler: Rc<H>) {
    if let Err(end) = serve(tcp, handler).await {
        log::debug!("accepted RPC connection ended: {end}");
    }
}

async fn serve<H: RpcHandler>(tcp: TcpStream, handler: Rc<H>) -> Result<(), LinkEnd> {
    let io =
        wrap(tcp, Rc::new(Traffic::default())).map_err(|error| LinkEnd::Connect(error.kind()))?;
    let mut connection = super::link::server_builder()
        .max_concurrent_streams(MAX_CONCURRENT_RPCS)
        .handshake(io)
        .await?;
    while let Some(accepted) = connection.accept().await {
        let (request, respond) = accepted?;
        let handler = Rc::clone(&handler);
        monoio::spawn(async move {
            if let Err(end) = serve_one(request, respond, handler).await {
                log::debug!("RPC not answered: {end}");
            }
        });
    }
    Ok(())
}

async fn serve_one<H: RpcHandler>(
    request: http::Request<h2::RecvStream>,
    mut respond: SendResponse<Bytes>,
    handler: Rc<H>,
) -> Result<(), LinkEnd> {
    if request.uri().path() != H::PATH {
        log::warn!(found = request.uri().path(), expected = H::PATH; "RPC of a daemon of another version rejected");
        let mut response = http::Response::new(());
        *response.status_mut() = http::StatusCode::NOT_FOUND;
        respond.send_response(response, true)?;
        return Ok(());
    }
    let mut reader = FrameReader::new(request.into_body());
    let message: H::Request = decode(&reader.expect().await?)?;
    let Some(answer) = handler.answer(message).await else {
        respond.send_reset(h2::Reason::CANCEL);
        return Ok(());
    };
    let mut frame = Vec::new();
    encode(&answer, &mut frame)?;
    let stream = respond.send_response(http::Response::new(()), false)?;
    let mut writer = FrameWriter::new(stream);
    writer.write_encoded(frame).await?;
    writer.finish()
}
