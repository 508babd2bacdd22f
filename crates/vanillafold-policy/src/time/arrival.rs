//! The earliest times at which connections and requests that a process reads may have arrived.

use super::MonotonicMillis;

/// Time between two calls of [`ArrivalClock::tick`], in milliseconds.
pub const ARRIVAL_TICK_MS: u64 = 50;
/// Ticks that are remembered: input is accepted, read and handled within as many rounds of the
/// event loop, each of which lets a tick that is due pass.
const TICKS: usize = 3;
/// Time after a failed accept within which the connections that waited are accepted, in
/// milliseconds.
const ACCEPT_CATCH_UP_MS: u64 = 1_000;

/// Dates the input of an event loop.
///
/// Input may have waited in the system's buffers while the process was suspended, or had more work
/// than processor time. Ticks of the same event loop are as late as the input, so that input is
/// not older than the last few ticks, unless the process could have read it and did not.
#[derive(Debug)]
pub struct ArrivalClock {
    /// The oldest is the first.
    ticks: [MonotonicMillis; TICKS],
    /// Earliest arrival at the first of the accepts that have failed lately, and the time of the
    /// last.
    failed_accepts: Option<(MonotonicMillis, MonotonicMillis)>,
}

impl ArrivalClock {
    /// Creates the clock of a process that starts now.
    #[must_use]
    pub const fn new(now: MonotonicMillis) -> Self {
        Self {
            ticks: [now; TICKS],
            failed_accepts: None,
        }
    }

    /// Notes that the event loop runs; to be called every [`ARRIVAL_TICK_MS`].
    pub fn tick(&mut self, now: MonotonicMillis) {
        self.ticks.rotate_left(1);
        self.ticks[TICKS - 1] = now;
    }

    /// Returns a time that is not later than the arrival of input for which the process was
    /// waiting.
    #[must_use]
    pub const fn earliest_arrival(&self) -> MonotonicMillis {
        self.ticks[0]
    }

    /// Notes that connections wait because none can be accepted.
    pub fn accept_failed(&mut self, now: MonotonicMillis) {
        let first = self.earliest_connection(now);
        self.failed_accepts = Some((first, now));
    }

    /// Returns a time that is not later than the arrival of a connection that is accepted now.
    #[must_use]
    pub fn earliest_connection(&self, now: MonotonicMillis) -> MonotonicMillis {
        match self.failed_accepts {
            Some((first, last)) if now.since(last).get() < ACCEPT_CATCH_UP_MS => first,
            _ => self.earliest_arrival(),
        }
    }
}

/// Dates the requests of one connection, which are read one after the other.
#[derive(Debug)]
pub struct ConnectionClock {
    /// Earliest arrival of the connection, or of the request before.
    last_arrival: MonotonicMillis,
    /// Time from which on the process has been waiting for the next request.
    waiting_since: MonotonicMillis,
}

impl ConnectionClock {
    /// Creates the clock of a connection that is accepted now and arrived at `arrival` or later.
    #[must_use]
    pub const fn new(arrival: MonotonicMillis, now: MonotonicMillis) -> Self {
        Self {
            last_arrival: arrival,
            waiting_since: now,
        }
    }

    /// Notes that the process waits for the next request from now on.
    pub const fn wait(&mut self, now: MonotonicMillis) {
        self.waiting_since = now;
    }

    /// Returns a time that is not later than the arrival of a request that begins now. `has_waited`
    /// says whether the process had to wait for its first bytes; otherwise they may have arrived
    /// with the request before. `earliest` is [`ArrivalClock::earliest_arrival`].
    pub fn begin_request(
        &mut self,
        has_waited: bool,
        earliest: MonotonicMillis,
    ) -> MonotonicMillis {
        if has_waited {
            self.last_arrival = earliest.max(self.waiting_since);
        }
        self.last_arrival
    }
}
