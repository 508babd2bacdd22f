//! What the audit found at one point.

use std::fmt;

use serde::Serialize;

use super::Point;

/// How many offences are named; all are counted.
const MAX_NAMED_OFFENCES: usize = 5;

/// The judgement of one point.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Verdict {
    /// Observed, and it held.
    #[serde(rename = "PASS")]
    Pass,
    /// It did not hold.
    #[serde(rename = "FAIL")]
    Fail,
    /// The trace holds nothing that the point speaks of.
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

/// One case in which the point did not hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Offence {
    /// The count that it belongs to.
    pub name: &'static str,
    /// The request, VM, pool or process, with what else tells it from others.
    pub id: String,
}

/// What the audit found at one point.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The point.
    pub point: Point,
    /// The judgement.
    pub verdict: Verdict,
    /// What was seen, then each kind of offence, in a fixed order.
    pub counts: Vec<Count>,
    /// The first offences.
    pub first: Vec<Offence>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.verdict, self.point)?;
        for count in &self.counts {
            write!(f, " {}={}", count.name, count.value)?;
        }
        for (index, offence) in self.first.iter().enumerate() {
            let separator = if index == 0 { " first:" } else { "," };
            write!(f, "{separator} {} {}", offence.name, offence.id)?;
        }
        Ok(())
    }
}

/// Collects what is seen of one point.
#[derive(Debug)]
pub(crate) struct FindingBuilder {
    point: Point,
    seen: Vec<Count>,
    offences: Vec<Count>,
    first: Vec<Offence>,
}

impl FindingBuilder {
    /// Begins with the kinds of offence, so that each is reported even when there is none.
    pub(crate) fn new(point: Point, offences: &[&'static str]) -> Self {
        let none = |name: &&'static str| Count { name, value: 0 };
        Self {
            point,
            seen: Vec::new(),
            offences: offences.iter().map(none).collect(),
            first: Vec::new(),
        }
    }

    /// Reports a count that is no offence.
    pub(crate) fn seen(&mut self, name: &'static str, value: u64) {
        self.seen.push(Count { name, value });
    }

    /// Counts an offence of one of the kinds given to [`new`](Self::new).
    pub(crate) fn offence(&mut self, name: &'static str, id: impl fmt::Display) {
        let count = self.offences.iter_mut().find(|count| count.name == name);
        count.expect("the kind was given to `new`").value += 1;
        if self.first.len() < MAX_NAMED_OFFENCES {
            let id = id.to_string();
            self.first.push(Offence { name, id });
        }
    }

    /// Judges: any offence fails, and nothing passes without observations.
    pub(crate) fn judge(self, observations: u64) -> Finding {
        let verdict = match (self.first.is_empty(), observations) {
            (false, _) => Verdict::Fail,
            (true, 0) => Verdict::NotObserved,
            (true, _) => Verdict::Pass,
        };
        let counts = match verdict {
            Verdict::NotObserved => Vec::new(),
            _ => [self.seen, self.offences].concat(),
        };
        Finding {
            point: self.point,
            verdict,
            counts,
            first: self.first,
        }
    }
}
