//! The tasks of one accepted connection.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use h2::server::{Connection, SendResponse};
use h2::{Reason, RecvStream};
use monoio::net::TcpStream;
use monoio::time::{sleep, timeout};
use vanillafold_types::{DaemonId, Incarnation};

use super::clock::{BootClock, BootMillis};
use super::counted::{CountedCompat, wrap};
use super::error::LinkEnd;
use super::frame::{FrameReader, FrameWriter, decode, encode};
use super::handler::PeerHandler;
use super::hello::{Hello, HelloError, HelloReply, PROTOCOL_VERSION, RefusalReason, Welcome};
use super::link::{LINK_PATH, LinkFrame, LinkReply, REQUEST_PATH, server_builder};
use super::message::PeerMessage;
use super::request::{PeerRequest, PeerResponse, UnavailableReason};
use super::settings::{INBOUND_MISSED_HEARTBEATS, MAX_INBOUND_SILENCE};
use super::shared::{Context, Shared};
use super::statistics::Traffic;
use super::sync::{Latch, Notify};
use super::tasks::Tasks;

/// The dialler of an accepted connection, known once its hello is accepted.
#[derive(Debug, Clone)]
struct RemotePeer {
    daemon: DaemonId,
    incarnation: Incarnation,
}

/// The state of an accepted connection.
#[derive(Debug)]
pub(crate) struct Session {
    traffic: Rc<Traffic>,
    remote: RefCell<Option<RemotePeer>>,
    hello_received: Cell<bool>,
    last_heard: Cell<BootMillis>,
    silence_limit: Cell<Duration>,
    /// Notified when `silence_limit` changes.
    silence_limit_changed: Notify,
    end: RefCell<Option<LinkEnd>>,
    ended: Latch,
}

impl Session {
    pub(crate) fn new(shared: &Shared) -> Self {
        Self {
            traffic: Traffic::child(&shared.traffic),
            remote: RefCell::new(None),
            hello_received: Cell::new(false),
            last_heard: Cell::new(BootClock::now()),
            silence_limit: Cell::new(shared.settings.handshake_timeout.duration()),
            silence_limit_changed: Notify::default(),
            end: RefCell::new(None),
            ended: Latch::default(),
        }
    }

    pub(crate) fn is_from(&self, daemon: &DaemonId) -> bool {
        let remote = self.remote.borrow();
        remote
            .as_ref()
            .is_some_and(|remote| remote.daemon == *daemon)
    }

    pub(crate) fn incarnation(&self) -> Option<Incarnation> {
        self.remote
            .borrow()
            .as_ref()
            .map(|remote| remote.incarnation)
    }

    /// Ends the connection, its tasks and its socket. Only the reason of the first call is kept.
    pub(crate) fn end(&self, end: LinkEnd) {
        self.end.borrow_mut().get_or_insert(end);
        self.ended.set();
    }

    fn remote(&self) -> Option<DaemonId> {
        self.remote
            .borrow()
            .as_ref()
            .map(|remote| remote.daemon.clone())
    }

    fn end_reason(&self) -> LinkEnd {
        self.end.borrow().clone().unwrap_or(LinkEnd::PeerClosed)
    }

    async fn sleep_until_limit_changes(&self, wait: Duration) {
        monoio::select! {
            () = self.silence_limit_changed.notified() => {}
            () = sleep(wait) => {}
        }
    }

    fn set_silence_limit(&self, silence_limit: Duration) {
        self.last_heard.set(BootClock::now());
        self.silence_limit.set(silence_limit);
        self.silence_limit_changed.notify_one();
    }

    /// Returns once nothing has been received for the silence limit, which is the handshake timeout
    /// until the hello is accepted.
    async fn watch_silence(&self) -> LinkEnd {
        loop {
            let now = BootClock::now();
            let deadline = self.last_heard.get().plus(self.silence_limit.get());
            match now {
                _ if now < deadline => self.sleep_until_limit_changes(deadline.since(now)).await,
                _ if self.remote.borrow().is_some() => return LinkEnd::Silent,
                _ => return LinkEnd::HandshakeTimeout,
            }
        }
    }
}

/// Serves an accepted connection until it ends.
pub(crate) async fn serve<H: PeerHandler>(context: Context<H>, tcp: TcpStream) {
    let session = Rc::new(Session::new(&context.shared));
    context.shared.add_session(Rc::clone(&session));
    let end = run_session(&context, &session, tcp).await;
    // Also ends the tasks of the connection's streams.
    session.end(end);
    let end = session.end_reason();
    log::debug!("accepted connection from a peer ended: {end}");
    context.shared.count(|c| c.count_end(&end));
    context.shared.remove_session(&session);
}

