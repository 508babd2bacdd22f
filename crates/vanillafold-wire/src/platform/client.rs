//! The HTTP client of the platform's API.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode};
use vanillafold_types::{Millis, Offset, VmId, ZoneId};

use super::{
    AppendError, ListVersion, LogBatch, LogRecord, PlatformLog, ReadError, VmChanges, VmEntry,
    VmList, VmOperations, decode_frames,
};
use crate::http::{Client, ClientError};

/// Maximum number of idle connections that are kept. More may be in use at the same time.
const MAX_IDLE_CONNECTIONS: usize = 4;

const LOG_OFFSET: &str = "log-offset";
const LOG_OLDEST: &str = "log-oldest";
const LOG_NEXT: &str = "log-next";
const VMS_VERSION: &str = "vms-version";

/// An HTTP client of the platform. Clones share the idle connections.
///
/// Each request in progress has a connection of its own, so a read that waits for a record delays
/// no append.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    address: SocketAddr,
    timeout: Duration,
    idle: RefCell<Vec<Client>>,
}

impl HttpPlatform {
    /// Creates a client of the platform at `address`. A request fails if its answer takes longer
    /// than `timeout_ms`, plus the time that a read asks the platform to wait.
    #[must_use]
    pub fn new(address: SocketAddr, timeout_ms: Millis) -> Self {
        Self {
            shared: Rc::new(Shared {
                address,
                timeout: timeout_ms.duration(),
                idle: RefCell::default(),
            }),
        }
    }

    /// Returns the platform's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    async fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<Response<Bytes>, ClientError> {
        let timeout = self.shared.timeout + wait;
        let mut client = self.take_client(timeout);
        let result = client.request(method, path, &HeaderMap::new(), body).await;
        let mut idle = self.shared.idle.borrow_mut();
        match result {
            Ok(_) if idle.len() < MAX_IDLE_CONNECTIONS => idle.push(client),
            Ok(_) => {}
            // A fault that broke this connection has probably broken the idle ones too.
            Err(_) => idle.clear(),
        }
        result
    }

    fn take_client(&self, timeout: Duration) -> Client {
        let idle = self.shared.idle.borrow_mut().pop();
        idle.unwrap_or_else(|| Client::new(self.shared.address, timeout))
            .with_timeout(timeout)
    }

    async fn request_operation(&self, path: &str) -> Result<(), ReadError> {
        let answer = self
            .request(Method::POST, path, Bytes::new(), Duration::ZERO)
            .await
            .map_err(unavailable)?;
        match answer.status() {
            status if status.is_success() => Ok(()),
            _ => Err(unavailable(error_text(&answer))),
        }
    }
}

// --- The log -----------------------------------------------------------------------------------

impl PlatformLog for HttpPlatform {
    async fn append(&self, stream: &str, record: Bytes) -> Result<Offset, AppendError> {
        let path = format!("/log/{stream}");
        let answer = self
            .request(Method::POST, &path, record, Duration::ZERO)
            .await
            .map_err(|error| append_error(&error))?;
        match answer.status() {
            StatusCode::OK => {
                parse_header(&answer, LOG_OFFSET).map_err(|problem| AppendError::Unknown {
                    reason: problem.to_string(),
                })
            }
            status if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
                Err(AppendError::NotAppended {
                    reason: error_text(&answer),
                })
            }
            _ => Err(AppendError::Unknown {
                reason: error_text(&answer),
            }),
        }
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        max_records: u32,
        wait_ms: Millis,
    ) -> Result<LogBatch, ReadError> {
        let wait = wait_ms.get();
        let path = format!("/log/{stream}?from={from}&max={max_records}&wait_ms={wait}");
        let answer = self
            .request(Method::GET, &path, Bytes::new(), wait_ms.duration())
            .await
            .map_err(unavailable)?;
        match answer.status() {
            StatusCode::OK => parse_batch(answer, from),
            StatusCode::GONE => Err(ReadError::Dropped {
                oldest: parse_header(&answer, LOG_OLDEST)?,
            }),
            _ => Err(unavailable(error_text(&answer))),
        }
    }
}

fn append_error(error: &ClientError) -> AppendError {
    let reason = error.to_string();
    match error {
        ClientError::Connect { .. } => AppendError::NotAppended { reason },
        _ => AppendError::Unknown { reason },
    }
}

fn parse_batch(answer: Response<Bytes>, from: Offset) -> Result<LogBatch, ReadError> {
    let oldest = parse_header(&answer, LOG_OLDEST)?;
    let next = parse_header(&answer, LOG_NEXT)?;
    let records = decode_frames(answer.into_body()).map_err(malformed)?;
    let expected = std::iter::successors(Some(from), |offset| Some(offset.next()));
    match records
        .iter()
        .zip(expected)
        .find(|(record, expected)| record.offset != *expected)
    {
        Some((LogRecord { offset, .. }, expected)) => Err(malformed(format!(
            "expected the record at offset {expected}, found offset {offset}"
        ))),
        None => Ok(LogBatch {
            oldest,
            next,
            records,
        }),
    }
}

// --- The VMs -----------------------------------------------------------------------------------

impl VmList for HttpPlatform {
    async fn changes(
        &self,
        zone: Option<&ZoneId>,
        since: ListVersion,
    ) -> Result<VmChanges, ReadError> {
        let since = since.0;
        let path = match zone {
            Some(zone) => format!("/vms?zone={zone}&since={since}"),
            None => format!("/vms?since={since}"),
        };
        let answer = self
            .request(Method::GET, &path, Bytes::new(), Duration::ZERO)
            .await
            .map_err(unavailable)?;
        match answer.status() {
            StatusCode::OK => parse_changes(&answer),
            _ => Err(unavailable(error_text(&answer))),
        }
    }
}

impl VmOperations for HttpPlatform {
    async fn drain(&self, vm: &VmId) -> Result<(), ReadError> {
        self.request_operation(&format!("/vms/{vm}/drain")).await
    }

    async fn reboot(&self, vm: &VmId) -> Result<(), ReadError> {
        self.request_operation(&format!("/vms/{vm}/reboot")).await
    }
}

fn parse_changes(answer: &Response<Bytes>) -> Result<VmChanges, ReadError> {
    let version = ListVersion(parse_header(answer, VMS_VERSION)?);
    let text = std::str::from_utf8(answer.body()).map_err(malformed)?;
    let vms: Result<Vec<VmEntry>, _> = text.lines().map(str::parse).collect();
    let vms = vms.map_err(malformed)?;
    Ok(VmChanges { version, vms })
}

// --- Answers -----------------------------------------------------------------------------------

/// Parses the number in a header that the answer must have.
fn parse_header<T: FromStr>(answer: &Response<Bytes>, name: &str) -> Result<T, ReadError> {
    answer
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| malformed(format!("expected a number in the header {name}")))
}

/// Returns the status of an answer that reports an error, and its text if it has one.
fn error_text(answer: &Response<Bytes>) -> String {
    let text = String::from_utf8_lossy(answer.body());
    match text.trim() {
        "" => answer.status().to_string(),
        text => format!("{}: {text}", answer.status()),
    }
}

fn unavailable(problem: impl fmt::Display) -> ReadError {
    ReadError::Unavailable {
        reason: problem.to_string(),
    }
}

fn malformed(problem: impl fmt::Display) -> ReadError {
    ReadError::Malformed {
        reason: problem.to_string(),
    }
}
