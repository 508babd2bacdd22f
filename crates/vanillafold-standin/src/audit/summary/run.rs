//! Counts of how the requests of a run ended.

use std::fmt;

use serde::Serialize;

use crate::audit::SettleTime;
use crate::audit::recording::Recording;
use crate::trace::ReceivedOutcome;

use super::{Latency, TeamSummary};

/// The number of requests that ended with a result code.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CodeCount {
    /// The result code; `None` for ends without one.
    pub code: Option<u16>,
    /// The number of ends.
    pub count: u64,
}

impl fmt::Display for CodeCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.code {
            Some(code) => write!(f, "{code}={}", self.count),
            None => write!(f, "none={}", self.count),
        }
    }
}

/// Counts of how the requests of a run ended, with latencies and each team's use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// The number of requests sent, repeats included.
    pub sent: u64,
    /// The number of ends with an answer.
    pub answers: u64,
    /// The ends with outcome `not-run`, by result code.
    pub not_run: Vec<CodeCount>,
    /// The ends with outcome `may-have-run`, by result code.
    pub may_have_run: Vec<CodeCount>,
    /// The number of answers that ended before their last byte.
    pub cut: u64,
    /// The number of ends without the head of an answer.
    pub no_answer: u64,
    /// The number of sends without a recorded end.
    pub lost: u64,
    /// Percentiles of answer latency; `None` if there are no answers.
    pub answer_latency: Option<Latency>,
    /// The use of each team, in alphabetical order.
    pub teams: Vec<TeamSummary>,
}

impl Summary {
    pub(crate) fn of(recording: &Recording, settle: SettleTime) -> Self {
        Self {
            sent: recording.rows.sent.len() as u64,
            answers: count(recording, ReceivedOutcome::Answer),
            not_run: codes(recording, ReceivedOutcome::NotRun),
            may_have_run: codes(recording, ReceivedOutcome::MayHaveRun),
            cut: count(recording, ReceivedOutcome::Cut),
            no_answer: count(recording, ReceivedOutcome::NoAnswer),
            lost: lost(recording),
            answer_latency: Latency::of(recording),
            teams: TeamSummary::all(recording, settle),
        }
    }
}

fn count(recording: &Recording, outcome: ReceivedOutcome) -> u64 {
    let received = recording.rows.received.iter();
    received.filter(|row| row.outcome == outcome).count() as u64
}

fn codes(recording: &Recording, outcome: ReceivedOutcome) -> Vec<CodeCount> {
    let received = recording.rows.received.iter();
    let of_outcome = received.filter(|row| row.outcome == outcome);
    let mut codes: Vec<Option<u16>> = of_outcome.map(|row| row.code).collect();
    codes.sort_unstable();
    let groups = codes.chunk_by(|a, b| a == b);
    groups
        .map(|group| CodeCount {
            code: group[0],
            count: group.len() as u64,
        })
        .collect()
}

fn lost(recording: &Recording) -> u64 {
    let requests = recording.requests.iter();
    let lost = requests.map(|request| {
        let sends = recording.sent_of(request).len();
        sends.saturating_sub(recording.received_of(request).len()) as u64
    });
    lost.sum()
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "requests sent={} answers={}", self.sent, self.answers)?;
        write!(f, " cut={} no_answer={}", self.cut, self.no_answer)?;
        writeln!(f, " lost={}", self.lost)?;
        write_codes(f, "not-run", &self.not_run)?;
        write_codes(f, "may-have-run", &self.may_have_run)?;
        if let Some(latency) = self.answer_latency {
            writeln!(f, "answer-latency {latency}")?;
        }
        self.teams.iter().try_for_each(|team| writeln!(f, "{team}"))
    }
}

fn write_codes(f: &mut fmt::Formatter<'_>, label: &str, codes: &[CodeCount]) -> fmt::Result {
    if codes.is_empty() {
        return Ok(());
    }
    write!(f, "{label}")?;
    codes.iter().try_for_each(|code| write!(f, " {code}"))?;
    writeln!(f)
}
