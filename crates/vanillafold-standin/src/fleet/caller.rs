//! Callers that submit jobs to daemons, and ask for them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use monoio::time::timeout;
use vanillafold_jobs::JobId;
use vanillafold_wire::http::{Client, ClientError};

use super::config::{CALLER_HOST, CALLER_KEY, QUEUE_PREFIX};
use super::daemon::Daemon;
use super::journal::{CallerRequest, EventKind, Journal, Outcome};

/// How long callers wait for an answer.
pub const CALLER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// What came of a request, and when to repeat a refused one.
#[derive(Debug)]
pub struct Reply {
    /// What came of the request.
    pub outcome: Outcome,
    /// The time that the answer asks the caller to wait for.
    pub retry_after: Option<Duration>,
}

impl From<Outcome> for Reply {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            retry_after: None,
        }
    }
}

/// What a submitted job does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobShape {
    /// The number of its tasks.
    pub tasks: u32,
    /// What each of them needs, in thousandths of a core.
    pub cpu_millis: u64,
    /// How long each of them works.
    pub work_ms: u64,
}

impl JobShape {
    /// Returns the text that the tasks of a job of this shape get.
    #[must_use]
    pub fn spec(&self, job: JobId) -> String {
        format!("ms={} job={job}", self.work_ms)
    }
}

/// A caller. It keeps one connection to each daemon open until the daemon closes it.
#[derive(Debug)]
pub struct Caller {
    daemons: Rc<[Daemon]>,
    journal: Rc<Journal>,
    /// The client for each daemon; `None` while a request uses it.
    clients: RefCell<Vec<Option<Client>>>,
}

impl Caller {
    pub(super) fn new(daemons: &Rc<[Daemon]>, journal: &Rc<Journal>) -> Self {
        Self {
            daemons: Rc::clone(daemons),
            journal: Rc::clone(journal),
            clients: RefCell::new(daemons.iter().map(|_| None).collect()),
        }
    }

    /// Submits a job to a daemon and waits at most `patience` for the answer.
    pub async fn submit(
        &self,
        daemon: usize,
        job: JobId,
        shape: JobShape,
        patience: Duration,
    ) -> Outcome {
        let reply = self.submit_for_reply(daemon, job, shape, patience);
        reply.await.outcome
    }

    /// Submits a job as [`Caller::submit`] does, and returns the whole reply.
    pub async fn submit_for_reply(
        &self,
        daemon: usize,
        job: JobId,
        shape: JobShape,
        patience: Duration,
    ) -> Reply {
        let JobShape {
            tasks,
            cpu_millis,
            work_ms,
        } = shape;
        let body = serde_json::json!({
            "spec": shape.spec(job),
            "steps": [{
                "count": tasks, "cpu": cpu_millis, "mem_mb": 64, "estimate_ms": work_ms,
            }],
        });
        let body = Bytes::from(body.to_string());
        self.send(daemon, CallerRequest::Submit(shape), job, body, patience)
            .await
    }

    /// Cancels a job.
    pub async fn cancel(&self, daemon: usize, job: JobId) -> Outcome {
        let request = CallerRequest::Cancel;
        self.send(daemon, request, job, Bytes::new(), CALLER_TIMEOUT)
            .await
            .outcome
    }

    /// Asks for the state of a job.
    pub async fn state(&self, daemon: usize, job: JobId) -> Outcome {
        let request = CallerRequest::State;
        self.send(daemon, request, job, Bytes::new(), CALLER_TIMEOUT)
            .await
            .outcome
    }

    async fn send(
        &self,
        daemon: usize,
        request: CallerRequest,
        job: JobId,
        body: Bytes,
        patience: Duration,
    ) -> Reply {
        let attempt = self.journal.next_attempt();
        self.journal.add(EventKind::Sent {
            attempt,
            request,
            job,
            daemon,
        });
        let reply = self.exchange(daemon, request, job, body, patience).await;
        self.journal.add(EventKind::Over {
            attempt,
            outcome: reply.outcome.clone(),
        });
        reply
    }

    async fn exchange(
        &self,
        daemon: usize,
        request: CallerRequest,
        job: JobId,
        body: Bytes,
        patience: Duration,
    ) -> Reply {
        let method = match request {
            CallerRequest::Submit(_) => Method::POST,
            CallerRequest::Cancel => Method::DELETE,
            CallerRequest::State => Method::GET,
        };
        let idle = self.clients.borrow_mut()[daemon].take();
        let address = self.daemons[daemon].caller_address();
        let mut client = idle.unwrap_or_else(|| Client::new(address, CALLER_TIMEOUT));
        let path = format!("{QUEUE_PREFIX}{job}");
        let headers = headers();
        let asked = client.request(method, &path, &headers, body);
        match timeout(patience, asked).await {
            Ok(Ok(answer)) => {
                self.clients.borrow_mut()[daemon] = Some(client);
                let body = String::from_utf8_lossy(answer.body()).into_owned();
                let header = answer.headers().get(RETRY_AFTER);
                let seconds = header.and_then(|header| header.to_str().ok()?.parse().ok());
                Reply {
                    outcome: Outcome::Answered(answer.status().as_u16(), body),
                    retry_after: seconds.map(Duration::from_secs),
                }
            }
            Ok(Err(ClientError::Connect { .. })) => Outcome::NotSent.into(),
            Ok(Err(_)) | Err(_) => Outcome::Unanswered.into(),
        }
    }
}

fn headers() -> HeaderMap {
    let deadline_ms = CALLER_TIMEOUT.as_millis().to_string();
    let key = format!("Token {CALLER_KEY}");
    let pairs = [
        (HOST, CALLER_HOST),
        (CONTENT_TYPE, "application/json"),
        (AUTHORIZATION, key.as_str()),
        (HeaderName::from_static("deadline-ms"), deadline_ms.as_str()),
    ];
    let valid = pairs
        .into_iter()
        .filter_map(|(name, text)| Some((name, HeaderValue::from_str(text).ok()?)));
    valid.collect()
}
