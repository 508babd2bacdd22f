//! Checks that work is started only for the team of the request's key, while the key is valid.

use crate::audit::finding::FindingBuilder;
use crate::audit::recording::{Name, NameMap, ProcessState, Recording, SentRow, StartRow};
use crate::audit::{Finding, Invariant, SettleTime};

const OTHER_TEAM: &str = "other_team";
const AFTER_WITHDRAWAL: &str = "after_withdrawal";
const WITHOUT_KEY: &str = "without_key";
const UNSENT: &str = "unsent";

/// What authorizes a start, or the kind of violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Authorization {
    OpenQueue,
    Key,
    Breach(&'static str),
}

pub(super) fn check(recording: &Recording, settle: SettleTime) -> Finding {
    let kinds = [OTHER_TEAM, AFTER_WITHDRAWAL, WITHOUT_KEY, UNSENT];
    let mut finding = FindingBuilder::new(Invariant::TeamKey, &kinds);
    let rules = Rules::of(recording, settle);
    let load_killed = load_was_killed(recording);
    let mut on_open_queues = 0;
    let mut unsent_by_killed_load = 0;
    for start in &recording.rows.starts {
        match rules.authorization(recording, start) {
            Authorization::Key => {}
            Authorization::OpenQueue => on_open_queues += 1,
            Authorization::Breach(UNSENT) if load_killed => unsent_by_killed_load += 1,
            Authorization::Breach(kind) => {
                finding.add_violation(kind, recording.request_text(start.request));
            }
        }
    }
    finding.add_count("starts", recording.rows.starts.len() as u64);
    finding.add_count("on_open_queues", on_open_queues);
    finding.add_count("withdrawn_keys", rules.withdrawn.len() as u64);
    finding.add_count("unsent_by_killed_load", unsent_by_killed_load);
    finding.finish(recording.rows.starts.len() as u64 - unsent_by_killed_load)
}

/// The first time at which each key was withdrawn and each queue was opened to all.
#[derive(Debug)]
struct Rules {
    settle: SettleTime,
    withdrawn: NameMap<Option<u64>>,
    opened: NameMap<Option<u64>>,
}

impl Rules {
    fn of(recording: &Recording, settle: SettleTime) -> Self {
        let mut rules = Self {
            settle,
            withdrawn: NameMap::default(),
            opened: NameMap::default(),
        };
        for row in &recording.rows.withdrawals {
            rules.withdrawn.entry(row.name).get_or_insert(row.at_us);
        }
        for row in &recording.rows.open_queues {
            rules.opened.entry(row.name).get_or_insert(row.at_us);
        }
        rules
    }

    /// Returns the authorization of a start; one send of its request that authorizes it is enough.
    fn authorization(&self, recording: &Recording, start: &StartRow) -> Authorization {
        let sends = recording.sent_of(start.request);
        let authorizations = sends
            .iter()
            .map(|sent| self.authorization_by_send(sent, start));
        authorizations
            .reduce(|first, next| match first {
                Authorization::Breach(_) => next,
                _ => first,
            })
            .unwrap_or(Authorization::Breach(UNSENT))
    }

    fn authorization_by_send(&self, sent: &SentRow, start: &StartRow) -> Authorization {
        let other_team = start.team.is_some() && start.team != sent.team;
        match (sent.key, sent.team) {
            _ if other_team => Authorization::Breach(OTHER_TEAM),
            _ if self.is_open(sent.queue, start.at_us) => Authorization::OpenQueue,
            (None, _) | (_, None) => Authorization::Breach(WITHOUT_KEY),
            _ if start.team != sent.team => Authorization::Breach(OTHER_TEAM),
            (Some(key), _) if self.is_withdrawn(key, start.at_us) => {
                Authorization::Breach(AFTER_WITHDRAWAL)
            }
            _ => Authorization::Key,
        }
    }

    fn is_open(&self, queue: Name, at_us: u64) -> bool {
        let opened_us = self.opened.get(queue).copied().flatten();
        opened_us.is_some_and(|opened_us| opened_us <= at_us)
    }

    fn is_withdrawn(&self, key: Name, at_us: u64) -> bool {
        let withdrawn_us = self.withdrawn.get(key).copied().flatten();
        withdrawn_us.is_some_and(|withdrawn_us| self.settle.end_us(withdrawn_us) < at_us)
    }
}

/// Returns whether a load generator was killed: it may have lost the trace line of a send.
fn load_was_killed(recording: &Recording) -> bool {
    let mut loads: Vec<Name> = recording
        .rows
        .sent
        .iter()
        .map(|sent| sent.process)
        .collect();
    loads.sort();
    loads.dedup();
    let killed = ProcessState::Killed;
    loads
        .iter()
        .any(|load| recording.process_changed(*load, killed, 0, u64::MAX))
}
