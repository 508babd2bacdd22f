//! Loads the traces of a directory.

use std::fs;
use std::path::{Path, PathBuf};

use crate::trace::{
    ProcessChange, Received, Sent, Start, TraceError, TraceEvent, TraceLine, TraceReader, VmChange,
};

use super::names::Names;
use super::requests::{Mentions, Ranks};
use super::rows::{
    ConfigRow, EndRow, LimitRow, NameRow, PoolSizeRow, ProcessRow, ProcessState, PublishedRow,
    ReceivedRow, Recording, RequestRow, SentRow, StartRow, ViewRow, VmRow, VmState,
};

const TRACE_EXTENSION: &str = "jsonl";
const US_PER_MS: u64 = 1_000;

#[derive(Debug, Default)]
struct Loader {
    files: u64,
    events: u64,
    torn_lines: u64,
    last_us: u64,
    names: Names,
    mentions: Mentions,
    sent: Vec<SentRow>,
    received: Vec<ReceivedRow>,
    starts: Vec<StartRow>,
    ends: Vec<EndRow>,
    limits: Vec<LimitRow>,
    withdrawals: Vec<NameRow>,
    open_queues: Vec<NameRow>,
    pool_sizes: Vec<PoolSizeRow>,
    vms: Vec<VmRow>,
    views: Vec<ViewRow>,
    processes: Vec<ProcessRow>,
    configs: Vec<ConfigRow>,
    published: Vec<PublishedRow>,
}

impl Recording {
    /// Reads all traces of a directory.
    pub(crate) fn load(dir: &Path) -> Result<Self, TraceError> {
        let mut loader = Loader::default();
        for path in trace_files(dir)? {
            loader.read(&path)?;
        }
        Ok(loader.finish())
    }
}

