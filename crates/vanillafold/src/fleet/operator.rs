//! The task that reads the operator's configurations and maintenance waves from the store.

use std::rc::Rc;

use monoio::time::sleep;

use super::config::OperatorRecord;
use super::daemon::FleetDaemon;
use super::ignored::IgnoredInput;
use super::metric;
use super::platform::{FleetPlatform, KeyedRow, Keyspace, LatestRows, MetadataStore, StoreError};
use super::settings::{OPERATOR_WAIT_MS, READ_RETRY_DELAY};

/// Key of the configuration in [`Keyspace::Operator`].
pub(crate) const CONFIG_KEY: &str = "config";

/// Reads the operator's records and then their changes, until the process ends.
pub(crate) async fn read_records<P: FleetPlatform>(daemon: Rc<FleetDaemon<P>>) {
    let mut store = daemon.platform.store();
    let mut next = None;
    let mut reads_failing = false;
    let mut ignored = IgnoredInput::new("record of the operator");
    loop {
        let read = match next {
            None => {
                let mut latest = LatestRows::default();
                let read = store.read_latest(Keyspace::Operator, &mut latest).await;
                read.map(|()| (latest.rows, latest.next_offset.unwrap_or(0)))
            }
            Some(from) => store
                .read_changes(Keyspace::Operator, from, OPERATOR_WAIT_MS)
                .await
                .map(|changes| (changes.rows, changes.next_offset)),
        };
        match read {
            Ok((rows, end)) => {
                if std::mem::replace(&mut reads_failing, false) {
                    log::info!("the operator's records are readable again");
                }
                next = Some(end);
                for row in &rows {
                    apply_row(&daemon, row, &mut ignored);
                }
            }
            Err(StoreError::Trimmed | StoreError::Unreadable(_)) => next = None,
            Err(error) => {
                if !std::mem::replace(&mut reads_failing, true) {
                    metric::dependency_lost("store_reads");
                    log::warn!(error = error.to_string(); "reading the operator's records failed; retrying with the active configuration unchanged");
                }
                // After an outage, the changes from an offset on may be incomplete: start over from
                // the latest values.
                next = None;
                sleep(READ_RETRY_DELAY).await;
            }
        }
    }
}

/// Applies a record of the operator: activates a later configuration or adds a new wave. A deleted
/// record changes nothing.
fn apply_row<P: FleetPlatform>(
    daemon: &FleetDaemon<P>,
    row: &KeyedRow,
    ignored: &mut IgnoredInput,
) {
    if row.value.is_empty() {
        return ignored.resolve(&row.key);
    }
    let record = daemon.platform.operator_record(row);
    if record.is_ok() {
        ignored.resolve(&row.key);
    }
    match record {
        Ok(Some(OperatorRecord::Config(config))) => {
            daemon.adopt_config(*config, row.value.clone(), "store");
        }
        Ok(Some(OperatorRecord::Wave(wave))) => {
            let mut waves = daemon.waves.borrow_mut();
            if waves.iter().all(|known| known.number != wave.number) {
                log::info!(wave = wave.number, machines = wave.vms.len(); "new maintenance wave");
                waves.push(wave.clone());
                if let Some(ownership) = daemon.active_ownership() {
                    ownership.add_wave(wave);
                }
            }
        }
        Ok(None) => {}
        Err(error) => ignored.report(&row.key, &error),
    }
}