async fn run_session<H: PeerHandler>(
    context: &Context<H>,
    session: &Rc<Session>,
    tcp: TcpStream,
) -> LinkEnd {
    let io = match wrap(tcp, Rc::clone(&session.traffic)) {
        Ok(io) => io,
        Err(error) => return LinkEnd::Connect(error.kind()),
    };
    let limit = context.shared.settings.handshake_timeout.duration();
    let handshake = server_builder().handshake(io);
    let connection = match timeout(limit, handshake).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => return error.into(),
        Err(_) => return LinkEnd::HandshakeTimeout,
    };
    monoio::select! {
        () = session.ended.wait() => session.end_reason(),
        end = session.watch_silence() => end,
        end = accept_streams(context, session, connection) => end,
    }
}

async fn accept_streams<H: PeerHandler>(
    context: &Context<H>,
    session: &Rc<Session>,
    mut connection: Connection<CountedCompat, Bytes>,
) -> LinkEnd {
    let closing = &context.shared.closing;
    loop {
        let accepted = if closing.is_set() {
            connection.graceful_shutdown();
            connection.accept().await
        } else {
            match closing.run_until_set(connection.accept()).await {
                Some(accepted) => accepted,
                None => continue,
            }
        };
        match accepted {
            Some(Ok((request, respond))) => start_stream(context, session, request, respond),
            Some(Err(error)) => return error.into(),
            None => return LinkEnd::PeerClosed,
        }
    }
}

fn start_stream<H: PeerHandler>(
    context: &Context<H>,
    session: &Rc<Session>,
    request: http::Request<RecvStream>,
    respond: SendResponse<Bytes>,
) {
    let stream = Stream {
        context: context.clone(),
        session: Rc::clone(session),
    };
    let session = Rc::clone(session);
    Tasks::spawn(&context.shared.tasks, async move {
        let served = session
            .ended
            .run_until_set(stream.serve(request, respond))
            .await;
        if let Some(Err(end)) = served {
            session.end(end);
        }
    });
}

/// One stream of an accepted connection.
struct Stream<H> {
    context: Context<H>,
    session: Rc<Session>,
}

impl<H: PeerHandler> Stream<H> {
    async fn serve(
        self,
        request: http::Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
    ) -> Result<(), LinkEnd> {
        let path = request.uri().path().to_owned();
        let body = request.into_body();
        match (path.as_str(), self.session.remote()) {
            (LINK_PATH, None) if !self.session.hello_received.replace(true) => {
                self.serve_link(body, respond).await
            }
            (REQUEST_PATH, Some(from)) => {
                let limit = self.shared().settings.request_timeout.duration();
                let served = timeout(limit, self.serve_request(&from, body, respond)).await;
                // A timeout ends only the stream of the request, not the connection: the sender
                // may have abandoned the request before sending it whole.
                served.unwrap_or(Ok(()))
            }
            _ => {
                self.shared().count(|c| c.refused_streams += 1);
                respond.send_reset(Reason::REFUSED_STREAM);
                Ok(())
            }
        }
    }

    fn shared(&self) -> &Shared {
        &self.context.shared
    }

    async fn serve_request(
        &self,
        from: &DaemonId,
        body: RecvStream,
        mut respond: SendResponse<Bytes>,
    ) -> Result<(), LinkEnd> {
        let mut reader = FrameReader::new(body);
        let request: PeerRequest = decode(&reader.expect().await?)?;
        self.shared().count(|c| c.requests_served += 1);
        let response = self.context.handler.on_request(from, request);
        let frame = encode_response(&response)?;
        let stream = respond.send_response(http::Response::new(()), false)?;
        let mut writer = FrameWriter::new(stream);
        writer.write_encoded(frame).await?;
        writer.finish()
    }

    async fn serve_link(
        &self,
        body: RecvStream,
        mut respond: SendResponse<Bytes>,
    ) -> Result<(), LinkEnd> {
        let mut reader = FrameReader::new(body);
        let hello_frame = reader.expect().await?;
        let stream = respond.send_response(http::Response::new(()), false)?;
        let mut writer = FrameWriter::new(stream);
        let hello = match check_hello(self.shared(), &hello_frame) {
            Ok(hello) => hello,
            Err(reason) => return self.refuse(writer, reason).await,
        };
        self.establish(&hello);
        let welcome = Welcome {
            incarnation: self.shared().settings.incarnation,
        };
        writer.write(&HelloReply::Welcome(welcome)).await?;
        self.handle_frames(&hello.daemon, reader, writer).await
    }

