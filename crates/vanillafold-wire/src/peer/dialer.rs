//! The task of one peer: dials it, runs the link and dials again after the link ends.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::{Connection, SendRequest};
use monoio::net::TcpStream;
use monoio::time::{sleep, timeout};

use super::backoff::Backoff;
use super::clock::{BootClock, BootMillis};
use super::counted::{CountedCompat, wrap};
use super::entry::PeerEntry;
use super::error::LinkEnd;
use super::frame::{FrameReader, FrameWriter, decode, encode};
use super::hello::{Hello, HelloPrefix, HelloReply, Welcome};
use super::link::{LINK_PATH, LinkFrame, LinkReply, client_builder, request_head, response_body};
use super::outbox::Outbox;
use super::settings::LinkTiming;
use super::shared::Shared;
use super::statistics::Traffic;
use super::sync::Latch;
use super::tasks::Tasks;

/// Dials a peer and runs the link to it, again and again, until the entry is retired.
pub(crate) async fn run_peer(shared: Rc<Shared>, entry: Rc<PeerEntry>) {
    let settings = &shared.settings;
    let mut backoff = Backoff::new(
        settings.backoff_min,
        settings.backoff_max,
        &settings.daemon,
        entry.daemon(),
    );
    while !entry.retired.is_set() {
        let started = BootClock::now();
        let end = run_link(&shared, &entry).await;
        let lasted = BootClock::now().since(started);
        log::debug!("link to daemon {} ended: {end}", entry.daemon());
        shared.count(|c| c.count_end(&end));
        entry.note_end(end.clone());
        shared.changed.notify_one();
        if lasted > entry.timing.silence_timeout.duration() {
            backoff.reset();
        }
        match end {
            LinkEnd::Silent => {}
            LinkEnd::Refused(_) | LinkEnd::StaleIncarnation => {
                let wait = backoff.jitter(settings.refused_backoff.get());
                entry.retired.run_until_set(sleep(wait)).await;
            }
            _ => wait_to_redial(&entry, backoff.next_wait()).await,
        }
    }
}

async fn wait_to_redial(entry: &PeerEntry, wait: Duration) {
    monoio::select! {
        () = entry.retired.wait() => {}
        () = entry.redial.notified() => {}
        () = sleep(wait) => {}
    }
}

async fn run_link(shared: &Rc<Shared>, entry: &Rc<PeerEntry>) -> LinkEnd {
    let Some(opened) = entry.retired.run_until_set(open_link(shared, entry)).await else {
        return LinkEnd::Closed;
    };
    match opened {
        Ok(link) => link.run(shared, entry).await,
        Err(end) => end,
    }
}

async fn open_link(shared: &Rc<Shared>, entry: &Rc<PeerEntry>) -> Result<Link, LinkEnd> {
    let settings = &shared.settings;
    let connect = TcpStream::connect_addr(entry.address.address);
    let tcp = timeout(settings.connect_timeout.duration(), connect)
        .await
        .map_err(|_| LinkEnd::ConnectTimeout)?
        .map_err(|error| LinkEnd::Connect(error.kind()))?;
    let io = wrap(tcp, Traffic::child(&entry.traffic))
        .map_err(|error| LinkEnd::Connect(error.kind()))?;
    timeout(
        settings.handshake_timeout.duration(),
        perform_handshake(shared, entry, io),
    )
    .await
    .map_err(|_| LinkEnd::HandshakeTimeout)?
}

async fn perform_handshake(
    shared: &Rc<Shared>,
    entry: &Rc<PeerEntry>,
    io: CountedCompat,
) -> Result<Link, LinkEnd> {
    let (requester, connection) = client_builder().handshake(io).await?;
    let driver = Driver::start(&shared.tasks, connection);
    let mut requester = requester.ready().await?;
    let (response, stream) = requester.send_request(request_head(LINK_PATH), false)?;
    let mut writer = FrameWriter::new(stream);
    writer.write(&hello(shared, entry)).await?;
    let mut reader = FrameReader::new(response_body(response.await?)?);
    let welcome = match decode(&reader.expect().await?)? {
        HelloReply::Welcome(welcome) => welcome,
        HelloReply::Refused(reason) => return Err(LinkEnd::Refused(reason)),
    };
    if entry.incarnation() > Some(welcome.incarnation) {
        return Err(LinkEnd::StaleIncarnation);
    }
    Ok(Link {
        welcome,
        requester,
        writer,
        reader,
        driver,
    })
}

