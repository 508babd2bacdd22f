//! The tasks about machines: read their list, carry out moves and upkeep.

use std::rc::Rc;

use monoio::time::sleep;
use vanillafold_jobs::MachineDuty;

use super::office::Office;
use super::platform::{CloudError, FleetPlatform, Keyspace, Machines, MetadataStore};
use super::settings::{APPEND_TIMEOUT, MACHINE_LIST_INTERVAL, READ_RETRY};
use super::time::{now, unix_ms};

/// Reads the list of machines again and again.
pub(crate) async fn list_machines<P: FleetPlatform>(office: Rc<Office<P>>) {
    let mut cloud = office.fleet.platform.machines();
    loop {
        match cloud.list().await {
            Ok(machines) => {
                office.with(|shard| shard.set_machines(machines, now()));
                office.events.give();
                sleep(MACHINE_LIST_INTERVAL).await;
            }
            Err(error) => {
                log::debug!(error = error.to_string(); "list of machines not read");
                sleep(READ_RETRY).await;
            }
        }
    }
}

/// Carries out what the shard wants done with machines, one after the other.
pub(crate) async fn carry_out<P: FleetPlatform>(office: Rc<Office<P>>) {
    let mut cloud = office.fleet.platform.machines();
    let mut store = office.fleet.platform.store();
    loop {
        office.to_do.take().await;
        let duties = office.duties.take();
        for duty in duties {
            if !office.may_order() {
                office.with(|shard| shard.duty_failed(&duty, false, now()));
                continue;
            }
            match &duty {
                MachineDuty::WaveStatus { wave, completed } => {
                    let row = office.fleet.platform.wave_status(*wave, *completed);
                    let limit_ms =
                        u64::try_from(APPEND_TIMEOUT.as_millis()).unwrap_or(u64::MAX);
                    let written = store.append(Keyspace::Status, None, &[row], limit_ms).await;
                    if let Err(error) = written {
                        log::info!(wave = *wave, error = error.to_string(); "status of a wave not written");
                        office.with(|shard| shard.duty_failed(&duty, false, now()));
                    }
                }
                _ => {
                    let holder = &office.fleet.settings.daemon;
                    let ordered = cloud.order(holder, office.epoch(), &duty).await;
                    log::info!(duty = format!("{duty:?}"), outcome = format!("{ordered:?}"); "machine ordered");
                    match ordered {
                        Ok(()) => office.with(|shard| shard.duty_done(&duty, now(), unix_ms())),
                        Err(CloudError::Refused(_)) => {
                            office.with(|shard| shard.duty_failed(&duty, false, now()))
                        }
                        Err(CloudError::NoAnswer(_)) => {
                            office.with(|shard| shard.duty_failed(&duty, true, now()))
                        }
                    };
                }
            }
        }
        office.events.give();
    }
}
