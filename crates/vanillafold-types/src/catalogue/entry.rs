//! The entries of the catalogue.

use std::fmt;

use bincode::{Decode, Encode};

use crate::{
    ByteSize, Class, Connections, KeyId, Limit, Millis, Owner, Percent, PoolId, QueueId, Share,
    Slots, TeamId,
};

/// The longest deadline that a queue may allow.
pub const MAX_DEADLINE_MS: Millis = Millis::new(3_600_000);

/// The word that stands for every team in a queue's list of teams.
pub const WILDCARD_TEAMS: &str = "all";

/// A pool of VMs that serve the same work.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Pool {
    /// Its name.
    pub id: PoolId,
    /// Who answers for it.
    pub owner: Owner,
    /// How soon its work must start.
    pub class: Class,
    /// The share of its VMs that must stay available.
    pub min_available_percent: Percent,
    /// What one VM runs at a time, from all daemons together.
    pub slots_per_vm: Slots,
    /// What one VM takes in connections, from all daemons together.
    pub connections_per_vm: Connections,
}

/// A team that submits work.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Team {
    /// Its name.
    pub id: TeamId,
    /// Who answers for it.
    pub owner: Owner,
    /// How soon its work must start.
    pub class: Class,
    /// Its weight when everything is full.
    pub share: Share,
    /// The most that it may have running fleet-wide.
    pub limit: Limit,
}

/// A queue that callers send requests to.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Queue {
    /// Its name.
    pub id: QueueId,
    /// Who answers for it.
    pub owner: Owner,
    /// How soon its work must start.
    pub class: Class,
    /// The pool that serves it.
    pub pool: PoolId,
    /// Whether requests without a key are taken.
    pub open: bool,
    /// The teams that may use it; empty means all.
    pub teams: Vec<TeamId>,
    /// The deadline of requests that name none.
    pub deadline_ms: Millis,
    /// The longest deadline that a request may name.
    pub max_deadline_ms: Millis,
    /// How many requests may wait on one daemon.
    pub max_waiting: u32,
    /// Retries allowed, as a percentage of first sends.
    pub retry_percent: Percent,
    /// The largest body.
    pub max_body: ByteSize,
}

/// A key, without its secret.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Key {
    /// Its name, the part of the key before the dot.
    pub id: KeyId,
    /// Who answers for it.
    pub owner: Owner,
    /// The team that it speaks for.
    pub team: TeamId,
    /// SHA-256 of the whole key.
    pub digest: [u8; 32],
}

/// The name of an entry of any kind.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum EntryName {
    /// A pool.
    Pool(PoolId),
    /// A team.
    Team(TeamId),
    /// A queue.
    Queue(QueueId),
    /// A key.
    Key(KeyId),
}

impl fmt::Display for EntryName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Pool(id) => write!(f, "pool {id}"),
            Self::Team(id) => write!(f, "team {id}"),
            Self::Queue(id) => write!(f, "queue {id}"),
            Self::Key(id) => write!(f, "key {id}"),
        }
    }
}
