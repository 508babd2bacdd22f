//! Builders of events as stand-ins write them, with times in milliseconds.

use vanillafold_standin::trace::{
    Config, End, Limit, OpenQueue, PoolOf, PoolSize, ProcessChange, Published, Received,
    ReceivedOutcome, Sent, Start, TraceEvent, VmChange, Withdrawn,
};

pub(crate) const DEADLINE_MS: u64 = 2_000;
pub(crate) const US_PER_MS: u64 = 1_000;

pub(crate) fn us(at_ms: u64) -> u64 {
    at_ms * US_PER_MS
}

/// A request as its load generator recorded it; `key` is `key:team`, or empty.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Call {
    pub(crate) id: &'static str,
    pub(crate) queue: &'static str,
    pub(crate) key: &'static str,
    pub(crate) idempotent: bool,
}

pub(crate) fn call(id: &'static str, key: &'static str) -> Call {
    Call {
        id,
        queue: "quotes",
        key,
        idempotent: true,
    }
}

pub(crate) fn non_idempotent(id: &'static str, key: &'static str) -> Call {
    Call {
        idempotent: false,
        ..call(id, key)
    }
}

pub(crate) fn public_call(id: &'static str) -> Call {
    Call {
        queue: "public",
        ..call(id, "")
    }
}

impl Call {
    pub(crate) fn team(&self) -> Option<&'static str> {
        self.key.split_once(':').map(|(_, team)| team)
    }

    pub(crate) fn sent(&self, at_ms: u64) -> TraceEvent {
        TraceEvent::Sent(Sent {
            at_us: us(at_ms),
            process: "load-1".into(),
            request: self.id.into(),
            queue: self.queue.into(),
            team: self.team().map(Into::into),
            key: self.key.split_once(':').map(|(key, _)| key.into()),
            idempotent: self.idempotent,
            deadline_ms: Some(DEADLINE_MS),
        })
    }

    pub(crate) fn start(&self, at_ms: u64, vm: &str) -> TraceEvent {
        TraceEvent::Start(Start {
            at_us: us(at_ms),
            process: format!("runner-{vm}").as_str().into(),
            vm: vm.into(),
            pool: "quotes".into(),
            request: self.id.into(),
            attempt: 1,
            team: self.team().map(Into::into),
            idempotent: self.idempotent,
            leaving_since_us: None,
        })
    }

    pub(crate) fn end(&self, at_ms: u64, vm: &str) -> TraceEvent {
        TraceEvent::End(End {
            at_us: us(at_ms),
            process: format!("runner-{vm}").as_str().into(),
            vm: vm.into(),
            request: self.id.into(),
            attempt: 1,
            cut: false,
        })
    }

    pub(crate) fn received(
        &self,
        at_ms: u64,
        outcome: ReceivedOutcome,
        code: Option<u16>,
    ) -> TraceEvent {
        let is_answer = outcome == ReceivedOutcome::Answer;
        TraceEvent::Received(Received {
            at_us: us(at_ms),
            process: "load-1".into(),
            request: self.id.into(),
            outcome,
            code,
            status: None,
            whole: is_answer,
            answered_request: code.map(|_| self.id.into()),
            daemon: code.map(|_| "d2".into()),
        })
    }

    /// Returns the events of a request that is answered in 20 ms, with 10 ms of work.
    pub(crate) fn answered(&self, at_ms: u64, vm: &str) -> Vec<TraceEvent> {
        vec![
            self.sent(at_ms),
            self.start(at_ms + 5, vm),
            self.end(at_ms + 15, vm),
            self.received(at_ms + 20, ReceivedOutcome::Answer, Some(0)),
        ]
    }

    pub(crate) fn refused(&self, at_ms: u64, code: u16) -> Vec<TraceEvent> {
        vec![
            self.sent(at_ms),
            self.received(at_ms + 1, ReceivedOutcome::NotRun, Some(code)),
        ]
    }
}

pub(crate) fn pool_size(at_ms: u64, vms: u32, min_available: u32) -> TraceEvent {
    TraceEvent::PoolSize(PoolSize {
        at_us: us(at_ms),
        pool: "quotes".into(),
        vms,
        min_available,
        slots_per_vm: Some(1),
    })
}

