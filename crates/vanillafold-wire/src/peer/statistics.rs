//! Counts of what peers sent, were sent, and were refused.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use vanillafold_types::DaemonId;

use super::error::LinkEnd;
use super::hello::RefusalReason;

/// Bytes on the sockets to and from one peer, HTTP/2 framing included, TCP/IP headers not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerTraffic {
    /// The peer.
    pub daemon: DaemonId,
    /// Bytes sent to it.
    pub sent_bytes: u64,
    /// Bytes received from it.
    pub received_bytes: u64,
}

/// Counts since the set was opened.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerCounters {
    /// Connections dialled whose handshake was completed.
    pub links_opened: u64,
    /// Connections accepted whose handshake was completed.
    pub sessions_opened: u64,
    /// Dials that the other side did not take.
    pub connect_failures: u64,
    /// Dials that were not open in time.
    pub connect_timeouts: u64,
    /// Handshakes not completed in time, on either side.
    pub handshake_timeouts: u64,
    /// Connections given up because nothing was heard, on either side.
    pub silent_links: u64,
    /// Connections ended by an error of HTTP/2 or the socket.
    pub http2_failures: u64,
    /// Connections ended in order by the peer.
    pub closed_by_peer: u64,
    /// Accepted connections that a newer one from the same peer replaced.
    pub replaced_sessions: u64,
    /// Frames longer than [`MAX_MESSAGE_BYTES`](crate::MAX_MESSAGE_BYTES).
    pub oversized_frames: u64,
    /// Frames that could not be decoded.
    pub malformed_frames: u64,
    /// Accepted connections refused for their protocol version.
    pub refused_version: u64,
    /// Accepted connections refused for their cluster name.
    pub refused_cluster: u64,
    /// Accepted connections refused for their shared token.
    pub refused_token: u64,
    /// Accepted connections that looked for another daemon.
    pub refused_wrong_daemon: u64,
    /// Accepted connections refused for an older incarnation.
    pub refused_stale: u64,
    /// Accepted connections refused for an unreadable hello.
    pub refused_malformed: u64,
    /// Connections closed at once because too many were open.
    pub refused_too_many: u64,
    /// Streams reset because the hello had not been answered, or of an unknown path.
    pub refused_streams: u64,
    /// Dials that the peer refused, for whatever reason.
    pub refused_by_peer: u64,
    /// Dials answered by an older incarnation than seen before.
    pub stale_answers: u64,
    /// Messages handed to the handler.
    pub messages_received: u64,
    /// Withdrawals that were new here.
    pub withdrawals_learnt: u64,
    /// Withdrawals that were known here.
    pub withdrawals_repeated: u64,
    /// Withdrawals not taken in because too many wait for the log.
    pub withdrawals_refused: u64,
    /// Messages refused because the peer's queue was full.
    pub queue_refusals: u64,
    /// State summaries that a newer one replaced before they were sent.
    pub coalesced_states: u64,
    /// Load entries that a newer one replaced before they were sent.
    pub coalesced_load_entries: u64,
    /// Load entries dropped because too many VMs waited for the peer.
    pub dropped_load_entries: u64,
    /// Requests sent to peers.
    pub requests_sent: u64,
    /// Requests that failed or were not answered in time.
    pub requests_failed: u64,
    /// Requests answered for peers.
    pub requests_served: u64,
    /// Times that this process was away for longer than its tick allows.
    pub pauses: u64,
    /// How long it was away the last time, in milliseconds.
    pub last_pause_ms: u64,
}

/// Counts and bytes at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatistics {
    /// Counts since the set was opened.
    pub counters: PeerCounters,
    /// Bytes sent on all sockets.
    pub sent_bytes: u64,
    /// Bytes received on all sockets.
    pub received_bytes: u64,
    /// Tasks that run for the set.
    pub tasks: usize,
    /// Bytes of each member, sorted by daemon.
    pub peers: Vec<PeerTraffic>,
}

impl PeerCounters {
    pub(crate) fn count_end(&mut self, end: &LinkEnd) {
        let counter = match end {
            LinkEnd::Connect(_) => &mut self.connect_failures,
            LinkEnd::ConnectTimeout => &mut self.connect_timeouts,
            LinkEnd::HandshakeTimeout => &mut self.handshake_timeouts,
            LinkEnd::Refused(_) => &mut self.refused_by_peer,
            LinkEnd::StaleIncarnation => &mut self.stale_answers,
            LinkEnd::Silent => &mut self.silent_links,
            LinkEnd::Oversized => &mut self.oversized_frames,
            LinkEnd::Malformed => &mut self.malformed_frames,
            LinkEnd::Http2(_) | LinkEnd::HttpStatus(_) => &mut self.http2_failures,
            LinkEnd::PeerClosed => &mut self.closed_by_peer,
            LinkEnd::Replaced => &mut self.replaced_sessions,
            LinkEnd::Closed => return,
        };
        *counter += 1;
    }

    pub(crate) fn count_refusal(&mut self, reason: &RefusalReason) {
        let counter = match reason {
            RefusalReason::ProtocolVersion { .. } => &mut self.refused_version,
            RefusalReason::ClusterName => &mut self.refused_cluster,
            RefusalReason::Token => &mut self.refused_token,
            RefusalReason::WrongDaemon { .. } => &mut self.refused_wrong_daemon,
            RefusalReason::StaleIncarnation { .. } => &mut self.refused_stale,
            RefusalReason::Malformed => &mut self.refused_malformed,
        };
        *counter += 1;
    }
}

/// Bytes of a connection, which also count for its peer and for the set.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    sent_bytes: Cell<u64>,
    received_bytes: Cell<u64>,
    parent: RefCell<Option<Rc<Self>>>,
}

impl Traffic {
    pub(crate) fn child(parent: &Rc<Self>) -> Rc<Self> {
        let child = Self::default();
        *child.parent.borrow_mut() = Some(Rc::clone(parent));
        Rc::new(child)
    }

    pub(crate) fn sent_bytes(&self) -> u64 {
        self.sent_bytes.get()
    }

    pub(crate) fn received_bytes(&self) -> u64 {
        self.received_bytes.get()
    }

    pub(crate) fn add_sent(&self, bytes: u64) {
        self.sent_bytes.set(self.sent_bytes.get() + bytes);
        if let Some(parent) = &*self.parent.borrow() {
            parent.add_sent(bytes);
        }
    }

    pub(crate) fn add_received(&self, bytes: u64) {
        self.received_bytes.set(self.received_bytes.get() + bytes);
        if let Some(parent) = &*self.parent.borrow() {
            parent.add_received(bytes);
        }
    }

    /// Counts for a peer from now on, and the bytes of the handshake too.
    ///
    /// The peer's own parent must be the one that this one had.
    pub(crate) fn assign(&self, peer: &Rc<Self>) {
        peer.sent_bytes
            .set(peer.sent_bytes.get() + self.sent_bytes.get());
        peer.received_bytes
            .set(peer.received_bytes.get() + self.received_bytes.get());
        *self.parent.borrow_mut() = Some(Rc::clone(peer));
    }
}
