//! Recovery of the state: writes snapshots to the log, restores the state from them when the
//! platform has dropped the first records, and transfers state, records and the VM list between
//! daemons while the platform is unavailable. The design note is `docs/design/0008-recovery.md`.

mod cache;
mod exchange;
mod inventory;
mod log_scan;
mod peer_records;
mod peer_start;
mod served;
mod shared;
mod snapshot_tracker;
mod transfer;
mod withdrawal;
mod writer;

pub(crate) use exchange::{answer_records, answer_snapshot};
pub(crate) use inventory::{answer_inventory, decode_inventory_request};
pub(crate) use log_scan::{LogScan, snapshot_chunk};
pub(crate) use peer_records::follow_peer_records;
pub(crate) use peer_start::restore_from_peers;
pub(crate) use shared::Recovery;
pub(crate) use withdrawal::{note_withdrawal, withdraw_key};
pub(crate) use writer::write_snapshots;
