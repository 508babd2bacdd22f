//! The owner's tasks for VMs: reading their list, moving and maintaining them, and reporting the
//! progress of maintenance waves.

use std::rc::Rc;

use monoio::time::sleep;

use super::metric;
use super::ownership::ShardOwnership;
use super::platform::{
    AppendCondition, CloudApi, CloudError, FleetPlatform, Keyspace, MetadataStore,
};
use super::settings::{APPEND_TIMEOUT, READ_RETRY_DELAY, VM_LIST_INTERVAL, VM_LIST_PAUSE_FACTOR};
use super::time::{now, unix_ms};

/// Reads the list of VMs periodically and passes it to the shard.
pub(crate) async fn list_vms<P: FleetPlatform>(ownership: Rc<ShardOwnership<P>>) {
    let mut cloud = ownership.daemon.platform.cloud();
    loop {
        let requested_at = now();
        match cloud.list_vms().await {
            Ok(list) => {
                ownership.with(|shard| match list.has_unreadable_vms {
                    true => shard.set_readable_vms(list.vms, requested_at),
                    false => shard.set_vms(list.vms, requested_at),
                });
                ownership.events.notify_one();
                let took = now().since(requested_at).duration();
                sleep(VM_LIST_INTERVAL.max(took * VM_LIST_PAUSE_FACTOR)).await;
            }
            Err(error) => {
                log::debug!(error = error.to_string(); "reading the list of VMs failed; retrying");
                sleep(READ_RETRY_DELAY).await;
            }
        }
    }
}

/// Sends the VM operations that the shard has queued. All that are queued by then go out in one
/// call; while this owner must not send them, they are reported to the shard as failed.
pub(crate) async fn run_vm_operations<P: FleetPlatform>(ownership: Rc<ShardOwnership<P>>) {
    let mut cloud = ownership.daemon.platform.cloud();
    loop {
        ownership.vm_operations_ready.notified().await;
        let vm_operations = ownership.vm_operations.take();
        if vm_operations.is_empty() {
            continue;
        }
        if !ownership.may_send_vm_operations() {
            for operation in &vm_operations {
                ownership.with(|shard| shard.vm_operation_failed(operation, false, now()));
            }
            continue;
        }
        let answered = |index: usize, outcome: Result<(), CloudError>| {
            let operation = &vm_operations[index];
            metric::vm_operation(outcome.is_ok());
            log::info!(duty = format!("{operation:?}"), outcome = format!("{outcome:?}"); "outcome of a request for a VM operation");
            ownership.with(|shard| match outcome {
                Ok(()) => shard.vm_operation_done(operation, now(), unix_ms()),
                Err(CloudError::Refused(_)) => shard.vm_operation_failed(operation, false, now()),
                Err(CloudError::NoAnswer(_)) => shard.vm_operation_failed(operation, true, now()),
            });
        };
        let daemon_name = &ownership.daemon.settings.daemon_name;
        cloud
            .send_vm_operations(daemon_name, ownership.epoch(), &vm_operations, answered)
            .await;
        ownership.events.notify_one();
    }
}

/// Writes the status of maintenance waves to the store, for the operator; repeats a write that
/// failed.
pub(crate) async fn report_waves<P: FleetPlatform>(ownership: Rc<ShardOwnership<P>>) {
    let mut store = ownership.daemon.platform.store();
    let timeout_ms = u64::try_from(APPEND_TIMEOUT.as_millis()).unwrap_or(u64::MAX);
    loop {
        ownership.wave_status_ready.notified().await;
        while let Some(status) = ownership.with(|shard| shard.next_wave_status()).flatten() {
            let row = ownership
                .daemon
                .platform
                .wave_status(status.wave, status.completed);
            match store
                .append(
                    Keyspace::Status,
                    AppendCondition::Unconditional,
                    &[row],
                    timeout_ms,
                )
                .await
            {
                Ok(()) => {
                    log::info!(wave = status.wave, completed = status.completed; "status of a maintenance wave written");
                    ownership.with(|shard| shard.wave_status_reported(&status));
                }
                Err(error) => {
                    log::info!(wave = status.wave, error = error.to_string(); "writing the status of a maintenance wave failed; retrying");
                    sleep(READ_RETRY_DELAY).await;
                }
            }
        }
    }
}
