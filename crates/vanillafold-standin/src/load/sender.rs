//! A sender of the load: one connection, over which it sends one request at a time.

use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::net::TcpStream;
use monoio::time::timeout;
use vanillafold_wire::http::{HttpReader, HttpWriter, split};

use super::exchange::{Reply, exchange};
use super::request::PlannedRequest;
use super::standin::Shared;
use crate::trace::ReceivedOutcome;

/// The time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends requests one after another over a connection that it reuses while it can.
#[derive(Debug)]
pub(crate) struct Sender {
    shared: Rc<Shared>,
    connection: Option<Connection>,
}

#[derive(Debug)]
struct Connection {
    /// The index of the target in [`LoadOptions::targets`](super::LoadOptions::targets).
    target: usize,
    halves: (HttpReader, HttpWriter),
}

impl Sender {
    pub(crate) fn new(shared: Rc<Shared>) -> Self {
        Self {
            shared,
            connection: None,
        }
    }

    /// Sends a request and, if its answer was lost and the options allow it, repeats it once.
    pub(crate) async fn send(&mut self, request: &PlannedRequest) {
        let lost_at = self.send_once(request, None).await;
        let repeats = self.shared.options.repeat_lost && !request.idempotent;
        if let Some(target) = lost_at.filter(|_| repeats) {
            self.shared.tally.borrow_mut().repeated += 1;
            // The repeat has the deadline of a new request.
            let repeat = PlannedRequest {
                intended: Instant::now(),
                ..request.clone()
            };
            self.send_once(&repeat, Some(target)).await;
        }
    }

    /// Sends a request to any target but `avoided`; returns the index of the target if the answer was
    /// lost.
    async fn send_once(
        &mut self,
        request: &PlannedRequest,
        avoided: Option<usize>,
    ) -> Option<usize> {
        let shared = Rc::clone(&self.shared);
        let work = &shared.options.work;
        if request.remaining(work).is_zero() {
            let mut tally = shared.tally.borrow_mut();
            tally.given_up += 1;
            tally.count_unsent(request);
            return None;
        }
        let Some(mut connection) = self.acquire_connection(avoided).await else {
            let mut tally = shared.tally.borrow_mut();
            tally.unconnected += 1;
            tally.count_unsent(request);
            return None;
        };
        let send_delay = request.intended.elapsed();
        let answer_timeout = request.remaining(work) + work.grace_ms.duration();
        shared.tally.borrow_mut().count_sent(request, send_delay);
        shared.recorder.record_sent(&shared.options, request);
        let mut reply = Reply::no_answer();
        let exchange = exchange(&shared.options, request, &mut connection.halves, &mut reply);
        // After a time-out, `reply` holds what was received so far.
        let _ = timeout(answer_timeout, exchange).await;
        let latency = request.intended.elapsed();
        let target = connection.target;
        let named = &shared.options.targets[target];
        shared
            .recorder
            .record_received(&shared.options, request, named, &reply);
        let deadline = work.deadline_ms.duration();
        shared
            .tally
            .borrow_mut()
            .count_received(request, &reply, latency, deadline);
        if reply.reusable {
            self.connection = Some(connection);
        }
        let lost = matches!(
            reply.outcome,
            ReceivedOutcome::NoAnswer | ReceivedOutcome::Cut
        );
        lost.then_some(target)
    }

    /// Returns the open connection if it can be reused, otherwise a new one to the next target that
    /// accepts; `None` if no target does.
    async fn acquire_connection(&mut self, avoided: Option<usize>) -> Option<Connection> {
        if let Some(mut kept) = self.connection.take()
            && Some(kept.target) != avoided
            && kept.halves.0.is_reusable().await
        {
            return Some(kept);
        }
        let targets = &self.shared.options.targets;
        // All senders share the turn, so after the first target the others are tried in order from
        // there, not by taking further turns.
        let first = self.shared.next_target();
        for target in (0..targets.len()).map(|step| (first + step) % targets.len()) {
            // A single target is used even if it is to be avoided.
            if Some(target) == avoided && targets.len() > 1 {
                continue;
            }
            let connecting = TcpStream::connect_addr(targets[target].address);
            if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, connecting).await {
                self.shared.tally.borrow_mut().connections += 1;
                let halves = split(stream);
                return Some(Connection { target, halves });
            }
        }
        None
    }
}

/// Sends the requests of the backlog until it is closed and empty.
pub(crate) async fn run_open_loop_sender(shared: Rc<Shared>, index: usize) {
    let mut sender = Sender::new(Rc::clone(&shared));
    while let Some(request) = shared.backlog.next(index).await {
        sender.send(&request).await;
    }
}

/// Sends one request after another until the time `until`.
pub(crate) async fn run_closed_loop_sender(shared: Rc<Shared>, until: Instant) {
    let mut sender = Sender::new(Rc::clone(&shared));
    loop {
        let now = Instant::now();
        if now >= until {
            return;
        }
        let request = shared.generator.borrow_mut().next(now);
        shared.tally.borrow_mut().intended += 1;
        sender.send(&request).await;
    }
}
