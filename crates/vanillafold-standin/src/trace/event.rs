//! The events of a trace. Each `at_us` is a time of [`monotonic_us`](super::monotonic_us).

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{KeyName, PoolName, ProcessName, QueueName, RequestName, TeamName, VmName};

/// One line of a trace; `kind` names the variant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum TraceEvent {
    /// A load is about to send a request.
    Sent(Sent),
    /// A load has the end of a request.
    Received(Received),
    /// A runner begins the work of a request.
    Start(Start),
    /// A runner is done with the work of a request.
    End(End),
    /// A team's limit is about to be changed.
    Limit(Limit),
    /// The withdrawal of a key was acknowledged.
    Withdrawn(Withdrawn),
    /// A queue is about to be opened to all.
    OpenQueue(OpenQueue),
    /// A pool's size and availability budget.
    PoolSize(PoolSize),
    /// A VM is unavailable from now on.
    VmDown(VmChange),
    /// A VM is available from now on.
    VmUp(VmChange),
    /// A line of a daemon's view of the VMs.
    PoolOf(PoolOf),
    /// A planned stop of a daemon was asked for.
    Stopping(ProcessChange),
    /// A daemon, runner or load was killed as an injected fault.
    Killed(ProcessChange),
    /// A daemon or runner was started.
    Started(ProcessChange),
    /// A daemon was paused, or cut off from the platform and its peers.
    Isolated(ProcessChange),
    /// The pause of a daemon, or the cut around it, ended.
    Rejoined(ProcessChange),
    /// The configuration that a daemon shows as in force.
    Config(Config),
    /// An edit was accepted.
    Published(Published),
}

impl TraceEvent {
    /// When it happened, in microseconds of [`monotonic_us`](super::monotonic_us).
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
            Self::VmDown(event) | Self::VmUp(event) => event.at_us,
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

/// A load is about to send a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sent {
    /// When, before its first byte is sent.
    pub at_us: u64,
    /// The load.
    pub process: ProcessName,
    /// The request's id. A repeat of the same id is a second `sent`.
    pub request: RequestName,
    /// The queue.
    pub queue: QueueName,
    /// The team that the key speaks for; absent without a key and with a key that is not valid.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamName>,
    /// The key that goes with it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<KeyName>,
    /// Whether it may run twice without harm.
    pub idempotent: bool,
    /// How long the load waits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}

/// How a request ended for the load that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReceivedOutcome {
    /// `Vf-Outcome: answer`, to the last byte of its framing.
    Answer,
    /// `Vf-Outcome: not-run`.
    NotRun,
    /// `Vf-Outcome: may-have-run`.
    MayHaveRun,
    /// The answer broke off after its head.
    Cut,
    /// No head of an answer came.
    NoAnswer,
}

impl ReceivedOutcome {
    /// The outcome as a trace writes it.
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

/// A load has the end of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Received {
    /// When its last byte or its failure came.
    pub at_us: u64,
    /// The load.
    pub process: ProcessName,
    /// The id of the request that was sent on this connection.
    pub request: RequestName,
    /// How it ended.
    pub outcome: ReceivedOutcome,
    /// `Vf-Result-Code`, if there was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub code: Option<u16>,
    /// The HTTP status, if there was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// Whether the body is the right one, in full; at another status than 200, whether its framing
    /// was complete.
    #[serde(default, skip_serializing_if = "is_false")]
    pub whole: bool,
    /// `Vf-Request-Id` of the answer, if there was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answered_request: Option<RequestName>,
    /// `Vf-Daemon` of the answer, or else the daemon it was sent to, if the load knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub daemon: Option<ProcessName>,
}

/// A runner begins the work of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// When, before the work itself.
    pub at_us: u64,
    /// The runner.
    pub process: ProcessName,
    /// Its VM.
    pub vm: VmName,
    /// Its pool.
    pub pool: PoolName,
    /// The request.
    pub request: RequestName,
    /// `Vf-Attempt`.
    pub attempt: u32,
    /// `Vf-Team`; absent on open queues.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamName>,
    /// `Vf-Idempotent`.
    pub idempotent: bool,
    /// Since when the runner is leaving; absent unless it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving_since_us: Option<u64>,
}

/// A runner is done with the work of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// When the slot came free: before the last byte of the answer is sent.
    pub at_us: u64,
    /// The runner.
    pub process: ProcessName,
    /// Its VM.
    pub vm: VmName,
    /// The request.
    pub request: RequestName,
    /// `Vf-Attempt`.
    pub attempt: u32,
    /// Whether the runner itself breaks the answer off (mode `cut`).
    #[serde(default, skip_serializing_if = "is_false")]
    pub cut: bool,
}

/// A team's limit is about to be changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// When, before the edit is sent.
    pub at_us: u64,
    /// The team.
    pub team: TeamName,
    /// The most it may have running.
    pub limit: u32,
}

/// The withdrawal of a key was acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdrawn {
    /// When the acknowledgement came.
    pub at_us: u64,
    /// The key; its id is not given again.
    pub key: KeyName,
}

/// A queue is about to be opened to all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenQueue {
    /// When, before the edit is sent.
    pub at_us: u64,
    /// The queue.
    pub queue: QueueName,
}

/// A pool's size and availability budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSize {
    /// From when.
    pub at_us: u64,
    /// The pool.
    pub pool: PoolName,
    /// How many VMs belong to it, available or not.
    pub vms: u32,
    /// How many must be available at any time.
    pub min_available: u32,
    /// Slots of each VM; without it the pool is never seen as full.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots_per_vm: Option<u32>,
}

/// A VM is unavailable, or available again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmChange {
    /// From when. A planned drain makes the VM unavailable from its beginning.
    pub at_us: u64,
    /// The VM.
    pub vm: VmName,
    /// Its pool.
    pub pool: PoolName,
    /// Whether maintenance, and not a failure, is the reason.
    #[serde(default, skip_serializing_if = "is_false")]
    pub planned: bool,
}

/// A line of a daemon's view of the VMs. All lines of one view carry one `at_us`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolOf {
    /// When the view was taken.
    pub at_us: u64,
    /// The daemon.
    pub process: ProcessName,
    /// The VM.
    pub vm: VmName,
    /// A pool that it belongs to; absent if it belongs to none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<PoolName>,
}

/// Something was done to a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessChange {
    /// When.
    pub at_us: u64,
    /// The process.
    pub process: ProcessName,
}

/// The configuration that a daemon shows as in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// When the daemon was asked.
    pub at_us: u64,
    /// The daemon.
    pub process: ProcessName,
    /// The offset of the newest edit in force.
    pub offset: u64,
}

/// An edit was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// When.
    pub at_us: u64,
    /// Its offset.
    pub offset: u64,
}

// The signature is the one that serde asks for.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_false(value: &bool) -> bool {
    !*value
}
