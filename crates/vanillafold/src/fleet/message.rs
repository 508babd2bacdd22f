//! Requests to the owner of the shard, and its answers.

use bincode::{Decode, Encode};
use vanillafold_jobs::{JobId, JobSpec};

use super::evacuation::{EvacuatedZones, EvacuationVersion};

/// Path of the calls between fleet daemons; its number changes with their encoding.
pub const RPC_PATH: &str = "/fleet/3";

/// Reading of the clock of the shard's owner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub struct OwnerTime {
    /// Epoch of the ownership; 0 if there is no reading.
    pub epoch: u64,
    /// The owner's monotonic clock, in milliseconds.
    pub clock_ms: u64,
}

/// A request of a daemon to the owner, as it is sent. The order of the fields is part of the protocol.
#[derive(Debug, Encode)]
pub struct OutgoingCall<'a> {
    /// Time before which the caller's request had not arrived at the sender; the default for
    /// a request of the sender itself.
    pub received_at: OwnerTime,
    /// Latest epoch of an ownership that the sender knows of.
    pub latest_epoch: u64,
    /// Number of the attempt to deliver the request, from 1.
    pub delivery: u32,
    /// What the sender asks for.
    pub request: &'a FleetRequest,
}

impl<'a> OutgoingCall<'a> {
    /// Returns the call for a request that no caller has made.
    #[must_use]
    pub const fn internal(request: &'a FleetRequest) -> Self {
        Self {
            received_at: OwnerTime {
                epoch: 0,
                clock_ms: 0,
            },
            latest_epoch: 0,
            delivery: 1,
            request,
        }
    }
}

/// A request as the owner receives it; see [`OutgoingCall`].
#[derive(Debug, Decode)]
pub(crate) struct IncomingCall {
    pub(crate) received_at: OwnerTime,
    pub(crate) latest_epoch: u64,
    pub(crate) delivery: u32,
    pub(crate) request: FleetRequest,
}

/// Request of a daemon to the owner of the shard. Encoded as bincode: the order of the variants and
/// fields is part of the protocol.
#[derive(Debug, Clone, Encode, Decode)]
pub enum FleetRequest {
    /// Submits a job under an id that the caller chose; repeating the request has no further
    /// effect.
    Submit(JobId, JobSpec),
    /// Asks for the state of a job.
    State(JobId),
    /// Cancels a job.
    Cancel(JobId),
    /// Asks how many jobs of a queue have not started any task.
    Pending(String),
    /// Checks whether the owner is alive, and gives it the zone, CPU and latest epoch of the
    /// sender.
    Ping {
        /// Zone of the sender.
        zone: String,
        /// CPU that the sender may use, in thousandths of a core.
        cpu_millis: u64,
        /// Latest epoch of an ownership that the sender knows of.
        epoch: u64,
        /// `clock_ms` of the last answer that the sender got from this owner; 0 if it got none. A
        /// ping may arrive long after it was sent; this time, on the owner's clock, is when its
        /// sender was surely alive.
        owner_clock_ms: u64,
        /// What the sender knows of evacuated zones; `None` if it has not read the operator's records.
        evacuations: Option<EvacuationVersion>,
    },
    /// Asks for the owner's configuration if its version is later than this one.
    Config(u64),
    /// Gives the owner the value of the operator's configuration record, unparsed, because the
    /// owner's configuration is older.
    OfferConfig(Vec<u8>),
    /// Asks for the evacuated zones that the owner knows of.
    Evacuations,
    /// Gives the owner the evacuated zones that the sender knows of, because the owner lacks a change.
    OfferEvacuations(EvacuatedZones),
}

/// Answer to a [`FleetRequest`]. Encoded as bincode: the order of the variants and fields is part
/// of the protocol.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum FleetAnswer {
    /// The job is accepted, and its record is stored.
    Accepted,
    /// The request had no effect. A submitted job was not accepted and never runs, unless a caller
    /// submits it again after this answer.
    Refused {
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
        /// Whether the reason is overload rather than a fault of the daemon, the owner or the
        /// store.
        overload: bool,
    },
    /// State of the job, as text for callers.
    State(String),
    /// The owner knows no job with this id.
    NoJob,
    /// The job is cancelled and its outcome stored, or it had ended before.
    Cancelled,
    /// Number of jobs of the queue that have not started any task.
    Pending(u64),
    /// The daemon that was asked owns the shard.
    Pong {
        /// Epoch of the ownership.
        epoch: u64,
        /// Version of the owner's configuration; 0 if it has none.
        config_version: u64,
        /// The owner's monotonic clock.
        clock_ms: u64,
        /// Time since the store last confirmed the owner's membership, in milliseconds.
        unconfirmed_ms: u64,
        /// Whether the owner may send orders: it is not cut off from both the store and the other
        /// zones.
        may_send_orders: bool,
        /// What the owner knows of evacuated zones; `None` if it knows nothing.
        evacuations: Option<EvacuationVersion>,
    },
    /// The value of the operator's configuration record, unparsed; empty if the owner has no later
    /// version.
    Config(Vec<u8>),
    /// The evacuated zones that the owner knows of; `None` if it knows nothing.
    Evacuations(Option<EvacuatedZones>),
    /// The daemon that was asked does not own the shard, or has not taken it over yet.
    NotOwner,
    /// It is unknown whether the request had an effect.
    Undecided,
    /// This delivery of the request had no effect, but an earlier request about the same job may
    /// have had one or may have one later.
    Unconfirmed {
        /// Time after which the caller may send the request again, in milliseconds; `None` if it
        /// may do so at once.
        retry_after_ms: Option<u64>,
    },
}

impl FleetRequest {
    /// Returns the id of the job that the request is about, for log lines; empty if it is about
    /// none.
    #[must_use]
    pub fn job(&self) -> String {
        match self {
            Self::Submit(id, _) | Self::State(id) | Self::Cancel(id) => id.to_string(),
            Self::Pending(_)
            | Self::Ping { .. }
            | Self::Config(_)
            | Self::OfferConfig(_)
            | Self::Evacuations
            | Self::OfferEvacuations(..) => String::new(),
        }
    }

    /// Returns whether the request changes nothing.
    #[must_use]
    pub const fn is_read(&self) -> bool {
        !matches!(self, Self::Submit(..) | Self::Cancel(_))
    }

    /// Returns the kind of the request, for log lines and metrics.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Submit(..) => "submit",
            Self::State(_) => "state",
            Self::Cancel(_) => "cancel",
            Self::Pending(_) => "pending",
            Self::Ping { .. } => "ping",
            Self::Config(_) => "config",
            Self::OfferConfig(_) => "offer_config",
            Self::Evacuations => "evacuations",
            Self::OfferEvacuations(..) => "offer_evacuations",
        }
    }
}

impl FleetAnswer {
    /// Returns the kind of the answer, for log lines and metrics.
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
            Self::Evacuations(_) => "evacuations",
            Self::NotOwner => "not_owner",
            Self::Undecided => "undecided",
            Self::Unconfirmed { .. } => "unconfirmed",
        }
    }
}
