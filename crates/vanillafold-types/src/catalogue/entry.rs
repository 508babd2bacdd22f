//! The entries of the catalogue.

use std::fmt;

use bincode::{Decode, Encode};

use crate::{
    ByteSize, Class, Connections, KeyId, Limit, Millis, Owner, Percent, PoolId, QueueId, Share,
    Slots, TeamId,
};

/// The longest deadline that a queue may allow, in milliseconds.
pub const MAX_DEADLINE_MS: Millis = Millis::new(3_600_000);

/// The largest request body that a daemon keeps in memory, so that a retry can send it again. A
/// larger one is streamed to the target and sent once.
pub const MAX_REPLAYABLE_BODY: ByteSize = ByteSize::new(64 << 10);

/// The minimum time left until the deadline for a retry; with less, its answer would come too late.
pub const MIN_RETRY_REMAINING: Millis = Millis::new(20);

/// The value of a queue's `teams` key that allows every team.
pub const WILDCARD_TEAMS: &str = "all";

/// A pool of interchangeable VMs.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Pool {
    /// The name of the entry.
    pub id: PoolId,
    /// The person or group responsible for the entry.
    pub owner: Owner,
    /// How soon the entry's work must start.
    pub class: Class,
    /// The percentage of the pool's VMs that must stay available.
    pub min_available_percent: Percent,
    /// The number of requests that one VM runs at a time, from all daemons together.
    pub slots_per_vm: Slots,
    /// The number of connections that one VM accepts, from all daemons together.
    pub connections_per_vm: Connections,
}

/// A team that submits work.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Team {
    /// The name of the entry.
    pub id: TeamId,
    /// The person or group responsible for the entry.
    pub owner: Owner,
    /// How soon the entry's work must start.
    pub class: Class,
    /// The team's weight when all slots are in use.
    pub share: Share,
    /// The maximum number of requests that the team may have running in the whole fleet.
    pub limit: Limit,
}

/// A queue that callers send requests to.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Queue {
    /// The name of the entry.
    pub id: QueueId,
    /// The person or group responsible for the entry.
    pub owner: Owner,
    /// How soon the entry's work must start.
    pub class: Class,
    /// The pool whose VMs serve the queue.
    pub pool: PoolId,
    /// Whether requests without a key are accepted.
    pub open: bool,
    /// The teams that may use the queue; empty means all.
    pub teams: Vec<TeamId>,
    /// The deadline of requests that have no `Vf-Deadline-Ms` header.
    pub deadline_ms: Millis,
    /// The longest deadline that a request may ask for.
    pub max_deadline_ms: Millis,
    /// The maximum number of requests that may wait in the queue on one daemon.
    pub max_waiting: u32,
    /// The maximum number of retries, as a percentage of first sends.
    pub retry_percent: Percent,
    /// The largest request body that is accepted.
    pub max_body: ByteSize,
}

impl Queue {
    /// Returns whether `team` may use the queue; a queue that lists no teams accepts all.
    #[must_use]
    pub fn accepts_team(&self, team: &TeamId) -> bool {
        self.teams.is_empty() || self.teams.contains(team)
    }
}

/// A key of a team. The catalogue holds its digest, not its secret.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Key {
    /// The name of the key: the part before the dot.
    pub id: KeyId,
    /// The person or group responsible for the entry.
    pub owner: Owner,
    /// The team whose requests carry the key.
    pub team: TeamId,
    /// The SHA-256 digest of the whole key.
    pub digest: [u8; 32],
}

/// The kind and name of a catalogue entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum EntryName {
    /// The name of a pool.
    Pool(PoolId),
    /// The name of a team.
    Team(TeamId),
    /// The name of a queue.
    Queue(QueueId),
    /// The name of a key.
    Key(KeyId),
}

impl EntryName {
    /// Returns the kind of the entry, as the header of its section gives it.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Pool(_) => "pool",
            Self::Team(_) => "team",
            Self::Queue(_) => "queue",
            Self::Key(_) => "key",
        }
    }

    /// Returns the name of the entry, without its kind.
    #[must_use]
    pub fn id(&self) -> &str {
        match self {
            Self::Pool(id) => id.as_str(),
            Self::Team(id) => id.as_str(),
            Self::Queue(id) => id.as_str(),
            Self::Key(id) => id.as_str(),
        }
    }
}

impl fmt::Display for EntryName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind(), self.id())
    }
}
