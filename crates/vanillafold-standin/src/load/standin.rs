//! A run of the load generator.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::task::JoinHandle;
use monoio::time::sleep;
use vanillafold_types::QueueId;

use super::backlog::Backlog;
use super::options::{LoadModel, LoadOptions};
use super::recorder::Recorder;
use super::request::RequestGenerator;
use super::sender::{run_closed_loop_sender, run_open_loop_sender};
use super::tally::Tally;
use super::{Arrivals, Summary};
use crate::process::Random;

/// A load generator that is ready to run.
#[derive(Debug)]
pub struct LoadStandin {
    shared: Rc<Shared>,
    random: Random,
}

/// The state that all senders share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) options: LoadOptions,
    pub(crate) generator: RefCell<RequestGenerator>,
    pub(crate) backlog: Backlog,
    pub(crate) tally: RefCell<Tally>,
    pub(crate) recorder: Recorder,
    next_target: Cell<usize>,
}

impl Shared {
    /// Returns the index of the target whose turn it is, and moves on to the next one.
    pub(crate) fn next_target(&self) -> usize {
        let target = self.next_target.get();
        let next = (target + 1) % self.options.targets.len();
        self.next_target.set(next);
        target
    }
}

impl LoadStandin {
    /// Checks the options and prepares a run.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::InvalidInput`] if there is no target, queue or connection, or the duration is
    /// zero.
    pub fn new(mut options: LoadOptions) -> io::Result<Self> {
        let connections = match options.model {
            LoadModel::OpenLoop { connections, .. } | LoadModel::ClosedLoop { connections } => {
                connections
            }
        };
        let empty = options.targets.is_empty() || options.queues.is_empty() || connections == 0;
        if empty || options.duration_ms.get() == 0 {
            let problem = "expected at least one target, queue, connection and millisecond";
            return Err(io::Error::new(io::ErrorKind::InvalidInput, problem));
        }
        let mut random = Random::new(options.seed);
        let generator = RequestGenerator::new(&options, Random::new(random.next_u64()));
        let recorder = Recorder::new(options.trace.take());
        Ok(Self {
            shared: Rc::new(Shared {
                generator: RefCell::new(generator),
                backlog: Backlog::default(),
                tally: RefCell::new(Tally::new(&options)),
                recorder,
                next_target: Cell::new(0),
                options,
            }),
            random,
        })
    }

    /// Sends requests for the duration of the options, waits until the last one has ended and returns
    /// the summary.
    pub async fn run(mut self) -> Summary {
        let start = Instant::now();
        let shared = Rc::clone(&self.shared);
        let senders = match &shared.options.model {
            LoadModel::OpenLoop { connections, .. } => {
                self.run_open_loop(start, *connections).await
            }
            LoadModel::ClosedLoop { connections } => {
                let until = start + self.shared.options.duration_ms.duration();
                let senders = 0..*connections;
                senders
                    .map(|_| monoio::spawn(run_closed_loop_sender(Rc::clone(&self.shared), until)))
                    .collect()
            }
        };
        let sending = start.elapsed();
        for sender in senders {
            sender.await;
        }
        self.finish(sending, start.elapsed())
    }

    /// Adds each request to the backlog when it is due, whatever happens to earlier ones, and starts
    /// a sender for it if none is idle and fewer than `connections` run. Returns the senders.
    async fn run_open_loop(&mut self, start: Instant, connections: usize) -> Vec<JoinHandle<()>> {
        let shared = Rc::clone(&self.shared);
        let mut senders = Vec::new();
        let end = shared.options.duration_ms.duration();
        for arrival in self.arrivals().take_while(|arrival| arrival.at < end) {
            sleep_until(start + arrival.at).await;
            let mut generator = shared.generator.borrow_mut();
            let request = generator.next_to(arrival.queue, start + arrival.at);
            shared.tally.borrow_mut().intended += 1;
            if !shared.backlog.has_idle_sender() && senders.len() < connections {
                let sender = run_open_loop_sender(Rc::clone(&shared), senders.len());
                senders.push(monoio::spawn(sender));
            }
            shared.backlog.push(request);
        }
        sleep_until(start + end).await;
        shared.backlog.close();
        senders
    }

    fn arrivals(&mut self) -> Arrivals {
        let options = &self.shared.options;
        let LoadModel::OpenLoop {
            rate_per_s, bursts, ..
        } = &options.model
        else {
            return Arrivals::new(&[], &[], &mut self.random);
        };
        let weights: f64 = options.queues.iter().map(|queue| queue.weight).sum();
        let rates: Vec<(QueueId, f64)> = options
            .queues
            .iter()
            .map(|queue| (queue.queue.clone(), rate_per_s * queue.weight / weights))
            .collect();
        Arrivals::new(&rates, bursts, &mut self.random)
    }

    fn finish(self, sending: Duration, whole: Duration) -> Summary {
        let shared = self.shared;
        let tally = shared.tally.borrow();
        let mut summary = tally.summary(&shared.options, sending, whole);
        summary.most_waiting = shared.backlog.most_waiting();
        shared.recorder.flush();
        summary
    }
}

async fn sleep_until(due: Instant) {
    let left = due.saturating_duration_since(Instant::now());
    if !left.is_zero() {
        sleep(left).await;
    }
}
