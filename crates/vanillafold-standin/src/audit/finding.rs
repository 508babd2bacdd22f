//! What the audit found at one invariant.

use std::fmt;

use serde::Serialize;

use super::Invariant;

/// How many violations are named; all are counted.
const MAX_NAMED_VIOLATIONS: usize = 5;

/// The judgement of one invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Verdict {
    /// Observed, and it held.
    #[serde(rename = "PASS")]
    Pass,
    /// It did not hold.
    #[serde(rename = "FAIL")]
    Fail,
    /// The trace holds nothing that the invariant speaks of.
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

/// A named count.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Count {
    /// What was counted.
    pub name: &'static str,
    /// How many.
    pub value: u64,
}

/// One case in which the invariant did not hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The count that it belongs to.
    pub name: &'static str,
    /// The request, VM, pool or process, with what else tells it from others.
    pub id: String,
}

/// What the audit found at one invariant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The invariant.
    #[serde(rename = "point")]
    pub invariant: Invariant,
    /// The judgement.
    pub verdict: Verdict,
    /// What was seen, then each kind of violation, in a fixed order.
    pub counts: Vec<Count>,
    /// The first violations.
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

/// Collects what is seen of one invariant.
#[derive(Debug)]
pub(crate) struct FindingBuilder {
    invariant: Invariant,
    observed: Vec<Count>,
    violations: Vec<Count>,
    first: Vec<Violation>,
}

impl FindingBuilder {
    /// Begins with the kinds of violation, so that each is reported even when there is none.
    pub(crate) fn new(invariant: Invariant, violations: &[&'static str]) -> Self {
        let none = |name: &&'static str| Count { name, value: 0 };
        Self {
            invariant,
            observed: Vec::new(),
            violations: violations.iter().map(none).collect(),
            first: Vec::new(),
        }
    }

    /// Reports a count that is no violation.
    pub(crate) fn add_count(&mut self, name: &'static str, value: u64) {
        self.observed.push(Count { name, value });
    }

    /// Counts a violation of one of the kinds given to [`new`](Self::new).
    pub(crate) fn add_violation(&mut self, name: &'static str, id: impl fmt::Display) {
        let count = self.violations.iter_mut().find(|count| count.name == name);
        count.expect("the kind was given to `new`").value += 1;
        if self.first.len() < MAX_NAMED_VIOLATIONS {
            let id = id.to_string();
            self.first.push(Violation { name, id });
        }
    }

    /// Judges: any violation fails, and nothing passes without observations.
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
