//! Loads the traces of a directory into a [`Recording`].

use std::fs;
use std::path::{Path, PathBuf};

use crate::audit::TraceSize;
use crate::trace::{
    ProcessChange, Received, Sent, Start, TraceError, TraceEvent, TraceLine, TraceReader, VmChange,
};

use super::Recording;
use super::names::NameTable;
use super::requests::Mentions;
use super::rows::{
    ConfigRow, EndRow, EvacuationRow, LimitRow, NameRow, PoolSizeRow, ProcessRow, ProcessState,
    PublishedRow, ReceivedRow, Rows, SentRow, StartRow, ViewRow, VmRow, VmState,
};

const TRACE_EXTENSION: &str = "jsonl";
const US_PER_MS: u64 = 1_000;

#[derive(Debug, Default)]
struct Loader {
    size: TraceSize,
    last_us: u64,
    names: NameTable,
    mentions: Mentions,
    rows: Rows,
}

impl Recording {
    /// Reads all `*.jsonl` files of a directory.
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
        self.size.files += 1;
        for line in TraceReader::open(path)? {
            match line? {
                TraceLine::Event(event) => self.push(&event),
                TraceLine::Torn => self.size.torn_lines += 1,
            }
        }
        Ok(())
    }

    fn push(&mut self, event: &TraceEvent) {
        self.size.events += 1;
        self.last_us = self.last_us.max(event.at_us());
        match event {
            TraceEvent::Sent(sent) => self.push_sent(sent),
            TraceEvent::Received(received) => self.push_received(received),
            TraceEvent::Start(start) => self.push_start(start),
            TraceEvent::End(end) => self.rows.ends.push(EndRow {
                request: self.mentions.push(end.request.as_str()),
                at_us: end.at_us,
                vm: self.names.intern(end.vm.as_str()),
                attempt: end.attempt,
                cut: end.cut,
            }),
            TraceEvent::Limit(limit) => self.rows.limits.push(LimitRow {
                at_us: limit.at_us,
                team: self.names.intern(limit.team.as_str()),
                limit: limit.limit,
            }),
            TraceEvent::Withdrawn(withdrawn) => self.rows.withdrawals.push(NameRow {
                at_us: withdrawn.at_us,
                name: self.names.intern(withdrawn.key.as_str()),
            }),
            TraceEvent::OpenQueue(open) => self.rows.open_queues.push(NameRow {
                at_us: open.at_us,
                name: self.names.intern(open.queue.as_str()),
            }),
            TraceEvent::PoolSize(size) => self.rows.pool_sizes.push(PoolSizeRow {
                at_us: size.at_us,
                pool: self.names.intern(size.pool.as_str()),
                vms: size.vms,
                min_available: size.min_available,
                slots_per_vm: size.slots_per_vm,
            }),
            TraceEvent::VmDown(down) if down.planned => self.push_vm(down, VmState::DownPlanned),
            TraceEvent::VmDown(down) => self.push_vm(down, VmState::DownFailed),
            TraceEvent::VmUp(up) => self.push_vm(up, VmState::Up),
            TraceEvent::VmEvacuated(change) => self.push_evacuation(change, true),
            TraceEvent::VmRestored(change) => self.push_evacuation(change, false),
            TraceEvent::PoolOf(view) => self.rows.views.push(ViewRow {
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
            TraceEvent::Config(config) => self.rows.configs.push(ConfigRow {
                at_us: config.at_us,
                process: self.names.intern(config.process.as_str()),
                offset: config.offset,
            }),
            TraceEvent::Published(published) => self.rows.published.push(PublishedRow {
                at_us: published.at_us,
                offset: published.offset,
            }),
        }
    }

    fn push_sent(&mut self, sent: &Sent) {
        let names = &mut self.names;
        self.rows.sent.push(SentRow {
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
        self.rows.received.push(ReceivedRow {
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
        self.rows.starts.push(StartRow {
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
        self.rows.vms.push(VmRow {
            at_us: change.at_us,
            vm: self.names.intern(change.vm.as_str()),
            pool: self.names.intern(change.pool.as_str()),
            state,
        });
    }

    fn push_evacuation(&mut self, change: &VmChange, is_evacuated: bool) {
        self.rows.evacuations.push(EvacuationRow {
            at_us: change.at_us,
            vm: self.names.intern(change.vm.as_str()),
            is_evacuated,
        });
    }

    fn push_process(&mut self, change: &ProcessChange, state: ProcessState) {
        self.rows.processes.push(ProcessRow {
            at_us: change.at_us,
            process: self.names.intern(change.process.as_str()),
            state,
        });
    }

    fn finish(mut self) -> Recording {
        let (requests, ranks) = self.mentions.rank();
        self.rows.sort(&ranks);
        Recording {
            size: self.size,
            last_us: self.last_us,
            names: self.names,
            requests,
            rows: self.rows,
        }
    }
}
