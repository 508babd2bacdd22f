//! What daemons ask the owner of the shard, and what callers are told.

use bincode::{Decode, Encode};
use vanillafold_jobs::{JobId, JobSpec};

/// A call of the owner.
#[derive(Debug, Clone, Encode, Decode)]
pub enum FleetRequest {
    /// Take this job.
    Submit(JobId, JobSpec),
    /// How does it stand?
    State(JobId),
    /// Cancel it.
    Cancel(JobId),
    /// How many jobs of this queue have no task that has started?
    Pending(String),
    /// Are you there?
    Ping {
        /// The zone of the daemon that asks.
        zone: String,
        /// The processor that it may use, in thousandths of a core.
        cpu_millis: u64,
        /// The latest epoch that it knows of.
        epoch: u64,
        /// The time of the last answer of this owner, on the owner's clock; 0 if there is none. A
        /// call may arrive long after it was sent: this says how old it can be.
        owner_clock_ms: u64,
    },
    /// Which configuration do you have, if it is later than this version?
    Config(u64),
}

/// What the owner says.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum FleetAnswer {
    /// The job is accepted and stored.
    Accepted,
    /// The job is not accepted and never runs.
    Refused {
        /// When its caller may come back, in milliseconds.
        retry_after_ms: u64,
        /// Because of load, not of a fault.
        overload: bool,
    },
    /// The state, in words.
    State(String),
    /// There is no such job.
    NoJob,
    /// The job is cancelled, and that is stored; or it was over.
    Cancelled,
    /// So many.
    Pending(u64),
    /// The daemon that was asked owns the shard.
    Pong {
        /// Its epoch.
        epoch: u64,
        /// The version of its configuration.
        config_version: u64,
        /// The owner's clock.
        clock_ms: u64,
        /// How long ago the store last confirmed it, in milliseconds.
        unconfirmed_ms: u64,
        /// It gives orders: it is not cut off from the store and the other zones.
        acting: bool,
    },
    /// The configuration record, as the operator wrote it; empty if there is none later.
    Config(Vec<u8>),
    /// The daemon that was asked does not own the shard, or not yet.
    NotOwner,
    /// It is not known whether the request had its effect.
    Undecided,
}

impl FleetRequest {
    /// The id of the job that it is about, for logs; empty if it is about none.
    #[must_use]
    pub fn job(&self) -> String {
        match self {
            Self::Submit(id, _) | Self::State(id) | Self::Cancel(id) => id.to_string(),
            Self::Pending(_) | Self::Ping { .. } | Self::Config(_) => String::new(),
        }
    }

    /// The kind of the request, for logs and metrics.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Submit(..) => "submit",
            Self::State(_) => "state",
            Self::Cancel(_) => "cancel",
            Self::Pending(_) => "pending",
            Self::Ping { .. } => "ping",
            Self::Config(_) => "config",
        }
    }
}

impl FleetAnswer {
    /// The kind of the answer, for logs and metrics.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused { overload: true, .. } => "refused_load",
            Self::Refused { .. } => "refused_fault",
            Self::State(_) => "state",
            Self::NoJob => "no_job",
            Self::Cancelled => "cancelled",
            Self::Pending(_) => "pending",
            Self::Pong { .. } => "pong",
            Self::Config(_) => "config",
            Self::NotOwner => "not_owner",
            Self::Undecided => "undecided",
        }
    }
}
