//! Reading of the operator's configurations, maintenance waves and evacuations from the store.

use std::rc::Rc;

use monoio::time::sleep;
use vanillafold_policy::MonotonicMillis;

use super::config::OperatorRecord;
use super::daemon::FleetDaemon;
use super::evacuation::{EvacuatedZones, ZoneChange};
use super::metric;
use super::platform::{
    Changes, FleetPlatform, KeyedRow, Keyspace, LatestRows, MetadataStore, StoreError,
};
use super::settings::{OPERATOR_WAIT_MS, READ_RETRY_DELAY};
use super::time::now;

/// Key of the configuration in [`Keyspace::Operator`].
pub(crate) const CONFIG_KEY: &str = "config";

/// Reads the operator's records and then their changes, until the process ends.
pub(crate) async fn read_records<P: FleetPlatform>(daemon: Rc<FleetDaemon<P>>) {
    let mut store = daemon.platform.store();
    let mut next = None;
    let mut reads_failing = false;
    loop {
        let read = match next {
            None => read_latest(&daemon, &mut store).await,
            Some(from) => {
                let sent_at = now();
                let changes = store
                    .read_changes(Keyspace::Operator, from, OPERATOR_WAIT_MS)
                    .await;
                changes.map(|changes| {
                    apply_changes(&daemon, &changes, sent_at);
                    changes.next_offset
                })
            }
        };
        match read {
            Ok(end) => {
                if std::mem::replace(&mut reads_failing, false) {
                    log::info!("the operator's records are readable again");
                }
                next = Some(end);
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

/// Reads the latest value of each of the operator's records once, and applies them. Returns the offset
/// from which changes have to be read.
pub(crate) async fn read_latest<P: FleetPlatform>(
    daemon: &FleetDaemon<P>,
    store: &mut P::Store,
) -> Result<u64, StoreError> {
    let sent_at = now();
    let mut latest = LatestRows::default();
    store.read_latest(Keyspace::Operator, &mut latest).await?;
    let end = latest.next_offset.unwrap_or(0);
    for row in &latest.rows {
        apply_row(daemon, row);
    }
    let zones = evacuated_zones(daemon, &latest);
    daemon.adopt_evacuated_zones(&EvacuatedZones::new(zones, end), sent_at, "store");
    Ok(end)
}

/// Returns the zones that the latest records evacuate. A request whose value can't be read holds, and
/// if there are records whose key can't be read, no known evacuation counts as withdrawn.
fn evacuated_zones<P: FleetPlatform>(daemon: &FleetDaemon<P>, latest: &LatestRows) -> Vec<String> {
    let platform = &daemon.platform;
    let with_value = latest.rows.iter().filter(|row| !row.value.is_empty());
    let keys = with_value
        .map(|row| &row.key)
        .chain(&latest.unreadable_keys);
    let zones = keys.filter_map(|key| platform.evacuated_zone(key));
    let mut zones: Vec<String> = zones.map(str::to_owned).collect();
    if latest.has_unknown_keys {
        let known = daemon.evacuated_zones.borrow();
        let known = known.as_ref().map_or(&[][..], |known| known.zones());
        let kept = known.iter().filter(|zone| !zones.contains(zone)).cloned();
        let kept: Vec<String> = kept.collect();
        if !kept.is_empty() {
            log::warn!(zones = kept.join(", "); "zones stay evacuated: the operator's records have a key that can't be read, which may be theirs");
        }
        zones.extend(kept);
    }
    zones
}

/// Applies changes of the operator's records, of a read that was sent at `sent_at`.
fn apply_changes<P: FleetPlatform>(
    daemon: &FleetDaemon<P>,
    changes: &Changes,
    sent_at: MonotonicMillis,
) {
    let mut zone_changes = Vec::new();
    for row in &changes.rows {
        if let Some(zone) = daemon.platform.evacuated_zone(&row.key) {
            let change = match row.value.is_empty() {
                true => ZoneChange::Restore,
                false => ZoneChange::Evacuate,
            };
            zone_changes.push((zone.to_owned(), change));
        }
        apply_row(daemon, row);
    }
    let mut known = daemon.evacuated_zones.borrow_mut();
    // Changes are read only after the latest records.
    let Some(zones) = known.as_mut() else { return };
    let is_changed = zones.apply(&zone_changes, changes.next_offset);
    drop(known);
    daemon.evacuations_read(is_changed, sent_at, "store");
}

/// Applies a record of the operator other than an evacuation: activates a later configuration or adds a
/// new wave. A deleted record changes nothing.
fn apply_row<P: FleetPlatform>(daemon: &FleetDaemon<P>, row: &KeyedRow) {
    let mut ignored = daemon.ignored_operator_records.borrow_mut();
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
