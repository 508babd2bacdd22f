//! Checks that no team has more requests running than its limit.

use crate::audit::finding::FindingBuilder;
use crate::audit::recording::{Name, NameMap, Recording, Request, Timeline, work_intervals};
use crate::audit::{Finding, Invariant, SettleTime};

const OVER_LIMIT: &str = "over_limit";

pub(super) fn check(recording: &Recording, settle: SettleTime) -> Finding {
    let mut finding = FindingBuilder::new(Invariant::TeamLimit, &[OVER_LIMIT]);
    let mut starts = 0;
    let mut teams = 0;
    for (_, peak) in team_peaks(recording, settle).iter() {
        starts += peak.limited_starts;
        teams += u64::from(peak.limited_starts > 0);
        for request in &peak.over_limit {
            finding.add_violation(OVER_LIMIT, recording.request_text(*request));
        }
    }
    finding.add_count("teams", teams);
    finding.add_count("starts", starts);
    finding.finish(starts)
}

/// The peak number of requests that a team had running.
#[derive(Debug, Default)]
pub(crate) struct TeamPeak {
    /// The largest number running at one time.
    pub(crate) most_running: u32,
    /// The limit at the time of the peak, if one was known.
    pub(crate) limit: Option<u32>,
    limited_starts: u64,
    over_limit: Vec<Request>,
    running: u32,
}

impl TeamPeak {
    fn start(&mut self, request: Request, limit: Option<u32>) {
        self.running += 1;
        self.limited_starts += u64::from(limit.is_some());
        if self.running > self.most_running {
            self.most_running = self.running;
            self.limit = limit;
        }
        // Work that continues after the limit was lowered is no violation: only a start can be one.
        if limit.is_some_and(|limit| self.running > limit) {
            self.over_limit.push(request);
        }
    }
}

/// Returns each team's peak. Each start is compared with the largest limit that was in force within
/// the settle time before it.
pub(crate) fn team_peaks(recording: &Recording, settle: SettleTime) -> NameMap<TeamPeak> {
    let limits = limits(recording);
    let mut peaks: NameMap<TeamPeak> = NameMap::default();
    for change in changes(recording) {
        let peak = peaks.entry(change.team);
        match change.kind {
            ChangeKind::End => peak.running -= 1,
            ChangeKind::Start => {
                let from_us = settle.begin_us(change.at_us);
                let limit = limits.get(change.team);
                let limit = limit.and_then(|it| it.in_force(from_us, change.at_us).max());
                peak.start(change.request, limit);
            }
        }
    }
    peaks
}

fn limits(recording: &Recording) -> NameMap<Timeline<u32>> {
    let mut limits: NameMap<Timeline<u32>> = NameMap::default();
    for row in &recording.rows.limits {
        limits.entry(row.team).push(row.at_us, row.limit);
    }
    limits
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ChangeKind {
    /// Sorted before a start at the same time, which may use the slot that became free.
    End,
    Start,
}

#[derive(Debug)]
struct Change {
    at_us: u64,
    kind: ChangeKind,
    team: Name,
    request: Request,
}

fn changes(recording: &Recording) -> Vec<Change> {
    let mut changes = Vec::with_capacity(2 * recording.rows.starts.len());
    for work in work_intervals(recording) {
        let Some(team) = work.team else { continue };
        let change = |at_us, kind| Change {
            at_us,
            kind,
            team,
            request: work.request,
        };
        changes.push(change(work.start_us, ChangeKind::Start));
        changes.push(change(work.end_us, ChangeKind::End));
    }
    changes.sort_by_key(|change| (change.at_us, change.kind));
    changes
}
