//! Requests to peers, each on its own HTTP/2 stream.

use std::rc::Rc;

use bytes::Bytes;
use h2::client::SendRequest;
use monoio::time::timeout;
use vanillafold_types::DaemonId;

use super::entry::PeerEntry;
use super::error::{LinkEnd, PeerError};
use super::frame::{FrameReader, FrameWriter, MAX_MESSAGE_BYTES, decode, encode};
use super::link::{REQUEST_PATH, request_head, response_body};
use super::message::MAX_CUSTOM_BYTES;
use super::request::{PeerRequest, PeerResponse};
use super::shared::Shared;

/// Maximum number of outstanding requests to one peer.
const MAX_OUTSTANDING_REQUESTS: usize = 16;

impl Shared {
    /// Sends a request to a member and waits for the answer, at most for the request timeout.
    pub(crate) async fn request(
        &self,
        daemon: &DaemonId,
        request: PeerRequest,
    ) -> Result<PeerResponse, PeerError> {
        let entry = self.member(daemon)?;
        let frame = encode_request(&request)?;
        let requester = entry.requester().ok_or_else(|| PeerError::NotConnected {
            daemon: daemon.clone(),
        })?;
        let _outstanding = OutstandingRequest::begin(&entry)?;
        self.count(|c| c.requests_sent += 1);
        let limit = self.settings.request_timeout;
        let error = match timeout(limit.duration(), exchange(requester, frame)).await {
            Ok(Ok(response)) => return Ok(response),
            Ok(Err(end)) => PeerError::Link {
                daemon: daemon.clone(),
                end,
            },
            Err(_) => PeerError::Timeout {
                daemon: daemon.clone(),
                timeout: limit,
            },
        };
        self.count(|c| c.requests_failed += 1);
        Err(error)
    }
}

/// Guard that counts a request as outstanding until it is dropped.
struct OutstandingRequest(Rc<PeerEntry>);

impl OutstandingRequest {
    fn begin(entry: &Rc<PeerEntry>) -> Result<Self, PeerError> {
        let outstanding = entry.outstanding_requests.get();
        if outstanding >= MAX_OUTSTANDING_REQUESTS {
            return Err(PeerError::Busy {
                daemon: entry.daemon().clone(),
                limit: MAX_OUTSTANDING_REQUESTS,
            });
        }
        entry.outstanding_requests.set(outstanding + 1);
        Ok(Self(Rc::clone(entry)))
    }
}

impl Drop for OutstandingRequest {
    fn drop(&mut self) {
        self.0
            .outstanding_requests
            .set(self.0.outstanding_requests.get() - 1);
    }
}

fn encode_request(request: &PeerRequest) -> Result<Vec<u8>, PeerError> {
    if let PeerRequest::Custom(bytes) = request
        && bytes.len() > MAX_CUSTOM_BYTES
    {
        return Err(PeerError::TooLarge {
            limit_bytes: MAX_CUSTOM_BYTES,
        });
    }
    let mut frame = Vec::new();
    encode(request, &mut frame).map_err(|_| PeerError::TooLarge {
        limit_bytes: MAX_MESSAGE_BYTES,
    })?;
    Ok(frame)
}

async fn exchange(requester: SendRequest<Bytes>, frame: Vec<u8>) -> Result<PeerResponse, LinkEnd> {
    let mut requester = requester.ready().await?;
    let (response, stream) = requester.send_request(request_head(REQUEST_PATH), false)?;
    let mut writer = FrameWriter::new(stream);
    writer.write_encoded(frame).await?;
    writer.finish()?;
    let mut reader = FrameReader::new(response_body(response.await?)?);
    let answer = reader.expect().await?;
    Ok(decode(&answer)?)
}
