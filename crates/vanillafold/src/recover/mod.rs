//! Getting the state back: snapshots, the start without the first records, and what daemons
//! give each other while the platform is out. The design note is `docs/design/0008-recovery.md`.

mod cache;
mod exchange;
mod inventory;
mod log_scan;
mod peer_records;
mod peer_start;
mod served;
mod shared;
mod transfer;
mod watch;
mod withdrawal;
mod writer;

pub(crate) use exchange::{answer_records, answer_snapshot};
pub(crate) use inventory::{answer_inventory, decode};
pub(crate) use log_scan::{LogScan, snapshot_piece};
pub(crate) use peer_records::follow_peers;
pub(crate) use peer_start::start_from_peers;
pub(crate) use shared::Recovery;
pub(crate) use withdrawal::withdraw_key;
pub(crate) use writer::write_snapshots;
