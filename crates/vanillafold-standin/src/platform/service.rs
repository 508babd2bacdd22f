//! The platform's HTTP API and its control API: what each path answers.

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
use super::standin::PlatformState;
use super::vms::Vm;

/// The largest record, in bytes.
const MAX_RECORD_BYTES: usize = 65_536;

/// The longest time that a read waits for a record, whatever `wait_ms` it asks for.
const MAX_WAIT: Duration = Duration::from_secs(60);

type Answer = Response<Bytes>;

/// Answers the requests of one connection.
#[derive(Debug)]
pub(crate) struct PlatformService {
    pub(crate) state: Rc<PlatformState>,
}

impl Service for PlatformService {
    async fn answer(&self, request: Request<Bytes>) -> Option<Answer> {
        let state = &self.state;
        if request.uri().path().starts_with("/control/") {
            return Some(state.answer_control(&request));
        }
        let answer = state.answer_platform(request);
        state.answer_unless_hanging(answer).await?
    }
}

impl PlatformState {
    /// Returns the answer, or `None` if the platform hung before the request took effect or before
    /// the answer was sent.
    async fn answer_unless_hanging<T>(&self, answer: impl Future<Output = T>) -> Option<T> {
        if self.wait_while_hanging().await {
            return None;
        }
        let answer = answer.await;
        let slow = self.faults.borrow().slow_ms.duration();
        sleep_unless_zero(slow).await;
        match self.wait_while_hanging().await {
            true => None,
            false => Some(answer),
        }
    }

    /// Returns whether the platform hangs now; if it does, returns only when it no longer hangs.
    async fn wait_while_hanging(&self) -> bool {
        let hangs = self.faults.borrow().hang;
        self.changed.wait_until(|| !self.faults.borrow().hang).await;
        hangs
    }

