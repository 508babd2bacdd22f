//! Jobs on a fleet of leased workers: the daemon's loops around [`Shard`].
//!
//! | what the platform must do | [`FleetPlatform`], [`MetadataStore`], [`WorkerPoller`], [`OrderSender`], [`CloudApi`] |
//! |---|---|
//! | what the operator publishes | [`FleetConfig`], [`Route`], [`OperatorRecord`] |
//! | the daemon | [`FleetDaemon`], [`FleetSettings`] |
//! | what callers are told | [`FleetAnswer`], [`ResolvedRoute`], [`RouteError`] |
//!
//! [`Shard`]: vanillafold_jobs::Shard

mod advise;
mod config;
mod daemon;
mod forward;
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
pub use daemon::{FleetDaemon, FleetStartError};
pub use message::{FleetAnswer, FleetRequest};
pub use platform::{
    Advisor, AppendCondition, AppendError, Changes, CloudApi, CloudError, FleetPlatform, KeyedRow,
    Keyspace, LatestRows, Membership, MetadataStore, OrderSender, PartitionOwner, Producer,
    StoreError, WorkerPoller,
};
pub use settings::FleetSettings;
pub use time::unix_ms;
