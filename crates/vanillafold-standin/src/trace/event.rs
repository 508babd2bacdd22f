//! The events of a trace. Each `at_us` is a time of [`monotonic_us`](super::monotonic_us).

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{KeyName, PoolName, ProcessName, QueueName, RequestName, TeamName, VmName};

/// One line of a trace; its field `kind` names the variant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum TraceEvent {
    /// A load generator is about to send a request.
    Sent(Sent),
    /// A request ended for the load generator that sent it.
    Received(Received),
    /// A runner starts the work of a request.
    Start(Start),
    /// A runner ended the work of a request.
    End(End),
    /// A team's limit is about to be changed.
    Limit(Limit),
    /// The withdrawal of a key was acknowledged.
    Withdrawn(Withdrawn),
    /// A queue is about to be opened to all callers.
    OpenQueue(OpenQueue),
    /// A pool has this size and availability budget from now on.
    PoolSize(PoolSize),
    /// A VM is unavailable from now on.
    VmDown(VmChange),
    /// A VM is available from now on.
    VmUp(VmChange),
    /// The evacuation of a VM's zone was acknowledged.
    VmEvacuated(VmChange),
    /// The evacuation of a VM's zone is about to be withdrawn.
    VmRestored(VmChange),
    /// A line of a daemon's view of the VMs.
    PoolOf(PoolOf),
    /// A planned stop of a daemon was requested.
    Stopping(ProcessChange),
    /// A daemon, runner or load generator was killed as an injected fault.
    Killed(ProcessChange),
    /// A daemon or runner was started.
    Started(ProcessChange),
    /// A daemon was paused, or partitioned from the platform and its peers.
    Isolated(ProcessChange),
    /// The pause or the network partition of a daemon ended.
    Rejoined(ProcessChange),
    /// A daemon showed the configuration that it has in force.
    Config(Config),
    /// A configuration edit was accepted.
    Published(Published),
}

impl TraceEvent {
    /// Returns the time of the event, as of [`monotonic_us`](super::monotonic_us).
    #[must_use]
    pub const fn at_us(&self) -> u64 {
        match self {
            Self::Sent(event) => event.at_us,
            Self::Received(event) => event.at_us,
            Self::Start(event) => event.at_us,
            Self::End(event) => event.at_us,
            Self::Limit(event) => event.at_us,
            Self::Withdrawn(event) => event.at_us,
            Self::OpenQueue(event) => event.at_us,
            Self::PoolSize(event) => event.at_us,
            Self::VmDown(event)
            | Self::VmUp(event)
            | Self::VmEvacuated(event)
            | Self::VmRestored(event) => event.at_us,
            Self::PoolOf(event) => event.at_us,
            Self::Stopping(event)
            | Self::Killed(event)
            | Self::Started(event)
            | Self::Isolated(event)
            | Self::Rejoined(event) => event.at_us,
            Self::Config(event) => event.at_us,
            Self::Published(event) => event.at_us,
        }
    }
}

/// A load generator is about to send a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sent {
    /// The time just before the first byte is sent.
    pub at_us: u64,
    /// The load generator.
    pub process: ProcessName,
    /// The request's id. A repeat with the same id is recorded as another `sent`.
    pub request: RequestName,
    /// The queue that it is sent to.
    pub queue: QueueName,
    /// The team that the key belongs to; absent if there is no key or it is not valid.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamName>,
    /// The key that is sent with the request; absent if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<KeyName>,
    /// Whether the request may run twice without harm.
    pub idempotent: bool,
    /// How long the load generator waits for the answer; absent if it sets no deadline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}

/// How a request ended for the load generator that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReceivedOutcome {
    /// `Vf-Outcome: answer`, received to the last byte of its framing.
    Answer,
    /// `Vf-Outcome: not-run`.
    NotRun,
    /// `Vf-Outcome: may-have-run`.
    MayHaveRun,
    /// The answer ended early after its head.
    Cut,
    /// No complete head of an answer arrived.
    NoAnswer,
}

impl ReceivedOutcome {
    /// Returns the outcome as written in a trace.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Cut => "cut",
            Self::NoAnswer => "no-answer",
        }
    }
}