fn hello(shared: &Shared, entry: &PeerEntry) -> Hello {
    let settings = &shared.settings;
    Hello {
        prefix: HelloPrefix::current(),
        cluster: settings.cluster.as_str().to_owned(),
        token: settings.token.expose().to_owned(),
        daemon: settings.daemon.clone(),
        zone: settings.zone.clone(),
        incarnation: settings.incarnation,
        expected: entry.daemon().clone(),
        heartbeat_interval: entry.timing.heartbeat_interval,
    }
}

/// Handle of the task that drives an HTTP/2 connection. Dropping the handle ends the task and
/// closes the socket, whatever the peer does.
#[derive(Debug)]
struct Driver {
    abort: Rc<Latch>,
    done: Rc<Latch>,
}

impl Driver {
    fn start(tasks: &Rc<Tasks>, connection: Connection<CountedCompat, Bytes>) -> Self {
        let driver = Self {
            abort: Rc::default(),
            done: Rc::default(),
        };
        let abort = Rc::clone(&driver.abort);
        let done = Rc::clone(&driver.done);
        Tasks::spawn(tasks, async move {
            if let Some(Err(error)) = abort.run_until_set(connection).await {
                log::debug!("HTTP/2 connection to a peer failed: {error}");
            }
            done.set();
        });
        driver
    }

    /// Waits up to `limit` for the connection to close gracefully.
    async fn finish(self, limit: Duration) {
        // After the limit, dropping `self` ends the connection.
        let _ = timeout(limit, self.done.wait()).await;
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        self.abort.set();
    }
}

/// When a reply last came on the link, and the latest heartbeat that was sent.
#[derive(Debug)]
struct LinkClock {
    last_heard: Cell<BootMillis>,
    sent_sequence: Cell<u64>,
    sent_at: Cell<BootMillis>,
}

impl LinkClock {
    fn start(now: BootMillis) -> Self {
        Self {
            last_heard: Cell::new(now),
            sent_sequence: Cell::new(0),
            sent_at: Cell::new(now),
        }
    }

    fn next_heartbeat(&self, now: BootMillis) -> u64 {
        let sequence = self.sent_sequence.get() + 1;
        self.sent_sequence.set(sequence);
        self.sent_at.set(now);
        sequence
    }
}

/// A link whose handshake is complete.
#[derive(Debug)]
struct Link {
    welcome: Welcome,
    requester: SendRequest<Bytes>,
    writer: FrameWriter,
    reader: FrameReader,
    driver: Driver,
}

impl Link {
    async fn run(mut self, shared: &Shared, entry: &PeerEntry) -> LinkEnd {
        let now = BootClock::now();
        let clock = LinkClock::start(now);
        shared.count(|c| c.links_opened += 1);
        shared.note_incarnation(entry, self.welcome.incarnation);
        entry.note_heard(now);
        entry.link_up(self.requester);
        let end = monoio::select! {
            end = watch_silence(entry, &clock) => end,
            end = read_replies(shared, entry, &clock, &mut self.reader) => into_link_end(end),
            end = write_messages(entry, &clock, &mut self.writer) => into_link_end(end),
        };
        entry.link_down();
        if end == LinkEnd::Closed {
            let limit = shared.settings.close_timeout.duration();
            let drain = read_replies(shared, entry, &clock, &mut self.reader);
            // The result does not matter, as the time for draining is limited.
            let _ = timeout(limit, drain).await;
            drop((self.reader, self.writer));
            self.driver.finish(limit).await;
        }
        end
    }
}

fn into_link_end(result: Result<Infallible, LinkEnd>) -> LinkEnd {
    match result {
        Ok(never) => match never {},
        Err(end) => end,
    }
}

/// Returns once no reply has come on this link for the silence timeout.
async fn watch_silence(entry: &PeerEntry, clock: &LinkClock) -> LinkEnd {
    let limit = entry.timing.silence_timeout.duration();
    loop {
        let now = BootClock::now();
        let deadline = clock.last_heard.get().plus(limit);
        if now >= deadline {
            return LinkEnd::Silent;
        }
        sleep(deadline.since(now)).await;
    }
}

