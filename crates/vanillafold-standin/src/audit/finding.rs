//! The result of checking one invariant.

use std::fmt;

use serde::Serialize;

use super::Invariant;

/// The number of violations of an invariant that are named; all are counted.
const MAX_NAMED_VIOLATIONS: usize = 5;

/// Whether an invariant held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Verdict {
    /// The invariant was observed and held.
    #[serde(rename = "PASS")]
    Pass,
    /// The invariant was violated.
    #[serde(rename = "FAIL")]
    Fail,
    /// The traces contain no event that the invariant applies to.
    #[serde(rename = "NOT OBSERVED")]
    NotObserved,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Pass => "PASS",
            Self::Fail => "FAIL",
            Self::NotObserved => "NOT OBSERVED",
        })
    }
}

/// A named number in a finding.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Count {
    /// What was counted, as written in the report.
    pub name: &'static str,
    /// The number counted.
    pub value: u64,
}

/// One case in which an invariant did not hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The name of the count that includes it.
    pub name: &'static str,
    /// The request, VM, pool or process, with further details that identify the case.
    pub id: String,
}

/// The result of checking one invariant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The invariant that was checked.
    #[serde(rename = "point")]
    pub invariant: Invariant,
    /// Whether it held.
    pub verdict: Verdict,
    /// The counts of observations, then of each kind of violation, in a fixed order; empty if
    /// nothing was observed.
    pub counts: Vec<Count>,
    /// The first five violations.
    pub first: Vec<Violation>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.verdict, self.invariant)?;
        for count in &self.counts {
            write!(f, " {}={}", count.name, count.value)?;
        }
        for (index, violation) in self.first.iter().enumerate() {
            let separator = if index == 0 { " first:" } else { "," };
            write!(f, "{separator} {} {}", violation.name, violation.id)?;
        }
        Ok(())
    }
}

/// Collects observations and violations of one invariant.
#[derive(Debug)]
pub(crate) struct FindingBuilder {
    invariant: Invariant,
    observed: Vec<Count>,
    violations: Vec<Count>,
    first: Vec<Violation>,
}

impl FindingBuilder {
    /// Takes all kinds of violation, so that each is reported even when its count is zero.
    pub(crate) fn new(invariant: Invariant, violations: &[&'static str]) -> Self {
        let none = |name: &&'static str| Count { name, value: 0 };
        Self {
            invariant,
            observed: Vec::new(),
            violations: violations.iter().map(none).collect(),
            first: Vec::new(),
        }
    }

    /// Adds a count of observations.
    pub(crate) fn add_count(&mut self, name: &'static str, value: u64) {
        self.observed.push(Count { name, value });
    }

    /// Counts a violation of a kind that was given to [`new`](Self::new).
    pub(crate) fn add_violation(&mut self, name: &'static str, id: impl fmt::Display) {
        let count = self.violations.iter_mut().find(|count| count.name == name);
        count.expect("the kind was given to `new`").value += 1;
        if self.first.len() < MAX_NAMED_VIOLATIONS {
            let id = id.to_string();
            self.first.push(Violation { name, id });
        }
    }

    /// Returns the finding: any violation fails it, and it passes only with observations.
    pub(crate) fn finish(self, observation_count: u64) -> Finding {
        let verdict = match (self.first.is_empty(), observation_count) {
            (false, _) => Verdict::Fail,
            (true, 0) => Verdict::NotObserved,
            (true, _) => Verdict::Pass,
        };
        let counts = match verdict {
            Verdict::NotObserved => Vec::new(),
            _ => [self.observed, self.violations].concat(),
        };
        Finding {
            invariant: self.invariant,
            verdict,
            counts,
            first: self.first,
        }
    }
}
