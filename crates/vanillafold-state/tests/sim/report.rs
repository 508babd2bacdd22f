//! Counters and the first violation of a simulation run.

use std::fmt;

/// A violation: more work of a team ran than was allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Excess {
    pub(crate) at_ms: u64,
    pub(crate) team: String,
    pub(crate) running: usize,
    pub(crate) allowed: u32,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Report {
    pub(crate) steps: u64,
    pub(crate) team_steps: u64,
    /// Steps of a team in which exactly as much work ran as was allowed.
    pub(crate) full_team_steps: u64,
    pub(crate) started: u64,
    pub(crate) started_borrowed: u64,
    pub(crate) faults: u64,
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
    pub(crate) excess: Option<Excess>,
}

impl fmt::Display for Excess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "team {} had {} running of {} allowed at {} ms",
            self.team, self.running, self.allowed, self.at_ms
        )
    }
}

impl Report {
    pub(crate) fn add(&mut self, other: &Self) {
        self.steps += other.steps;
        self.team_steps += other.team_steps;
        self.full_team_steps += other.full_team_steps;
        self.started += other.started;
        self.started_borrowed += other.started_borrowed;
        self.faults += other.faults;
        self.messages += other.messages;
        self.bytes += other.bytes;
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            steps,
            team_steps,
            full_team_steps,
            started,
            started_borrowed,
            faults,
            messages,
            bytes,
            ..
        } = self;
        write!(f, "steps {steps} faults {faults} started {started} ")?;
        write!(f, "of these on borrowed units {started_borrowed} ")?;
        write!(f, "full {full_team_steps} of {team_steps} team steps ")?;
        write!(f, "messages {messages} bytes {bytes}")
    }
}
