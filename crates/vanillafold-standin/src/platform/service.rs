//! What each path of the platform answers.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use monoio::time::{sleep, timeout};
use vanillafold_types::{Offset, VmId};
use vanillafold_wire::http::Service;

use super::log::LogStream;
use super::query::Query;
use super::standin::Shared;
use super::vms::Vm;

/// The largest record, in bytes.
const MAX_RECORD_BYTES: usize = 65_536;

/// The longest that a read waits for a record.
const MAX_WAIT: Duration = Duration::from_secs(60);

type Answer = Response<Bytes>;

/// Answers the requests of one connection.
#[derive(Debug)]
pub(crate) struct PlatformService {
    pub(crate) shared: Rc<Shared>,
}

impl Service for PlatformService {
    async fn answer(&self, request: Request<Bytes>) -> Option<Answer> {
        let shared = &self.shared;
        if request.uri().path().starts_with("/control/") {
            return Some(shared.control_answer(&request));
        }
        let answer = shared.platform_answer(request);
        shared.unless_hung(answer).await?
    }
}

impl Shared {
    /// The answer, or `None` if the platform hung before the answer left.
    async fn unless_hung<T>(&self, answer: impl Future<Output = T>) -> Option<T> {
        if self.hung().await {
            return None;
        }
        let answer = answer.await;
        let slow = self.faults.borrow().slow_ms.duration();
        sleep_unless_zero(slow).await;
        match self.hung().await {
            true => None,
            false => Some(answer),
        }
    }

    /// Whether the platform hangs; if so, only after it has ceased to.
    async fn hung(&self) -> bool {
        let hangs = self.faults.borrow().hang;
        self.changed.until(|| !self.faults.borrow().hang).await;
        hangs
    }

    /// `None` if the answer is lost after the request took effect.
    async fn platform_answer(self: &Rc<Self>, request: Request<Bytes>) -> Option<Answer> {
        if self.faults.borrow().outage {
            return Some(outage());
        }
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        let query = head.uri.query().unwrap_or_default();
        let Some(query) = Query::parse(query) else {
            return Some(status(StatusCode::BAD_REQUEST));
        };
        let mut parts = path.trim_start_matches('/').split('/');
        let parts = (parts.next(), parts.next(), parts.next());
        match (&head.method, parts) {
            (&Method::POST, (Some("log"), Some(name), None)) => self.append(name, body),
            (&Method::GET, (Some("log"), Some(name), None)) => Some(self.read(name, &query).await),
            (&Method::GET, (Some("vms"), None, None)) => Some(self.list(&query)),
            (&Method::POST, (Some("vms"), Some(id), Some(order))) => Some(self.order(id, order)),
            _ => Some(status(StatusCode::NOT_FOUND)),
        }
    }

    fn stream(&self, name: &str) -> Option<&RefCell<LogStream>> {
        match name {
            "catalogue" => Some(&self.catalogue),
            "control" => Some(&self.control),
            _ => None,
        }
    }

    // --- The log -------------------------------------------------------------------------------

    fn append(&self, name: &str, record: Bytes) -> Option<Answer> {
        let Some(stream) = self.stream(name) else {
            return Some(status(StatusCode::NOT_FOUND));
        };
        let faults = self.faults.borrow();
        match record.len() {
            0 => return Some(status(StatusCode::BAD_REQUEST)),
            1..=MAX_RECORD_BYTES => {}
            _ => return Some(status(StatusCode::PAYLOAD_TOO_LARGE)),
        }
        let now = Instant::now();
        if !self.rate.borrow_mut().take(faults.appends_per_s, now) {
            return Some(status(StatusCode::TOO_MANY_REQUESTS));
        }
        let offset = stream.borrow_mut().append(record);
        stream.borrow_mut().retain(faults.retention_records);
        self.changed.notify_all();
        let lost = self
            .random
            .borrow_mut()
            .happens(faults.append_answer_loss_probability);
        match lost {
            true => None,
            false => Some(with_header(status(StatusCode::OK), "log-offset", &offset)),
        }
    }

