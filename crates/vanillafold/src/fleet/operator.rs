//! Follows what the operator publishes.

use std::rc::Rc;

use monoio::time::sleep;

use super::config::OperatorRecord;
use super::daemon::FleetDaemon;
use super::metric;
use super::platform::{FleetPlatform, KeyedRow, Keyspace, LatestRows, MetadataStore, StoreError};
use super::settings::{OPERATOR_WAIT_MS, READ_RETRY_DELAY};

/// The key of the configuration.
pub(crate) const CONFIG_KEY: &str = "config";

/// Reads the operator's records and their changes, for as long as the process lives.
pub(crate) async fn follow<P: FleetPlatform>(daemon: Rc<FleetDaemon<P>>) {
    let mut store = daemon.platform.store();
    let mut next = None;
    let mut lost = false;
    loop {
        let read = match next {
            None => {
                let mut newest = LatestRows::default();
                let read = store.read_latest(Keyspace::Operator, &mut newest).await;
                read.map(|()| (newest.rows, newest.next_offset.unwrap_or(0)))
            }
            Some(from) => store
                .read_changes(Keyspace::Operator, from, OPERATOR_WAIT_MS)
                .await
                .map(|tail| (tail.rows, tail.next_offset)),
        };
        match read {
            Ok((rows, end)) => {
                if std::mem::replace(&mut lost, false) {
                    log::info!("the operator's records can be read again");
                }
                next = Some(end);
                for row in &rows {
                    take_in(&daemon, row);
                }
            }
            Err(StoreError::Trimmed) => next = None,
            Err(error) => {
                if !std::mem::replace(&mut lost, true) {
                    metric::dependency_lost("store_reads");
                    log::warn!(error = error.to_string(); "the operator's records can't be read");
                }
                // Changes in an outage may be missed by a follower: begin with what is newest.
                next = None;
                sleep(READ_RETRY_DELAY).await;
            }
        }
    }
}

fn take_in<P: FleetPlatform>(daemon: &FleetDaemon<P>, row: &KeyedRow) {
    if row.value.is_empty() {
        return;
    }
    match daemon.platform.operator_record(row) {
        Ok(Some(OperatorRecord::Config(config))) => {
            daemon.adopt_config(*config, row.value.clone(), "store");
        }
        Ok(Some(OperatorRecord::Wave(wave))) => {
            let mut waves = daemon.waves.borrow_mut();
            if waves.iter().all(|known| known.number != wave.number) {
                log::info!(wave = wave.number, machines = wave.machines.len(); "wave of upkeep");
                waves.push(wave.clone());
                if let Some(ownership) = daemon.active_ownership() {
                    ownership.add_wave(wave);
                }
            }
        }
        Ok(None) => {}
        Err(error) => {
            log::warn!(key = row.key.as_str(), error = error; "record of the operator can't be read");
        }
    }
}