impl fmt::Display for ReceivedOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A request ended for the load generator that sent it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Received {
    /// The time at which the last byte or the failure came.
    pub at_us: u64,
    /// The load generator.
    pub process: ProcessName,
    /// The id of the request that was sent on this connection.
    pub request: RequestName,
    /// How the request ended.
    pub outcome: ReceivedOutcome,
    /// `Vf-Result-Code`, if there was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub code: Option<u16>,
    /// The HTTP status, if there was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// Whether the body has exactly the expected bytes; with a status other than 200, whether its
    /// framing was complete.
    #[serde(default, skip_serializing_if = "is_false")]
    pub whole: bool,
    /// `Vf-Request-Id` of the answer, if there was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answered_request: Option<RequestName>,
    /// `Vf-Daemon` of the answer, or else the daemon that the request was sent to, if the load
    /// generator knows it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub daemon: Option<ProcessName>,
}

/// A runner starts the work of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The time just before the work itself.
    pub at_us: u64,
    /// The runner.
    pub process: ProcessName,
    /// The VM that the runner runs on.
    pub vm: VmName,
    /// The pool that the VM belongs to.
    pub pool: PoolName,
    /// The request's id.
    pub request: RequestName,
    /// The header `Vf-Attempt` of the request.
    pub attempt: u32,
    /// The header `Vf-Team` of the request; absent on open queues.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamName>,
    /// The header `Vf-Idempotent` of the request.
    pub idempotent: bool,
    /// The time since which the runner has been leaving; absent if it is not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving_since_us: Option<u64>,
}

/// A runner ended the work of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The time at which the slot became free, before the last byte of the answer is sent.
    pub at_us: u64,
    /// The runner.
    pub process: ProcessName,
    /// The VM that the runner runs on.
    pub vm: VmName,
    /// The request's id.
    pub request: RequestName,
    /// The header `Vf-Attempt` of the request.
    pub attempt: u32,
    /// Whether the runner itself truncated the answer (mode `cut`).
    #[serde(default, skip_serializing_if = "is_false")]
    pub cut: bool,
}

/// A team's limit is about to be changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// The time just before the edit is sent.
    pub at_us: u64,
    /// The team.
    pub team: TeamName,
    /// The largest number of requests that the team may have running.
    pub limit: u32,
}

/// The withdrawal of a key was acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdrawn {
    /// The time at which the acknowledgement came.
    pub at_us: u64,
    /// The key; its id is never used for another key.
    pub key: KeyName,
}

/// A queue is about to be opened to all callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenQueue {
    /// The time just before the edit is sent.
    pub at_us: u64,
    /// The queue.
    pub queue: QueueName,
}

/// The size and availability budget of a pool from a time on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSize {
    /// The time from which they apply.
    pub at_us: u64,
    /// The pool.
    pub pool: PoolName,
    /// The number of VMs that belong to the pool, available or not.
    pub vms: u32,
    /// The number of VMs that must be available at any time.
    pub min_available: u32,
    /// The number of slots of each VM; if absent, the audit never counts the pool as full.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots_per_vm: Option<u32>,
}

/// A VM became unavailable or available again, or its zone was evacuated or restored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmChange {
    /// The time of the change. A planned drain makes the VM unavailable from its start.
    pub at_us: u64,
    /// The VM.
    pub vm: VmName,
    /// The pool that the VM belongs to.
    pub pool: PoolName,
    /// Whether the cause is maintenance and not a failure.
    #[serde(default, skip_serializing_if = "is_false")]
    pub planned: bool,
}

/// A line of a daemon's view of the VMs. All lines of one view have the same `at_us`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolOf {
    /// The time at which the view was read.
    pub at_us: u64,
    /// The daemon.
    pub process: ProcessName,
    /// The VM.
    pub vm: VmName,
    /// A pool that the VM belongs to; absent if it belongs to none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<PoolName>,
}

/// A process was stopped, killed, started, isolated or rejoined, as the event's kind says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessChange {
    /// The time of the change.
    pub at_us: u64,
    /// The process.
    pub process: ProcessName,
}

/// A daemon showed the configuration that it has in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// The time at which the daemon was asked.
    pub at_us: u64,
    /// The daemon.
    pub process: ProcessName,
    /// The log offset of the latest edit in force.
    pub offset: u64,
}

/// A configuration edit was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// The time at which the edit was accepted.
    pub at_us: u64,
    /// The log offset of the edit.
    pub offset: u64,
}

// Serde requires a function that takes a reference.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_false(value: &bool) -> bool {
    !*value
}