    async fn read(&self, name: &str, query: &Query) -> Answer {
        let Some(stream) = self.stream(name) else {
            return status(StatusCode::NOT_FOUND);
        };
        let from = query.from.max(Offset::new(1));
        let wait = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
        let has_answer = || {
            let stream = stream.borrow();
            from < stream.next() || from < stream.oldest() || self.faults.borrow().outage
        };
        // Passing without a record is an answer too.
        let _ = timeout(wait, self.changed.until(has_answer)).await;
        let stream = stream.borrow();
        let answer = match () {
            () if self.faults.borrow().outage => return outage(),
            () if from < stream.oldest() => status(StatusCode::GONE),
            () if from >= stream.next() => status(StatusCode::OK),
            () => Response::new(stream.frames(from, query.max)),
        };
        let answer = with_header(answer, "log-oldest", &stream.oldest());
        with_header(answer, "log-next", &stream.next())
    }

    // --- The VMs -------------------------------------------------------------------------------

    fn list(&self, query: &Query) -> Answer {
        let lag = self.faults.borrow().list_lag_ms.duration();
        let mut vms = self.vms.borrow_mut();
        let (version, lines) = vms.list(query.zone.as_ref(), query.since, lag, Instant::now());
        with_header(Response::new(lines.into()), "vms-version", &version)
    }

    fn order(self: &Rc<Self>, id: &str, order: &str) -> Answer {
        let Ok(id) = id.parse::<VmId>() else {
            return status(StatusCode::NOT_FOUND);
        };
        let known = match order {
            "drain" => self.drain(&id),
            "reboot" => self.reboot(&id),
            _ => false,
        };
        match known {
            true => status(StatusCode::ACCEPTED),
            false => status(StatusCode::NOT_FOUND),
        }
    }

    // --- Controls ------------------------------------------------------------------------------

    fn control_answer(&self, request: &Request<Bytes>) -> Answer {
        let result = match (request.method(), request.uri().path()) {
            (&Method::POST, "/control/faults") => self.set_faults(request.body()),
            (&Method::POST, "/control/vms") => self.set_vms(request.body()),
            _ => return status(StatusCode::NOT_FOUND),
        };
        match result {
            Ok(()) => status(StatusCode::OK),
            Err(problem) => bad_request(problem),
        }
    }

    fn set_faults(&self, body: &[u8]) -> Result<(), String> {
        let faults = self.faults.borrow().changed(body);
        let faults = faults.map_err(|error| error.to_string())?;
        for stream in [&self.catalogue, &self.control] {
            stream.borrow_mut().retain(faults.retention_records);
        }
        self.faults.replace(faults);
        self.changed.notify_all();
        Ok(())
    }

    fn set_vms(&self, body: &[u8]) -> Result<(), String> {
        let text = String::from_utf8_lossy(body);
        let lines = text.lines().filter(|line| !line.trim().is_empty());
        let vms: Result<Vec<Vm>, _> = lines.map(Vm::parse).collect();
        let vms = vms.map_err(|error| error.to_string())?;
        let now = Instant::now();
        for vm in vms {
            self.vms.borrow_mut().set(vm, now);
        }
        Ok(())
    }
}

// --- Answers -----------------------------------------------------------------------------------

async fn sleep_unless_zero(duration: Duration) {
    if !duration.is_zero() {
        sleep(duration).await;
    }
}

fn status(status: StatusCode) -> Answer {
    let mut answer = Response::new(Bytes::new());
    *answer.status_mut() = status;
    answer
}

fn outage() -> Answer {
    status(StatusCode::SERVICE_UNAVAILABLE)
}

fn bad_request(problem: String) -> Answer {
    let mut answer = Response::new(Bytes::from(problem));
    *answer.status_mut() = StatusCode::BAD_REQUEST;
    answer
}

fn with_header(mut answer: Answer, name: &'static str, value: &impl fmt::Display) -> Answer {
    let value = HeaderValue::try_from(format!("{value}"));
    // A number or an identifier always fits a header.
    if let Ok(value) = value {
        answer.headers_mut().insert(name, value);
    }
    answer
}