    /// Carries out a request and returns its answer; `None` if the answer is lost although the
    /// request took effect.
    async fn answer_platform(self: &Rc<Self>, request: Request<Bytes>) -> Option<Answer> {
        if self.faults.borrow().outage {
            return Some(unavailable());
        }
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        let query = head.uri.query().unwrap_or_default();
        let Some(query) = Query::parse(query) else {
            return Some(empty_answer(StatusCode::BAD_REQUEST));
        };
        let mut parts = path.trim_start_matches('/').split('/');
        let parts = (parts.next(), parts.next(), parts.next());
        match (&head.method, parts) {
            (&Method::POST, (Some("log"), Some(name), None)) => self.append_record(name, body),
            (&Method::GET, (Some("log"), Some(name), None)) => {
                Some(self.read_records(name, &query).await)
            }
            (&Method::GET, (Some("vms"), None, None)) => Some(self.list_vms(&query)),
            (&Method::POST, (Some("vms"), Some(id), Some(operation))) => {
                Some(self.apply_vm_operation(id, operation))
            }
            _ => Some(empty_answer(StatusCode::NOT_FOUND)),
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

    fn append_record(&self, name: &str, record: Bytes) -> Option<Answer> {
        let Some(stream) = self.stream(name) else {
            return Some(empty_answer(StatusCode::NOT_FOUND));
        };
        let faults = self.faults.borrow();
        match record.len() {
            0 => return Some(empty_answer(StatusCode::BAD_REQUEST)),
            1..=MAX_RECORD_BYTES => {}
            _ => return Some(empty_answer(StatusCode::PAYLOAD_TOO_LARGE)),
        }
        let now = Instant::now();
        if !self.rate.borrow_mut().try_take(faults.appends_per_s, now) {
            return Some(empty_answer(StatusCode::TOO_MANY_REQUESTS));
        }
        let offset = stream.borrow_mut().append(record);
        stream.borrow_mut().truncate_to(faults.retention_records);
        self.changed.notify_all();
        let lost = self
            .random
            .borrow_mut()
            .next_bool(faults.append_answer_loss_probability);
        match lost {
            true => None,
            false => Some(with_header(
                empty_answer(StatusCode::OK),
                "log-offset",
                &offset,
            )),
        }
    }

    async fn read_records(&self, name: &str, query: &Query) -> Answer {
        let Some(stream) = self.stream(name) else {
            return empty_answer(StatusCode::NOT_FOUND);
        };
        let from = query.from_offset.max(Offset::new(1));
        let wait = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
        let is_answerable = || {
            let stream = stream.borrow();
            from < stream.next_offset()
                || from < stream.oldest_offset()
                || self.faults.borrow().outage
        };
        // A read whose wait ends without a record is answered with an empty body.
        let _ = timeout(wait, self.changed.wait_until(is_answerable)).await;
        let stream = stream.borrow();
        let answer = match () {
            () if self.faults.borrow().outage => return unavailable(),
            () if from < stream.oldest_offset() => empty_answer(StatusCode::GONE),
            () if from >= stream.next_offset() => empty_answer(StatusCode::OK),
            () => Response::new(stream.encode_frames(from, query.max_records)),
        };
        let answer = with_header(answer, "log-oldest", &stream.oldest_offset());
        with_header(answer, "log-next", &stream.next_offset())
    }

    // --- VM list and operations ----------------------------------------------------------------

    fn list_vms(&self, query: &Query) -> Answer {
        let lag = self.faults.borrow().list_lag_ms.duration();
        let mut vms = self.vms.borrow_mut();
        let (version, lines) = vms.list(
            query.zone.as_ref(),
            query.since_version,
            lag,
            Instant::now(),
        );
        with_header(Response::new(lines.into()), "vms-version", &version)
    }

    fn apply_vm_operation(self: &Rc<Self>, id: &str, operation: &str) -> Answer {
        let Ok(id) = id.parse::<VmId>() else {
            return empty_answer(StatusCode::NOT_FOUND);
        };
        let is_known = match operation {
            "drain" => self.drain(&id),
            "reboot" => self.reboot(&id),
            _ => false,
        };
        match is_known {
            true => empty_answer(StatusCode::ACCEPTED),
            false => empty_answer(StatusCode::NOT_FOUND),
        }
    }

    // --- Controls ------------------------------------------------------------------------------

    fn answer_control(&self, request: &Request<Bytes>) -> Answer {
        let result = match (request.method(), request.uri().path()) {
            (&Method::POST, "/control/faults") => self.set_faults(request.body()),
            (&Method::POST, "/control/vms") => self.set_vms(request.body()),
            _ => return empty_answer(StatusCode::NOT_FOUND),
        };
        match result {
            Ok(()) => empty_answer(StatusCode::OK),
            Err(reason) => bad_request(reason),
        }
    }

    fn set_faults(&self, body: &[u8]) -> Result<(), String> {
        let faults = self.faults.borrow().with_changes(body);
        let faults = faults.map_err(|error| error.to_string())?;
        for stream in [&self.catalogue, &self.control] {
            stream.borrow_mut().truncate_to(faults.retention_records);
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
            self.vms.borrow_mut().insert_or_replace(vm, now);
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

fn empty_answer(status: StatusCode) -> Answer {
    let mut answer = Response::new(Bytes::new());
    *answer.status_mut() = status;
    answer
}

fn unavailable() -> Answer {
    empty_answer(StatusCode::SERVICE_UNAVAILABLE)
}

fn bad_request(reason: String) -> Answer {
    let mut answer = Response::new(Bytes::from(reason));
    *answer.status_mut() = StatusCode::BAD_REQUEST;
    answer
}

fn with_header(mut answer: Answer, name: &'static str, value: &impl fmt::Display) -> Answer {
    let value = HeaderValue::try_from(format!("{value}"));
    // The text of a number or an offset is always a valid header value.
    if let Ok(value) = value {
        answer.headers_mut().insert(name, value);
    }
    answer
}
