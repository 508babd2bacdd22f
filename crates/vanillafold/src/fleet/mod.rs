//! The fleet daemon: schedules jobs on a fleet of leased workers.
//!
//! Daemons elect one owner of the [`Shard`] through a group of the platform's metadata store. The
//! owner takes in jobs, polls workers, sends them orders, operates on VMs and writes the shard's
//! records; the other daemons forward requests to it.
//!
//! | interface to the platform | [`FleetPlatform`], [`MetadataStore`], [`WorkerConnection`], [`CloudApi`] |
//! |---|---|
//! | operator's configuration | [`FleetConfig`], [`Route`], [`OperatorRecord`] |
//! | the daemon | [`FleetDaemon`], [`CallerConnection`], [`FleetSettings`] |
//! | evacuation of zones | [`EvacuatedZones`], [`EvacuationVersion`], [`ZoneChange`] |
//! | calls between daemons | [`OutgoingCall`], [`FleetRequest`], [`OwnerTime`] |
//! | answers to callers | [`FleetAnswer`], [`ResolvedRoute`], [`RouteError`] |
//!
//! [`Shard`]: vanillafold_jobs::Shard

mod advise;
mod config;
mod connection;
mod daemon;
mod evacuation;
mod forward;
mod ignored;
mod membership;
mod message;
mod metric;
mod operator;
mod owner;
mod ownership;
mod platform;
mod settings;
mod time;
mod vms;
mod workers;
mod writer;

pub use config::{FleetConfig, OperatorRecord, ResolvedRoute, Route, RouteError};
pub use connection::CallerConnection;
pub use daemon::{FleetDaemon, FleetStartError};
pub use evacuation::{EvacuatedZones, EvacuationVersion, ZoneChange};
pub use ignored::IgnoredInput;
pub use message::{FleetAnswer, FleetRequest, OutgoingCall, OwnerTime, RPC_PATH};
pub use platform::{
    Advisor, AppendCondition, AppendError, Changes, CloudApi, CloudError, FleetPlatform, KeyedRow,
    Keyspace, LatestRows, Membership, MetadataStore, PartitionOwner, Producer, StoreError, VmList,
    WorkerConnection,
};
pub use settings::FleetSettings;
pub use time::unix_ms;
