//! The tasks about machines: read their list, carry out moves and upkeep.

use std::rc::Rc;

use monoio::time::sleep;

use super::metric;
use super::office::Office;
use super::platform::{
    AppendCondition, CloudApi, CloudError, FleetPlatform, Keyspace, MetadataStore,
};
use super::settings::{APPEND_TIMEOUT, MACHINE_LIST_INTERVAL, READ_RETRY};
use super::time::{now, unix_ms};

/// Reads the list of machines again and again.
pub(crate) async fn list_machines<P: FleetPlatform>(office: Rc<Office<P>>) {
    let mut cloud = office.fleet.platform.cloud();
    loop {
        match cloud.list_vms().await {
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

/// Carries out what the shard wants done with machines, all that waits together.
pub(crate) async fn carry_out<P: FleetPlatform>(office: Rc<Office<P>>) {
    let mut cloud = office.fleet.platform.cloud();
    loop {
        office.to_do.take().await;
        let duties = office.duties.take();
        if duties.is_empty() {
            continue;
        }
        if !office.may_order() {
            for duty in &duties {
                office.with(|shard| shard.duty_failed(duty, false, now()));
            }
            continue;
        }
        let answered = |at: usize, outcome: Result<(), CloudError>| {
            let duty = &duties[at];
            metric::machine_order(outcome.is_ok());
            log::info!(duty = format!("{duty:?}"), outcome = format!("{outcome:?}"); "machine ordered");
            office.with(|shard| match outcome {
                Ok(()) => shard.duty_done(duty, now(), unix_ms()),
                Err(CloudError::Refused(_)) => shard.duty_failed(duty, false, now()),
                Err(CloudError::NoAnswer(_)) => shard.duty_failed(duty, true, now()),
            });
        };
        let holder = &office.fleet.settings.daemon_name;
        cloud
            .send_vm_operations(holder, office.epoch(), &duties, answered)
            .await;
        office.events.give();
    }
}

/// Tells the operator how waves stand.
pub(crate) async fn tell_waves<P: FleetPlatform>(office: Rc<Office<P>>) {
    let mut store = office.fleet.platform.store();
    let limit_ms = u64::try_from(APPEND_TIMEOUT.as_millis()).unwrap_or(u64::MAX);
    loop {
        office.to_tell.take().await;
        while let Some(status) = office.with(|shard| shard.next_wave_status()).flatten() {
            let row = office
                .fleet
                .platform
                .wave_status(status.wave, status.completed);
            match store
                .append(
                    Keyspace::Status,
                    AppendCondition::Unconditional,
                    &[row],
                    limit_ms,
                )
                .await
            {
                Ok(()) => {
                    log::info!(wave = status.wave, completed = status.completed; "status of a wave written");
                    office.with(|shard| shard.wave_told(&status));
                }
                Err(error) => {
                    log::info!(wave = status.wave, error = error.to_string(); "status of a wave not written");
                    sleep(READ_RETRY).await;
                }
            }
        }
    }
}
