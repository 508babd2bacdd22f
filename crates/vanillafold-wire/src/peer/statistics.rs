//! Counters and byte counts of the peer protocol.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use vanillafold_types::DaemonId;

use super::error::LinkEnd;
use super::hello::RefusalReason;

/// Bytes on the sockets to and from one peer, with HTTP/2 framing but without TCP/IP headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerTraffic {
    /// The daemon at the other end.
    pub daemon: DaemonId,
    /// Bytes sent to the peer.
    pub sent_bytes: u64,
    /// Bytes received from the peer.
    pub received_bytes: u64,
}

/// A counter with the field name under which it is exported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NamedCounter {
    /// The name of the field in [`PeerCounters`].
    pub name: &'static str,
    /// The value of the counter.
    pub value: u64,
}

macro_rules! counters {
    ($($(#[$doc:meta])* $field:ident,)+) => {
        /// Counters since the set was opened. They are exported under their field names.
        #[derive(Debug, Clone, Default, PartialEq, Eq)]
        pub struct PeerCounters {
            $($(#[$doc])* pub $field: u64,)+
        }

        impl PeerCounters {
            /// Returns all counters with their names, for export.
            #[must_use]
            pub fn named(&self) -> Vec<NamedCounter> {
                vec![$(NamedCounter { name: stringify!($field), value: self.$field },)+]
            }
        }
    };
}

counters! {
    /// Dialled connections whose handshake was completed.
    links_opened,
    /// Accepted connections whose handshake was completed.
    sessions_opened,
    /// Connections that could not be established or set up.
    connect_failures,
    /// Dials not established within the connect timeout.
    connect_timeouts,
    /// Handshakes not completed within the handshake timeout, on either side.
    handshake_timeouts,
    /// Connections closed because nothing was received in time, on either side.
    silent_links,
    /// Connections ended by an HTTP/2 or socket error or an unexpected HTTP status.
    http2_failures,
    /// Connections closed gracefully by the peer.
    closed_by_peer,
    /// Accepted connections replaced by a newer one from the same peer.
    replaced_sessions,
    /// Frames longer than [`MAX_MESSAGE_BYTES`](crate::MAX_MESSAGE_BYTES).
    oversized_frames,
    /// Frames that could not be decoded.
    malformed_frames,
    /// Accepted connections refused for their protocol version.
    refused_version,
    /// Accepted connections refused for their cluster name.
    refused_cluster,
    /// Accepted connections refused for their shared token.
    refused_token,
    /// Accepted connections refused because the dialler expected another daemon.
    refused_wrong_daemon,
    /// Accepted connections refused for an earlier incarnation than seen before.
    refused_stale,
    /// Accepted connections refused for a hello that could not be decoded.
    refused_malformed,
    /// Accepted connections closed at once because too many were open.
    refused_too_many,
    /// Streams reset because of an unknown path, a request before the hello was accepted, or a
    /// second link on a connection.
    refused_streams,
    /// Dials whose hello the peer refused, for any reason.
    refused_by_peer,
    /// Dials answered by an earlier incarnation of the peer than seen before.
    stale_answers,
    /// Messages received, including withdrawals that were already known.
    messages_received,
    /// Withdrawals that this daemon did not know yet.
    withdrawals_learnt,
    /// Withdrawals that this daemon already knew.
    withdrawals_repeated,
    /// Withdrawals rejected because too many are not yet in the folded log.
    withdrawals_refused,
    /// Messages rejected because the queue of the peer was full.
    queue_refusals,
    /// State summaries replaced by a newer one before they were sent.
    coalesced_states,
    /// Load entries replaced by a newer one before they were sent.
    coalesced_load_entries,
    /// Load entries dropped because the unsent entries for the peer had reached their limit.
    dropped_load_entries,
    /// Requests sent to peers.
    requests_sent,
    /// Requests that were sent and failed or were not answered in time.
    requests_failed,
    /// Requests of peers that were handed to the handler.
    requests_served,
    /// Times that the supervisor was woken more than 500 ms late, because the process was stopped
    /// or suspended, or its thread blocked.
    pauses,
    /// Length of the last such pause, in milliseconds.
    last_pause_ms,
}

/// The counters and byte counts of a peer set at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatistics {
    /// Counters since the set was opened.
    pub counters: PeerCounters,
    /// Bytes sent on all peer sockets.
    pub sent_bytes: u64,
    /// Bytes received on all peer sockets.
    pub received_bytes: u64,
    /// Number of running tasks of the set.
    pub tasks: usize,
    /// Bytes sent to and received from each member, sorted by daemon.
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

/// Byte counts of a connection, a peer or the set; each byte also counts for all parents.
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

    /// Makes `peer` the parent of this connection and adds the bytes counted so far, those of the
    /// handshake, to it.
    ///
    /// The parent of `peer` must be the previous parent of this connection, which has already
    /// counted these bytes.
    pub(crate) fn assign(&self, peer: &Rc<Self>) {
        peer.sent_bytes
            .set(peer.sent_bytes.get() + self.sent_bytes.get());
        peer.received_bytes
            .set(peer.received_bytes.get() + self.received_bytes.get());
        *self.parent.borrow_mut() = Some(Rc::clone(peer));
    }
}