async fn read_replies(
    shared: &Shared,
    entry: &PeerEntry,
    clock: &LinkClock,
    reader: &mut FrameReader,
) -> Result<Infallible, LinkEnd> {
    loop {
        let reply = decode(&reader.expect().await?)?;
        let now = BootClock::now();
        clock.last_heard.set(now);
        if entry.note_heard(now) {
            shared.changed.notify_one();
        }
        match reply {
            LinkReply::HeartbeatAck { sequence } if sequence == clock.sent_sequence.get() => {
                entry.round_trip.set(Some(now.since(clock.sent_at.get())));
            }
            LinkReply::HeartbeatAck { .. } => {}
            LinkReply::WithdrawalAck { key } => entry.outbox.borrow_mut().remove_withdrawal(&key),
        }
    }
}

/// When the next heartbeat and the next reports of a link are due.
#[derive(Debug)]
struct Schedule {
    timing: LinkTiming,
    heartbeat_at: BootMillis,
    early_heartbeat_at: BootMillis,
    report_at: BootMillis,
}

impl Schedule {
    const fn start(timing: LinkTiming, now: BootMillis) -> Self {
        Self {
            timing,
            heartbeat_at: now,
            early_heartbeat_at: now,
            report_at: now,
        }
    }

    /// Returns whether to send a heartbeat now. A heartbeat that shares a packet with other frames
    /// saves a packet, so it may be sent half an interval early.
    fn heartbeat_is_due(&self, now: BootMillis, with_other_frames: bool) -> bool {
        now >= self.heartbeat_at || (with_other_frames && now >= self.early_heartbeat_at)
    }

    fn heartbeat_sent(&mut self, now: BootMillis) {
        let interval = self.timing.heartbeat_interval.duration();
        self.heartbeat_at = now.plus(interval);
        self.early_heartbeat_at = now.plus(interval / 2);
    }

    fn reports_sent(&mut self, now: BootMillis) {
        self.report_at = now.plus(self.timing.report_interval.duration());
    }

    fn resend_after(&self) -> Duration {
        self.timing.silence_timeout.duration()
    }

    fn next_due(&self, outbox: &Outbox) -> BootMillis {
        let resend = outbox.next_resend(self.resend_after());
        let report = outbox.has_reports().then_some(self.report_at);
        [resend, report]
            .into_iter()
            .flatten()
            .fold(self.heartbeat_at, BootMillis::min)
    }
}

async fn write_messages(
    entry: &PeerEntry,
    clock: &LinkClock,
    writer: &mut FrameWriter,
) -> Result<Infallible, LinkEnd> {
    let mut schedule = Schedule::start(entry.timing, BootClock::now());
    loop {
        let now = BootClock::now();
        let batch = next_batch(entry, clock, &mut schedule, now)?;
        if !batch.is_empty() {
            writer.write_encoded(batch).await?;
            continue;
        }
        if entry.retired.is_set() {
            writer.finish()?;
            return Err(LinkEnd::Closed);
        }
        let due = schedule.next_due(&entry.outbox.borrow());
        wait_until_due(entry, due.since(now)).await;
    }
}

fn next_batch(
    entry: &PeerEntry,
    clock: &LinkClock,
    schedule: &mut Schedule,
    now: BootMillis,
) -> Result<Vec<u8>, LinkEnd> {
    let mut batch = Vec::new();
    let mut outbox = entry.outbox.borrow_mut();
    if now >= schedule.report_at && outbox.take_reports(&mut batch)? {
        schedule.reports_sent(now);
    }
    outbox.take_immediate(now, schedule.resend_after(), &mut batch)?;
    if schedule.heartbeat_is_due(now, !batch.is_empty()) {
        let sequence = clock.next_heartbeat(now);
        encode(&LinkFrame::Heartbeat { sequence }, &mut batch)?;
        schedule.heartbeat_sent(now);
    }
    Ok(batch)
}

async fn wait_until_due(entry: &PeerEntry, wait: Duration) {
    monoio::select! {
        () = entry.retired.wait() => {}
        () = entry.outbox_ready.notified() => {}
        () = sleep(wait) => {}
    }
}
