//! One connection of the load: one request at a time.

use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::net::TcpStream;
use monoio::time::timeout;
use vanillafold_wire::http::{HttpReader, HttpWriter, split};

use super::exchange::{Reply, exchange};
use super::job::Job;
use super::standin::Shared;
use crate::trace::ReceivedOutcome;

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends requests one after another.
#[derive(Debug)]
pub(crate) struct Sender {
    shared: Rc<Shared>,
    connection: Option<Connection>,
}

#[derive(Debug)]
struct Connection {
    /// The target, as an index.
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

    /// Sends a request, and once more if it may be and its answer was lost.
    pub(crate) async fn send(&mut self, job: &Job) {
        let lost_at = self.send_once(job, None).await;
        let repeats = self.shared.options.repeat_lost && !job.idempotent;
        if let Some(target) = lost_at.filter(|_| repeats) {
            self.shared.tally.borrow_mut().repeated += 1;
            // The caller has as much patience as for a new request.
            let repeat = Job {
                intended: Instant::now(),
                ..job.clone()
            };
            self.send_once(&repeat, Some(target)).await;
        }
    }

    /// Sends a request; gives the target if its answer was lost.
    async fn send_once(&mut self, job: &Job, avoided: Option<usize>) -> Option<usize> {
        let shared = Rc::clone(&self.shared);
        let work = &shared.options.work;
        if job.remaining(work).is_zero() {
            let mut tally = shared.tally.borrow_mut();
            tally.given_up += 1;
            tally.not_sent(job);
            return None;
        }
        let Some(mut connection) = self.connected(avoided).await else {
            let mut tally = shared.tally.borrow_mut();
            tally.unconnected += 1;
            tally.not_sent(job);
            return None;
        };
        let late = job.intended.elapsed();
        let patience = job.remaining(work) + work.grace_ms.duration();
        shared.tally.borrow_mut().sent(job, late);
        shared.recorder.sent(&shared.options, job);
        let mut reply = Reply::none();
        let exchange = exchange(&shared.options, job, &mut connection.halves, &mut reply);
        // What came until then is in the reply.
        let _ = timeout(patience, exchange).await;
        let took = job.intended.elapsed();
        let target = connection.target;
        let named = &shared.options.targets[target];
        shared
            .recorder
            .received(&shared.options, job, named, &reply);
        let deadline = work.deadline_ms.duration();
        shared
            .tally
            .borrow_mut()
            .received(job, &reply, took, deadline);
        if reply.keep {
            self.connection = Some(connection);
        }
        let lost = matches!(
            reply.outcome,
            ReceivedOutcome::NoAnswer | ReceivedOutcome::Cut
        );
        lost.then_some(target)
    }

    /// The open connection if it still is, otherwise a new one to the next target that accepts.
    async fn connected(&mut self, avoided: Option<usize>) -> Option<Connection> {
        if let Some(mut kept) = self.connection.take()
            && Some(kept.target) != avoided
            && kept.halves.0.is_reusable().await
        {
            return Some(kept);
        }
        let targets = &self.shared.options.targets;
        // The turn is shared with other senders, so the rest is gone through from the first.
        let first = self.shared.next_target();
        for target in (0..targets.len()).map(|step| (first + step) % targets.len()) {
            // With a single target there is no other.
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

/// Sends what is due until nothing is left.
pub(crate) async fn send_due(shared: Rc<Shared>, index: usize) {
    let mut sender = Sender::new(Rc::clone(&shared));
    while let Some(job) = shared.backlog.next(index).await {
        sender.send(&job).await;
    }
}

/// Sends one request after another until the time is up.
pub(crate) async fn send_back_to_back(shared: Rc<Shared>, until: Instant) {
    let mut sender = Sender::new(Rc::clone(&shared));
    loop {
        let now = Instant::now();
        if now >= until {
            return;
        }
        let job = shared.source.borrow_mut().next(now);
        shared.tally.borrow_mut().intended += 1;
        sender.send(&job).await;
    }
}