fn trace_files(dir: &Path) -> Result<Vec<PathBuf>, TraceError> {
    let io_error = |error| TraceError::new(dir, error);
    let mut paths = Vec::new();
    for entry in fs::read_dir(dir).map_err(io_error)? {
        let path = entry.map_err(io_error)?.path();
        if path.extension().is_some_and(|it| it == TRACE_EXTENSION) {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

impl Loader {
    fn read(&mut self, path: &Path) -> Result<(), TraceError> {
        self.files += 1;
        for line in TraceReader::open(path)? {
            match line? {
                TraceLine::Event(event) => self.push(&event),
                TraceLine::Torn => self.torn_lines += 1,
            }
        }
        Ok(())
    }

    fn push(&mut self, event: &TraceEvent) {
        self.events += 1;
        self.last_us = self.last_us.max(event.at_us());
        match event {
            TraceEvent::Sent(sent) => self.push_sent(sent),
            TraceEvent::Received(received) => self.push_received(received),
            TraceEvent::Start(start) => self.push_start(start),
            TraceEvent::End(end) => self.ends.push(EndRow {
                request: self.mentions.push(end.request.as_str()),
                at_us: end.at_us,
                vm: self.names.intern(end.vm.as_str()),
                attempt: end.attempt,
                cut: end.cut,
            }),
            TraceEvent::Limit(limit) => self.limits.push(LimitRow {
                at_us: limit.at_us,
                team: self.names.intern(limit.team.as_str()),
                limit: limit.limit,
            }),
            TraceEvent::Withdrawn(withdrawn) => self.withdrawals.push(NameRow {
                at_us: withdrawn.at_us,
                name: self.names.intern(withdrawn.key.as_str()),
            }),
            TraceEvent::OpenQueue(open) => self.open_queues.push(NameRow {
                at_us: open.at_us,
                name: self.names.intern(open.queue.as_str()),
            }),
            TraceEvent::PoolSize(size) => self.pool_sizes.push(PoolSizeRow {
                at_us: size.at_us,
                pool: self.names.intern(size.pool.as_str()),
                vms: size.vms,
                min_available: size.min_available,
                slots_per_vm: size.slots_per_vm,
            }),
            TraceEvent::VmDown(down) if down.planned => self.push_vm(down, VmState::DownPlanned),
            TraceEvent::VmDown(down) => self.push_vm(down, VmState::DownFailed),
            TraceEvent::VmUp(up) => self.push_vm(up, VmState::Up),
            TraceEvent::PoolOf(view) => self.views.push(ViewRow {
                process: self.names.intern(view.process.as_str()),
                at_us: view.at_us,
                vm: self.names.intern(view.vm.as_str()),
                pool: view.pool.as_ref().map(|it| self.names.intern(it.as_str())),
            }),
            TraceEvent::Stopping(change) => self.push_process(change, ProcessState::Stopping),
            TraceEvent::Killed(change) => self.push_process(change, ProcessState::Killed),
            TraceEvent::Started(change) => self.push_process(change, ProcessState::Started),
            TraceEvent::Isolated(change) => self.push_process(change, ProcessState::Isolated),
            TraceEvent::Rejoined(change) => self.push_process(change, ProcessState::Rejoined),
            TraceEvent::Config(config) => self.configs.push(ConfigRow {
                at_us: config.at_us,
                process: self.names.intern(config.process.as_str()),
                offset: config.offset,
            }),
            TraceEvent::Published(published) => self.published.push(PublishedRow {
                at_us: published.at_us,
                offset: published.offset,
            }),
        }
    }

    fn push_sent(&mut self, sent: &Sent) {
        let names = &mut self.names;
        self.sent.push(SentRow {
            request: self.mentions.push(sent.request.as_str()),
            at_us: sent.at_us,
            process: names.intern(sent.process.as_str()),
            queue: names.intern(sent.queue.as_str()),
            team: sent.team.as_ref().map(|it| names.intern(it.as_str())),
            key: sent.key.as_ref().map(|it| names.intern(it.as_str())),
            idempotent: sent.idempotent,
            deadline_us: sent.deadline_ms.map(|ms| ms.saturating_mul(US_PER_MS)),
        });
    }

    fn push_received(&mut self, received: &Received) {
        let mentions = &mut self.mentions;
        let answered_request = received.answered_request.as_ref();
        let daemon = received.daemon.as_ref();
        self.received.push(ReceivedRow {
            request: mentions.push(received.request.as_str()),
            at_us: received.at_us,
            outcome: received.outcome,
            code: received.code,
            whole: received.whole,
            answered_request: answered_request.map(|it| mentions.push(it.as_str())),
            daemon: daemon.map(|it| self.names.intern(it.as_str())),
        });
    }

    fn push_start(&mut self, start: &Start) {
        let names = &mut self.names;
        self.starts.push(StartRow {
            request: self.mentions.push(start.request.as_str()),
            at_us: start.at_us,
            process: names.intern(start.process.as_str()),
            vm: names.intern(start.vm.as_str()),
            pool: names.intern(start.pool.as_str()),
            attempt: start.attempt,
            team: start.team.as_ref().map(|it| names.intern(it.as_str())),
            idempotent: start.idempotent,
            leaving_since_us: start.leaving_since_us,
        });
    }

    fn push_vm(&mut self, change: &VmChange, state: VmState) {
        self.vms.push(VmRow {
            at_us: change.at_us,
            vm: self.names.intern(change.vm.as_str()),
            pool: self.names.intern(change.pool.as_str()),
            state,
        });
    }

    fn push_process(&mut self, change: &ProcessChange, state: ProcessState) {
        self.processes.push(ProcessRow {
            at_us: change.at_us,
            process: self.names.intern(change.process.as_str()),
            state,
        });
    }

    fn finish(mut self) -> Recording {
        let (requests, ranks) = self.mentions.rank();
        rank_and_sort(&mut self.sent, &ranks);
        rank_and_sort(&mut self.received, &ranks);
        rank_and_sort(&mut self.starts, &ranks);
        rank_and_sort(&mut self.ends, &ranks);
        self.limits.sort_by_key(|row| row.at_us);
        self.withdrawals.sort_by_key(|row| row.at_us);
        self.open_queues.sort_by_key(|row| row.at_us);
        self.pool_sizes.sort_by_key(|row| row.at_us);
        self.vms.sort_by_key(|row| row.at_us);
        self.views.sort_by_key(|row| row.at_us);
        self.processes.sort_by_key(|row| row.at_us);
        self.configs.sort_by_key(|row| row.at_us);
        self.published.sort_by_key(|row| row.at_us);
        Recording {
            files: self.files,
            events: self.events,
            torn_lines: self.torn_lines,
            last_us: self.last_us,
            names: self.names,
            requests,
            sent: self.sent,
            received: self.received,
            starts: self.starts,
            ends: self.ends,
            limits: self.limits,
            withdrawals: self.withdrawals,
            open_queues: self.open_queues,
            pool_sizes: self.pool_sizes,
            vms: self.vms,
            views: self.views,
            processes: self.processes,
            configs: self.configs,
            published: self.published,
        }
    }
}

fn rank_and_sort<R: RequestRow>(rows: &mut [R], ranks: &Ranks) {
    rows.iter_mut().for_each(|row| row.rank(ranks));
    rows.sort_by_key(|row| (row.request(), row.at_us()));
}
