//! Acquires what a send needs: a unit of the team's limit and a slot of a target.

use std::rc::Rc;

use monoio::time::sleep_until;
use vanillafold_policy::{PickOptions, PickRefusal};
use vanillafold_types::{ResultCode, VmId};
use vanillafold_wire::http::HttpReader;

use crate::caller::CallerRequest;
use crate::node::{Node, Slot, TeamUnit};
use crate::wait::Waiter;

/// The resources that a send needs.
#[derive(Debug)]
pub(crate) struct Permit {
    /// The unit of the team's limit; `None` on an open queue without a key.
    pub(crate) unit: Option<TeamUnit>,
    /// The slot of the chosen target.
    pub(crate) slot: Slot,
}

/// Why no permit was acquired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PermitError {
    /// The request is refused with this code.
    Refused(ResultCode),
    /// The caller's connection was closed or broke.
    CallerGone,
}

/// Waits for a permit until the request's deadline.
///
/// Targets in `failed_at` are avoided while there are others; if there are none, the list is
/// cleared.
///
/// # Errors
///
/// `QueueFull` if too many requests of the queue wait already, `WrongKey` if the team is gone,
/// `NoTarget` if the pool has no target, `TeamLimit` or `DeadlineBeforeStart` if the deadline
/// passes while the request waits for a unit or a slot, and [`PermitError::CallerGone`].
pub(crate) async fn acquire_permit(
    node: &Rc<Node>,
    request: &CallerRequest,
    failed_at: &mut Vec<VmId>,
    reader: &mut HttpReader,
) -> Result<Permit, PermitError> {
    let Some(_queued) = request.queue.enter() else {
        return Err(PermitError::Refused(ResultCode::QueueFull));
    };
    let unit = acquire_unit(node, request, reader).await?;
    let slot = acquire_slot(node, request, failed_at, reader).await?;
    Ok(Permit { unit, slot })
}

async fn acquire_unit(
    node: &Rc<Node>,
    request: &CallerRequest,
    reader: &mut HttpReader,
) -> Result<Option<TeamUnit>, PermitError> {
    let Some(id) = &request.team else {
        return Ok(None);
    };
    let Some(team) = node.team(id) else {
        return Err(PermitError::Refused(ResultCode::WrongKey));
    };
    // Requests that wait already take their units first.
    let mut may_try = team.waiters.is_empty();
    loop {
        if may_try {
            match team.try_take() {
                Ok(unit) => {
                    // The next waiting request may find another free unit.
                    team.waiters.wake_first();
                    return Ok(Some(unit));
                }
                Err(reason) => node.counters.count_no_unit(reason.label()),
            }
        }
        let mut waiter = match may_try {
            true => team.waiters.enqueue_front(),
            false => team.waiters.enqueue(),
        };
        wait_until_woken(request, &mut waiter, reader, ResultCode::TeamLimit).await?;
        may_try = true;
    }
}

async fn acquire_slot(
    node: &Rc<Node>,
    request: &CallerRequest,
    failed_at: &mut Vec<VmId>,
    reader: &mut HttpReader,
) -> Result<Slot, PermitError> {
    let pool = &request.queue.pool;
    // Requests that wait already take their slots first.
    let mut may_try = pool.waiters.is_empty();
    loop {
        if may_try {
            match try_take_slot(node, request, failed_at) {
                Ok(slot) => {
                    // The next waiting request may find another free slot.
                    pool.waiters.wake_first();
                    return Ok(slot);
                }
                Err(PickRefusal::NoTarget) => {
                    // The next waiting request is refused without delay, too.
                    pool.waiters.wake_first();
                    return Err(PermitError::Refused(ResultCode::NoTarget));
                }
                Err(PickRefusal::AllExcluded) => {
                    failed_at.clear();
                    continue;
                }
                Err(PickRefusal::AllBusy { .. } | PickRefusal::AllEjected { .. }) => {}
            }
        }
        let mut waiter = match may_try {
            true => pool.waiters.enqueue_front(),
            false => pool.waiters.enqueue(),
        };
        pool.wake_waiters_periodically();
        wait_until_woken(
            request,
            &mut waiter,
            reader,
            ResultCode::DeadlineBeforeStart,
        )
        .await?;
        may_try = true;
    }
}

fn try_take_slot(
    node: &Rc<Node>,
    request: &CallerRequest,
    failed_at: &[VmId],
) -> Result<Slot, PickRefusal> {
    let options = PickOptions {
        idempotent: request.idempotent,
        exclude: failed_at,
    };
    let mut rng = node.rng.borrow_mut();
    request.queue.pool.try_take(node.now(), &mut rng, options)
}

/// Waits to be woken.
///
/// # Errors
///
/// `timeout_code` at the deadline, [`PermitError::CallerGone`] when the caller closes its
/// connection.
async fn wait_until_woken(
    request: &CallerRequest,
    waiter: &mut Waiter,
    reader: &mut HttpReader,
    timeout_code: ResultCode,
) -> Result<(), PermitError> {
    monoio::select! {
        biased;
        () = waiter.woken() => Ok(()),
        () = sleep_until(request.deadline) => Err(PermitError::Refused(timeout_code)),
        () = reader.closed() => Err(PermitError::CallerGone),
    }
}