pub(crate) fn vm_change(at_ms: u64, vm: &str, planned: bool) -> VmChange {
    VmChange {
        at_us: us(at_ms),
        vm: vm.into(),
        pool: "quotes".into(),
        planned,
    }
}

pub(crate) fn drain(at_ms: u64, vm: &str) -> TraceEvent {
    TraceEvent::VmDown(vm_change(at_ms, vm, true))
}

pub(crate) fn vm_failure(at_ms: u64, vm: &str) -> TraceEvent {
    TraceEvent::VmDown(vm_change(at_ms, vm, false))
}

pub(crate) fn vm_up(at_ms: u64, vm: &str) -> TraceEvent {
    TraceEvent::VmUp(vm_change(at_ms, vm, false))
}

pub(crate) fn evacuated(at_ms: u64, vm: &str) -> TraceEvent {
    TraceEvent::VmEvacuated(vm_change(at_ms, vm, true))
}

pub(crate) fn restored(at_ms: u64, vm: &str) -> TraceEvent {
    TraceEvent::VmRestored(vm_change(at_ms, vm, true))
}

pub(crate) fn limit(at_ms: u64, team: &str, limit: u32) -> TraceEvent {
    TraceEvent::Limit(Limit {
        at_us: us(at_ms),
        team: team.into(),
        limit,
    })
}

pub(crate) fn view(at_ms: u64, daemon: &str, vm: &str, pool: Option<&str>) -> TraceEvent {
    TraceEvent::PoolOf(PoolOf {
        at_us: us(at_ms),
        process: daemon.into(),
        vm: vm.into(),
        pool: pool.map(Into::into),
    })
}

pub(crate) fn process(at_ms: u64, process: &str) -> ProcessChange {
    ProcessChange {
        at_us: us(at_ms),
        process: process.into(),
    }
}

pub(crate) fn config(at_ms: u64, daemon: &str, offset: u64) -> TraceEvent {
    TraceEvent::Config(Config {
        at_us: us(at_ms),
        process: daemon.into(),
        offset,
    })
}

pub(crate) fn published(at_ms: u64, offset: u64) -> TraceEvent {
    TraceEvent::Published(Published {
        at_us: us(at_ms),
        offset,
    })
}

pub(crate) fn withdrawn(at_ms: u64, key: &str) -> TraceEvent {
    TraceEvent::Withdrawn(Withdrawn {
        at_us: us(at_ms),
        key: key.into(),
    })
}

pub(crate) fn open_queue(at_ms: u64, queue: &str) -> TraceEvent {
    TraceEvent::OpenQueue(OpenQueue {
        at_us: us(at_ms),
        queue: queue.into(),
    })
}

pub(crate) fn leaving_start(call: Call, at_ms: u64, vm: &str, since_ms: u64) -> TraceEvent {
    match call.start(at_ms, vm) {
        TraceEvent::Start(start) => TraceEvent::Start(Start {
            leaving_since_us: Some(us(since_ms)),
            ..start
        }),
        event => event,
    }
}

pub(crate) fn answered_while_leaving(
    call: Call,
    at_ms: u64,
    vm: &str,
    since_ms: u64,
) -> Vec<TraceEvent> {
    let mut events = call.answered(at_ms, vm);
    events[1] = leaving_start(call, at_ms + 5, vm, since_ms);
    events
}

pub(crate) fn renamed(event: TraceEvent, id: &str) -> TraceEvent {
    match event {
        TraceEvent::Sent(sent) => TraceEvent::Sent(Sent {
            request: id.into(),
            ..sent
        }),
        TraceEvent::Received(received) => TraceEvent::Received(Received {
            request: id.into(),
            answered_request: Some(id.into()),
            ..received
        }),
        TraceEvent::Start(start) => TraceEvent::Start(Start {
            request: id.into(),
            ..start
        }),
        TraceEvent::End(end) => TraceEvent::End(End {
            request: id.into(),
            ..end
        }),
        event => event,
    }
}
