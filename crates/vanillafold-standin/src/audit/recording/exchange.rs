//! Sends paired with how they ended.

use super::{ReceivedRow, Recording, SentRow};

/// A send and how it ended.
#[derive(Debug)]
pub(crate) struct Exchange<'a> {
    pub(crate) sent: &'a SentRow,
    pub(crate) received: &'a ReceivedRow,
}

/// Returns all sends that have an end. Repeats of one id are paired in order of time.
pub(crate) fn exchanges(recording: &Recording) -> impl Iterator<Item = Exchange<'_>> {
    recording.requests.iter().flat_map(|request| {
        let sent = recording.sent_of(request).iter();
        let received = recording.received_of(request).iter();
        sent.zip(received)
            .map(|(sent, received)| Exchange { sent, received })
    })
}
