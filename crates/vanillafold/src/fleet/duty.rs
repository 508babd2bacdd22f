//! The tasks about machines: read their list, carry out moves and upkeep.

use std::rc::Rc;

use monoio::time::sleep;

use super::metric;
use super::office::Office;
use super::platform::{AppendGuard, CloudError, FleetPlatform, Keyspace, Machines, MetadataStore};
use super::settings::{APPEND_TIMEOUT, MACHINE_LIST_INTERVAL, READ_RETRY};
use super::time::{now, unix_ms};

/// Reads the list of machines again and again.
pub(crate) async fn list_machines<P: FleetPlatform>(office: Rc<Office<P>>) {
    let mut cloud = office.fleet.platform.machines();
    loop {
        match cloud.list().await {
            Ok(machines) => {
                office.with(|shard| shard.set_vms(machines, now()));
                office.events.notify_one();
                sleep(MACHINE_LIST_INTERVAL).await;
            }
            Err(error) => {
                log::debug!(error = error.to_string(); "list of machines not read");
                sleep(READ_RETRY).await;
            }
        }
    }
}

/// Carries out what the shard wants done with machines, all that waits together.
pub(crate) async fn carry_out<P: FleetPlatform>(office: Rc<Office<P>>) {
    let mut cloud = office.fleet.platform.machines();
    loop {
        office.to_do.notified().await;
        let duties = office.duties.take();
        if duties.is_empty() {
            continue;
        }
        if !office.may_order() {
            for duty in &duties {
                office.with(|shard| shard.vm_operation_failed(duty, false, now()));
            }
            continue;
        }
        let answered = |at: usize, outcome: Result<(), CloudError>| {
            let duty = &duties[at];
            metric::machine_order(outcome.is_ok());
            log::info!(duty = format!("{duty:?}"), outcome = format!("{outcome:?}"); "machine ordered");
            office.with(|shard| match outcome {
                Ok(()) => shard.vm_operation_done(duty, now(), unix_ms()),
                Err(CloudError::Refused(_)) => shard.vm_operation_failed(duty, false, now()),
                Err(CloudError::NoAnswer(_)) => shard.vm_operation_failed(duty, true, now()),
            });
        };
        let holder = &office.fleet.settings.daemon;
        cloud.order(holder, office.epoch(), &duties, answered).await;
        office.events.notify_one();
    }
}

/// Tells the operator how waves stand.
pub(crate) async fn tell_waves<P: FleetPlatform>(office: Rc<Office<P>>) {
    let mut store = office.fleet.platform.store();
    let limit_ms = u64::try_from(APPEND_TIMEOUT.as_millis()).unwrap_or(u64::MAX);
    loop {
        office.to_tell.notified().await;
        while let Some(status) = office.with(|shard| shard.next_wave_status()).flatten() {
            let row = office
                .fleet
                .platform
                .wave_status(status.wave, status.completed);
            match store
                .append(Keyspace::Status, AppendGuard::Free, &[row], limit_ms)
                .await
            {
                Ok(()) => {
                    log::info!(wave = status.wave, completed = status.completed; "status of a wave written");
                    office.with(|shard| shard.wave_status_reported(&status));
                }
                Err(error) => {
                    log::info!(wave = status.wave, error = error.to_string(); "status of a wave not written");
                    sleep(READ_RETRY).await;
                }
            }
        }
    }
}
