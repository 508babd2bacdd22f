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

/// A counter with the name of its field.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NamedCounter {
    /// The name of the field.
    pub name: &'static str,
    /// Its value.
    pub value: u64,
}

macro_rules! counters {
    ($($(#[$doc:meta])* $field:ident,)+) => {
        /// Counts since the set was opened.
        #[derive(Debug, Clone, Default, PartialEq, Eq)]
        pub struct PeerCounters {
            $($(#[$doc])* pub $field: u64,)+
        }

        impl PeerCounters {
            /// All counters, for export.
            #[must_use]
            pub fn named(&self) -> Vec<NamedCounter> {
                vec![$(NamedCounter { name: stringify!($field), value: self.$field },)+]
            }
        }
    };
}

counters! {
    /// Connections dialled whose handshake was completed.
    links_opened,
    /// Connections accepted whose handshake was completed.
    sessions_opened,
    /// Dials that the other side did not take.
    connect_failures,
    /// Dials that were not open in time.
    connect_timeouts,
    /// Handshakes not completed in time, on either side.
    handshake_timeouts,
    /// Connections given up because nothing was heard, on either side.
    silent_links,
    /// Connections ended by an error of HTTP/2 or the socket.
    http2_failures,
    /// Connections ended in order by the peer.
    closed_by_peer,
    /// Accepted connections that a newer one from the same peer replaced.
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
    /// Accepted connections that looked for another daemon.
    refused_wrong_daemon,
    /// Accepted connections refused for an older incarnation.
    refused_stale,
    /// Accepted connections refused for an unreadable hello.
    refused_malformed,
    /// Connections closed at once because too many were open.
    refused_too_many,
    /// Streams reset because the hello had not been answered, or of an unknown path.
    refused_streams,
    /// Dials that the peer refused, for whatever reason.
    refused_by_peer,
    /// Dials answered by an older incarnation than seen before.
    stale_answers,
    /// Messages handed to the handler.
    messages_received,
    /// Withdrawals that were new here.
    withdrawals_learnt,
    /// Withdrawals that were known here.
    withdrawals_repeated,
    /// Withdrawals not taken in because too many wait for the log.
    withdrawals_refused,
    /// Messages refused because the peer's queue was full.
    queue_refusals,
    /// State summaries that a newer one replaced before they were sent.
    coalesced_states,
    /// Load entries that a newer one replaced before they were sent.
    coalesced_load_entries,
    /// Load entries dropped because too many VMs waited for the peer.
    dropped_load_entries,
    /// Requests sent to peers.
    requests_sent,
    /// Requests that failed or were not answered in time.
    requests_failed,
    /// Requests answered for peers.
    requests_served,
    /// Times that this process was away for longer than its tick allows.
    pauses,
    /// How long it was away the last time, in milliseconds.
    last_pause_ms,
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