    /// Sends the reason for a refusal. The connection is then closed by the dialler, or here after
    /// the handshake timeout.
    async fn refuse(&self, mut writer: FrameWriter, reason: RefusalReason) -> Result<(), LinkEnd> {
        self.shared().count(|c| c.count_refusal(&reason));
        writer.write(&HelloReply::Refused(reason)).await?;
        writer.finish()
    }

    fn establish(&self, hello: &Hello) {
        let shared = self.shared();
        let now = BootClock::now();
        shared.count(|c| c.sessions_opened += 1);
        shared.replace_sessions(&self.session, &hello.daemon);
        *self.session.remote.borrow_mut() = Some(RemotePeer {
            daemon: hello.daemon.clone(),
            incarnation: hello.incarnation,
        });
        self.session
            .set_silence_limit(inbound_silence_limit(shared, hello));
        if let Some(entry) = shared.entry(&hello.daemon) {
            self.session.traffic.assign(&entry.traffic);
            shared.note_incarnation(&entry, hello.incarnation);
            entry.redial.notify_one();
        }
        shared.note_heard(&hello.daemon, now);
    }

    /// Handles frames until the peer ends the stream or this daemon's set closes.
    async fn handle_frames(
        &self,
        from: &DaemonId,
        mut reader: FrameReader,
        mut writer: FrameWriter,
    ) -> Result<(), LinkEnd> {
        let closing = &self.shared().closing;
        while let Some(next) = closing.run_until_set(reader.next()).await {
            let Some(frame) = next? else {
                return writer.finish();
            };
            let reply = self.handle_frame(from, &frame)?;
            if let Some(reply) = reply {
                writer.write(&reply).await?;
            }
        }
        // When the replies end, the peer sends its remaining messages and ends its side of the
        // stream.
        writer.finish()?;
        while let Some(frame) = reader.next().await? {
            self.handle_frame(from, &frame)?;
        }
        Ok(())
    }

    fn handle_frame(&self, from: &DaemonId, frame: &[u8]) -> Result<Option<LinkReply>, LinkEnd> {
        let frame: LinkFrame = decode(frame)?;
        let now = BootClock::now();
        self.session.last_heard.set(now);
        self.shared().note_heard(from, now);
        match frame {
            LinkFrame::Heartbeat { sequence } => Ok(Some(LinkReply::HeartbeatAck { sequence })),
            LinkFrame::Message(message) => Ok(self.handle_message(from, message)),
        }
    }

    fn handle_message(&self, from: &DaemonId, message: PeerMessage) -> Option<LinkReply> {
        self.shared().count(|c| c.messages_received += 1);
        match message {
            PeerMessage::Withdrawal(withdrawal) => {
                let key = withdrawal.key.clone();
                let message = PeerMessage::Withdrawal(withdrawal);
                let is_accepted = self.context.accept_withdrawal(from, message);
                is_accepted.then_some(LinkReply::WithdrawalAck { key })
            }
            message => {
                self.context.handler.on_message(from, message);
                None
            }
        }
    }
}

fn encode_response(response: &PeerResponse) -> Result<Vec<u8>, LinkEnd> {
    let mut frame = Vec::new();
    if encode(response, &mut frame).is_err() {
        let too_large = PeerResponse::Unavailable(UnavailableReason::TooLarge);
        encode(&too_large, &mut frame)?;
    }
    Ok(frame)
}

fn inbound_silence_limit(shared: &Shared, hello: &Hello) -> Duration {
    let timing = shared.settings.link_timing(&hello.zone);
    let missed = hello
        .heartbeat_interval
        .duration()
        .saturating_mul(INBOUND_MISSED_HEARTBEATS);
    missed
        .max(timing.silence_timeout.duration())
        .min(MAX_INBOUND_SILENCE)
}

fn check_hello(shared: &Shared, frame: &[u8]) -> Result<Hello, RefusalReason> {
    let settings = &shared.settings;
    let hello = Hello::read(frame).map_err(|error| match error {
        HelloError::Version => RefusalReason::ProtocolVersion {
            supported: PROTOCOL_VERSION,
        },
        HelloError::Malformed => RefusalReason::Malformed,
    })?;
    let latest = shared.latest_incarnation(&hello.daemon);
    match latest {
        _ if hello.cluster != settings.cluster.as_str() => Err(RefusalReason::ClusterName),
        _ if !settings.token.matches(&hello.token) => Err(RefusalReason::Token),
        _ if hello.expected != settings.daemon => Err(RefusalReason::WrongDaemon {
            found: settings.daemon.clone(),
        }),
        Some(latest) if hello.incarnation < latest => {
            Err(RefusalReason::StaleIncarnation { latest })
        }
        _ => Ok(hello),
    }
}
