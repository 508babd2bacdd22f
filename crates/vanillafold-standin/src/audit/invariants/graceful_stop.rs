//! Checks that a planned stop of a daemon interrupts no request.

use crate::audit::finding::FindingBuilder;
use crate::audit::recording::{
    Exchange, Name, ProcessRow, ProcessState, Recording, VmState, exchanges,
};
use crate::audit::{Finding, Invariant};
use crate::trace::ReceivedOutcome;

const CUT_OFF: &str = "cut_off";

pub(super) fn check(recording: &Recording) -> Finding {
    let mut finding = FindingBuilder::new(Invariant::GracefulStop, &[CUT_OFF]);
    let stops = stops(recording);
    let faults = Faults::of(recording);
    let mut open = 0;
    let mut excused = 0;
    for exchange in exchanges(recording) {
        match stop_during(&stops, &exchange) {
            None => continue,
            Some(_) if !is_cut_off(&exchange) => {}
            Some(_) if faults.excuses(recording, &exchange) => excused += 1,
            Some(stop) => {
                let daemon = recording.name_text(stop.process);
                let request = recording.request_text(exchange.sent.request);
                finding.add_violation(CUT_OFF, format_args!("{request} at {daemon}"));
            }
        }
        open += 1;
    }
    finding.add_count("stops", stops.len() as u64);
    finding.add_count("open_requests", open);
    finding.add_count("excused", excused);
    finding.finish(open - excused)
}

fn stops(recording: &Recording) -> Vec<ProcessRow> {
    let rows = recording.rows.processes.iter().copied();
    rows.filter(|row| row.state == ProcessState::Stopping)
        .collect()
}

fn is_cut_off(exchange: &Exchange<'_>) -> bool {
    matches!(
        exchange.received.outcome,
        ReceivedOutcome::Cut | ReceivedOutcome::NoAnswer
    )
}

/// Returns the first planned stop of the exchange's daemon while the exchange was open. If the
/// daemon is unknown, any daemon's stop counts for an exchange that was cut off, and none counts
/// for another.
fn stop_during<'a>(stops: &'a [ProcessRow], exchange: &Exchange<'_>) -> Option<&'a ProcessRow> {
    let begin = stops.partition_point(|stop| stop.at_us < exchange.sent.at_us);
    stops[begin..]
        .iter()
        .take_while(|stop| stop.at_us < exchange.received.at_us)
        .find(|stop| match exchange.received.daemon {
            Some(daemon) => daemon == stop.process,
            None => is_cut_off(exchange),
        })
}

/// Injected faults, which can interrupt a request as well as a planned stop can.
#[derive(Debug)]
struct Faults {
    kills: Vec<Fault>,
    vm_failures: Vec<Fault>,
    runners: Vec<Name>,
}

#[derive(Debug)]
struct Fault {
    at_us: u64,
    name: Name,
}

impl Faults {
    fn of(recording: &Recording) -> Self {
        let kills = recording.rows.processes.iter();
        let kills = kills.filter(|row| row.state == ProcessState::Killed);
        let failures = recording.rows.vms.iter();
        let failures = failures.filter(|row| row.state == VmState::DownFailed);
        let mut runners: Vec<Name> = recording
            .rows
            .starts
            .iter()
            .map(|row| row.process)
            .collect();
        runners.sort();
        runners.dedup();
        Self {
            kills: kills
                .map(|row| Fault::new(row.at_us, row.process))
                .collect(),
            vm_failures: failures.map(|row| Fault::new(row.at_us, row.vm)).collect(),
            runners,
        }
    }

    /// Returns whether an injected fault or the deadline explains the end of a cut-off exchange.
    fn excuses(&self, recording: &Recording, exchange: &Exchange<'_>) -> bool {
        deadline_passed(exchange)
            || self.daemon_killed(exchange)
            || self.work_lost(recording, exchange)
    }

    fn daemon_killed(&self, exchange: &Exchange<'_>) -> bool {
        let mut kills = during(&self.kills, exchange);
        match exchange.received.daemon {
            Some(daemon) => kills.any(|kill| kill.name == daemon),
            None => kills.any(|kill| self.runners.binary_search(&kill.name).is_err()),
        }
    }

    fn work_lost(&self, recording: &Recording, exchange: &Exchange<'_>) -> bool {
        let request = exchange.sent.request;
        let mut ends = recording.ends_of(request).iter();
        let mut starts = recording.starts_of(request).iter();
        let lost = starts.any(|start| {
            let mut kills = during(&self.kills, exchange);
            let mut failures = during(&self.vm_failures, exchange);
            kills.any(|kill| kill.name == start.process)
                || failures.any(|failure| failure.name == start.vm)
        });
        lost || ends.any(|end| end.cut)
    }
}

impl Fault {
    fn new(at_us: u64, name: Name) -> Self {
        Self { at_us, name }
    }
}

fn deadline_passed(exchange: &Exchange<'_>) -> bool {
    let Exchange { sent, received } = exchange;
    sent.deadline_us
        .is_some_and(|deadline_us| received.at_us >= sent.at_us.saturating_add(deadline_us))
}

fn during<'a>(faults: &'a [Fault], exchange: &Exchange<'_>) -> impl Iterator<Item = &'a Fault> {
    let begin = faults.partition_point(|fault| fault.at_us < exchange.sent.at_us);
    let end_us = exchange.received.at_us;
    faults[begin..]
        .iter()
        .take_while(move |fault| fault.at_us <= end_us)
}
