//! Follows what the operator publishes.

use std::rc::Rc;

use monoio::time::sleep;

use super::config::OperatorRecord;
use super::hub::Fleet;
use super::metric;
use super::platform::{FleetPlatform, KeyedRow, Keyspace, MetadataStore, Newest, StoreError};
use super::settings::{OPERATOR_WAIT_MS, READ_RETRY};

/// The key of the configuration.
pub(crate) const CONFIG_KEY: &str = "config";

/// Reads the operator's records and their changes, for as long as the process lives.
pub(crate) async fn operator<P: FleetPlatform>(fleet: Rc<Fleet<P>>) {
    let mut store = fleet.platform.store();
    let mut next = None;
    let mut lost = false;
    loop {
        let read = match next {
            None => {
                let mut newest = Newest::default();
                let read = store.newest(Keyspace::Operator, &mut newest).await;
                read.map(|()| (newest.rows, newest.end.unwrap_or(0)))
            }
            Some(from) => store
                .follow(Keyspace::Operator, from, OPERATOR_WAIT_MS)
                .await
                .map(|tail| (tail.rows, tail.next)),
        };
        match read {
            Ok((rows, end)) => {
                if std::mem::replace(&mut lost, false) {
                    log::info!("the operator's records can be read again");
                }
                next = Some(end);
                for row in &rows {
                    take_in(&fleet, row);
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
                sleep(READ_RETRY).await;
            }
        }
    }
}

fn take_in<P: FleetPlatform>(fleet: &Fleet<P>, row: &KeyedRow) {
    if row.value.is_empty() {
        return;
    }
    match fleet.platform.operator_record(row) {
        Ok(Some(OperatorRecord::Config(config))) => {
            fleet.adopt_config(*config, row.value.clone(), "store");
        }
        Ok(Some(OperatorRecord::Wave(wave))) => {
            let mut waves = fleet.waves.borrow_mut();
            if waves.iter().all(|known| known.number != wave.number) {
                log::info!(wave = wave.number, machines = wave.vms.len(); "wave of upkeep");
                waves.push(wave.clone());
                if let Some(office) = fleet.open_office() {
                    office.add_wave(wave);
                }
            }
        }
        Ok(None) => {}
        Err(error) => {
            log::warn!(key = row.key.as_str(), error = error; "record of the operator can't be read");
        }
    }
}
